"""Drives a `Dispatcher` by random events and checks every action against a plain model."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import attrs

from bench.fleet import service
from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.dispatch import Dispatcher
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
from sycamorebay.state.backends import LoadReport
from sycamorebay.state.document import load_document

DOMAINS = ("a", "b", "c")
ROUTES: list[dict[str, Any]] = [
    {"methods": ["GET"], "path": "/prices", "idempotent": True, "deadline_ms": 2000},
    {"methods": ["GET"], "path": "/batch", "idempotent": True, "work": "long"},
    {"methods": ["POST"], "path": "/bids", "deadline_ms": 500},
]
KINDS = (("GET", "/prices"), ("GET", "/batch"), ("POST", "/bids"))


@attrs.define
class ModelRequest:
    """What the model knows of a request."""

    idempotent: bool
    waits: bool = False
    final: bool = False
    may_have_run: bool = False
    attempts: set[int] = attrs.field(factory=set)


@attrs.define
class ModelAttempt:
    """What the model knows of an attempt."""

    request_id: int
    server_id: str
    delivered: bool = False


class RandomDriver:
    """One dispatcher, its model, and the events that may come to it.

    Every event is a method that takes a number; the number alone decides what happens.
    """

    EVENTS = (
        "request",
        "request",
        "request",
        "answer",
        "answer",
        "answer",
        "fail",
        "end",
        "end",
        "late",
        "caller_gone",
        "report",
        "leave",
        "entries",
        "change_document",
        "probe",
        "time",
        "time",
    )

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.made = Dispatcher(Random(seed), invariants=Invariants(strict=True))
        self.requests: dict[int, ModelRequest] = {}
        self.attempts: dict[int, ModelAttempt] = {}
        self.ended: list[int] = []
        self.left_at_by_id: dict[str, float] = {}
        self.probes: list[str] = []
        self.allowed: set[str] = set()
        self.addresses: dict[str, str] = {}
        self.change_document(6)

    def step(self, rng: Random) -> None:
        """Let one event come that `rng` draws."""
        getattr(self, rng.choice(self.EVENTS))(rng.getrandbits(24))

    def change_document(self, number: int) -> None:
        """Put another document in force: other servers, another failure domain allowed."""
        made = service("desk", 1 + number % 9, 1 + number % 3, DOMAINS, ROUTES)
        made["failure_domains"] = list(DOMAINS[: 1 + number // 16 % 3])
        made["limits"] = {"queue_length": number // 64 % 8, "eject_share": 0.3}
        for index, server in enumerate(made["backend_servers"]):
            server["address"] = f"127.0.0.1:{10000 + index + 100 * (number // 512 % 2)}"
        allowed = [
            server
            for server in made["backend_servers"]
            if server["failure_domain"] in made["failure_domains"]
        ]
        self.allowed = {server["id"] for server in allowed}
        addresses = {server["id"]: server["address"] for server in made["backend_servers"]}
        for server_id in list(self.left_at_by_id):
            if addresses.get(server_id) != self.addresses.get(server_id):
                del self.left_at_by_id[server_id]
        self.addresses = addresses
        document = {"format": 1, "services": [made], "measuring": {"probes_per_entry": 20.0}}
        actions = self.made.on_document(self.now, load_document(json.dumps(document).encode()))
        self.take(actions)

    def request(self, number: int) -> None:
        """Send a caller's request."""
        method, path = KINDS[number % len(KINDS)]
        request_id = len(self.requests)
        deadline_s = [None, 0.05, 1.0][number // 4 % 3]
        request = Request(request_id, "desk.test", method, path, number % 7 > 0, deadline_s)
        self.requests[request_id] = ModelRequest(idempotent=method == "GET")
        actions = self.made.on_request(self.now, request)
        check(len(actions) == 1, "a request has one action of its own")
        check(actions[0].request_id == request_id, "the first action is the request's own")
        self.take(actions)

    def answer(self, number: int) -> None:
        """Let a backend server answer, shed or fail."""
        attempt_id = self._pick(number, delivered=False)
        if attempt_id is None:
            return
        attempt = self.attempts[attempt_id]
        kind = number // 256 % 8
        report = LoadReport(number % 5, number // 8 % 3)
        answer = Answer([200, 200, 200, 200, 200, 500, 503, 503][kind], kind >= 6, report)
        if answer.shed:
            self._forget(attempt_id)
        self.take(self.made.on_answer(self.now, attempt_id, answer), attempt.request_id)

    def fail(self, number: int) -> None:
        """End an attempt without an answer."""
        attempt_id = self._pick(number, delivered=False)
        if attempt_id is None:
            return
        attempt = self.attempts[attempt_id]
        written = number // 256 % 2 == 0
        if written:
            self.requests[attempt.request_id].may_have_run = True
        self._forget(attempt_id)
        failure = Failure("answer" if written else "connect", written, "failed")
        self.take(self.made.on_failure(self.now, attempt_id, failure), attempt.request_id)

    def end(self, number: int) -> None:
        """End the body of an answer."""
        attempt_id = self._pick(number, delivered=True)
        if attempt_id is not None:
            self._forget(attempt_id)
            self.take(self.made.on_end(self.now, attempt_id))

    def late(self, number: int) -> None:
        """Bring something for an attempt that is over."""
        if not self.ended:
            return
        attempt_id = self.ended[number % len(self.ended)]
        events = (
            lambda: self.made.on_answer(self.now, attempt_id, Answer(200)),
            lambda: self.made.on_failure(self.now, attempt_id, Failure("answer", True, "late")),
            lambda: self.made.on_end(self.now, attempt_id),
        )
        check(events[number // 64 % 3]() == [], "a late answer changes nothing")

    def caller_gone(self, number: int) -> None:
        """Let a caller go away."""
        open_ids = [i for i, r in self.requests.items() if r.attempts or r.waits]
        if open_ids:
            request_id = open_ids[number % len(open_ids)]
            model = self.requests[request_id]
            model.final, model.waits = True, False
            self.take(self.made.on_caller_gone(self.now, request_id))
            check(not model.attempts, "all attempts of a caller that is gone are cancelled")

    def report(self, number: int) -> None:
        """Let a backend server report its load."""
        server_id = f"desk-{number % 9}"
        leaving = number // 16 % 8 == 0
        if leaving and server_id in self.addresses:
            self.left_at_by_id[server_id] = self.now
        report = LoadReport(number % 4, 0, leaving)
        self.take(self.made.on_report(self.now, server_id, report))

    def leave(self, number: int) -> None:
        """Let a peer say that a backend server is leaving."""
        if number % 4 == 0:
            server_id = f"desk-{number // 4 % 9}"
            if server_id in self.addresses:
                self.left_at_by_id[server_id] = self.now
            self.take(self.made.on_leaving(self.now, server_id))

    def entries(self, number: int) -> None:
        """Change the list of live entries."""
        everyone = [Entry(f"entry-{n}", DOMAINS[n % 3]) for n in range(1 + number % 13)]
        self.take(self.made.on_entries(self.now, Entry("entry-0", "a"), everyone))

    def probe(self, number: int) -> None:
        """Send a probe, or end one."""
        probe = self.made.prober.next_probe(self.now)
        if probe is not None:
            self.probes.append(probe.backend_server.id)
            check(probe.backend_server.id in self.allowed, "probes go to allowed places")
        elif self.probes:
            server_id = self.probes.pop(number % len(self.probes))
            if number // 16 % 2:
                self.take(self.made.on_probe_answer(self.now, server_id, LoadReport(0)))
            else:
                self.take(self.made.on_probe_failure(self.now, server_id))

    def time(self, number: int) -> None:
        """Let time pass, seldom a lot of it."""
        self.now += [0.001, 0.01, 0.05, 0.1, 0.3, 1.0, 5.0, 40.0][min(7, (number % 64) // 4)]
        timer = self.made.next_timer()
        if timer is not None and timer <= self.now:
            self.take(self.made.on_timer(self.now))

    def finish(self) -> None:
        """End everything that is open, and check that nothing is left."""
        for _ in range(100_000):
            attempt_id = next(iter(self.attempts), None)
            if attempt_id is None:
                break
            attempt = self.attempts[attempt_id]
            if attempt.delivered:
                self.end(0)
                continue
            self.take(self.made.on_answer(self.now, attempt_id, Answer(200)), attempt.request_id)
        self.now += 1000.0
        self.take(self.made.on_timer(self.now))
        self.check_slots()
        open_ids = [i for i, r in self.requests.items() if not r.final]
        check(not self.attempts and not open_ids, f"requests {open_ids} never ended")
        check(self.made.next_timer() is None, "no timer is left")
        check(self.made.is_idle(), "the dispatcher keeps nothing of what has ended")

    def take(self, actions: list[Action], own: int | None = None) -> None:
        """Carry out actions in the model, and check each."""
        if own is not None:
            check(bool(actions) and actions[0].request_id == own, "own action comes first")
        for action in actions:
            self._take_one(action)
        self.check_slots()

    def _take_one(self, action: Action) -> None:
        model = self.requests[action.request_id]
        if isinstance(action, Cancel):
            self._forget(action.attempt_id)
            return
        check(not model.final, "one final answer")
        if isinstance(action, Send):
            self._take_send(action, model)
        elif isinstance(action, Enqueue):
            model.waits = True
        elif isinstance(action, Deliver):
            model.final = True
            self.attempts[action.attempt_id].delivered = True
        elif isinstance(action, Refuse):
            model.final, model.waits = True, False
            told_not_run = action.refusal.tag == "not-run"
            check(not (told_not_run and model.may_have_run), "not-run is true")

    def _take_send(self, send: Send, model: ModelRequest) -> None:
        server_id = send.backend_server.id
        check(server_id in self.allowed, "placement")
        left_at = self.left_at_by_id.get(server_id, float("-inf"))
        check(self.now - left_at >= 10.0, "a leaving server gets no new work")
        check(model.idempotent or not model.may_have_run, "at most once")
        check(model.idempotent or not model.attempts, "only idempotent work is hedged")
        model.waits = False
        model.attempts.add(send.attempt_id)
        self.attempts[send.attempt_id] = ModelAttempt(send.request_id, server_id)

    def check_slots(self) -> None:
        """Compare the slots counted with the model's attempts."""
        total = self.made.in_flight
        check(total == len(self.attempts), f"slots counted: {total} of {len(self.attempts)}")

    def _pick(self, number: int, *, delivered: bool) -> int | None:
        ids = [i for i, attempt in self.attempts.items() if attempt.delivered == delivered]
        return ids[number % len(ids)] if ids else None

    def _forget(self, attempt_id: int) -> None:
        attempt = self.attempts.pop(attempt_id)
        self.requests[attempt.request_id].attempts.discard(attempt_id)
        self.ended.append(attempt_id)
        del self.ended[:-20]


def check(holds: bool, what: str) -> None:
    """Raise where something does not hold.

    Raises
    ------
    AssertionError
        Naming what does not.
    """
    if not holds:
        raise AssertionError(what)
