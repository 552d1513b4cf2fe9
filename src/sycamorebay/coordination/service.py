"""Per-service state of an entry: limits, queues, retry budgets and slot shares."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import attrs

from sycamorebay.coordination.admit import AdmissionQueue
from sycamorebay.coordination.assignment import Entries, assigned_slots, long_slots
from sycamorebay.coordination.limit import AdaptiveLimit, Limit
from sycamorebay.coordination.outliers import OutlierDetector
from sycamorebay.coordination.retry import RetryBudget
from sycamorebay.state.backends import BackendState, BackendTable
from sycamorebay.state.document import Document, Service

LONG = "long"


@attrs.define(eq=False)
class WorkState:
    """One class of work of one service.

    Attributes
    ----------
    queue : AdmissionQueue
        Requests that wait for capacity.
    in_flight : int
        Attempts that hold a slot.
    """

    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)
    in_flight: int = 0


class ServiceState:
    """State of one service, kept across revisions of the document.

    Parameters
    ----------
    service : Service
        Configuration of the service in the document.

    Attributes
    ----------
    backends : list of BackendState
        Backend servers in the failure domains that the service allows.
    retries, hedges : RetryBudget
        Budgets for retries and for hedges.
    limit : Limit
        Limit on short requests in flight from this entry.
    short, long : WorkState
        Queues and in-flight counts of short and long work.
    own_long_slots : Counter of str
        Slots for long work assigned to this entry, by backend server id.
    outliers : OutlierDetector
        Ejects backend servers that fail or are slow.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.backends: list[BackendState] = []
        self.retries = RetryBudget(service.limits.retry_ratio)
        self.hedges = RetryBudget(service.limits.hedge_ratio)
        self.limit: Limit = AdaptiveLimit(self._slots(service))
        self.short = WorkState()
        self.long = WorkState()
        self.own_long_slots: Counter[str] = Counter()
        self.outliers = OutlierDetector()

    def replace(self, service: Service, backends: list[BackendState], entries: Entries) -> None:
        """Apply a new revision of the document or a new list of entries."""
        self.service = service
        self.backends = [state for state in backends if service.allows(state.server)]
        self.retries.ratio = service.limits.retry_ratio
        self.hedges.ratio = service.limits.hedge_ratio
        self.limit.resize(self._slots(service), len(entries))
        share = service.limits.long_share
        servers = [state.server for state in self.backends]
        own_slots = assigned_slots(servers, entries, lambda server: server.slots)
        for state in self.backends:
            state.own_slots = own_slots[state.server.id]
            state.same_failure_domain = state.server.failure_domain == entries.own.failure_domain
        self.own_long_slots = assigned_slots(
            servers, entries, lambda server: long_slots(server, share)
        )

    @staticmethod
    def _slots(service: Service) -> int:
        return sum(server.slots for server in service.backend_servers)

    def on_failed_request(self, now: float, state: BackendState) -> None:
        """Record a request that a backend server failed; may eject the server."""
        share = self.service.limits.eject_share
        self.outliers.on_failure(now, state, self.backends, share)

    def on_lost_hedge_race(self, now: float, state: BackendState) -> None:
        """Record a hedge that was answered before the first attempt at `state`; may eject it."""
        share = self.service.limits.eject_share
        self.outliers.on_lost_hedge_race(now, state, self.backends, share)

    def on_overdue(self, now: float, state: BackendState) -> None:
        """Eject a backend server whose answer takes far longer than usual, within the limit."""
        self.outliers.eject(now, state, self.backends, self.service.limits.eject_share)

    def has_long_slot(self, state: BackendState) -> bool:
        """Return whether this entry may send one more long request to a backend server."""
        return state.long_in_flight < self.own_long_slots[state.server.id]


class ServiceTable:
    """The services of a document, kept across its revisions."""

    def __init__(self) -> None:
        self._by_name: dict[str, ServiceState] = {}

    def replace(
        self, document: Document, backends: BackendTable, entries: Entries
    ) -> list[ServiceState]:
        """Apply a new document or a new list of entries.

        Returns
        -------
        list of ServiceState
            Services that the document no longer contains, without backend servers.
        """
        previous = self._by_name
        self._by_name = {}
        for service in document.services:
            state = previous.get(service.name) or ServiceState(service)
            state.replace(service, backends.of(service), entries)
            self._by_name[service.name] = state
        removed = [state for name, state in previous.items() if name not in self._by_name]
        for state in removed:
            state.backends = []
        return removed

    def __getitem__(self, name: str) -> ServiceState:
        return self._by_name[name]

    def __iter__(self) -> Iterator[ServiceState]:
        return iter(self._by_name.values())
