"""How many requests of one service this entry keeps in flight."""

from __future__ import annotations

from typing import Protocol

CROWDED_FACTOR = 1.5
_SMOOTHING = 0.1
_CROWDED_SHARE = 0.3
_STEP_DOWN = 0.5
_MIN_LIMIT = 1.0


class Limit(Protocol):
    """Bounds the requests in flight."""

    def has_room(self, in_flight: int) -> bool:
        """Whether one more may be sent."""
        ...

    def on_answer(self, in_flight: int, *, crowded: bool) -> None:
        """Take the end of an attempt.

        Parameters
        ----------
        in_flight : int
            Requests in flight, with this one.
        crowded : bool
            Whether its backend server shed it, or had far more work than slots.
        """
        ...


class AdaptiveLimit:
    """Finds this entry's share of a service that other entries use too.

    No entry knows what the others send. Each raises its limit step by step while the limit
    binds and backend servers are not crowded, and lowers it while more than a share of the
    answers says that they are. All entries hear the same word, so that their limits come to
    about the same.

    Parameters
    ----------
    slots : int
        Slots of the service: the first limit, and with `CROWDED_FACTOR` the highest.
    """

    def __init__(self, slots: int) -> None:
        self._limit = float(max(1, slots))
        self._highest = max(1.0, slots * CROWDED_FACTOR)
        self._crowded = 0.0

    @property
    def limit(self) -> float:
        """Requests that may be in flight."""
        return self._limit

    def resize(self, slots: int) -> None:
        """Take a new number of slots."""
        self._highest = max(1.0, slots * CROWDED_FACTOR)
        self._limit = min(self._limit, self._highest)

    def has_room(self, in_flight: int) -> bool:
        """Whether one more may be sent."""
        return in_flight < int(self._limit)

    def on_answer(self, in_flight: int, *, crowded: bool) -> None:
        """Take the end of an attempt."""
        self._crowded += _SMOOTHING * (crowded - self._crowded)
        if self._crowded > _CROWDED_SHARE:
            lowered = min(self._limit, in_flight + 1.0) - _STEP_DOWN
            self._limit = max(_MIN_LIMIT, lowered)
        elif in_flight >= int(self._limit):
            self._limit = min(self._highest, self._limit + 1.0 / self._limit)
