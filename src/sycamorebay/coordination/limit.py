"""Adaptive limit on the requests of one service that an entry has in flight."""

from __future__ import annotations

import math
from typing import Protocol

# Requests per slot above which a backend server counts as overloaded.
OVERLOAD_FACTOR = 1.5
_SMOOTHING_FACTOR = 0.05
_OVERLOADED_SHARE_THRESHOLD = 0.4
_DECREMENT = 0.5


class Limit(Protocol):
    """Limit on the requests in flight."""

    @property
    def is_overloaded(self) -> bool:
        """Whether backend servers recently had more requests than slots."""
        ...

    def resize(self, slots: int, entries: int) -> None:
        """Update the number of slots and of the entries that share them."""
        ...

    def has_capacity(self, in_flight: int) -> bool:
        """Return whether one more request may be sent."""
        ...

    def on_answer(self, in_flight: int, *, overloaded: bool) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        in_flight : int
            Requests in flight, including this one.
        overloaded : bool
            Whether the backend server shed the request, or had far more requests than slots.
        """
        ...


class AdaptiveLimit:
    """Additive-increase limit that converges to this entry's share of a service.

    No entry knows what the other entries send. Each entry raises its limit step by step while the
    limit binds and backend servers are not overloaded. It lowers the limit while more than a
    certain share of the answers indicates overload, but never below an even share of the slots.
    All entries see the same overload signal, so their limits become about equal.

    Parameters
    ----------
    slots : int
        Slots of the service. This is the initial limit; `OVERLOAD_FACTOR` times it is the maximum.
    entries : int
        Number of entries that share the slots.
    """

    def __init__(self, slots: int, entries: int = 1) -> None:
        self._limit = float(max(1, slots))
        self._overloaded_share = 0.0
        self.resize(slots, entries)

    @property
    def limit(self) -> float:
        """Number of requests that may be in flight."""
        return self._limit

    @property
    def is_overloaded(self) -> bool:
        """Whether the share of overloaded answers exceeds half the share that lowers the limit."""
        return self._overloaded_share > _OVERLOADED_SHARE_THRESHOLD / 2

    def resize(self, slots: int, entries: int) -> None:
        """Update the bounds of the limit for a new number of slots or of entries."""
        self._maximum = max(1.0, slots * OVERLOAD_FACTOR)
        self._minimum = max(1.0, math.ceil(slots / entries))
        self._limit = min(max(self._limit, self._minimum), self._maximum)

    def has_capacity(self, in_flight: int) -> bool:
        """Return whether one more request may be sent."""
        return in_flight < int(self._limit)

    def on_answer(self, in_flight: int, *, overloaded: bool) -> None:
        """Raise or lower the limit by the result of an attempt."""
        self._overloaded_share += _SMOOTHING_FACTOR * (overloaded - self._overloaded_share)
        if self._overloaded_share > _OVERLOADED_SHARE_THRESHOLD:
            decreased = min(self._limit, in_flight + 1.0) - _DECREMENT
            self._limit = max(self._minimum, decreased)
        elif in_flight >= int(self._limit):
            self._limit = min(self._maximum, self._limit + 1.0 / self._limit)
