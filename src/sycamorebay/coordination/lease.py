"""Validity and renewal of a lease, from the holder's point of view."""

from __future__ import annotations

from math import inf
from random import Random

# Share of the lease's length, before jitter.
RENEW_AFTER_SHARE = 1 / 3


class Lease:
    """Lower bound of a lease's expiry, and the time of its renewal.

    The expiry is counted from the time of the renewal request, since the platform's service may
    count from any time after it. A holder may be paused right after a check, so safety must not
    depend on this check alone. All times are seconds on a clock that also advances while the
    process is paused.

    Parameters
    ----------
    length_s : int
        TTL of the lease in seconds.

    Attributes
    ----------
    id : int
        Id of the lease in the platform's service; 0 for none.
    """

    def __init__(self, length_s: int) -> None:
        self.length_s = length_s
        self.id = 0
        self._requested_at = -inf

    def on_granted(self, lease_id: int, requested_at: float) -> None:
        """Record a new lease that was requested at `requested_at`."""
        self.id = lease_id
        self._requested_at = requested_at

    def on_renewed(self, requested_at: float) -> None:
        """Record a renewal that was requested at `requested_at`."""
        self._requested_at = requested_at

    def on_expired(self) -> None:
        """Record that the platform's service reported the lease as expired."""
        self.id = 0
        self._requested_at = -inf

    def is_valid(self, now: float) -> bool:
        """Return whether the lease cannot have expired yet."""
        return now < self._requested_at + self.length_s

    def renewal_due(self, now: float) -> bool:
        """Return whether renewal is due, as the shortest interval of `renew_in_s` has passed."""
        return now >= self._requested_at + self.length_s * RENEW_AFTER_SHARE * 0.8

    def renew_in_s(self, now: float, rng: Random) -> float:
        """Return the seconds until the next renewal.

        The interval has jitter, so that holders do not renew at the same time.
        """
        interval_s = self.length_s * RENEW_AFTER_SHARE * rng.uniform(0.8, 1.1)
        return max(0.0, self._requested_at + interval_s - now)
