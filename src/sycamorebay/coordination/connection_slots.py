"""Bound on the connections of callers, and which of them to close for a new one."""

from __future__ import annotations

import enum
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

# The platform keeps these for files.
FILE_DESCRIPTORS = 200
DEFAULT_MAX_FDS = 4100
# Of the descriptors for connections; the rest is for servers, the store and peers.
CALLER_SHARE = 1 / 2
# Connections that the kernel has accepted are taken from it in one turn of the event loop, before
# any of those that are closed for them has given its descriptor back.
BACKLOG_SHARE = 1 / 8
MAX_BACKLOG = 512
# Of readiness checks, and of peers and scrapes.
SIDE_SHARE = 1 / 16
SIDE_BACKLOG_SHARE = 1 / 64
MIN_CONNECTIONS = 4
# A newer connection without a request may belong to a caller that is about to send one.
FRESH_S = 1.0

Key = TypeVar("Key", bound=Hashable)


class Phase(enum.IntEnum):
    """What a caller's connection is doing; an integer, whose hash is cheap."""

    IDLE = enum.auto()
    INCOMPLETE = enum.auto()
    BUSY = enum.auto()


@attrs.frozen
class ConnectionLimits:
    """Most connections of callers that a gateway keeps.

    Attributes
    ----------
    callers : int
        Connections to the address for callers.
    side : int
        Connections to each of the addresses for readiness checks and for peers.
    backlog, side_backlog : int
        Connections that the kernel accepts at these addresses before the gateway takes them.
    """

    callers: int
    side: int
    backlog: int
    side_backlog: int


def divide_descriptors(max_fds: int, connection_bytes: int, bytes_each: int) -> ConnectionLimits:
    """Return the limits that follow from descriptors, and from memory for connections.

    Parameters
    ----------
    max_fds : int
        Descriptors of the process.
    connection_bytes : int
        Memory that connections may take.
    bytes_each : int
        Memory that a connection takes.
    """
    available = max(0, max_fds - FILE_DESCRIPTORS)
    backlog = max(MIN_CONNECTIONS, min(MAX_BACKLOG, int(BACKLOG_SHARE * available)))
    by_memory = connection_bytes // bytes_each
    callers = min(by_memory, int(CALLER_SHARE * available) - backlog)
    side = min(by_memory, int(SIDE_SHARE * available))
    return ConnectionLimits(
        callers=max(MIN_CONNECTIONS, callers),
        side=max(MIN_CONNECTIONS, side),
        backlog=backlog,
        side_backlog=max(MIN_CONNECTIONS, int(SIDE_BACKLOG_SHARE * available)),
    )


class ConnectionSlots(Generic[Key]):
    """The connections of callers by what they are doing, at most a number of them.

    Parameters
    ----------
    limit : int
        Most connections.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._phases_by_key: dict[Key, Phase] = {}
        # The time at which each connection came into its phase, in this order.
        self._since_by_phase: dict[Phase, dict[Key, float]] = {phase: {} for phase in Phase}

    def __len__(self) -> int:
        return len(self._phases_by_key)

    def add(self, key: Key, now: float) -> Key | None:
        """Add a new connection; return the one to close for it, itself if all others are busy."""
        self._enter(key, Phase.IDLE, now)
        if len(self) <= self._limit:
            return None
        victim = self._victim(now)
        self.discard(victim)
        return victim

    def update(self, key: Key, phase: Phase, now: float) -> None:
        """Note what a connection is doing; an idle one has been idle only since now."""
        known = self._phases_by_key.get(key)
        if known is None or (known is phase and phase is not Phase.IDLE):
            return
        del self._since_by_phase[known][key]
        self._enter(key, phase, now)

    def discard(self, key: Key) -> None:
        """Forget a connection."""
        phase = self._phases_by_key.pop(key, None)
        if phase is not None:
            del self._since_by_phase[phase][key]

    def _enter(self, key: Key, phase: Phase, now: float) -> None:
        self._phases_by_key[key] = phase
        self._since_by_phase[phase][key] = now

    def _victim(self, now: float) -> Key:
        """Return the connection idle for longest, or else the one that has waited for longest."""
        idle = next(iter(self._since_by_phase[Phase.IDLE].items()))
        incomplete = next(iter(self._since_by_phase[Phase.INCOMPLETE].items()), None)
        if incomplete is None or now - idle[1] >= FRESH_S or idle[1] < incomplete[1]:
            return idle[0]
        return incomplete[0]
