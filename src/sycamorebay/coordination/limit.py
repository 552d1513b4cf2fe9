"""How many requests of one service this entry keeps in flight."""

from __future__ import annotations

import math
from typing import Protocol

OVERLOAD_FACTOR = 1.5
_SMOOTHING = 0.05
_OVERLOAD_SHARE = 0.4
_STEP_DOWN = 0.5


class Limit(Protocol):
    """Bounds the requests in flight."""

    @property
    def is_overloaded(self) -> bool:
        """Whether backend servers have more work than slots lately."""
        ...

    def resize(self, slots: int, entries: int) -> None:
        """Take other numbers of slots and of the entries that share them."""
        ...

    def has_room(self, in_flight: int) -> bool:
        """Whether one more may be sent."""
        ...

    def on_answer(self, in_flight: int, *, overloaded: bool) -> None:
        """Take the end of an attempt.

        Parameters
        ----------
        in_flight : int
            Requests in flight, with this one.
        overloaded : bool
            Whether its backend server shed it, or had far more work than slots.
        """
        ...


class AdaptiveLimit:
    """Finds this entry's share of a service that other entries use too.

    No entry knows what the others send. Each raises its limit step by step while the limit
    binds and backend servers are not crowded, and lowers it while more than a share of the
    answers says that they are, but never below its even share of the slots. All entries hear
    the same word, so that their limits come to about the same.

    Parameters
    ----------
    slots : int
        Slots of the service: the first limit, and with `OVERLOAD_FACTOR` the highest.
    entries : int
        Entries that share them.
    """

    def __init__(self, slots: int, entries: int = 1) -> None:
        self._limit = float(max(1, slots))
        self._overloaded = 0.0
        self.resize(slots, entries)

    @property
    def limit(self) -> float:
        """Requests that may be in flight."""
        return self._limit

    @property
    def is_overloaded(self) -> bool:
        """Whether backend servers have more work than they should."""
        return self._overloaded > _OVERLOAD_SHARE / 2

    def resize(self, slots: int, entries: int) -> None:
        """Take a new number of slots or of entries."""
        self._highest = max(1.0, slots * OVERLOAD_FACTOR)
        self._lowest = max(1.0, math.ceil(slots / entries))
        self._limit = min(max(self._limit, self._lowest), self._highest)

    def has_room(self, in_flight: int) -> bool:
        """Whether one more may be sent."""
        return in_flight < int(self._limit)

    def on_answer(self, in_flight: int, *, overloaded: bool) -> None:
        """Take the end of an attempt."""
        self._overloaded += _SMOOTHING * (overloaded - self._overloaded)
        if self._overloaded > _OVERLOAD_SHARE:
            lowered = min(self._limit, in_flight + 1.0) - _STEP_DOWN
            self._limit = max(self._lowest, lowered)
        elif in_flight >= int(self._limit):
            self._limit = min(self._highest, self._limit + 1.0 / self._limit)
