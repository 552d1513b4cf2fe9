"""Health of one backend server: failures, ejection and recovery."""

from __future__ import annotations

import attrs

FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
RAMP_S = 5.0
MIN_RAMP_SHARE = 0.1
_EJECTION_RESET_S = 60.0
_SMOOTHING_FACTOR = 0.2


@attrs.define(eq=False)
class Health:
    """Failures, ejection and recovery of one backend server.

    All times are seconds on one clock that the caller chooses.

    Attributes
    ----------
    failure_share : float
        Smoothed share of failed requests, from 0 to 1.
    consecutive_failures : int
        Failures since the last success.
    lost_hedge_races : int
        Hedges that were answered before the attempt at this server, since its last success.
    ejected_until : float
        End of the ejection.
    on_trial : bool
        Whether the server must still serve one request after its ejection.
    ramp_started_at : float
        Time at which the server began to ramp up.
    """

    failure_share: float = 0.0
    consecutive_failures: int = 0
    lost_hedge_races: int = 0
    ejected_until: float = float("-inf")
    on_trial: bool = False
    ramp_started_at: float = float("-inf")
    _ejections: int = 0

    def on_success(self, now: float) -> None:
        """Record a request that was served in time.

        The first success after an ejection ends the trial and starts the ramp-up.
        """
        self.failure_share -= _SMOOTHING_FACTOR * self.failure_share
        self.consecutive_failures = 0
        self.lost_hedge_races = 0
        if self.on_trial and now >= self.ejected_until:
            self.on_trial = False
            self.ramp_started_at = now

    def on_failure(self) -> None:
        """Record a failed request."""
        self.failure_share += _SMOOTHING_FACTOR * (1.0 - self.failure_share)
        self.consecutive_failures += 1

    def eject(self, now: float) -> None:
        """Eject the server; each repeated ejection lasts twice as long, up to `MAX_EJECTION_S`.

        The duration starts over if the last ejection ended more than `_EJECTION_RESET_S` ago.
        """
        if now - self.ejected_until > _EJECTION_RESET_S:
            self._ejections = 0
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until = now + ejection_s
        self.on_trial = True

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected and gets no new requests."""
        return now < self.ejected_until

    def share(self, now: float) -> float:
        """Return the share of its normal requests that the server gets during ramp-up, up to 1."""
        return min(1.0, max(MIN_RAMP_SHARE, (now - self.ramp_started_at) / RAMP_S))
