"""Which backend servers do badly beside the others of their service."""

from __future__ import annotations

from collections.abc import Sequence

from sycamorebay.state.backends import BackendState

FAILURES_IN_ROW = 3
LOST_RACES = 2
_MIN_FAILURE_SHARE = 0.4
_FAILURE_FACTOR = 2.0
_SLOW_FACTOR = 3.0
_DEVIATIONS = 8.0
_HEDGE_DEVIATIONS = 3.0
_SMOOTHING = 0.05


class AnswerTimes:
    """Usual time of a service's answers to short work, and how much it varies.

    A single answer moves the estimate by a bounded step, so that slow servers do not make
    slowness usual.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def on_answer(self, seconds: float) -> None:
        """Take the time of one answer."""
        if self.mean_s == 0.0:
            self.mean_s = seconds
            self.deviation_s = seconds / 2
            return
        bounded_s = min(seconds, _SLOW_FACTOR * self.mean_s)
        self.deviation_s += _SMOOTHING * (abs(bounded_s - self.mean_s) - self.deviation_s)
        self.mean_s += _SMOOTHING * (bounded_s - self.mean_s)

    def hedge_after_s(self) -> float:
        """Return the time after which few answers are still to come; infinite while none came."""
        if self.mean_s == 0.0:
            return float("inf")
        return self.mean_s + _HEDGE_DEVIATIONS * self.deviation_s

    def overdue_s(self) -> float:
        """Return the time from which an answer is an outlier; infinite while none came."""
        if self.mean_s == 0.0:
            return float("inf")
        return max(_SLOW_FACTOR * self.mean_s, self.mean_s + _DEVIATIONS * self.deviation_s)


class OutlierDetector:
    """Ejects outliers of one service, down to a floor."""

    def __init__(self) -> None:
        self.times = AnswerTimes()
        self._failure_share = 0.0

    def on_success(self, now: float, state: BackendState) -> None:
        """Take a long answer, or one that came in time."""
        self._failure_share -= _SMOOTHING * self._failure_share
        state.health.on_success(now)

    def on_failure(
        self, now: float, state: BackendState, peers: Sequence[BackendState], eject_share: float
    ) -> None:
        """Take a failure."""
        self._failure_share += _SMOOTHING * (1.0 - self._failure_share)
        health = state.health
        health.on_failure()
        stands_out = health.failure_share > _FAILURE_FACTOR * self._failure_share
        is_bad = health.failures_in_row >= FAILURES_IN_ROW
        if health.on_trial or (is_bad and stands_out and health.failure_share > _MIN_FAILURE_SHARE):
            self.eject(now, state, peers, eject_share)

    def on_lost_race(
        self, now: float, state: BackendState, peers: Sequence[BackendState], eject_share: float
    ) -> None:
        """Take a hedge that answered before the server, which was asked first."""
        health = state.health
        health.lost_races += 1
        if health.on_trial or health.lost_races >= LOST_RACES:
            self.eject(now, state, peers, eject_share)

    def eject(
        self, now: float, state: BackendState, peers: Sequence[BackendState], eject_share: float
    ) -> bool:
        """Eject a server unless it is out already or too many would be."""
        if state.health.is_ejected(now):
            return False
        out = sum(1 for peer in peers if peer.health.is_ejected(now))
        if out >= most_ejected(len(peers), eject_share):
            return False
        state.health.eject(now)
        state.restricted = True
        return True


def most_ejected(servers: int, eject_share: float) -> int:
    """Return how many servers of a service may be ejected at the same time."""
    if servers < 2 or eject_share <= 0:
        return 0
    return max(1, int(servers * eject_share))
