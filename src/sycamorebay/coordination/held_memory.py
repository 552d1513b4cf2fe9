"""What the connections of callers make a process hold, and which of them to close for it."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

# Measured on CPython 3.11 with uvloop: 7.0 KB for an idle connection.
CONNECTION_BYTES = 8 * 1024
# A header is a tuple (64 bytes with the collector's part), a place in a list and two bytes objects
# (33 bytes each, rounded up to 16), beside its own bytes.
HEADER_OBJECT_BYTES = 176
# A whole request has a task, its coroutines and a place in queues, and is written to a server as
# another copy of its head.
REQUEST_OBJECT_BYTES = 6 * 1024
# Head of a request beside which a connection counts as light.
SMALL_HEAD_BYTES = 4 * 1024
# So that not each of the following requests needs a decision.
RELIEF_SHARE = 7 / 8

Key = TypeVar("Key", bound=Hashable)


def head_memory(size: int, header_count: int) -> int:
    """Return what a head of some bytes and headers takes, the part of the parser included."""
    return 2 * size + HEADER_OBJECT_BYTES * header_count


class HeldMemory(Generic[Key]):
    """Bytes that each connection holds, within a limit for all of them.

    Parameters
    ----------
    limit : int
        Most bytes of all connections together.

    Attributes
    ----------
    used : int
        Bytes that are held.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._bytes_by_key: dict[Key, int] = {}
        self.used = 0

    def __iter__(self) -> Iterator[Key]:
        return iter(self._bytes_by_key)

    @property
    def is_exceeded(self) -> bool:
        """Whether the connections hold more than the limit."""
        return self.used > self._limit

    def update(self, key: Key, size: int) -> None:
        """Replace the bytes that a connection holds."""
        self.used += size - self._bytes_by_key.get(key, 0)
        self._bytes_by_key[key] = size

    def discard(self, key: Key) -> None:
        """Forget a connection."""
        self.used -= self._bytes_by_key.pop(key, 0)

    def pop_largest(self) -> list[Key]:
        """Forget the largest connections if the limit is exceeded, and return them.

        The others take at most `RELIEF_SHARE` of the limit. One is kept in any case.
        """
        if not self.is_exceeded:
            return []
        by_size = sorted(self._bytes_by_key, key=self._bytes_by_key.__getitem__)
        popped = []
        while self.used > RELIEF_SHARE * self._limit and len(by_size) > 1:
            key = by_size.pop()
            popped.append(key)
            self.discard(key)
        return popped
