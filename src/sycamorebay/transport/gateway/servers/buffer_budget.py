"""Limit on the bytes of answers that a gateway holds at the same time."""

from __future__ import annotations

from sycamorebay.coordination.memory_budget import ANSWER_BYTES


class BufferBudget:
    """Bytes of answers held by all connections of a pool.

    Parameters
    ----------
    limit : int
        Maximum number of bytes.
    """

    def __init__(self, limit: int = ANSWER_BYTES) -> None:
        self._limit = limit
        self.used = 0

    def take(self, size: int) -> bool:
        """Reserve bytes; return False if they would exceed the limit."""
        if self.used + size > self._limit:
            return False
        self.used += size
        return True

    def give_back(self, size: int) -> None:
        """Release reserved bytes."""
        self.used -= size
