"""Keyed operations: one send from its arrival to its answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs
import xxhash

from sycamorebay.coordination.operations import (
    KeptAnswer,
    Operation,
    Operations,
    Reject,
    Replay,
)
from sycamorebay.outcomes import NotRun, Refusal
from sycamorebay.protocol import headers as names
from sycamorebay.protocol.headers import header_value

if TYPE_CHECKING:
    from sycamorebay.transport.forward import Exchange, OutgoingAnswer

MAX_KEPT_ANSWER_BYTES = 16_384
MAX_KEY_CHARS = 255


class Operator:
    """Drives the decisions on keyed operations.

    Parameters
    ----------
    operations : Operations
        Decides whether they run.
    run : callable
        Sends a request to a backend server and returns its answer.
    refuse : callable
        Returns the answer of a refusal.
    clock : callable
        Time in seconds, never going back.
    """

    def __init__(
        self,
        operations: Operations,
        run: Callable[[Exchange], Awaitable[OutgoingAnswer]],
        refuse: Callable[[Exchange, Refusal], OutgoingAnswer],
        clock: Callable[[], float],
    ) -> None:
        self._operations = operations
        self._run = run
        self._refuse = refuse
        self._clock = clock

    async def operate(self, exchange: Exchange, key: str) -> OutgoingAnswer:
        """Return the answer of one send of a keyed operation."""
        fingerprint = fingerprint_of(exchange)
        first_send = header_value(exchange.incoming.headers, names.ATTEMPT) == "1"
        if len(key) > MAX_KEY_CHARS or fingerprint is None:
            reason = "the key is too long or the body of a keyed operation is too large"
            return self._refuse(exchange, NotRun("operation", "", reason, 400))
        operation = Operation(key, fingerprint, first_send)
        decision = self._operations.on_operation(self._clock(), operation)
        if isinstance(decision, Replay):
            return exchange.replay(decision.answer)
        if isinstance(decision, Reject):
            return self._refuse(exchange, decision.refusal)
        return await self._keep(key, await self._run(exchange))

    async def _keep(self, key: str, answer: OutgoingAnswer) -> OutgoingAnswer:
        if isinstance(answer.body, bytes):
            if (names.OUTCOME, NotRun.tag) in answer.headers:
                self._operations.on_not_run(self._clock(), key)
            return answer
        body = b"".join([chunk async for chunk in answer.body])
        headers = [pair for pair in answer.headers if pair[0] != "content-length"]
        if len(body) <= MAX_KEPT_ANSWER_BYTES:
            kept = KeptAnswer(answer.status, tuple(headers), body)
            self._operations.on_answer(self._clock(), key, kept)
        return attrs.evolve(answer, headers=headers, body=body)


def fingerprint_of(exchange: Exchange) -> bytes | None:
    """Hash what a key stands for; None for a body that was not read whole."""
    body = exchange.body
    if body is not None and not isinstance(body, bytes):
        return None
    incoming = exchange.incoming
    digest = xxhash.xxh3_128(f"{incoming.method} {incoming.host} {incoming.target}\n".encode())
    digest.update(body or b"")
    return digest.digest()
