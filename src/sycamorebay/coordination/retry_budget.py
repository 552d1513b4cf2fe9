"""A service's budget for sending a request again, shared by all daemons without talking."""

from __future__ import annotations

from collections import deque

import attrs


@attrs.frozen
class RetryLimits:
    """What a fleet may repeat in any window.

    Attributes
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats on top, of the whole fleet.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


# Part of the budget that is used; the rest covers daemons whose share of the slack is unknown.
_USED_SHARE = 0.8


class WindowedRetryBudget:
    """One daemon's share of a service's budget over a sliding window."""

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Count a request's first send."""
        self._forget(now)
        self._requests.append(now)

    def take(self, now: float, daemons: int, share: float = 1.0) -> bool:
        """Take one repeat out of the budget; False where none is left.

        Parameters
        ----------
        now : float
            In seconds.
        daemons : int
            Daemons that share the slack.
        share : float
            Part of the budget that this kind of repeat may use up.
        """
        self._forget(now)
        limits = self._limits
        allowed = limits.ratio * len(self._requests) + limits.slack / max(1, daemons)
        if len(self._repeats) + 1 > _USED_SHARE * share * allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        since = now - self._limits.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= since:
                times.popleft()
