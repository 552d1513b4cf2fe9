"""Limit on the bytes of answers that wait for callers which read slowly."""

from __future__ import annotations

from typing import Protocol

from sycamorebay import log
from sycamorebay.coordination.memory_budget import UNSENT_BYTES
from sycamorebay.transport.gateway.counters import Counters

_log = log.get_logger("callers")


class SlowConnection(Protocol):
    """A connection whose caller reads slowly."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class SlowCallers:
    """The connections whose callers read slowly.

    Parameters
    ----------
    counters : Counters
        Metrics of this daemon.
    max_unsent_bytes : int
        Most bytes that may wait for all of them together.
    """

    def __init__(self, counters: Counters, max_unsent_bytes: int = UNSENT_BYTES) -> None:
        self._counters = counters
        self._max_unsent_bytes = max_unsent_bytes
        self._connections: set[SlowConnection] = set()

    def add(self, connection: SlowConnection) -> None:
        """Add a connection on which much is waiting."""
        self._connections.add(connection)

    def discard(self, connection: SlowConnection) -> None:
        """Remove a connection whose caller has read on, or left."""
        self._connections.discard(connection)

    def close_slowest(self) -> None:
        """Close those with most bytes waiting, until the others are within the limit."""
        if not self._connections:
            return
        by_unsent_bytes = sorted(self._connections, key=lambda one: one.unsent_bytes)
        total = sum(connection.unsent_bytes for connection in by_unsent_bytes)
        while total > self._max_unsent_bytes:
            slowest = by_unsent_bytes.pop()
            total -= slowest.unsent_bytes
            self._connections.discard(slowest)
            self._counters.slow_callers_closed += 1
            _log.info("caller reads too slowly", unsent_bytes=slowest.unsent_bytes)
            slowest.abort()
