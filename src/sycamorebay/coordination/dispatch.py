"""Decisions on each request of the entry: route, admit, choose, send, deliver, retry, refuse."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from itertools import count
from random import Random

from sycamorebay.coordination.assignment import Entries, Entry
from sycamorebay.coordination.attempt_monitor import AttemptMonitor
from sycamorebay.coordination.attempts import Attempt, PendingRequest
from sycamorebay.coordination.choose import Chooser, OwnSlotsFirst
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.messages import (
    Action,
    Answer,
    Cancel,
    Deliver,
    Enqueue,
    Failure,
    Refuse,
    Request,
    Send,
)
from sycamorebay.coordination.probe import Prober
from sycamorebay.coordination.service import ServiceState, ServiceTable
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.state.backends import BackendState, BackendTable, LoadReport
from sycamorebay.state.document import Document

MAX_ATTEMPTS = 3
PLACE_STEP = "place"


def _serve_always() -> str:
    return ""


class Dispatcher:
    """Routes, admits, sends, retries and hedges the requests of one entry.

    Every event handler takes the current time in seconds on one clock that the caller chooses, and
    returns the actions to carry out. If the event belongs to a request, the first action is for
    that request; the others are for requests that waited.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    chooser : Chooser, optional
        Policy that chooses a backend server; `OwnSlotsFirst` by default.
    invariants : Invariants, optional
        Counter of invariant violations.

    Attributes
    ----------
    backends : BackendTable
        State of every backend server in the document.
    services : ServiceTable
        State of every service in the document.
    document : Document or None
        Document in force.
    refusal_reason : callable
        Returns why no request may be served now, or an empty string; set by the owner.
    prober : Prober
        Selects the backend servers to probe.
    """

    def __init__(
        self, rng: Random, chooser: Chooser | None = None, invariants: Invariants | None = None
    ) -> None:
        self._rng = rng
        self._chooser = chooser or OwnSlotsFirst()
        self.invariants = invariants or Invariants()
        self.backends = BackendTable()
        self.services = ServiceTable()
        self.document: Document | None = None
        self.refusal_reason: Callable[[], str] = _serve_always
        self._entries = Entries()
        self._by_request: dict[int, PendingRequest] = {}
        self._by_attempt: dict[int, Attempt] = {}
        self._timers: list[tuple[float, int]] = []
        self._attempt_ids = count(1)
        self._attempt_monitor = AttemptMonitor()
        self.prober = Prober(self.invariants)

    def on_document(self, now: float, document: Document) -> list[Action]:
        """Put a document in force for all later requests.

        Requests that wait for a service which the document no longer contains are refused.
        """
        self.document = document
        self.backends.replace(now, document)
        removed = self.services.replace(document, self.backends, self._entries)
        allowed = [state for service in self.services for state in service.backends]
        self.prober.on_document(now, document.measuring, allowed)
        return [
            action
            for state in (*removed, *self.services)
            for action in self._dispatch_queue(now, state)
        ]

    def on_entries(self, now: float, own: Entry, entries: Sequence[Entry]) -> list[Action]:
        """Replace the list of live entries, which share the slots of the backend servers."""
        updated = Entries.of(own, entries)
        if updated == self._entries:
            return []
        self._entries = updated
        return [] if self.document is None else self.on_document(now, self.document)

    def on_request(self, now: float, request: Request) -> list[Action]:
        """Route a caller's request, then send it, queue it or refuse it."""
        if refusal_reason := self.refusal_reason():
            return [self._refuse(request.id, "configuration", "", refusal_reason)]
        if self.document is None:
            return [self._refuse(request.id, "configuration", "", "no configuration is in force")]
        service = self.document.service_for(request.host)
        if service is None:
            return [self._refuse(request.id, "route", "", "no service has this host", 404)]
        route = service.route_for(request.method, request.path)
        if route is None:
            return [self._refuse(request.id, "route", service.name, "no route matches", 404)]
        allowed_s = route.deadline_ms / 1000
        if request.deadline_s is not None:
            allowed_s = min(allowed_s, request.deadline_s)
        if allowed_s <= 0:
            return [self._refuse(request.id, "deadline", service.name, "no time is left", 504)]
        state = self.services[service.name]
        pending = PendingRequest(request, state, route, now + allowed_s)
        self._by_request[request.id] = pending
        return [self._admit(now, pending)]

    def on_answer(self, now: float, attempt_id: int, answer: Answer) -> list[Action]:
        """Deliver an answer whose head has arrived, or retry a request that was shed.

        The slot of a delivered answer is held until `on_end`.
        """
        attempt = self._by_attempt.get(attempt_id)
        if attempt is None:
            return []
        state = attempt.backend
        if answer.report is not None:
            state.on_report(now, answer.report, in_answer=True)
            if answer.report.leaving:
                self.prober.prioritize(state)
        pending = attempt.pending
        self._attempt_monitor.on_answer(now, attempt, answer)
        if not answer.shed:
            return self._deliver(now, attempt)
        self._release(attempt)
        refusal = NotRun("backend", state.server.id, "the backend server shed the request")
        return [self._retry(now, pending, refusal), *self._dispatch_queue(now, pending.service)]

    def _deliver(self, now: float, attempt: Attempt) -> list[Action]:
        pending = attempt.pending
        self._complete(pending)
        deliver = Deliver(pending.request.id, attempt.id)
        if len(pending.in_flight) == 1:
            return [deliver]
        for other in pending.in_flight.values():
            if other.id < attempt.id:
                pending.service.on_lost_hedge_race(now, other.backend)
        cancels = self._cancel(pending, keep_attempt_id=attempt.id)
        return [deliver, *cancels, *self._dispatch_queue(now, pending.service)]

    def on_failure(self, now: float, attempt_id: int, failure: Failure) -> list[Action]:
        """Retry or refuse a request whose attempt ended without an answer."""
        attempt = self._by_attempt.get(attempt_id)
        if attempt is None:
            return []
        self._release(attempt)
        pending = attempt.pending
        if failure.step != PLACE_STEP:
            pending.service.on_failed_request(now, attempt.backend)
        action = self._after_failure(now, pending, attempt.backend.server.id, failure)
        return [action, *self._dispatch_queue(now, pending.service)]

    def _after_failure(
        self, now: float, pending: PendingRequest, peer: str, failure: Failure
    ) -> Action:
        if not failure.written:
            return self._retry(
                now, pending, NotRun(failure.step, peer, failure.reason), body_unsent=True
            )
        pending.may_have_run = True
        refusal = Unknown(failure.step, peer, failure.reason)
        if pending.route.idempotent:
            return self._retry(now, pending, refusal)
        return self._give_up(pending, refusal)

    def on_end(self, now: float, attempt_id: int) -> list[Action]:
        """Free the slot of a delivered answer that has ended, complete or truncated."""
        attempt = self._by_attempt.get(attempt_id)
        if attempt is None:
            return []
        self._release(attempt)
        pending = attempt.pending
        if attempt.served:
            pending.work.queue.throughput.on_end(now, now - attempt.sent_at)
        return self._dispatch_queue(now, pending.service)

    def on_caller_gone(self, now: float, request_id: int) -> list[Action]:
        """Cancel the attempts of a request whose caller closed its connection."""
        pending = self._by_request.get(request_id)
        if pending is None:
            pending = self._delivering(request_id)
        if pending is None:
            return []
        if not pending.answered:
            self._complete(pending)
        return [*self._cancel(pending), *self._dispatch_queue(now, pending.service)]

    def _cancel(self, pending: PendingRequest, keep_attempt_id: int | None = None) -> list[Action]:
        attempts = [
            attempt for attempt in pending.in_flight.values() if attempt.id != keep_attempt_id
        ]
        for attempt in attempts:
            self._release(attempt)
        return [Cancel(pending.request.id, attempt.id) for attempt in attempts]

    def _delivering(self, request_id: int) -> PendingRequest | None:
        for attempt in self._by_attempt.values():
            if attempt.pending.request.id == request_id:
                return attempt.pending
        return None

    def on_report(self, now: float, server_id: str, report: LoadReport) -> list[Action]:
        """Record a load report from a backend server; unknown servers are ignored."""
        state = self.backends.get(server_id)
        if state is not None:
            state.on_report(now, report)
            if report.leaving:
                self.prober.prioritize(state)
        return []

    def failure_domains(self, host: str) -> tuple[str, ...]:
        """Return the failure domains that may serve a host and hold its records.

        The result is empty for an unknown host.
        """
        service = self.document.service_for(host) if self.document is not None else None
        return service.failure_domains if service is not None else ()

    def on_probe_answer(
        self, now: float, server_id: str, report: LoadReport | None
    ) -> list[Action]:
        """Record the end of a probe and the load report in its answer, if any."""
        self.prober.on_done(server_id)
        return [] if report is None else self.on_report(now, server_id, report)

    def on_probe_failure(self, now: float, server_id: str) -> list[Action]:
        """Record the end of a probe without an answer."""
        self.prober.on_done(server_id)
        return []

    def on_leaving(self, now: float, server_id: str) -> list[Action]:
        """Record that a peer or the list of VMs announced a backend server as leaving."""
        state = self.backends.get(server_id)
        if state is not None:
            state.on_leaving_notice(now)
            self.prober.prioritize(state)
        return []

    def leaving(self, now: float) -> list[str]:
        """Return the ids of backend servers that announced to this entry that they are leaving.

        Servers known as leaving only from peers are excluded. Otherwise entries would keep
        repeating each other's notices and a notice would never expire.
        """
        return [state.server.id for state in self.backends if state.announced_leaving(now)]

    def next_timer(self) -> float | None:
        """Return when to call `on_timer` next, in seconds, or None if no timer is set."""
        earliest = self._timers[0][0] if self._timers else None
        if not self._by_attempt and not self._by_request:
            return earliest
        check_at = self._attempt_monitor.next_check
        return check_at if earliest is None else min(earliest, check_at)

    def on_timer(self, now: float) -> list[Action]:
        """Run due timers.

        Waiting requests that can no longer be served in time are refused, slow attempts are
        hedged, and waiting requests are sent where capacity is free.
        """
        if now >= self._attempt_monitor.next_check:
            self._attempt_monitor.check(now, self._by_attempt.values())
        actions: list[Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, request_id = heapq.heappop(self._timers)
            pending = self._by_request.get(request_id)
            if pending is None:
                continue
            if pending.in_flight:
                actions += self._hedge(now, pending)
            elif pending.work.queue.remove(request_id):
                actions.append(self._give_up(pending, self._queue_refusal(pending)))
        for state in self.services:
            actions += self._dispatch_queue(now, state)
        return actions

    @property
    def in_flight(self) -> int:
        """Number of attempts that hold a slot."""
        return len(self._by_attempt)

    def is_idle(self) -> bool:
        """Return whether no request is in flight or waiting."""
        held_slots = sum(state.in_flight for state in self.backends)
        return not (held_slots or self._by_request or self._by_attempt)

    def may_send(self, attempt_id: int) -> bool:
        """Return whether an attempt may still be sent; call it before writing the first byte.

        The document in force may have changed since the backend server was chosen.
        """
        attempt = self._by_attempt.get(attempt_id)
        if attempt is None or self.document is None or self.refusal_reason():
            return False
        server = attempt.backend.server
        service = self.document.service_for(attempt.pending.request.host)
        return service is not None and service.allows(server)

    def _admit(self, now: float, pending: PendingRequest) -> Action:
        usable = self._usable(now, pending)
        if not usable:
            return self._give_up(pending, self._no_allowed_server(pending))
        queue = pending.work.queue
        candidates = [] if len(queue) else self._with_capacity(pending, usable)
        if candidates:
            return self._send(now, pending, candidates)
        if not queue.admits(now, pending.deadline, pending.service.service.limits.queue_length):
            return self._give_up(pending, self._queue_refusal(pending))
        until = queue.latest_start(pending.deadline)
        queue.add(pending.request.id, until)
        heapq.heappush(self._timers, (until, pending.request.id))
        return Enqueue(pending.request.id, until)

    def _dispatch_queue(self, now: float, state: ServiceState) -> list[Action]:
        """Send waiting requests while capacity is free, and refuse those that waited too long."""
        actions: list[Action] = []
        for work in (state.short, state.long):
            while (queued := work.queue.first()) is not None:
                pending = self._by_request[queued.request_id]
                usable = self._usable(now, pending)
                candidates = self._with_capacity(pending, usable)
                if usable and not candidates:
                    break
                work.queue.remove(queued.request_id)
                if not usable:
                    actions.append(self._give_up(pending, self._no_allowed_server(pending)))
                elif now > queued.until:
                    actions.append(self._give_up(pending, self._queue_refusal(pending)))
                else:
                    actions.append(self._send(now, pending, candidates))
        return actions

    @staticmethod
    def _no_allowed_server(pending: PendingRequest) -> NotRun:
        reason = "no backend server in an allowed failure domain is available"
        return NotRun(PLACE_STEP, pending.service.service.name, reason)

    def _queue_refusal(self, pending: PendingRequest) -> NotRun:
        work = pending.work
        name = pending.service.service.name
        reason = "all slots are taken for longer than the request can wait"
        return NotRun("admit", name, reason, 503, work.queue.retry_after_s(work.in_flight))

    def _usable(self, now: float, pending: PendingRequest) -> list[BackendState]:
        rng = self._rng
        backends = pending.service.backends
        usable = [s for s in backends if not s.restricted or s.accepts_work(now, rng)]
        if pending.tried:
            usable = [s for s in usable if s.server.id not in pending.tried]
        return usable or self._fallback_candidates(now, pending)

    @staticmethod
    def _fallback_candidates(now: float, pending: PendingRequest) -> list[BackendState]:
        """Return untried servers that normally get no new work.

        A request without any other candidate is sent to a recovering server, or else to an ejected
        one, rather than refused.
        """
        untried = [
            state
            for state in pending.service.backends
            if not state.is_leaving(now) and state.server.id not in pending.tried
        ]
        return [state for state in untried if not state.health.is_ejected(now)] or untried

    def _with_capacity(
        self, pending: PendingRequest, usable: list[BackendState]
    ) -> list[BackendState]:
        """Return the usable servers to which the request may be sent now.

        A long request needs a free long slot that is assigned to this entry. Without one, it may
        use any server while the entry has no long request of the service in flight, so that
        entries without assigned long slots can also serve long work.
        """
        service = pending.service
        if pending.is_long:
            with_slot = [state for state in usable if service.has_long_slot(state)]
            return with_slot if with_slot or service.long.in_flight else usable
        return usable if service.limit.has_capacity(service.short.in_flight) else []

    def _send(
        self,
        now: float,
        pending: PendingRequest,
        candidates: list[BackendState],
        *,
        hedge: bool = False,
    ) -> Send:
        backend = self._chooser.choose(now, candidates, self._rng)
        self.invariants.check(pending.service.service.allows(backend.server), "placement")
        attempt = Attempt(next(self._attempt_ids), backend, pending, now)
        pending.tried.add(backend.server.id)
        pending.in_flight[attempt.id] = attempt
        self._by_attempt[attempt.id] = attempt
        attempt.count(1)
        if hedge:
            self.invariants.check(pending.route.idempotent, "hedge idempotent")
        elif pending.is_hedgeable:
            hedge_at = now + pending.service.outliers.times.hedge_after_s()
            if hedge_at < pending.deadline:
                pending.hedge_at = hedge_at
                heapq.heappush(self._timers, (hedge_at, pending.request.id))
        return Send(pending.request.id, attempt.id, backend.server, pending.deadline, hedge)

    def _hedge(self, now: float, pending: PendingRequest) -> list[Action]:
        """Send a hedge if it is due and the service has free capacity and hedge budget."""
        service = pending.service
        if now < pending.hedge_at or len(pending.in_flight) != 1 or not pending.is_hedgeable:
            return []
        if service.limit.is_overloaded or not service.limit.has_capacity(service.short.in_flight):
            return []
        candidates = self._usable(now, pending)
        if now >= pending.deadline or not candidates or not service.hedges.take():
            return []
        return [self._send(now, pending, candidates, hedge=True)]

    def _retry(
        self, now: float, pending: PendingRequest, refusal: Refusal, *, body_unsent: bool = False
    ) -> Action:
        """Send a request again, or refuse it with `refusal` if that is not possible.

        While another attempt is in flight, the request waits for that one instead.
        """
        if pending.in_flight:
            return Enqueue(pending.request.id, pending.deadline)
        if len(pending.tried) < MAX_ATTEMPTS and now < pending.deadline:
            candidates = self._usable(now, pending)
            if pending.is_long:
                candidates = self._with_capacity(pending, candidates)
            sendable = body_unsent or pending.request.replayable
            if sendable and candidates and pending.service.retries.take():
                return self._send(now, pending, candidates)
        return self._give_up(pending, refusal)

    def _give_up(self, pending: PendingRequest, refusal: Refusal) -> Refuse:
        self._complete(pending)
        if pending.may_have_run and isinstance(refusal, NotRun):
            refusal = Unknown(refusal.step, refusal.peer, refusal.reason)
        return Refuse(pending.request.id, refusal)

    def _complete(self, pending: PendingRequest) -> None:
        """Mark a request as answered and dequeue it; a request has exactly one final answer."""
        self.invariants.check(not pending.answered, "one final answer")
        pending.answered = True
        self._by_request.pop(pending.request.id, None)
        pending.work.queue.remove(pending.request.id)

    def _release(self, attempt: Attempt) -> None:
        del self._by_attempt[attempt.id]
        del attempt.pending.in_flight[attempt.id]
        self.invariants.check(attempt.count(-1) >= 0, "slots counted")

    @staticmethod
    def _refuse(request_id: int, step: str, peer: str, reason: str, status: int = 503) -> Refuse:
        return Refuse(request_id, NotRun(step, peer, reason, status))
