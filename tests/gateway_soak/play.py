"""Plays one seed: gateways, callers that keep their connections, and faults in series."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from standins.scripted import Line, Script, Seen
from standins.scripts import garble, run_and_reset, run_and_stay_silent, shed
from tests.gateway_fleet import config, route
from tests.gateway_processes import Gateways, gateways
from tests.gateway_soak.history import Call, Disturbance, History, Run, Version

SERVICES = ("desk", "dock", "yard")
SERVERS_PER_SERVICE = 2
GATEWAYS = 3
CALLERS_PER_GATEWAY = 2
CALL_TIMEOUT_S = 3.0
CALM_AT_END_S = 8.0
MIN_BETWEEN_VERSIONS_S = 2.6


class Play:
    """One play of a seed.

    Parameters
    ----------
    started : Gateways
        Running gateways.
    seed : int
        Of the faults.
    """

    def __init__(self, started: Gateways, seed: int) -> None:
        self._started = started
        self._rng = random.Random(seed)
        self._starts = [0] * GATEWAYS
        self._busy = [False] * GATEWAYS
        self._next_id = 0
        self._ending = False
        self.history = History()
        self.put_version(1)

    # Servers

    def script(self, service: str) -> Script:
        """Return the script of a healthy server, which notes its runs."""

        async def run(seen: Seen, line: Line) -> None:
            self.history.runs.append(Run(seen.request_id, service, time.monotonic()))
            await asyncio.sleep(0.02)
            line.answer(seen, body=f"{seen.request_id}:{service}".encode())

        return run

    def noted(self, service: str, script: Script) -> Script:
        """Return a faulty script that notes its runs, where it has any."""

        async def run(seen: Seen, line: Line) -> None:
            if script is not shed:
                self.history.runs.append(Run(seen.request_id, service, time.monotonic()))
            await script(seen, line)

        return run

    # Callers

    async def call(self, gateway: int) -> None:
        """Ask a gateway over and over, on one connection as long as it lasts."""
        while not self._ending:
            try:
                caller = await self._started.connect(gateway)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            start = self._starts[gateway]
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, TimeoutError):
                while not self._ending:
                    await self._ask(caller, gateway, start)
            caller.close()

    async def _ask(self, caller, gateway: int, start: int) -> None:
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

    # Faults

    async def disturb(self, seconds: float) -> None:
        """Inject faults for some seconds; they follow one another and overlap."""
        until = time.monotonic() + seconds
        running: list[asyncio.Task[None]] = []
        faults = (self._stop, self._kill, self._suspend, self._hang_up, self._store, self._server)
        while time.monotonic() < until:
            running.append(asyncio.create_task(self._rng.choice(faults)()))
            self._maybe_put_version()
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
        await asyncio.gather(*running)
        self.history.faults_ended_at = time.monotonic()

    async def finish(self) -> None:
        """Let all be calm for a while, and end the callers."""
        await asyncio.sleep(CALM_AT_END_S)
        self._ending = True

    def put_version(self, number: int) -> None:
        """Write a configuration that moves the safe requests to the next service."""
        service = SERVICES[number % len(SERVICES)]
        document = config(number, safe=route("safe", backend=service), unsafe=route("unsafe"))
        document["services"]["yard"] = document["services"]["desk"]
        self._started.fleet.store.put("op/config", document)
        self.history.versions.append(Version(number, service, time.monotonic()))

    def _maybe_put_version(self) -> None:
        last = self.history.versions[-1]
        if time.monotonic() - last.at > MIN_BETWEEN_VERSIONS_S:
            self.put_version(last.number + 1)

    async def _on_gateway(self, kind: str, fault: Callable[[int], Awaitable[None]]) -> None:
        gateway = self._rng.randrange(GATEWAYS)
        if self._busy[gateway]:
            return
        self._busy[gateway] = True
        with self._disturbing(gateway, kind):
            await fault(gateway)
        self._busy[gateway] = False

    @contextlib.contextmanager
    def _disturbing(self, gateway: int, kind: str) -> Iterator[None]:
        """Note a disturbance: without end while it lasts, then with its end."""
        since = time.monotonic()
        place = len(self.history.disturbances)
        self.history.disturbances.append(Disturbance(gateway, kind, since, float("inf")))
        yield
        self.history.disturbances[place] = Disturbance(gateway, kind, since, time.monotonic())

    async def _restart(self, gateway: int, which: signal.Signals) -> None:
        self._started.signal(gateway, which)
        await self._started.processes[gateway].wait()
        self._starts[gateway] += 1
        await self._started.start(gateway)
        await self._started.ready(gateway)

    async def _stop(self) -> None:
        await self._on_gateway("stop", lambda gateway: self._restart(gateway, signal.SIGTERM))

    async def _kill(self) -> None:
        await self._on_gateway("kill", lambda gateway: self._restart(gateway, signal.SIGKILL))

    async def _suspend(self) -> None:
        async def fault(gateway: int) -> None:
            self._started.signal(gateway, signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.1, 2.0))
            self._started.signal(gateway, signal.SIGCONT)

        await self._on_gateway("suspend", fault)

    async def _hang_up(self) -> None:
        self._started.signal(self._rng.randrange(GATEWAYS), signal.SIGHUP)

    async def _store(self) -> None:
        faults = self._started.fleet.store.faults
        name, value = self._rng.choice(
            [("silent", True), ("reset", True), ("refuse_status", 503), ("late_s", 1.0)]
        )
        with self._disturbing(-1, "store"):
            calm = getattr(faults, name)
            setattr(faults, name, value)
            await asyncio.sleep(self._rng.uniform(0.3, 2.5))
            setattr(faults, name, type(calm)())

    async def _server(self) -> None:
        server = self._rng.choice(list(self._started.fleet.servers_by_id.values()))
        service = server.id.partition("-")[0]
        script = self._rng.choice([garble, run_and_reset, run_and_stay_silent, shed])
        server.script = self.noted(service, script)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        server.script = self.script(service)


async def play(seed: int, seconds: float) -> History:
    """Play a seed and return what was seen."""
    async with gateways(GATEWAYS, servers=0, wait=False) as started:
        one = Play(started, seed)
        for service in SERVICES:
            for number in range(SERVERS_PER_SERVICE):
                script = one.script(service)
                await started.fleet.server(f"{service}-{number}", service, script=script)
        for gateway in range(GATEWAYS):
            await started.ready(gateway)
        async with asyncio.TaskGroup() as tasks:
            for gateway in range(GATEWAYS):
                for _ in range(CALLERS_PER_GATEWAY):
                    tasks.create_task(one.call(gateway))
            await one.disturb(seconds)
            await one.finish()
        return one.history
