"""State of each backend server as one entry knows it."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import attrs

from sycamorebay.state.document import BackendServer, Document, Service
from sycamorebay.state.health import Health

LEAVING_HOLD_S = 10.0
_SMOOTHING_FACTOR = 0.1


@attrs.frozen
class LoadReport:
    """Load that a backend server reports.

    Attributes
    ----------
    in_flight : int
        Requests that the server processes.
    queued : int
        Requests in the server's queue.
    leaving : bool
        Whether the server is leaving: it ends its requests and should get no new ones.
    """

    in_flight: int
    queued: int = 0
    leaving: bool = False


@attrs.define(eq=False)
class BackendState:
    """State of one backend server as one entry knows it.

    All times are seconds on one clock that the caller chooses.

    Attributes
    ----------
    server : BackendServer
        Configuration of the server in the document.
    in_flight : int
        Requests that this entry has in flight at the server.
    long_in_flight : int
        Number of those that are long work.
    report : LoadReport or None
        Latest report; it may be stale.
    reported_at : float
        Time at which the latest report arrived.
    own_at_report : int
        Requests of this entry that were in flight when the latest report arrived.
    others_at_report : int
        All other requests in the latest report.
    own_slots : int
        Slots assigned to this entry.
    same_failure_domain : bool
        Whether the server is in this entry's failure domain.
    health : Health
        Failures, ejection and recovery.
    restricted : bool
        Whether `accepts_work` must be checked before the server gets a request.
    answer_time_s : float
        Smoothed answer time of short work in seconds; 0 before the first answer.
    leaving_announced_at : float
        Time at which the server last announced that it is leaving; minus infinity for never.
    leaving_notice_at : float
        Time at which a peer or the list of VMs last announced this; minus infinity for never.
    """

    server: BackendServer
    in_flight: int = 0
    long_in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    own_at_report: int = 0
    others_at_report: int = 0
    own_slots: int = 0
    same_failure_domain: bool = True
    answer_time_s: float = 0.0
    health: Health = attrs.field(factory=Health)
    restricted: bool = False
    leaving_announced_at: float = float("-inf")
    leaving_notice_at: float = float("-inf")

    def on_report(self, now: float, report: LoadReport, *, in_answer: bool = False) -> None:
        """Record a load report.

        Parameters
        ----------
        now : float
            Current time in seconds.
        report : LoadReport
            The report.
        in_answer : bool
            Whether the report came with an answer; the answered request is then not part of it.
        """
        self.report = report
        self.reported_at = now
        self.own_at_report = max(0, self.in_flight - in_answer)
        self.others_at_report = max(0, report.in_flight + report.queued - self.own_at_report)
        if report.leaving:
            self.leaving_announced_at = now
            self.restricted = True

    def on_leaving_notice(self, now: float) -> None:
        """Record that a peer or the list of VMs announced the server as leaving."""
        self.leaving_notice_at = now
        self.restricted = True

    def accepts_work(self, now: float, rng: Random) -> bool:
        """Return whether the server is a candidate for a new request.

        The result is random while the server ramps up after an ejection or as a new server. Once
        the ramp-up is complete, the server is no longer `restricted`.
        """
        health = self.health
        if self.is_leaving(now) or health.is_ejected(now):
            return False
        if health.on_trial:
            return self.in_flight == 0
        share = health.share(now)
        if share < 1.0:
            return rng.random() < share
        self.restricted = False
        return True

    def on_answer_time(self, seconds: float) -> None:
        """Update the smoothed answer time with one answer to short work, in seconds."""
        if self.answer_time_s == 0.0:
            self.answer_time_s = seconds
        self.answer_time_s += _SMOOTHING_FACTOR * (seconds - self.answer_time_s)

    def is_leaving(self, now: float) -> bool:
        """Return whether the server is leaving and gets no new requests.

        A notice from a peer or the list of VMs expires after `LEAVING_HOLD_S` seconds. After an
        announcement by the server itself, a later report must also show that it is not leaving.
        """
        if now - self.leaving_notice_at < LEAVING_HOLD_S:
            return True
        return self.announced_leaving(now)

    def announced_leaving(self, now: float) -> bool:
        """Return whether the server itself announced that it is leaving."""
        if now - self.leaving_announced_at < LEAVING_HOLD_S:
            return True
        return self.report is not None and self.report.leaving


class BackendTable:
    """The backend servers of a document, kept across its revisions."""

    def __init__(self) -> None:
        self._by_id: dict[str, BackendState] = {}
        self._by_service: dict[str, list[BackendState]] = {}

    def replace(self, now: float, document: Document) -> None:
        """Apply a new document.

        The state of a server with the same id and address is kept. Servers that are added to an
        earlier document ramp up from a small share of requests.
        """
        previous = self._by_id
        self._by_id = {}
        self._by_service = {}
        for service in document.services:
            servers = service.backend_servers
            states = [self._carry_over(now, previous, server) for server in servers]
            self._by_service[service.name] = states
            self._by_id.update((state.server.id, state) for state in states)

    @staticmethod
    def _carry_over(
        now: float, previous: dict[str, BackendState], server: BackendServer
    ) -> BackendState:
        state = previous.get(server.id)
        if state is None or state.server.address != server.address:
            ramp_started_at = now if previous else float("-inf")
            return BackendState(
                server, health=Health(ramp_started_at=ramp_started_at), restricted=bool(previous)
            )
        state.server = server
        return state

    def get(self, server_id: str) -> BackendState | None:
        """Return the state of a backend server, or None if it is not in the document."""
        return self._by_id.get(server_id)

    def of(self, service: Service) -> list[BackendState]:
        """Return the states of a service's backend servers."""
        return self._by_service.get(service.name, [])

    def __iter__(self) -> Iterator[BackendState]:
        return iter(self._by_id.values())
