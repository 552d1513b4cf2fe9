"""Lower bound of the latency: one shared queue that knows exactly when each slot is free."""

from __future__ import annotations

import heapq
from collections.abc import Iterable


def shared_queue(jobs: Iterable[tuple[float, float]], slots: int) -> list[float]:
    """Return the sojourn time of each job in one first-come, first-served queue.

    Parameters
    ----------
    jobs : iterable of (float, float)
        Arrival time and work of each job in seconds, in the order of arrival.
    slots : int
        Number of slots that serve the queue.

    Returns
    -------
    list of float
        Time from arrival to completion of each job in seconds, in the order of arrival.
    """
    free_at = [0.0] * slots
    sojourn_times_s = []
    for arrived_at, work_s in jobs:
        started_at = max(arrived_at, heapq.heappop(free_at))
        heapq.heappush(free_at, started_at + work_s)
        sojourn_times_s.append(started_at + work_s - arrived_at)
    return sojourn_times_s
