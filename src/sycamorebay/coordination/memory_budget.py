"""Division of a VM's memory among what callers and servers make a gateway hold."""

from __future__ import annotations

import attrs

MEGABYTE = 1_000_000
MEBIBYTE = 1024 * 1024
# The smallest VMs of a deployment.
DEFAULT_RAM_MB = 200.0
# The interpreter, the program and what it knows of servers, peers and routes.
PROCESS_MB = 40.0
# A VM of less memory still serves some requests.
MIN_SCALE = 1 / 16
# Shares of a VM of `DEFAULT_RAM_MB`; together with the process they leave a tenth of its memory.
BODY_BYTES = 32 * MEBIBYTE
ANSWER_BYTES = 48 * MEBIBYTE
UNSENT_BYTES = 32 * MEBIBYTE
REQUEST_BYTES = 24 * MEBIBYTE


@attrs.frozen
class MemoryBudget:
    """Bytes that each kind of data may take.

    Attributes
    ----------
    body_bytes : int
        Bodies of requests.
    answer_bytes : int
        Answers of servers that are not whole.
    unsent_bytes : int
        Answers that wait for callers which read slowly.
    request_bytes : int
        Connections of callers, heads and small bodies of requests, and bytes not yet parsed.
    """

    body_bytes: int = BODY_BYTES
    answer_bytes: int = ANSWER_BYTES
    unsent_bytes: int = UNSENT_BYTES
    request_bytes: int = REQUEST_BYTES


def divide_memory(ram_mb: float) -> MemoryBudget:
    """Return the budget of a VM with some memory in MB of a million bytes."""
    scale = max(MIN_SCALE, (ram_mb - PROCESS_MB) / (DEFAULT_RAM_MB - PROCESS_MB))
    return MemoryBudget(
        body_bytes=int(scale * BODY_BYTES),
        answer_bytes=int(scale * ANSWER_BYTES),
        unsent_bytes=int(scale * UNSENT_BYTES),
        request_bytes=int(scale * REQUEST_BYTES),
    )
