"""Sliding-window retry budget of a service, split among daemons without communication."""

from __future__ import annotations

from collections import deque

import attrs


@attrs.frozen
class RetryLimits:
    """Bounds on the retries of a whole fleet in any window.

    Attributes
    ----------
    ratio : float
        Retries per request.
    slack : float
        Additional retries per window for the whole fleet.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


# Share of the budget that is used; the rest is headroom for daemons that assume a different number
# of daemons, and thus a different share of the slack.
_USED_SHARE = 0.8


class WindowedRetryBudget:
    """One daemon's share of a service's retry budget over a sliding window.

    Parameters
    ----------
    limits : RetryLimits
        Bounds of the whole fleet.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def on_request(self, now: float) -> None:
        """Record the first send of a request at time `now`, in seconds."""
        self._drop_old(now)
        self._requests.append(now)

    def take(self, now: float, daemons: int, share: float = 1.0) -> bool:
        """Consume one retry of the budget; return False if the budget is used up.

        Parameters
        ----------
        now : float
            Current time in seconds.
        daemons : int
            Number of daemons that share the slack.
        share : float
            Share of the budget up to which this kind of retry is allowed.
        """
        self._drop_old(now)
        limits = self._limits
        allowed = limits.ratio * len(self._requests) + limits.slack / max(1, daemons)
        if len(self._retries) + 1 > _USED_SHARE * share * allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        window_start = now - self._limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start:
                times.popleft()
