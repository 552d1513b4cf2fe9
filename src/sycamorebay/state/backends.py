"""What an entry knows of each backend server."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import attrs

from sycamorebay.state.document import BackendServer, Document, Service
from sycamorebay.state.health import Health

LEAVING_HOLD_S = 10.0
_SMOOTHING = 0.1


@attrs.frozen
class LoadReport:
    """A backend server's own word on its load.

    Attributes
    ----------
    in_flight : int
        Requests that it runs.
    queued : int
        Requests that wait in it.
    leaving : bool
        Whether it is draining.
    """

    in_flight: int
    queued: int = 0
    leaving: bool = False


@attrs.define(eq=False)
class BackendState:
    """State of one backend server as this entry sees it.

    Attributes
    ----------
    server : BackendServer
        Its entry in the document.
    in_flight : int
        This entry's own requests in flight there.
    long_in_flight : int
        Those of them that are long work.
    report : LoadReport or None
        Latest report, always stale.
    reported_at : float
        When the report came, in seconds.
    own_at_report, others_at_report : int
        This entry's own requests in flight when the report came, and the rest of the report.
    own_slots : int
        Slots dealt to this entry.
    near : bool
        Whether it is in this entry's failure domain.
    health : Health
        Failures, ejection and return.
    restricted : bool
        Whether `accepts_work` has to be asked.
    answer_s : float
        Smoothed time of an answer to short work, in seconds; 0 for none yet.
    left_at : float
        When it last said itself that it is leaving, in seconds; minus infinity for never.
    told_left_at : float
        When a peer or the list of VMs last said so.
    """

    server: BackendServer
    in_flight: int = 0
    long_in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    own_at_report: int = 0
    others_at_report: int = 0
    own_slots: int = 0
    near: bool = True
    answer_s: float = 0.0
    health: Health = attrs.field(factory=Health)
    restricted: bool = False
    left_at: float = float("-inf")
    told_left_at: float = float("-inf")

    def on_report(self, now: float, report: LoadReport, *, in_answer: bool = False) -> None:
        """Take a report; one in an answer does not count the request that it answers."""
        self.report = report
        self.reported_at = now
        self.own_at_report = max(0, self.in_flight - in_answer)
        self.others_at_report = max(0, report.in_flight + report.queued - self.own_at_report)
        if report.leaving:
            self.left_at = now
            self.restricted = True

    def on_leaving_notice(self, now: float) -> None:
        """Take another's word that it is leaving."""
        self.told_left_at = now
        self.restricted = True

    def accepts_work(self, now: float, rng: Random) -> bool:
        """Whether it is a candidate for new work now."""
        health = self.health
        if self.leaving(now) or health.is_ejected(now):
            return False
        if health.on_trial:
            return self.in_flight == 0
        share = health.share(now)
        if share < 1.0:
            return rng.random() < share
        self.restricted = False
        return True

    def on_answer_time(self, seconds: float) -> None:
        """Take the time of an answer to short work."""
        if self.answer_s == 0.0:
            self.answer_s = seconds
        self.answer_s += _SMOOTHING * (seconds - self.answer_s)

    def leaving(self, now: float) -> bool:
        """Whether it gets no new work.

        Its own word holds until it says otherwise `LEAVING_HOLD_S` later; another's lapses then.
        """
        if now - self.told_left_at < LEAVING_HOLD_S:
            return True
        return self.announced_leaving(now)

    def announced_leaving(self, now: float) -> bool:
        """Whether it said itself that it is leaving."""
        if now - self.left_at < LEAVING_HOLD_S:
            return True
        return self.report is not None and self.report.leaving


class BackendTable:
    """The backend servers of a document, kept across its revisions."""

    def __init__(self) -> None:
        self._by_id: dict[str, BackendState] = {}
        self._by_service: dict[str, list[BackendState]] = {}

    def replace(self, now: float, document: Document) -> None:
        """Take over a new document.

        What is known of a server that stays is kept; a server that comes later starts slowly.
        """
        known = self._by_id
        self._by_id = {}
        self._by_service = {}
        for service in document.services:
            servers = service.backend_servers
            states = [self._carry_over(now, known, server) for server in servers]
            self._by_service[service.name] = states
            self._by_id.update((state.server.id, state) for state in states)

    @staticmethod
    def _carry_over(
        now: float, known: dict[str, BackendState], server: BackendServer
    ) -> BackendState:
        state = known.get(server.id)
        if state is None or state.server.address != server.address:
            ramp_from = now if known else float("-inf")
            return BackendState(server, health=Health(ramp_from=ramp_from), restricted=bool(known))
        state.server = server
        return state

    def get(self, server_id: str) -> BackendState | None:
        """Return the state of a backend server, or None where it is not in the document."""
        return self._by_id.get(server_id)

    def of(self, service: Service) -> list[BackendState]:
        """Return the states of a service's backend servers."""
        return self._by_service.get(service.name, [])

    def __iter__(self) -> Iterator[BackendState]:
        return iter(self._by_id.values())
