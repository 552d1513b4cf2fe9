"""The path of one request: route, place, choose, send, then deliver, send again or refuse."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random

import attrs

from sycamorebay.coordination.choose import Chooser, TwoChoices
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.messages import (
    Action,
    Answer,
    Cancel,
    Deliver,
    Failure,
    Refuse,
    Request,
    Send,
)
from sycamorebay.coordination.retry import RetryBudget
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.state.backends import BackendState, BackendTable, LoadReport
from sycamorebay.state.document import Document, Route, Service

MAX_ATTEMPTS = 3


@attrs.define
class _Attempt:
    id: int
    backend: BackendState
    request: _Pending


@attrs.define
class _Pending:
    request: Request
    service: Service
    route: Route
    deadline: float
    tried: set[str] = attrs.field(factory=set)
    attempts: int = 0


def _no_objection() -> str:
    return ""


class Dispatcher:
    """Decides for each request of one entry.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    chooser : Chooser, optional
        How a backend server is chosen.
    invariants : Invariants, optional
        Where violations are counted.
    """

    def __init__(
        self, rng: Random, chooser: Chooser | None = None, invariants: Invariants | None = None
    ) -> None:
        self._rng = rng
        self._chooser = chooser or TwoChoices()
        self.invariants = invariants or Invariants()
        self.backends = BackendTable()
        self.document: Document | None = None
        self.objection: Callable[[], str] = _no_objection
        self._by_request: dict[int, _Pending] = {}
        self._by_attempt: dict[int, _Attempt] = {}
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._attempt_ids = count(1)

    def on_document(self, now: float, document: Document) -> list[Action]:
        """Put a document in force for every request that comes after."""
        self.document = document
        self.backends.replace(document)
        self._budget_by_service = {
            service.name: RetryBudget(service.limits.retry_ratio) for service in document.services
        }
        return []

    def on_request(self, now: float, request: Request) -> list[Action]:
        """Take a caller's request."""
        if objection := self.objection():
            return [self._refuse(request.id, "configuration", "", objection)]
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
        pending = _Pending(request, service, route, now + allowed_s)
        self._by_request[request.id] = pending
        self._budget_by_service[service.name].on_request()
        return [self._send(now, pending)]

    def on_answer(self, now: float, attempt_id: int, answer: Answer) -> list[Action]:
        """Take the head of an answer; its slot is held until `on_end`."""
        attempt = self._by_attempt.get(attempt_id)
        if attempt is None:
            return []
        if answer.report is not None:
            self.on_report(now, attempt.backend.server.id, answer.report)
        pending = attempt.request
        if not answer.shed:
            self._by_request.pop(pending.request.id, None)
            return [Deliver(pending.request.id, attempt_id)]
        self._release(attempt)
        peer = attempt.backend.server.id
        refusal = NotRun("backend", peer, "the backend server shed the request")
        return [self._again(now, pending, refusal)]

    def on_failure(self, now: float, attempt_id: int, failure: Failure) -> list[Action]:
        """Take the end of an attempt that brought no answer."""
        attempt = self._by_attempt.get(attempt_id)
        if attempt is None:
            return []
        self._release(attempt)
        pending = attempt.request
        peer = attempt.backend.server.id
        if not failure.written:
            refusal: Refusal = NotRun(failure.step, peer, failure.reason)
            return [self._again(now, pending, refusal, body_left=True)]
        refusal = Unknown(failure.step, peer, failure.reason)
        if pending.route.idempotent:
            return [self._again(now, pending, refusal)]
        return [self._give_up(pending, refusal)]

    def on_end(self, now: float, attempt_id: int) -> list[Action]:
        """Take the end of a delivered answer, whole or cut off; frees its slot."""
        attempt = self._by_attempt.get(attempt_id)
        if attempt is not None:
            self._release(attempt)
        return []

    def on_caller_gone(self, now: float, request_id: int) -> list[Action]:
        """Take a caller's leaving; cancels what is in flight for it."""
        self._by_request.pop(request_id, None)
        attempts = [a for a in self._by_attempt.values() if a.request.request.id == request_id]
        for attempt in attempts:
            self._release(attempt)
        return [Cancel(request_id, attempt.id) for attempt in attempts]

    def on_report(self, now: float, server_id: str, report: LoadReport) -> list[Action]:
        """Take a backend server's word on its load."""
        state = self.backends.get(server_id)
        if state is not None:
            state.report = report
            state.reported_at = now
            state.leaving = report.leaving
        return []

    def failure_domains(self, host: str) -> tuple[str, ...]:
        """Return where the service of a host may be served and its records may be held."""
        service = self.document.service_for(host) if self.document is not None else None
        return service.failure_domains if service is not None else ()

    def may_send(self, attempt_id: int) -> bool:
        """Whether an attempt's place is allowed still; asked before its first byte."""
        attempt = self._by_attempt.get(attempt_id)
        if attempt is None or self.document is None or self.objection():
            return False
        server = attempt.backend.server
        service = self.document.service_for(attempt.request.request.host)
        return service is not None and service.allows(server)

    def _send(self, now: float, pending: _Pending) -> Action:
        candidates = self._candidates(pending)
        if not candidates:
            reason = "no backend server in an allowed failure domain is available"
            return self._give_up(pending, NotRun("place", pending.service.name, reason))
        backend = self._chooser.choose(now, candidates, self._rng)
        self.invariants.check(pending.service.allows(backend.server), "placement")
        backend.in_flight += 1
        pending.attempts += 1
        pending.tried.add(backend.server.id)
        attempt = _Attempt(next(self._attempt_ids), backend, pending)
        self._by_attempt[attempt.id] = attempt
        return Send(pending.request.id, attempt.id, backend.server, pending.deadline)

    def _candidates(self, pending: _Pending) -> list[BackendState]:
        service = pending.service
        return [
            state
            for state in self.backends.of(service)
            if not state.leaving
            and state.server.id not in pending.tried
            and service.allows(state.server)
        ]

    def _again(
        self, now: float, pending: _Pending, refusal: Refusal, *, body_left: bool = False
    ) -> Action:
        may_retry = (
            pending.attempts < MAX_ATTEMPTS
            and now < pending.deadline
            and (body_left or pending.request.replayable)
            and bool(self._candidates(pending))
            and self._budget_by_service[pending.service.name].take()
        )
        if may_retry:
            return self._send(now, pending)
        return self._give_up(pending, refusal)

    def _give_up(self, pending: _Pending, refusal: Refusal) -> Action:
        self._by_request.pop(pending.request.id, None)
        return Refuse(pending.request.id, refusal)

    def _release(self, attempt: _Attempt) -> None:
        del self._by_attempt[attempt.id]
        attempt.backend.in_flight -= 1
        self.invariants.check(attempt.backend.in_flight >= 0, "slots counted")

    @staticmethod
    def _refuse(request_id: int, step: str, peer: str, reason: str, status: int = 503) -> Refuse:
        return Refuse(request_id, NotRun(step, peer, reason, status))
