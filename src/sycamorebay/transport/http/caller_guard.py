"""Keeps the connections of callers within the process's memory and descriptors."""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable
from typing import Protocol

from sycamorebay import log
from sycamorebay.coordination.connection_slots import ConnectionSlots, Phase
from sycamorebay.coordination.held_memory import HeldMemory
from sycamorebay.coordination.memory_budget import REQUEST_BYTES

# Light connections are counted together, as that costs time for each request.
SETTLE_INTERVAL_S = 0.05
MAX_CHANGED = 64
# Answers that wait for callers are sampled, since nothing tells when the kernel takes them.
SAMPLE_INTERVAL_S = 0.25
# A connection with more is counted by `SlowCallers`.
MAX_SAMPLED_BYTES = 64 * 1024
DEFAULT_MAX_CONNECTIONS = 1024
LOG_INTERVAL_S = 1.0

_log = log.get_logger("callers")


class GuardedConnection(Hashable, Protocol):
    """A caller's connection that may have to be closed for others."""

    @property
    def phase(self) -> Phase:
        """What it is doing."""
        ...

    @property
    def is_light(self) -> bool:
        """Whether it holds no more than one small request, and nothing incomplete."""
        ...

    @property
    def held_bytes(self) -> int:
        """Bytes that it makes the process hold, without those that `SlowCallers` counts."""
        ...

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller."""
        ...

    def shed(self) -> None:
        """Refuse what it has not sent whole, or close it."""
        ...

    def abort(self) -> None:
        """Close it at once."""
        ...


class ClosureCounters(Protocol):
    """Counts the connections that are closed for a limit."""

    def on_memory_refused(self) -> None:
        """Count one that was refused or closed as all together held too much memory."""
        ...

    def on_connection_evicted(self) -> None:
        """Count one that was closed as there were too many."""
        ...


class Uncounted:
    """`ClosureCounters` that count nothing."""

    def on_memory_refused(self) -> None:
        """Count nothing."""

    def on_connection_evicted(self) -> None:
        """Count nothing."""


class LimitLog:
    """Logs that connections are closed for a limit, at most once in `LOG_INTERVAL_S`.

    Parameters
    ----------
    event : str
        Text of the line.
    """

    def __init__(self, event: str) -> None:
        self._event = event
        self._logged_at = float("-inf")
        self._closed = 0

    def on_closed(self, count: int, now: float, **fields: int | str) -> None:
        """Count closed connections, and log those since the last line if it is time for one."""
        self._closed += count
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        _log.info(self._event, closed=self._closed, **fields)
        self._logged_at, self._closed = now, 0


class CallerMemory:
    """Memory that the connections of all listeners share.

    Parameters
    ----------
    counters : ClosureCounters
        Metrics of this daemon.
    limit : int
        Most bytes of all connections together.
    max_sampled_bytes : int
        Most bytes that wait for one caller and are counted here.
    """

    def __init__(
        self,
        counters: ClosureCounters,
        limit: int = REQUEST_BYTES,
        max_sampled_bytes: int = MAX_SAMPLED_BYTES,
    ) -> None:
        self._counters = counters
        self._max_sampled_bytes = max_sampled_bytes
        self._held: HeldMemory[GuardedConnection] = HeldMemory(limit)
        self._unsent_by_connection: dict[GuardedConnection, int] = {}
        self._slots_by_changed: dict[GuardedConnection, ConnectionSlots[GuardedConnection]] = {}
        self._settled_at = float("-inf")
        self._sampled_at = float("-inf")
        self._limit_log = LimitLog("callers hold too much memory")

    def on_changed(
        self, connection: GuardedConnection, slots: ConnectionSlots[GuardedConnection], now: float
    ) -> None:
        """Note that a connection holds or does something else, with the slot that it takes."""
        changed = self._slots_by_changed
        changed[connection] = slots
        is_due = now - self._settled_at >= SETTLE_INTERVAL_S or len(changed) >= MAX_CHANGED
        if is_due or not connection.is_light:
            self.settle(now)

    def settle(self, now: float) -> None:
        """Count what the changed connections hold, and shed the largest ones if it is too much."""
        self._settled_at = now
        changed, self._slots_by_changed = self._slots_by_changed, {}
        if now - self._sampled_at >= SAMPLE_INTERVAL_S:
            self._sample(now)
        for connection, slots in changed.items():
            slots.update(connection, connection.phase, now)
            self._count(connection)
        if self._held.is_exceeded:
            self._shed(now)

    def discard(self, connection: GuardedConnection) -> None:
        """Forget a connection that was closed."""
        self._slots_by_changed.pop(connection, None)
        self._unsent_by_connection.pop(connection, None)
        self._held.discard(connection)

    def _sample(self, now: float) -> None:
        self._sampled_at = now
        sizes = ((one, min(one.unsent_bytes, self._max_sampled_bytes)) for one in self._held)
        before = self._unsent_by_connection
        self._unsent_by_connection = {one: size for one, size in sizes if size}
        for connection in before.keys() | self._unsent_by_connection.keys():
            self._count(connection)

    def _count(self, connection: GuardedConnection) -> None:
        unsent = self._unsent_by_connection.get(connection, 0)
        self._held.update(connection, connection.held_bytes + unsent)

    def _shed(self, now: float) -> None:
        used = self._held.used
        connections = self._held.pop_largest()
        for connection in connections:
            self._counters.on_memory_refused()
            connection.shed()
        self._limit_log.on_closed(len(connections), now, held_bytes=used)


class CallerGuard:
    """Bounds the connections of one listener, and the memory of them all.

    Parameters
    ----------
    clock : callable
        Returns seconds on a monotonic clock.
    counters : ClosureCounters, optional
        Metrics of this daemon.
    memory : CallerMemory, optional
        Shared with other listeners.
    max_connections : int
        Most connections of this listener.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        counters: ClosureCounters | None = None,
        memory: CallerMemory | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._clock = clock
        self._counters = counters or Uncounted()
        self._memory = memory or CallerMemory(self._counters)
        self._limit_log = LimitLog("too many connections")
        self._slots: ConnectionSlots[GuardedConnection] = ConnectionSlots(max_connections)

    def on_connected(self, connection: GuardedConnection) -> None:
        """Admit a new connection, and close another one if there are too many."""
        now = self._clock()
        self._memory.settle(now)
        victim = self._slots.add(connection, now)
        if victim is not None:
            self._counters.on_connection_evicted()
            self._limit_log.on_closed(1, now, open=len(self._slots), phase=victim.phase.name)
            victim.abort()
        if victim is not connection:
            self._memory.on_changed(connection, self._slots, now)

    def on_changed(self, connection: GuardedConnection) -> None:
        """Take note of what a connection does and holds now."""
        self._memory.on_changed(connection, self._slots, self._clock())

    def on_lost(self, connection: GuardedConnection) -> None:
        """Forget a connection."""
        self._slots.discard(connection)
        self._memory.discard(connection)
