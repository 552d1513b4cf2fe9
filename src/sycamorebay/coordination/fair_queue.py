"""The queue of one service, in which client accounts share the servers by work.

Within a priority, the accounts are scheduled by start-time fair queueing: a request's tag is the
virtual time at which its account has used up the work of its earlier requests, divided by the
account's weight. The lowest tag goes first. Without accounts, the order is that of arrival. See
docs/design/fair-turns.md.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from sycamorebay.coordination.placement import PlacementRequest

# Share of the queue that one account may take while requests of others wait.
MAX_ACCOUNT_SHARE = 0.5
# An account with fewer waiting requests is not refused for its share of a short queue.
MIN_ACCOUNT_REQUESTS = 4
# A smaller weight would put off an account's second request without end.
MIN_WEIGHT = 0.01


class FairQueue:
    """Waiting requests, the most urgent first and fair between accounts within a priority."""

    def __init__(self) -> None:
        self._requests: list[PlacementRequest] = []
        self._virtual_time_by_priority: dict[int, float] = {}
        self._finish_by_flow: dict[tuple[int, str], float] = {}
        self._started_finish_by_flow: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[PlacementRequest]:
        """Return the waiting requests in their order."""
        return iter(self._requests)

    @property
    def is_shared(self) -> bool:
        """Whether requests of accounts wait, so that the order is the fair one."""
        return any(request.account for request in self._requests)

    def ahead_of(self, request: PlacementRequest) -> int:
        """Return how many waiting requests go before a request that is not queued yet."""
        if not request.account and not self.is_shared:
            return sum(1 for other in self._requests if other.priority <= request.priority)
        key = _fair_key(request, self._tag(request))
        return sum(1 for other in self._requests if _fair_key(other, other.fair_tag) < key)

    def exceeds_share(self, request: PlacementRequest) -> bool:
        """Return whether a request's account already has the largest share that it may have."""
        if not request.account:
            return False
        own = sum(1 for other in self._requests if other.account == request.account)
        if own == len(self._requests):
            return False
        return own >= max(MIN_ACCOUNT_REQUESTS, MAX_ACCOUNT_SHARE * len(self._requests))

    def is_over_share(self, request: PlacementRequest) -> bool:
        """Return whether a request's account waits with more than its weight's share."""
        counts = Counter(other.account for other in self._requests)
        weights = {other.account: other.weight for other in self._requests}
        share = request.weight / max(request.weight, sum(weights.values()))
        return counts[request.account] > share * len(self._requests)

    def push(self, request: PlacementRequest, work_s: float) -> None:
        """Queue a request.

        Parameters
        ----------
        request : PlacementRequest
            The request; one that was queued before keeps its place.
        work_s : float
            Expected processing time in seconds.
        """
        if request.fair_tag is None:
            request.fair_tag = self._tag(request)
            request.fair_finish = request.fair_tag + work_s / max(MIN_WEIGHT, request.weight)
            self._finish_by_flow[_flow(request)] = request.fair_finish
        self._requests.append(request)
        if self.is_shared:
            self._requests.sort(key=lambda one: _fair_key(one, one.fair_tag))
        else:
            self._requests.sort(key=lambda one: (one.priority, one.id))

    def on_start(self, request: PlacementRequest) -> None:
        """Advance the virtual time to a request that was placed."""
        known = self._virtual_time_by_priority.get(request.priority, 0.0)
        self._virtual_time_by_priority[request.priority] = max(known, request.fair_tag or 0.0)
        started = self._started_finish_by_flow.get(_flow(request), 0.0)
        self._started_finish_by_flow[_flow(request)] = max(started, request.fair_finish)

    def replace(self, remaining: Iterable[PlacementRequest]) -> None:
        """Keep only these of the waiting requests, in this order.

        Accounts are not charged for the work of the others that were not placed.
        """
        before = len(self._requests)
        self._requests = list(remaining)
        if not self._finish_by_flow:
            return
        if self._requests:
            if len(self._requests) < before:
                self._charge_only_waiting_and_started()
            return
        # All accounts start a new busy period alike.
        for (priority, _), finish in self._finish_by_flow.items():
            known = self._virtual_time_by_priority.get(priority, 0.0)
            self._virtual_time_by_priority[priority] = max(known, finish)
        self._finish_by_flow.clear()
        self._started_finish_by_flow.clear()

    def _charge_only_waiting_and_started(self) -> None:
        finish_by_flow = dict(self._started_finish_by_flow)
        for request in self._requests:
            known = finish_by_flow.get(_flow(request), 0.0)
            finish_by_flow[_flow(request)] = max(known, request.fair_finish)
        self._finish_by_flow = finish_by_flow

    def _tag(self, request: PlacementRequest) -> float:
        if request.fair_tag is not None:
            return request.fair_tag
        virtual_time = self._virtual_time_by_priority.get(request.priority, 0.0)
        finish = self._finish_by_flow.get(_flow(request), 0.0)
        return max(virtual_time, finish)


def _flow(request: PlacementRequest) -> tuple[int, str]:
    """Return what a request shares its turns with: the others of its account and priority."""
    return request.priority, request.account


def _fair_key(request: PlacementRequest, tag: float | None) -> tuple[int, float, int]:
    return request.priority, tag or 0.0, request.id
