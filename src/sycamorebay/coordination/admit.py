"""Admission: a short queue that knows deadlines, then an honest refusal."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

import attrs

MAX_RETRY_AFTER_S = 30
_SMOOTHING = 0.1
_NEEDED_FACTOR = 2.0


class ThroughputEstimate:
    """Smoothed time of one request, and smoothed time between two ends, in seconds."""

    def __init__(self) -> None:
        self.request_s = 0.0
        self._between_s = 0.0
        self._ended_at = float("-inf")

    def on_end(self, now: float, request_s: float) -> None:
        """Take the end of a request that was served."""
        if self.request_s == 0.0:
            self.request_s = request_s
        self.request_s += _SMOOTHING * (request_s - self.request_s)
        between_s = min(now - self._ended_at, max(request_s, self.request_s))
        self._between_s += _SMOOTHING * (between_s - self._between_s)
        self._ended_at = now

    def backlog_s(self, ahead: int) -> float:
        """Return how long it takes until `ahead` requests have ended."""
        return ahead * self._between_s

    def needed_s(self) -> float:
        """Return the time that a request needs once it is sent."""
        return _NEEDED_FACTOR * self.request_s


@attrs.frozen
class QueuedRequest:
    """A request in the queue; `until` is the last moment at which sending it makes sense."""

    request_id: int
    until: float


class AdmissionQueue:
    """The requests of one service and class of work that wait for room, oldest first."""

    def __init__(self) -> None:
        self.throughput = ThroughputEstimate()
        self._by_request: OrderedDict[int, QueuedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_request)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._by_request.values())

    def latest_start(self, deadline: float) -> float:
        """Return until when a request with this deadline may wait."""
        return deadline - self.throughput.needed_s()

    def admits(self, now: float, deadline: float, longest: int) -> bool:
        """Whether a request that waits now would be sent in time.

        Parameters
        ----------
        now, deadline : float
            In seconds.
        longest : int
            Requests that may wait.
        """
        ahead = len(self._by_request) + 1
        in_time = now + self.throughput.backlog_s(ahead) <= self.latest_start(deadline)
        return ahead <= longest and in_time

    def add(self, request_id: int, until: float) -> QueuedRequest:
        """Add a request at the end."""
        queued = QueuedRequest(request_id, until)
        self._by_request[request_id] = queued
        return queued

    def remove(self, request_id: int) -> bool:
        """Remove a request; False where it does not wait."""
        return self._by_request.pop(request_id, None) is not None

    def first(self) -> QueuedRequest | None:
        """Return the request that waits longest, or None."""
        return next(iter(self._by_request.values()), None)

    def retry_after_s(self, in_flight: int) -> int:
        """Return in how many whole seconds the present backlog will be done."""
        backlog_s = self.throughput.backlog_s(len(self._by_request) + in_flight)
        return min(MAX_RETRY_AFTER_S, max(1, math.ceil(backlog_s)))
