"""Ejection of backend servers that fail, or are slow compared with others of their service."""

from __future__ import annotations

from collections.abc import Sequence

from sycamorebay.state.backends import BackendState

EJECT_AFTER_FAILURES = 3
EJECT_AFTER_LOST_RACES = 2
_MIN_FAILURE_SHARE = 0.4
_FAILURE_SHARE_FACTOR = 2.0
_SLOW_FACTOR = 3.0
_OVERDUE_DEVIATIONS = 8.0
_HEDGE_DEVIATIONS = 3.0
_SMOOTHING_FACTOR = 0.05


class AnswerTimes:
    """Smoothed mean and mean deviation of a service's answer times for short work.

    Each answer time is capped before it enters the estimate, so that a few slow servers do not
    raise the mean until they no longer stand out.

    Attributes
    ----------
    mean_s, deviation_s : float
        Smoothed mean and mean absolute deviation in seconds; 0 before the first answer.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def on_answer(self, seconds: float) -> None:
        """Update the estimate with one answer time in seconds."""
        if self.mean_s == 0.0:
            self.mean_s = seconds
            self.deviation_s = seconds / 2
            return
        capped_s = min(seconds, _SLOW_FACTOR * self.mean_s)
        self.deviation_s += _SMOOTHING_FACTOR * (abs(capped_s - self.mean_s) - self.deviation_s)
        self.mean_s += _SMOOTHING_FACTOR * (capped_s - self.mean_s)

    def hedge_after_s(self) -> float:
        """Return the hedge delay in seconds, after which few answers are still outstanding.

        The delay is infinite before the first answer.
        """
        if self.mean_s == 0.0:
            return float("inf")
        return self.mean_s + _HEDGE_DEVIATIONS * self.deviation_s

    def overdue_s(self) -> float:
        """Return the answer time in seconds above which a server is an outlier.

        The time is infinite before the first answer.
        """
        if self.mean_s == 0.0:
            return float("inf")
        return max(_SLOW_FACTOR * self.mean_s, self.mean_s + _OVERDUE_DEVIATIONS * self.deviation_s)


class OutlierDetector:
    """Ejects outliers of one service, up to a share of its backend servers.

    Attributes
    ----------
    times : AnswerTimes
        Answer times of the service.
    """

    def __init__(self) -> None:
        self.times = AnswerTimes()
        self._failure_share = 0.0

    def on_success(self, now: float, state: BackendState) -> None:
        """Record an answer that was not overdue, or an answer to long work."""
        self._failure_share -= _SMOOTHING_FACTOR * self._failure_share
        state.health.on_success(now)

    def on_failure(
        self, now: float, state: BackendState, peers: Sequence[BackendState], eject_share: float
    ) -> None:
        """Record a failed request and eject the server if it is an outlier.

        A server on trial is ejected at once. Any other server is ejected after several consecutive
        failures if its failure share is high and well above that of the service.
        """
        self._failure_share += _SMOOTHING_FACTOR * (1.0 - self._failure_share)
        health = state.health
        health.on_failure()
        is_outlier = health.failure_share > _FAILURE_SHARE_FACTOR * self._failure_share
        keeps_failing = health.consecutive_failures >= EJECT_AFTER_FAILURES
        if health.on_trial or (
            keeps_failing and is_outlier and health.failure_share > _MIN_FAILURE_SHARE
        ):
            self.eject(now, state, peers, eject_share)

    def on_lost_hedge_race(
        self, now: float, state: BackendState, peers: Sequence[BackendState], eject_share: float
    ) -> None:
        """Record a hedge that was answered before the first attempt at this server.

        The server is ejected after `EJECT_AFTER_LOST_RACES` such hedges, or at once on trial.
        """
        health = state.health
        health.lost_hedge_races += 1
        if health.on_trial or health.lost_hedge_races >= EJECT_AFTER_LOST_RACES:
            self.eject(now, state, peers, eject_share)

    def eject(
        self, now: float, state: BackendState, peers: Sequence[BackendState], eject_share: float
    ) -> bool:
        """Eject a server unless it is ejected already or the maximum is reached.

        Parameters
        ----------
        now : float
            Current time in seconds.
        state : BackendState
            The server.
        peers : sequence of BackendState
            All backend servers of the service, including this one.
        eject_share : float
            Maximum share of them that may be ejected.

        Returns
        -------
        bool
            Whether the server was ejected now.
        """
        if state.health.is_ejected(now):
            return False
        ejected = sum(1 for peer in peers if peer.health.is_ejected(now))
        if ejected >= max_ejected(len(peers), eject_share):
            return False
        state.health.eject(now)
        state.restricted = True
        return True


def max_ejected(servers: int, eject_share: float) -> int:
    """Return how many servers of a service may be ejected at the same time."""
    if servers < 2 or eject_share <= 0:
        return 0
    return max(1, int(servers * eject_share))
