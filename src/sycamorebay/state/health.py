"""Health of one backend server as this entry judges it."""

from __future__ import annotations

import attrs

FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
RAMP_S = 5.0
MIN_RAMP_SHARE = 0.1
_FORGIVEN_AFTER_S = 60.0
_SMOOTHING = 0.2


@attrs.define(eq=False)
class Health:
    """Failures, ejection and return of one backend server.

    Attributes
    ----------
    failure_share : float
        Smoothed share of failures among its results.
    failures_in_row : int
        Failures since the last success.
    lost_races : int
        Hedges that answered before it since its last success.
    ejected_until : float
        End of the ejection, in seconds.
    on_trial : bool
        Whether it has yet to serve one request after its ejection.
    ramp_from : float
        When its share of new work began to rise.
    """

    failure_share: float = 0.0
    failures_in_row: int = 0
    lost_races: int = 0
    ejected_until: float = float("-inf")
    on_trial: bool = False
    ramp_from: float = float("-inf")
    _ejections: int = 0

    def on_success(self, now: float) -> None:
        """Take a request that was served in time."""
        self.failure_share -= _SMOOTHING * self.failure_share
        self.failures_in_row = 0
        self.lost_races = 0
        if self.on_trial and now >= self.ejected_until:
            self.on_trial = False
            self.ramp_from = now

    def on_failure(self) -> None:
        """Take a request that failed."""
        self.failure_share += _SMOOTHING * (1.0 - self.failure_share)
        self.failures_in_row += 1

    def eject(self, now: float) -> None:
        """Keep new work away, each time for longer."""
        if now - self.ejected_until > _FORGIVEN_AFTER_S:
            self._ejections = 0
        seconds = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until = now + seconds
        self.on_trial = True

    def is_ejected(self, now: float) -> bool:
        """Whether it gets no new work."""
        return now < self.ejected_until

    def share(self, now: float) -> float:
        """Return the share of its usual work that it gets while it comes back."""
        return min(1.0, max(MIN_RAMP_SHARE, (now - self.ramp_from) / RAMP_S))
