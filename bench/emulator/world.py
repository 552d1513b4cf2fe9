"""Plays a scenario: callers, daemons that hold the product's placing code, and servers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

import attrs

from bench.emulator.load import Kind, Scenario, draw_work
from bench.emulator.servers import EmulatedServer, Run
from sycamorebay.coordination.placing import Decision, Place, PlacementRequest, Placer, Refuse
from sycamorebay.coordination.server_load import ServerReport

NEWS_S = 0.002
NETWORK_S = 0.0015
TICK_S = 0.01
PROBE_TICK_S = 0.03
REPORT_AGE_S = 0.12
MAX_SENDS = 3


@attrs.define(eq=False)
class Call:
    """A caller's request over all its attempts."""

    kind: Kind
    born: float
    work_s: float
    tries: int = 0
    refusals: int = 0
    ended_at: float | None = None
    served: bool = False
    refused_again: bool = False


@attrs.define(eq=False)
class Attempt:
    """One attempt of a caller at one daemon."""

    call: Call
    request: PlacementRequest
    deadline: float
    runs: list[tuple[EmulatedServer, Run]] = attrs.field(factory=list)
    done: bool = False


class Daemon:
    """One daemon: the product's placer, and news to the others."""

    def __init__(self, name: str, placer: Placer) -> None:
        self.name = name
        self.placer = placer
        self.attempts: dict[int, Attempt] = {}


class World:
    """One play of a scenario.

    Parameters
    ----------
    scenario : Scenario
        What is played.
    seed : int
        Of all that is drawn.
    policy : callable, optional
        Makes a daemon's placer.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy: Callable[[str, Random], Placer] = Placer,
    ) -> None:
        self.scenario = scenario
        # Drawn apart, so that two policies meet the same load.
        self.rng = Random(seed)
        self._arrivals = Random(seed + 1_000)
        self.now = 0.0
        self.calls: list[Call] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._ids = count(1)
        self.servers_by_id = {
            server.entry.id: server
            for service in scenario.services
            for server in (
                EmulatedServer(n, service, Random(self.rng.random()), scenario.losses)
                for n in range(service.servers)
            )
        }
        self.daemons = [
            Daemon(f"d{n}", policy("abc"[n % 3], Random(self.rng.random())))
            for n in range(scenario.daemons)
        ]
        # Connections spread unevenly over the daemons.
        self._weights = [self.rng.uniform(0.4, 1.6) for _ in self.daemons]
        entries = [server.entry for server in self.servers_by_id.values()]
        for daemon in self.daemons:
            daemon.placer.on_servers(0.0, entries)

    def at(self, time: float, event: Callable[[], None]) -> None:
        """Have an event happen at a time."""
        heapq.heappush(self._events, (time, next(self._order), event))

    def play(self) -> list[Call]:
        """Play the scenario and return all calls."""
        self.at(0.0, self._arrive)
        self.at(0.0, self._tick)
        self.at(0.0, self._probe)
        end = self.scenario.length_s + 3.0
        while self._events and self._events[0][0] < end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self.calls

    # Callers

    def _arrive(self) -> None:
        if self.now > self.scenario.length_s:
            return
        kind = self.scenario.pick(self._arrivals)
        call = Call(kind, self.now, draw_work(kind, self._arrivals))
        self.calls.append(call)
        self._send(call)
        self.at(self.now + self._arrivals.expovariate(self.scenario.rate(self.now)), self._arrive)

    def _send(self, call: Call) -> None:
        daemon = self.rng.choices(self.daemons, self._weights)[0]
        call.tries += 1
        kind = call.kind
        deadline = call.born + kind.deadline_s
        request = PlacementRequest(
            id=next(self._ids),
            service=kind.service,
            route=kind.name,
            priority=kind.priority,
            goal_at=call.born + kind.goal_s,
            deadline=deadline,
        )
        attempt = Attempt(call, request, deadline)
        daemon.attempts[request.id] = attempt
        self._decide(daemon, [daemon.placer.on_request(self.now, request)])

    def _refuse(self, attempt: Attempt, retry_after_s: float) -> None:
        call = attempt.call
        call.refusals += 1
        attempt.done = True
        left_s = attempt.deadline - self.now
        if call.tries > call.kind.retries or left_s <= 0.01:
            call.refused_again = call.refusals > 1
            return
        self.at(self.now + min(retry_after_s, left_s / 3), lambda: self._send(call))

    # Daemons

    def _decide(self, daemon: Daemon, decisions: list[Decision]) -> None:
        for decision in decisions:
            attempt = daemon.attempts.get(decision.request_id)
            if attempt is None:
                continue
            if isinstance(decision, Refuse):
                self._refuse(attempt, decision.retry_after_s)
            elif isinstance(decision, Place):
                self._forward(daemon, attempt, decision.server.id)

    def _forward(self, daemon: Daemon, attempt: Attempt, server_id: str) -> None:
        server, sent_at = self.servers_by_id[server_id], self.now
        self._tell(daemon, server_id, None)

        def on_end() -> None:
            self.at(
                self.now + NETWORK_S, lambda: self._answered(daemon, attempt, server, run, sent_at)
            )

        run = Run(attempt.call.work_s, on_end)
        attempt.runs.append((server, run))
        self.at(self.now + NETWORK_S, lambda: self._reach(daemon, attempt, server, run))
        self.at(attempt.deadline, lambda: self._expire(daemon, attempt, server, run))

    def _reach(self, daemon: Daemon, attempt: Attempt, server: EmulatedServer, run: Run) -> None:
        if run.cancelled:
            return
        if not server.accept(run):
            self._free(daemon, server)
            self._decide(daemon, [daemon.placer.on_request(self.now, attempt.request)])
        elif run.started:
            self._run(server, run)

    def _run(self, server: EmulatedServer, run: Run) -> None:
        self.at(self.now + server.duration(self.now, run), lambda: self._ended(server, run))

    def _ended(self, server: EmulatedServer, run: Run) -> None:
        if run not in server.running:
            return
        server.running.remove(run)
        following = server.next_waiting()
        if following is not None:
            server.begin(following)
            self._run(server, following)
        if not run.cancelled:
            run.on_end()  # type: ignore[operator]

    def _answered(
        self,
        daemon: Daemon,
        attempt: Attempt,
        server: EmulatedServer,
        run: Run,
        sent_at: float,
    ) -> None:
        if run.cancelled or attempt.done:
            return
        if server.loses(self.now):
            self._lost(daemon, attempt, server)
            return
        attempt.done = True
        report = server.report(self.now)
        daemon.placer.on_report(self.now, server.entry.id, report)
        load = daemon.placer.load(server.entry.id)
        if load is not None:
            load.on_success()
        daemon.placer.work.on_answer(attempt.call.kind.name, self.now - sent_at, report.slowdown)
        if self.now <= attempt.deadline:
            attempt.call.served = True
            attempt.call.ended_at = self.now
        self._free(daemon, server, report)

    def _lost(self, daemon: Daemon, attempt: Attempt, server: EmulatedServer) -> None:
        """Take a send whose answer was lost: only a safe request is sent again."""
        for other in self.daemons:
            load = other.placer.load(server.entry.id)
            if load is not None:
                load.on_failure(self.now)
        self._free(daemon, server)
        if attempt.call.kind.safe and len(attempt.runs) < MAX_SENDS:
            self._decide(daemon, [daemon.placer.on_request(self.now, attempt.request)])
        else:
            attempt.done = True

    def _expire(self, daemon: Daemon, attempt: Attempt, server: EmulatedServer, run: Run) -> None:
        if attempt.done or run.cancelled:
            return
        attempt.done = run.cancelled = True
        self._ended(server, run)
        self._free(daemon, server)

    def _free(
        self, daemon: Daemon, server: EmulatedServer, report: ServerReport | None = None
    ) -> None:
        self._decide(daemon, daemon.placer.on_end(self.now, server.entry.id))
        self._tell(daemon, server.entry.id, report)

    def _tell(self, daemon: Daemon, server_id: str, report: ServerReport | None) -> None:
        load = daemon.placer.load(server_id)
        assert load is not None
        in_flight, told_at = load.own_in_flight, self.now

        def hear() -> None:
            for other in self.daemons:
                if other is daemon:
                    continue
                other.placer.on_peer_load(daemon.name, server_id, in_flight)
                if report is not None:
                    other.placer.on_report(told_at, server_id, report)
                self._decide(other, other.placer.on_tick(self.now))

        self.at(self.now + NEWS_S, hear)

    def _tick(self) -> None:
        for daemon in self.daemons:
            self._decide(daemon, daemon.placer.on_tick(self.now))
        self.at(self.now + TICK_S, self._tick)

    def _probe(self) -> None:
        for index, server in enumerate(self.servers_by_id.values()):
            daemon = self.daemons[index % len(self.daemons)]
            load = daemon.placer.load(server.entry.id)
            if load is not None and self.now - load.reported_at > REPORT_AGE_S:
                report = server.report(self.now)
                daemon.placer.on_report(self.now, server.entry.id, report)
                self._tell(daemon, server.entry.id, report)
        self.at(self.now + PROBE_TICK_S, self._probe)
