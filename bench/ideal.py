"""The bound: one shared queue with exact knowledge, for the same arrivals and work."""

from __future__ import annotations

import heapq
from collections.abc import Iterable


def shared_queue(jobs: Iterable[tuple[float, float]], slots: int) -> list[float]:
    """Return the time in the system of each job, in the order of arrival.

    Parameters
    ----------
    jobs : iterable of (float, float)
        Arrival and work in seconds, by arrival.
    slots : int
        Slots that serve the queue.
    """
    free = [0.0] * slots
    times = []
    for arrived, work_s in jobs:
        start = max(arrived, heapq.heappop(free))
        heapq.heappush(free, start + work_s)
        times.append(start + work_s - arrived)
    return times
