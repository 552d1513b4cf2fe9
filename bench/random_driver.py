"""Model-based test of a `Dispatcher`: random events, and a check of every action."""

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
REQUEST_KINDS = (("GET", "/prices"), ("GET", "/batch"), ("POST", "/bids"))


@attrs.define
class ModelRequest:
    """State of a request in the model.

    Attributes
    ----------
    idempotent : bool
        Whether the request may run more than once.
    waits : bool
        Whether it is queued.
    final : bool
        Whether it was answered or refused, or its caller disconnected.
    may_have_run : bool
        Whether an attempt failed after the request had been written to a backend server.
    attempts : set of int
        Ids of the attempts in flight.
    """

    idempotent: bool
    waits: bool = False
    final: bool = False
    may_have_run: bool = False
    attempts: set[int] = attrs.field(factory=set)


@attrs.define
class ModelAttempt:
    """State of an attempt in the model.

    Attributes
    ----------
    request_id : int
        Request of the attempt.
    server_id : str
        Backend server of the attempt.
    delivered : bool
        Whether its answer is being delivered to the caller.
    """

    request_id: int
    server_id: str
    delivered: bool = False


class RandomDriver:
    """A dispatcher under random events, with a model of its requests and attempts.

    Every event in `EVENTS` is a method that takes a number, from which it derives all its choices.

    Parameters
    ----------
    seed : int
        Seed of the dispatcher's own random draws.

    Attributes
    ----------
    EVENTS : tuple of str
        Names of the event methods, repeated according to their weight.
    now : float
        Virtual time, in seconds.
    dispatcher : Dispatcher
        Dispatcher under test, with strict invariants.
    requests : dict of int to ModelRequest
        Model of all requests so far, by id.
    attempts : dict of int to ModelAttempt
        Model of the attempts in flight, by id.
    ended : list of int
        Ids of the attempts that ended last, oldest first.
    left_at_by_id : dict of str to float
        Virtual time of the last notice that a backend server is leaving, by id.
    probes : list of str
        Backend servers of the probes in flight.
    allowed : set of str
        Ids of the backend servers in the failure domains that the document allows.
    addresses : dict of str to str
        Addresses of the document's backend servers, by id.
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
        self.dispatcher = Dispatcher(Random(seed), invariants=Invariants(strict=True))
        self.requests: dict[int, ModelRequest] = {}
        self.attempts: dict[int, ModelAttempt] = {}
        self.ended: list[int] = []
        self.left_at_by_id: dict[str, float] = {}
        self.probes: list[str] = []
        self.allowed: set[str] = set()
        self.addresses: dict[str, str] = {}
        self.change_document(6)

    def step(self, rng: Random) -> None:
        """Play one event drawn from `rng`."""
        getattr(self, rng.choice(self.EVENTS))(rng.getrandbits(24))

    def change_document(self, number: int) -> None:
        """Put a document with other backend servers and allowed failure domains in force."""
        desk = service("desk", 1 + number % 9, 1 + number % 3, DOMAINS, ROUTES)
        desk["failure_domains"] = list(DOMAINS[: 1 + number // 16 % 3])
        desk["limits"] = {"queue_length": number // 64 % 8, "eject_share": 0.3}
        for index, server in enumerate(desk["backend_servers"]):
            server["address"] = f"127.0.0.1:{10000 + index + 100 * (number // 512 % 2)}"
        allowed = [
            server
            for server in desk["backend_servers"]
            if server["failure_domain"] in desk["failure_domains"]
        ]
        self.allowed = {server["id"] for server in allowed}
        addresses = {server["id"]: server["address"] for server in desk["backend_servers"]}
        for server_id in list(self.left_at_by_id):
            if addresses.get(server_id) != self.addresses.get(server_id):
                del self.left_at_by_id[server_id]
        self.addresses = addresses
        document = {"format": 1, "services": [desk], "measuring": {"probes_per_entry": 20.0}}
        actions = self.dispatcher.on_document(
            self.now, load_document(json.dumps(document).encode())
        )
        self.apply_actions(actions)

    def request(self, number: int) -> None:
        """Send a caller's request."""
        method, path = REQUEST_KINDS[number % len(REQUEST_KINDS)]
        request_id = len(self.requests)
        deadline_s = [None, 0.05, 1.0][number // 4 % 3]
        request = Request(request_id, "desk.test", method, path, number % 7 > 0, deadline_s)
        self.requests[request_id] = ModelRequest(idempotent=method == "GET")
        actions = self.dispatcher.on_request(self.now, request)
        check(len(actions) == 1, "a request has one action of its own")
        check(actions[0].request_id == request_id, "the first action is the request's own")
        self.apply_actions(actions)

    def answer(self, number: int) -> None:
        """Let a backend server answer with success, an error, or a refusal by load shedding."""
        attempt_id = self._pick_attempt(number, delivered=False)
        if attempt_id is None:
            return
        attempt = self.attempts[attempt_id]
        kind = number // 256 % 8
        report = LoadReport(number % 5, number // 8 % 3)
        answer = Answer([200, 200, 200, 200, 200, 500, 503, 503][kind], kind >= 6, report)
        if answer.shed:
            self._end_attempt(attempt_id)
        self.apply_actions(
            self.dispatcher.on_answer(self.now, attempt_id, answer), attempt.request_id
        )

    def fail(self, number: int) -> None:
        """Fail an attempt without an answer."""
        attempt_id = self._pick_attempt(number, delivered=False)
        if attempt_id is None:
            return
        attempt = self.attempts[attempt_id]
        written = number // 256 % 2 == 0
        if written:
            self.requests[attempt.request_id].may_have_run = True
        self._end_attempt(attempt_id)
        failure = Failure("answer" if written else "connect", written, "failed")
        self.apply_actions(
            self.dispatcher.on_failure(self.now, attempt_id, failure), attempt.request_id
        )

    def end(self, number: int) -> None:
        """End the body of an answer."""
        attempt_id = self._pick_attempt(number, delivered=True)
        if attempt_id is not None:
            self._end_attempt(attempt_id)
            self.apply_actions(self.dispatcher.on_end(self.now, attempt_id))

    def late(self, number: int) -> None:
        """Deliver an event for an attempt that has ended, which must have no effect."""
        if not self.ended:
            return
        attempt_id = self.ended[number % len(self.ended)]
        events = (
            lambda: self.dispatcher.on_answer(self.now, attempt_id, Answer(200)),
            lambda: self.dispatcher.on_failure(
                self.now, attempt_id, Failure("answer", True, "late")
            ),
            lambda: self.dispatcher.on_end(self.now, attempt_id),
        )
        check(events[number // 64 % 3]() == [], "a late answer changes nothing")

    def caller_gone(self, number: int) -> None:
        """Let the caller of an open request disconnect."""
        open_ids = [i for i, r in self.requests.items() if r.attempts or r.waits]
        if open_ids:
            request_id = open_ids[number % len(open_ids)]
            model = self.requests[request_id]
            model.final, model.waits = True, False
            self.apply_actions(self.dispatcher.on_caller_gone(self.now, request_id))
            check(not model.attempts, "all attempts of a disconnected caller are cancelled")

    def report(self, number: int) -> None:
        """Let a backend server report its load."""
        server_id = f"desk-{number % 9}"
        leaving = number // 16 % 8 == 0
        if leaving and server_id in self.addresses:
            self.left_at_by_id[server_id] = self.now
        report = LoadReport(number % 4, 0, leaving)
        self.apply_actions(self.dispatcher.on_report(self.now, server_id, report))

    def leave(self, number: int) -> None:
        """Let a peer give notice that a backend server is leaving."""
        if number % 4 == 0:
            server_id = f"desk-{number // 4 % 9}"
            if server_id in self.addresses:
                self.left_at_by_id[server_id] = self.now
            self.apply_actions(self.dispatcher.on_leaving(self.now, server_id))

    def entries(self, number: int) -> None:
        """Change the set of live entries."""
        live = [Entry(f"entry-{n}", DOMAINS[n % 3]) for n in range(1 + number % 13)]
        self.apply_actions(self.dispatcher.on_entries(self.now, Entry("entry-0", "a"), live))

    def probe(self, number: int) -> None:
        """Send the next probe that is due; if none is, end a probe in flight."""
        probe = self.dispatcher.prober.next_probe(self.now)
        if probe is not None:
            self.probes.append(probe.backend_server.id)
            check(
                probe.backend_server.id in self.allowed, "probes go only to allowed failure domains"
            )
        elif self.probes:
            server_id = self.probes.pop(number % len(self.probes))
            if number // 16 % 2:
                self.apply_actions(
                    self.dispatcher.on_probe_answer(self.now, server_id, LoadReport(0))
                )
            else:
                self.apply_actions(self.dispatcher.on_probe_failure(self.now, server_id))

    def time(self, number: int) -> None:
        """Advance the virtual time by up to 40 s, mostly by little, and fire a due timer."""
        self.now += [0.001, 0.01, 0.05, 0.1, 0.3, 1.0, 5.0, 40.0][min(7, (number % 64) // 4)]
        timer = self.dispatcher.next_timer()
        if timer is not None and timer <= self.now:
            self.apply_actions(self.dispatcher.on_timer(self.now))

    def finish(self) -> None:
        """End all open attempts and requests, and check that the dispatcher keeps no state of them.

        Raises
        ------
        AssertionError
            If a request never ends, or a timer, slot or record remains.
        """
        for _ in range(100_000):
            attempt_id = next(iter(self.attempts), None)
            if attempt_id is None:
                break
            attempt = self.attempts[attempt_id]
            if attempt.delivered:
                self.end(0)
                continue
            self.apply_actions(
                self.dispatcher.on_answer(self.now, attempt_id, Answer(200)), attempt.request_id
            )
        self.now += 1000.0
        self.apply_actions(self.dispatcher.on_timer(self.now))
        self.check_slots()
        open_ids = [i for i, r in self.requests.items() if not r.final]
        check(not self.attempts and not open_ids, f"requests {open_ids} never ended")
        check(self.dispatcher.next_timer() is None, "no timer remains")
        check(self.dispatcher.is_idle(), "the dispatcher keeps no state of ended requests")

    def apply_actions(self, actions: list[Action], own: int | None = None) -> None:
        """Check actions of the dispatcher and apply them to the model.

        Parameters
        ----------
        actions : list of Action
            Actions that an event returned.
        own : int, optional
            Id of the request whose action must be the first one.

        Raises
        ------
        AssertionError
            If an action violates the model.
        """
        if own is not None:
            check(
                bool(actions) and actions[0].request_id == own,
                "the request's own action comes first",
            )
        for action in actions:
            self._apply_action(action)
        self.check_slots()

    def _apply_action(self, action: Action) -> None:
        model = self.requests[action.request_id]
        if isinstance(action, Cancel):
            self._end_attempt(action.attempt_id)
            return
        check(not model.final, "one final answer")
        if isinstance(action, Send):
            self._apply_send(action, model)
        elif isinstance(action, Enqueue):
            model.waits = True
        elif isinstance(action, Deliver):
            model.final = True
            self.attempts[action.attempt_id].delivered = True
        elif isinstance(action, Refuse):
            model.final, model.waits = True, False
            refused_as_not_run = action.refusal.tag == "not-run"
            check(
                not (refused_as_not_run and model.may_have_run),
                "a request refused as not-run has never run",
            )

    def _apply_send(self, send: Send, model: ModelRequest) -> None:
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
        """Check that the dispatcher counts one slot for each attempt in flight.

        Raises
        ------
        AssertionError
            If the counts differ.
        """
        total = self.dispatcher.in_flight
        check(
            total == len(self.attempts),
            f"{total} slots counted for {len(self.attempts)} attempts in flight",
        )

    def _pick_attempt(self, number: int, *, delivered: bool) -> int | None:
        ids = [i for i, attempt in self.attempts.items() if attempt.delivered == delivered]
        return ids[number % len(ids)] if ids else None

    def _end_attempt(self, attempt_id: int) -> None:
        attempt = self.attempts.pop(attempt_id)
        self.requests[attempt.request_id].attempts.discard(attempt_id)
        self.ended.append(attempt_id)
        del self.ended[:-20]


def check(holds: bool, what: str) -> None:
    """Raise if a condition does not hold.

    Parameters
    ----------
    holds : bool
        The condition.
    what : str
        Text of the error: the rule that was violated.

    Raises
    ------
    AssertionError
        If `holds` is false.
    """
    if not holds:
        raise AssertionError(what)
