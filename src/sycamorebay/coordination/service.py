"""What an entry keeps for each service: its limits, queues and budgets."""

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
        Requests that wait for room.
    in_flight : int
        Attempts in flight.
    """

    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)
    in_flight: int = 0


class ServiceState:
    """State of one service, kept across revisions of the document.

    Parameters
    ----------
    service : Service
        Its part of the document.
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
        """Take over a new revision or a new list of entries."""
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
            state.near = state.server.failure_domain == entries.own.failure_domain
        self.own_long_slots = assigned_slots(
            servers, entries, lambda server: long_slots(server, share)
        )

    @staticmethod
    def _slots(service: Service) -> int:
        return sum(server.slots for server in service.backend_servers)

    def on_bad(self, now: float, state: BackendState) -> None:
        """Take a request that a backend server failed."""
        share = self.service.limits.eject_share
        self.outliers.on_failure(now, state, self.backends, share)

    def on_lost_race(self, now: float, state: BackendState) -> None:
        """Take a hedge that answered before the backend server that was asked first."""
        share = self.service.limits.eject_share
        self.outliers.on_lost_race(now, state, self.backends, share)

    def on_overdue(self, now: float, state: BackendState) -> None:
        """Take a request that waits for its answer far longer than usual."""
        self.outliers.eject(now, state, self.backends, self.service.limits.eject_share)

    def has_long_slot(self, state: BackendState) -> bool:
        """Whether this entry may send one more long request to a backend server."""
        return state.long_in_flight < self.own_long_slots[state.server.id]


class ServiceTable:
    """The services of a document, kept across its revisions."""

    def __init__(self) -> None:
        self._by_name: dict[str, ServiceState] = {}

    def replace(
        self, document: Document, backends: BackendTable, entries: Entries
    ) -> list[ServiceState]:
        """Take over a new document or a new list of entries.

        Returns
        -------
        list of ServiceState
            Services that are no longer in the document, with no backend server left.
        """
        known = self._by_name
        self._by_name = {}
        for service in document.services:
            state = known.get(service.name) or ServiceState(service)
            state.replace(service, backends.of(service), entries)
            self._by_name[service.name] = state
        orphans = [state for name, state in known.items() if name not in self._by_name]
        for state in orphans:
            state.backends = []
        return orphans

    def __getitem__(self, name: str) -> ServiceState:
        return self._by_name[name]

    def __iter__(self) -> Iterator[ServiceState]:
        return iter(self._by_name.values())
