"""Admission control: a short queue that refuses requests which would miss their deadline."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

import attrs

MAX_RETRY_AFTER_S = 30
_SMOOTHING_FACTOR = 0.1
_HEADROOM_FACTOR = 2.0


class ThroughputEstimate:
    """Smoothed processing time of requests and smoothed interval between their ends.

    Attributes
    ----------
    request_s : float
        Processing time in seconds; 0 before the first request has ended.
    """

    def __init__(self) -> None:
        self.request_s = 0.0
        self._interval_s = 0.0
        self._last_end_at = float("-inf")

    def on_end(self, now: float, request_s: float) -> None:
        """Update the estimates with the end of a served request.

        Parameters
        ----------
        now : float
            Time of the end in seconds.
        request_s : float
            Processing time of the request in seconds.
        """
        if self.request_s == 0.0:
            self.request_s = request_s
        self.request_s += _SMOOTHING_FACTOR * (request_s - self.request_s)
        # The interval is capped, so that idle time does not look like low throughput.
        interval_s = min(now - self._last_end_at, max(request_s, self.request_s))
        self._interval_s += _SMOOTHING_FACTOR * (interval_s - self._interval_s)
        self._last_end_at = now

    def backlog_s(self, ahead: int) -> float:
        """Return the expected seconds until `ahead` requests have ended."""
        return ahead * self._interval_s

    def reserved_s(self) -> float:
        """Return the seconds to reserve for a request once it is sent, with headroom."""
        return _HEADROOM_FACTOR * self.request_s


@attrs.frozen
class QueuedRequest:
    """A request in the queue; `until` is the latest time in seconds at which to send it."""

    request_id: int
    until: float


class AdmissionQueue:
    """FIFO queue of the requests of one service and class of work that wait for capacity.

    Attributes
    ----------
    throughput : ThroughputEstimate
        Estimate that waiting times are computed from.
    """

    def __init__(self) -> None:
        self.throughput = ThroughputEstimate()
        self._by_request: OrderedDict[int, QueuedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_request)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._by_request.values())

    def latest_start(self, deadline: float) -> float:
        """Return the latest time in seconds at which a request with this deadline may start."""
        return deadline - self.throughput.reserved_s()

    def admits(self, now: float, deadline: float, max_length: int) -> bool:
        """Return whether a request added now is expected to be sent in time.

        Parameters
        ----------
        now, deadline : float
            Current time and deadline of the request in seconds.
        max_length : int
            Maximum length of the queue.
        """
        ahead = len(self._by_request) + 1
        in_time = now + self.throughput.backlog_s(ahead) <= self.latest_start(deadline)
        return ahead <= max_length and in_time

    def add(self, request_id: int, until: float) -> QueuedRequest:
        """Append a request that must be sent by `until`, in seconds."""
        queued = QueuedRequest(request_id, until)
        self._by_request[request_id] = queued
        return queued

    def remove(self, request_id: int) -> bool:
        """Remove a request; return False if it is not in the queue."""
        return self._by_request.pop(request_id, None) is not None

    def first(self) -> QueuedRequest | None:
        """Return the oldest request, or None if the queue is empty."""
        return next(iter(self._by_request.values()), None)

    def retry_after_s(self, in_flight: int) -> int:
        """Return the whole seconds until the current backlog is processed.

        The result is at least 1 and at most `MAX_RETRY_AFTER_S`.
        """
        backlog_s = self.throughput.backlog_s(len(self._by_request) + in_flight)
        return min(MAX_RETRY_AFTER_S, max(1, math.ceil(backlog_s)))
