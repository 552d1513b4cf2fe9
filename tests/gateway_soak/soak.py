"""Runs one seed: gateway processes, callers on persistent connections, and injected faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from standins.scripted import ReceivedRequest, Script, ScriptedServer, ServerConnection
from standins.scripts import answer_malformed, run_and_reset, run_and_stay_silent, shed
from tests.gateway_fleet import config, route
from tests.gateway_processes import Gateways, gateways
from tests.gateway_soak.history import (
    GATEWAYS,
    Call,
    Disturbance,
    History,
    Limit,
    Run,
    Version,
)

SERVICES = ("desk", "dock", "yard")
SERVERS_PER_SERVICE = 2
CALLERS_PER_GATEWAY = 2
CALL_TIMEOUT_S = 3.0
QUIET_PERIOD_S = 8.0
MIN_VERSION_INTERVAL_S = 2.6
# Probability with which a limit or a crashing request comes beside each other fault.
OVERLOAD_PROBABILITY = 0.4
LIMITS_PER_S = (1.0, 2.0, 5.0)
LIMIT_PERIOD_S = 9.0
CRASH_PERIOD_S = 8.0
CRASH_PREFIX = "/safe/crash-"
CRASHED_S = 1.5
# Probability with which the store comes back from a copy beside each other fault.
RESTORE_PROBABILITY = 0.2


class SoakRun:
    """Callers and fault injection of one seed, whose events go into a history.

    Parameters
    ----------
    gateway_processes : Gateways
        The gateways under test.
    seed : int
        Seed of the random choice of faults, targets and durations.

    Attributes
    ----------
    history : History
        What callers and servers observed so far, and the injected faults.
    """

    def __init__(self, gateway_processes: Gateways, seed: int) -> None:
        self._gateways = gateway_processes
        self._rng = random.Random(seed)
        # A source of its own keeps the other faults of a seed as they were.
        self._overload_rng = random.Random(f"overload {seed}")
        self._restore_rng = random.Random(f"restore {seed}")
        self._restoring = False
        self._registrations_by_id: dict[str, dict[str, Any]] = {}
        self._start_counts = [0] * GATEWAYS
        self._busy = [False] * GATEWAYS
        self._next_id = 0
        self._stopping = False
        self._crashes: list[asyncio.Task[None]] = []
        self.history = History()
        self.put_version(1)

    def healthy_script(self, server: ScriptedServer) -> Script:
        """Return the script of a healthy server, which records each run."""
        service = server.id.partition("-")[0]

        async def run(request: ReceivedRequest, connection: ServerConnection) -> None:
            if request.target.startswith(CRASH_PREFIX):
                await self._crash(server, request.target)
                return
            self.history.runs.append(Run(request.request_id, service, time.monotonic()))
            await asyncio.sleep(0.02)
            body = f"{request.request_id}:{service}".encode()
            connection.answer(request, body=body, headers=server.limit_headers())

        return run

    async def _crash(self, server: ScriptedServer, path: str) -> None:
        self.history.crashed_at_by_path[path].append(time.monotonic())
        task = asyncio.create_task(server.crash(CRASHED_S))
        self._crashes.append(task)
        await asyncio.sleep(CRASHED_S)
        await task
        self.register(server)

    def register(self, server: ScriptedServer) -> None:
        """Register a new start of a server."""
        service = server.id.partition("-")[0]
        registration: dict[str, Any] = server.registration(service, seq=1)
        registration["born"] = int(time.monotonic() * 1000)
        self._registrations_by_id[server.id] = registration
        self._gateways.fleet.store.put(f"servers/{server.id}", registration)

    def faulty_script(self, service: str, script: Script) -> Script:
        """Return a script that records each run and then calls another; `shed` runs nothing."""

        async def run(request: ReceivedRequest, connection: ServerConnection) -> None:
            if script is not shed:
                self.history.runs.append(Run(request.request_id, service, time.monotonic()))
            await script(request, connection)

        return run

    async def call(self, gateway: int) -> None:
        """Send requests to a gateway one after another, on a new connection after each failure."""
        while not self._stopping:
            try:
                caller = await self._gateways.connect(gateway)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            start = self._start_counts[gateway]
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
                while not self._stopping:
                    await self._send_request(caller, gateway, start)
            caller.close()

    async def _send_request(self, caller, gateway: int, start: int) -> None:
        self._next_id += 1
        safe = self._next_id % 3 != 0
        call = Call(f"c{self._next_id}", safe, gateway, start, time.monotonic())
        self.history.calls.append(call)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if safe:
                    answer = await caller.ask(call.id)
                else:
                    answer = await caller.ask(call.id, "/unsafe/x", "POST", b"x")
            call.status, call.body = answer.status, answer.body
        finally:
            call.ended_at = time.monotonic()
        if answer.headers.get("connection") == "close":
            raise ConnectionError
        await asyncio.sleep(0.01)

    async def disturb(self, seconds: float) -> None:
        """Inject faults at random intervals for some seconds, and wait until all have ended.

        Faults may overlap, but only one at a time stops, kills or suspends a gateway.
        """
        until = time.monotonic() + seconds
        running: list[asyncio.Task[None]] = []
        faults = (
            self._stop,
            self._kill,
            self._suspend,
            self._send_sighup,
            self._fault_store,
            self._fault_server,
        )
        overloads = (self._limit_server, self._send_crashing_request)
        while time.monotonic() < until:
            running.append(asyncio.create_task(self._rng.choice(faults)()))
            if self._overload_rng.random() < OVERLOAD_PROBABILITY:
                running.append(asyncio.create_task(self._overload_rng.choice(overloads)()))
            if self._restore_rng.random() < RESTORE_PROBABILITY and not self._restoring:
                running.append(asyncio.create_task(self._restore_store()))
            self._maybe_put_version()
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
        await asyncio.gather(*running)
        self.history.faults_ended_at = time.monotonic()

    async def finish(self) -> None:
        """Run without faults for `QUIET_PERIOD_S`, then stop the callers."""
        await asyncio.sleep(QUIET_PERIOD_S)
        self._stopping = True

    def put_version(self, number: int) -> None:
        """Write a configuration with a number that routes safe requests to the next service."""
        service = SERVICES[number % len(SERVICES)]
        self._document = config(number, safe=route("safe", backend=service), unsafe=route("unsafe"))
        self._document["services"]["yard"] = self._document["services"]["desk"]
        self._gateways.fleet.store.put("op/config", self._document)
        self.history.versions.append(Version(number, service, time.monotonic()))

    def _maybe_put_version(self) -> None:
        last = self.history.versions[-1]
        if time.monotonic() - last.at > MIN_VERSION_INTERVAL_S:
            self.put_version(last.number + 1)

    async def _fault_gateway(self, kind: str, fault: Callable[[int], Awaitable[None]]) -> None:
        gateway = self._rng.randrange(GATEWAYS)
        if self._busy[gateway]:
            return
        self._busy[gateway] = True
        with self._recording_disturbance(gateway, kind):
            await fault(gateway)
        self._busy[gateway] = False

    @contextlib.contextmanager
    def _recording_disturbance(self, gateway: int, kind: str) -> Iterator[None]:
        """Record a disturbance; its end is infinite until the block ends."""
        since = time.monotonic()
        index = len(self.history.disturbances)
        self.history.disturbances.append(Disturbance(gateway, kind, since, float("inf")))
        yield
        self.history.disturbances[index] = Disturbance(gateway, kind, since, time.monotonic())

    async def _restart(self, gateway: int, signal_number: signal.Signals) -> None:
        self._gateways.signal(gateway, signal_number)
        await self._gateways.processes[gateway].wait()
        self._start_counts[gateway] += 1
        await self._gateways.start(gateway)
        await self._gateways.wait_until_ready(gateway)

    async def _stop(self) -> None:
        await self._fault_gateway("stop", lambda gateway: self._restart(gateway, signal.SIGTERM))

    async def _kill(self) -> None:
        await self._fault_gateway("kill", lambda gateway: self._restart(gateway, signal.SIGKILL))

    async def _suspend(self) -> None:
        async def fault(gateway: int) -> None:
            self._gateways.signal(gateway, signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.1, 2.0))
            self._gateways.signal(gateway, signal.SIGCONT)

        await self._fault_gateway("suspend", fault)

    async def _send_sighup(self) -> None:
        self._gateways.signal(self._rng.randrange(GATEWAYS), signal.SIGHUP)

    async def _fault_store(self) -> None:
        faults = self._gateways.fleet.store.faults
        name, value = self._rng.choice(
            [("silent", True), ("reset", True), ("refuse_status", 503), ("late_s", 1.0)]
        )
        with self._recording_disturbance(-1, "store"):
            normal_value = getattr(faults, name)
            setattr(faults, name, value)
            await asyncio.sleep(self._rng.uniform(0.3, 2.5))
            setattr(faults, name, type(normal_value)())

    async def _restore_store(self) -> None:
        """Let the store come back from a copy of now, some seconds later."""
        self._restoring = True
        store = self._gateways.fleet.store
        copy = store.platform.copy()
        await asyncio.sleep(self._restore_rng.uniform(0.5, 4.0))
        with self._recording_disturbance(-1, "store"):
            store.faults.reset = True
            await asyncio.sleep(self._restore_rng.uniform(0.1, 1.0))
            store.restore(copy)
            store.faults.reset = False
            await asyncio.sleep(self._restore_rng.uniform(0.0, 0.3))
            self._write_again()
        self._restoring = False

    def _write_again(self) -> None:
        """Write what the operator and the servers had written before the store forgot it."""
        store = self._gateways.fleet.store
        store.put("op/config", self._document)
        for server_id, registration in self._registrations_by_id.items():
            registration["status"]["seq"] += 1
            store.put(f"servers/{server_id}", registration)

    async def _fault_server(self) -> None:
        server = self._rng.choice(list(self._gateways.fleet.servers_by_id.values()))
        service = server.id.partition("-")[0]
        script = self._rng.choice([answer_malformed, run_and_reset, run_and_stay_silent, shed])
        server.script = self.faulty_script(service, script)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        server.script = self.healthy_script(server)

    async def _limit_server(self) -> None:
        server = self._overload_rng.choice(list(self._gateways.fleet.servers_by_id.values()))
        if server.limit:
            return
        per_s, since = self._overload_rng.choice(LIMITS_PER_S), time.monotonic()
        server.limit = str(per_s)
        await asyncio.sleep(LIMIT_PERIOD_S)
        server.limit = ""
        until = time.monotonic()
        arrived_at = server.health_checks_at + [request.at for request in server.requests]
        within = sorted(at for at in arrived_at if since <= at <= until)
        self.history.limits.append(Limit(per_s, since, until, tuple(within)))

    async def _send_crashing_request(self) -> None:
        if any(not task.done() for task in self._crashes):
            return
        path = f"{CRASH_PREFIX}{len(self.history.crashed_at_by_path)}"
        self.history.crashed_at_by_path[path] = []
        until = time.monotonic() + CRASH_PERIOD_S
        while time.monotonic() < until:
            with contextlib.suppress(
                OSError, ConnectionError, asyncio.IncompleteReadError, TimeoutError
            ):
                caller = await self._gateways.connect(self._overload_rng.randrange(GATEWAYS))
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await caller.ask(f"{path}-{time.monotonic()}", path)
                caller.close()
            await asyncio.sleep(self._overload_rng.uniform(0.1, 0.4))


async def run_soak(seed: int, seconds: float) -> History:
    """Run a seed with faults for some seconds and return its history."""
    async with gateways(GATEWAYS, servers=0, wait=False) as gateway_processes:
        run = SoakRun(gateway_processes, seed)
        for service in SERVICES:
            for number in range(SERVERS_PER_SERVICE):
                server = await gateway_processes.fleet.server(f"{service}-{number}", service)
                server.script = run.healthy_script(server)
                run.register(server)
        for gateway in range(GATEWAYS):
            await gateway_processes.wait_until_ready(gateway)
        async with asyncio.TaskGroup() as tasks:
            for gateway in range(GATEWAYS):
                for _ in range(CALLERS_PER_GATEWAY):
                    tasks.create_task(run.call(gateway))
            await run.disturb(seconds)
            await run.finish()
        return run.history
