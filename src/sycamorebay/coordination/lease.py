"""A lease as its holder sees it, on a clock that counts pauses."""

from __future__ import annotations

from math import inf
from random import Random

RENEW_AFTER_SHARE = 1 / 3


class Lease:
    """When to renew a lease, and how long it surely lasts.

    It counts from when a renewal was asked for, since the service may have counted from then. A
    holder may be paused right after it looked, so nothing that must be safe rests on this alone.

    Parameters
    ----------
    length_s : int
        Its length in seconds.
    """

    def __init__(self, length_s: int) -> None:
        self.length_s = length_s
        self.number = 0
        self._since = -inf

    def on_granted(self, number: int, asked_at: float) -> None:
        """Take a new lease that was asked for at `asked_at`."""
        self.number = number
        self._since = asked_at

    def on_renewed(self, asked_at: float) -> None:
        """Take a renewal that was asked for at `asked_at`."""
        self._since = asked_at

    def on_lapsed(self) -> None:
        """Take the service's word that the lease is gone."""
        self.number = 0
        self._since = -inf

    def holds(self, now: float) -> bool:
        """Whether the lease can't have lapsed yet."""
        return now < self._since + self.length_s

    def due(self, now: float) -> bool:
        """Whether it should be renewed."""
        return now >= self._since + self.length_s * RENEW_AFTER_SHARE * 0.8

    def renew_in_s(self, now: float, rng: Random) -> float:
        """Return after how many seconds to renew, spread so that holders don't renew at once."""
        after_s = self.length_s * RENEW_AFTER_SHARE * rng.uniform(0.8, 1.1)
        return max(0.0, self._since + after_s - now)
