"""Estimates of the work of one request of each route, learnt from answers."""

from __future__ import annotations

import attrs

# Processing time assumed for a route without any answer yet.
DEFAULT_PROCESSING_S = 0.1
_SMOOTHING_FACTOR = 0.05
# A longer time counts as this many typical ones.
MAX_TYPICAL_FACTOR = 2.0


@attrs.define
class WorkEstimate:
    """Smoothed cost of one request of a route.

    Attributes
    ----------
    seconds : float
        Processing time in seconds on a server without slowdown.
    typical_s : float
        The same, less affected by the few requests that take many times as long as the others.
    body_bytes : float
        Size of the bodies of request and answer in bytes.
    """

    seconds: float = DEFAULT_PROCESSING_S
    body_bytes: float = 0.0
    typical_s: float = DEFAULT_PROCESSING_S


_DEFAULT_WORK = WorkEstimate()


class WorkTable:
    """Estimated work of each route, smoothed over the answers of backend servers."""

    def __init__(self) -> None:
        self._by_route: dict[str, WorkEstimate] = {}

    def on_answer(self, route: str, seconds: float, slowdown: float, body_bytes: int = 0) -> None:
        """Update the estimate of a route with one answer.

        Parameters
        ----------
        route : str
            Name of the route.
        seconds : float
            Time to the answer in seconds.
        slowdown : float
            Slowdown of the backend server; values below 1 count as 1.
        body_bytes : int
            Size of the bodies of request and answer in bytes.
        """
        processing_s = seconds / max(1.0, slowdown)
        work = self._by_route.get(route)
        if work is None:
            self._by_route[route] = WorkEstimate(processing_s, body_bytes, processing_s)
            return
        usual_s = min(processing_s, MAX_TYPICAL_FACTOR * work.typical_s)
        work.typical_s += _SMOOTHING_FACTOR * (usual_s - work.typical_s)
        work.seconds += _SMOOTHING_FACTOR * (processing_s - work.seconds)
        work.body_bytes += _SMOOTHING_FACTOR * (body_bytes - work.body_bytes)

    def get(self, route: str) -> WorkEstimate:
        """Return the estimate for the next request of a route, or the default without answers."""
        return self._by_route.get(route, _DEFAULT_WORK)
