"""Cost of the control plane for an entry: bytes, processor time and calls to the platform.

Entries without callers run in one process, with the real platform client and peer links and a
stand-in for the platform: ``python -m bench.control ENTRIES FAN_OUT [--seconds S]``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import cattrs
import click
import uvloop

from bench.fleet import PEERS_PORT, PLATFORM_PORT, ROOT, service
from sycamorebay import log
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.metrics import Metrics
from sycamorebay.settings import LogSettings, PlatformSettings, Settings
from sycamorebay.state.backends import LoadReport
from sycamorebay.transport.background import run_in_background
from sycamorebay.transport.configuration import admin
from sycamorebay.transport.configuration.admin import Change
from sycamorebay.transport.configuration.platform import EtcdStore, open_store
from sycamorebay.transport.entry.control import Control

SEED = 11
SECRET = "a shared secret for the bench"
# Header bytes of one TCP segment with timestamps, over IPv4.
TCP_IP_BYTES = 52
# Time from the entries' start until the measurement.
WARM_UP_S = 4.0
OUTAGE_S = 12.0
DOMAINS = tuple(f"domain-{number}" for number in range(7))
ROUTES = [{"methods": ["GET"], "path": "/prices", "idempotent": True}]


@attrs.frozen
class Member:
    """One entry without callers.

    Attributes
    ----------
    control : Control
        Membership, configuration and registration of the entry.
    metrics : Metrics
        Metrics of the entry.
    dispatcher : Dispatcher
        Dispatcher of the entry.
    """

    control: Control
    metrics: Metrics
    dispatcher: Dispatcher

    def bytes_moved(self) -> float:
        """Return the bytes sent to and received from peers so far."""
        return sum(
            self.metrics.peer_bytes.labels(direction)._value.get() for direction in ("in", "out")
        )


def document_text(address: str, note: str = "") -> bytes:
    """Return a document of the design size: 82 services with 630 backend servers.

    Parameters
    ----------
    address : str
        IP address of all backend servers.
    note : str
        Part of a host name, by which documents differ.
    """
    services = []
    for number in range(82):
        row = service(f"service-{number}", 7 + (number < 56), 4, DOMAINS, ROUTES)
        for index, server in enumerate(row["backend_servers"]):
            server["address"] = f"{address}:{10_000 + number * 10 + index}"
        services.append(row)
    services[0]["hosts"].append(f"note-{note}.test")
    return json.dumps({"format": 1, "services": services}).encode()


class Bench:
    """A platform stand-in and entries without callers, as an async context manager.

    Parameters
    ----------
    entries : int
        Number of entries.
    fan_out : int
        Peers that an entry sends each heartbeat to.

    Attributes
    ----------
    address : str
        Loopback address of the stand-in and the entries.
    url : str
        Base URL of the platform stand-in.
    members : list of Member
        Entries, once the context is entered.
    http : aiohttp.ClientSession
        Client for requests to the stand-in.
    store : EtcdStore
        Client of the platform's store.
    """

    def __init__(self, entries: int, fan_out: int) -> None:
        self._entries = entries
        self._fan_out = fan_out
        self._stack = contextlib.AsyncExitStack()
        self.address = f"127.{os.getpid() // 250 % 250 + 2}.{os.getpid() % 250 + 1}.251"
        self.url = f"http://{self.address}:{PLATFORM_PORT}"
        self.members: list[Member] = []
        self.http: aiohttp.ClientSession
        self.store: EtcdStore

    async def __aenter__(self) -> Bench:
        directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        (directory / "secret").write_text(SECRET + "\n")
        self.http = await self._stack.enter_async_context(aiohttp.ClientSession())
        await self._stack.enter_async_context(self._platform())
        platform = PlatformSettings(url=self.url, calls_per_second=100)
        self.store = await self._stack.enter_async_context(open_store(platform))
        await self.apply("0")
        for index in range(self._entries):
            settings = cattrs.structure(self._settings(index, directory), Settings)
            self.members.append(await self._stack.enter_async_context(_member(settings)))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def apply(self, note: str) -> int:
        """Put a changed document in force and return its revision."""
        change = Change(document_text(self.address, note), "apply", "bench", note)
        return (await admin.apply(self.store, "production", change)).entry.revision

    async def until(self, holds: Any, limit_s: float = 60.0) -> float:
        """Wait until a predicate holds for every member.

        Parameters
        ----------
        holds : callable
            Takes a member and returns a bool.
        limit_s : float
            Longest wait in seconds.

        Returns
        -------
        float
            Time waited, in seconds.

        Raises
        ------
        TimeoutError
            If the wait takes longer than `limit_s`.
        """
        started = time.monotonic()
        async with asyncio.timeout(limit_s):
            while not all(holds(member) for member in self.members):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return time.monotonic() - started

    async def inject_faults(self, **faults: Any) -> None:
        """Inject faults into the platform stand-in."""
        async with self.http.post(self.url + "/control", json=faults) as response:
            response.raise_for_status()

    async def counters(self) -> dict[str, Any]:
        """Return the counters of the platform stand-in."""
        async with self.http.get(self.url + "/control") as response:
            return await response.json()

    @contextlib.asynccontextmanager
    async def _platform(self) -> AsyncIterator[None]:
        arguments = ["--address", self.address, "--port", str(PLATFORM_PORT)]
        process = self._start("standins.platform", arguments)
        try:
            async with asyncio.timeout(20):
                while not await self._is_responding():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            yield
        finally:
            process.kill()
            process.wait()

    @staticmethod
    def _start(module: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments], cwd=ROOT, stderr=subprocess.DEVNULL
        )

    async def _is_responding(self) -> bool:
        try:
            await self.counters()
        except aiohttp.ClientError:
            return False
        return True

    def _settings(self, index: int, directory: Path) -> dict[str, Any]:
        seeds = [f"{self.address}:{PEERS_PORT + seed}" for seed in range(3)]
        listen = {"address": self.address, "port": PEERS_PORT + index}
        return {
            "id": f"entry-{index}",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "callers": listen,
            "operators": listen,
            "peers": {**listen, "seeds": seeds, "fan_out": self._fan_out},
            "platform": {"url": self.url},
            "secret_file": str(directory / "secret"),
        }


@contextlib.asynccontextmanager
async def _member(settings: Settings) -> AsyncIterator[Member]:
    metrics = Metrics()
    dispatcher = Dispatcher(random.Random(SEED))
    control = Control(settings, dispatcher, metrics)
    async with control.open() as parts, run_in_background(parts):
        yield Member(control, metrics, dispatcher)


async def measure(entries: int, fan_out: int, seconds: float) -> dict[str, Any]:
    """Measure the costs of the control plane at one size.

    Parameters
    ----------
    entries : int
        Number of entries.
    fan_out : int
        Peers that an entry sends each heartbeat to.
    seconds : float
        Length of the measurement in the steady state.

    Returns
    -------
    dict
        Figures by name, as they are printed.
    """
    async with Bench(entries, fan_out) as bench:
        settled_s = await bench.until(lambda member: not member.control.refusal_reason())
        await asyncio.sleep(WARM_UP_S)
        steady = await _measure_steady_state(bench, seconds)
        click.echo(json.dumps(steady), err=True)
        notice_delays_s = [await _notice_delay_s(bench, f"service-{n}-0") for n in range(3)]
        change_delays_s = [await _revision_delay_s(bench, str(n)) for n in range(1, 4)]
        outage = await _measure_outage(bench)
    return {
        "entries": entries,
        "fan_out": fan_out,
        "settled_s": round(settled_s, 2),
        **steady,
        "news_s": [round(delay_s, 3) for delay_s in notice_delays_s],
        "in_force_s": [round(delay_s, 3) for delay_s in change_delays_s],
        **outage,
        "load": os.getloadavg()[0],
    }


async def _measure_steady_state(bench: Bench, seconds: float) -> dict[str, Any]:
    bytes_before = [member.bytes_moved() for member in bench.members]
    calls = sum((await bench.counters())["calls"].values())
    frames = sum(_frames(member) for member in bench.members)
    cpu = time.process_time()
    await asyncio.sleep(seconds)
    cpu = time.process_time() - cpu
    number = len(bench.members)
    after = [member.bytes_moved() for member in bench.members]
    rates = [(b - a) / seconds for a, b in zip(bytes_before, after, strict=True)]
    frames = sum(_frames(member) for member in bench.members) - frames
    calls = sum((await bench.counters())["calls"].values()) - calls
    mean = statistics.mean(rates)
    return {
        "bytes_per_s_mean": round(mean),
        "bytes_per_s_max": round(max(rates)),
        "with_tcp_ip_per_s": round(mean + frames / seconds / number * TCP_IP_BYTES * 2),
        "cpu_share_per_entry": round(cpu / seconds / number, 5),
        "calls_per_s_all": round(calls / seconds, 1),
    }


def _frames(member: Member) -> float:
    return sum(member.metrics.peer_frames.labels(d)._value.get() for d in ("in", "out"))


async def _notice_delay_s(bench: Bench, server_id: str) -> float:
    """Return the seconds until every member knows that a server is leaving, as one observed."""
    observer = bench.members[-1].dispatcher
    observer.on_report(time.monotonic(), server_id, LoadReport(0, 0, True))

    def knows(member: Member) -> bool:
        state = member.dispatcher.backends.get(server_id)
        return state is not None and state.is_leaving(time.monotonic())

    return await bench.until(knows, 20)


async def _revision_delay_s(bench: Bench, note: str) -> float:
    """Return the seconds until a new revision is in force at every member while watches hang."""
    await bench.inject_faults(hang_watches=True)
    number = await bench.apply(note)
    elapsed_s = await bench.until(lambda member: member.control.configuration.number >= number, 30)
    await bench.inject_faults(hang_watches=False)
    return elapsed_s


async def _measure_outage(bench: Bench) -> dict[str, Any]:
    await bench.inject_faults(down=True)
    await asyncio.sleep(OUTAGE_S)
    start = max(map(int, (await bench.counters())["calls_by_second"]))
    await bench.inject_faults(down=False)
    await asyncio.sleep(10)
    by_second = {int(s): n for s, n in (await bench.counters())["calls_by_second"].items()}
    during = [n for s, n in by_second.items() if start - OUTAGE_S + 5 <= s < start]
    after = [n for s, n in by_second.items() if s >= start]
    return {
        "calls_per_s_in_outage": round(statistics.mean(during), 1),
        "calls_worst_second_after": max(after),
    }


@click.command()
@click.argument("entries", type=int)
@click.argument("fan_out", type=int)
@click.option("--seconds", default=20.0)
def main(entries: int, fan_out: int, seconds: float) -> None:
    """Measure the control plane and print one line of JSON."""
    log.configure(LogSettings(level="critical"))
    click.echo(json.dumps(uvloop.run(measure(entries, fan_out, seconds))))


if __name__ == "__main__":
    main()
