"""Callers of keyed operations that retry after any failure, and the cost of such operations.

``python -m bench.operations`` measures each kind of send against a request without a key.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import time
import tracemalloc
from collections import Counter
from typing import Any

import aiohttp
import attrs
import click
from hdrh.histogram import HdrHistogram

from bench.fleet import OPERATORS_PORT, Fleet, Shape, service
from bench.load import Report, new_key
from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.operation_messages import Inquiry
from sycamorebay.coordination.operations import Operations
from sycamorebay.settings import OperationSettings
from sycamorebay.state.operations import KeptAnswer, parse_key

HOST = "desk.test"
DOMAINS = ("a", "b")
ROUTES = [{"methods": ["POST"], "path": "/bids", "deadline_ms": 2000}]
MAX_LATENCY_US = 60_000_000


def shape(entries: int, work_ms: float = 5.0, **settings: Any) -> Shape:
    """Return a fleet of one service with eight backend servers for keyed operations.

    Parameters
    ----------
    entries : int
        Number of entries.
    work_ms : float
        Mean work of an operation, in milliseconds.
    **settings : dict
        Settings merged into those of each entry.
    """
    document = {"format": 1, "services": [service("desk", 8, 3, DOMAINS, ROUTES)]}
    return Shape(entries, document, 2, {"work_ms": work_ms, "jitter": 0.2}, settings)


@attrs.frozen
class CallerBehaviour:
    """Behaviour of the callers.

    Attributes
    ----------
    rate : float
        Mean rate of operations a second.
    timeout_s : float
        Timeout of one send, in seconds.
    sends : int
        Largest number of sends of one operation.
    unmarked : float
        Share of operations whose first send isn't marked as the first attempt.
    twice : float
        Share of sends that go to two entries at once; a marked first send goes to one.
    """

    rate: float = 60.0
    timeout_s: float = 0.7
    sends: int = 6
    unmarked: float = 0.1
    twice: float = 0.1


class OperationCallers:
    """Sends keyed operations through entries, any of which may fail at any time.

    Parameters
    ----------
    urls : list of str
        Base URLs of the entries.
    behaviour : CallerBehaviour
        Rates, timeouts and retries of the callers.
    seed : int
        Seed of the arrivals and of the callers' choices.

    Attributes
    ----------
    report : Report
        Outcomes of operations.
    sends : collections.Counter of str
        Sends by their outcome.
    """

    def __init__(self, urls: list[str], behaviour: CallerBehaviour, seed: int) -> None:
        self._urls = urls
        self._behaviour = behaviour
        self._rng = random.Random(seed)
        self.report = Report()
        self.sends: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Send operations for some seconds and wait until every operation has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            end = time.monotonic() + seconds
            async with asyncio.TaskGroup() as tasks:
                while time.monotonic() < end:
                    tasks.create_task(self._operate(session))
                    await asyncio.sleep(self._rng.expovariate(self._behaviour.rate))

    async def _operate(self, session: aiohttp.ClientSession) -> None:
        behaviour, rng = self._behaviour, self._rng
        key = new_key(rng)
        marked = rng.random() >= behaviour.unmarked
        outcomes = self.report.outcomes_by_key.setdefault(key, [])
        for _ in range(behaviour.sends):
            first = marked and all(outcome in ("unreached", "not-run") for outcome in outcomes)
            copies = 1 if first or rng.random() >= behaviour.twice else 2
            urls = rng.sample(self._urls, copies)
            outcomes += await asyncio.gather(
                *(self._send(session, url, key, first) for url in urls)
            )
            if any(outcome in ("served", "failed") for outcome in outcomes):
                break
            await asyncio.sleep(rng.uniform(0.05, 0.5))
        self.report.outcomes[_final_outcome(outcomes), ""] += 1

    async def _send(self, session: aiohttp.ClientSession, url: str, key: str, first: bool) -> str:
        headers = {"host": HOST, "idempotency-key": key, "x-echo": key}
        headers["sycamorebay-attempt"] = "1" if first else "2"
        timeout = aiohttp.ClientTimeout(total=self._behaviour.timeout_s)
        outcome = "lost"
        try:
            async with session.post(
                url + "/bids", headers=headers, data=b"bid", timeout=timeout
            ) as response:
                outcome = await self._outcome(response, key)
        except aiohttp.ClientConnectorError:
            outcome = "unreached"
        except (aiohttp.ClientError, TimeoutError, OSError):
            outcome = "lost"
        self.sends[outcome] += 1
        return outcome

    async def _outcome(self, response: aiohttp.ClientResponse, key: str) -> str:
        body = await response.read()
        outcome = response.headers.get("sycamorebay-outcome")
        if outcome is not None:
            return outcome
        if response.status >= 500:
            return "failed"
        if key.encode() not in body:
            self.report.wrong_answers += 1
        return "served"


def _final_outcome(outcomes: list[str]) -> str:
    return next((outcome for outcome in ("served", "failed") if outcome in outcomes), outcomes[-1])


def find_violations(report: Report, runs_by_key: Counter[str]) -> list[str]:
    """Compare the outcomes of all sends of each operation with the runs at backend servers.

    Parameters
    ----------
    report : Report
        Outcomes from the callers' view.
    runs_by_key : collections.Counter of str
        Runs at backend servers by idempotency key.

    Returns
    -------
    list of str
        One line for each violated guarantee.
    """
    violations = []
    if report.wrong_answers:
        violations.append(f"{report.wrong_answers} callers got another request's answer")
    for key, outcomes in report.outcomes_by_key.items():
        runs = runs_by_key[key]
        if runs > 1:
            violations.append(f"operation {key} ran {runs} times: {outcomes}")
        if "served" in outcomes and runs == 0:
            violations.append(f"operation {key} was reported served and never ran: {outcomes}")
        if runs and all(outcome in ("not-run", "unreached") for outcome in outcomes):
            violations.append(f"operation {key} was reported not run and ran: {outcomes}")
    return violations


@attrs.frozen
class SendCosts:
    """Costs of one kind of send.

    Attributes
    ----------
    name : str
        Kind of send, as in the table.
    latency : HdrHistogram
        Latency in microseconds.
    peer_bytes : float
        Mean bytes sent between entries for one send.
    platform_calls : float
        Mean calls to the platform for one send.
    """

    name: str
    latency: HdrHistogram
    peer_bytes: float
    platform_calls: float

    def row(self, base: HdrHistogram) -> str:
        """Return a row of the table.

        Parameters
        ----------
        base : HdrHistogram
            Latency of the request without a key in the same rounds, in microseconds.
        """
        cells = [self.latency.get_value_at_percentile(q) / 1000 for q in (50, 99)]
        added = [
            (self.latency.get_value_at_percentile(q) - base.get_value_at_percentile(q)) / 1000
            for q in (50, 99)
        ]
        numbers = "".join(f"{value:>10.2f}" for value in cells + added)
        return f"{self.name:<28}{numbers}{self.peer_bytes:>12.0f}{self.platform_calls:>10.2f}"


async def measure(rounds: int, entries: int, seed: int) -> list[SendCosts]:
    """Measure each kind of send once in every round, on a fleet without other load."""
    rng = random.Random(seed)
    kinds = ["keyless", "first, marked", "again, answer kept here", "again, kept elsewhere"]
    kinds += ["first, not marked"]
    latency = {kind: HdrHistogram(1, MAX_LATENCY_US, 3) for kind in kinds}
    bytes_by_kind: Counter[str] = Counter()
    calls_by_kind: Counter[str] = Counter()
    async with Fleet(shape(entries, work_ms=1.0)) as fleet:
        for number in range(rounds + 50):
            key, unmarked_key = new_key(rng), new_key(rng)
            for kind, entry, sent, first in [
                ("keyless", 0, "", False),
                ("first, marked", 0, key, True),
                ("again, answer kept here", 0, key, False),
                ("again, kept elsewhere", 1, key, False),
                ("first, not marked", 0, unmarked_key, False),
            ]:
                counts_costs = number % 50 == 49
                before = await _costs(fleet, entries) if counts_costs else (0.0, 0.0)
                seconds = await _send_seconds(fleet, entry, sent, first)
                if counts_costs:
                    after = await _costs(fleet, entries)
                    bytes_by_kind[kind] += int(after[0] - before[0])
                    calls_by_kind[kind] += int(after[1] - before[1])
                if number >= 50:
                    latency[kind].record_value(int(seconds * 1e6))
            # Entries limit the rate of range reads; the pause keeps that wait out of the latencies.
            await asyncio.sleep(0.25)
        samples = (rounds + 50) // 50
        return [
            SendCosts(
                kind, latency[kind], bytes_by_kind[kind] / samples, calls_by_kind[kind] / samples
            )
            for kind in kinds
        ]


async def _send_seconds(fleet: Fleet, entry: int, key: str, first: bool, query: str = "") -> float:
    headers = {"host": HOST}
    if key:
        headers["idempotency-key"] = key
        headers["sycamorebay-attempt"] = "1" if first else "2"
    started = time.perf_counter()
    url = fleet.url(entry) + "/bids" + query
    async with fleet.http.post(url, headers=headers, data=b"x") as answer:
        await answer.read()
        if answer.status != 200:
            raise RuntimeError(f"a send got {answer.status}: {await answer.text()}")
    return time.perf_counter() - started


async def _costs(fleet: Fleet, entries: int) -> tuple[float, float]:
    sent = calls = 0.0
    for entry in range(entries):
        headers = {"sycamorebay-secret": fleet.secret}
        url = fleet.url(entry, OPERATORS_PORT) + "/metrics"
        async with fleet.http.get(url, headers=headers) as reply:
            for line in (await reply.text()).splitlines():
                if line.startswith('sycamorebay_peer_bytes_total{direction="out"}'):
                    sent += float(line.rsplit(" ", 1)[1])
                if line.startswith("sycamorebay_platform_calls_total{"):
                    calls += float(line.rsplit(" ", 1)[1])
    return sent, calls


def bytes_per_thousand_records(number: int = 20_000) -> tuple[float, float]:
    """Return the bytes held by a thousand tombstones and by a thousand answers of 200 bytes."""
    sizes = []
    for answered in (False, True):
        own = Member("entry-0", 1, "127.0.0.1:1", "a")
        operations = Operations(OperationSettings(), own)
        rng = random.Random(1)
        tracemalloc.start()
        for _ in range(number):
            key = parse_key(new_key(rng))
            assert key is not None
            operations.on_inquiry(time.time(), Inquiry(key, 1, b"", own))
            record = operations.records.get(key)
            if answered and record is not None:
                body = rng.randbytes(100)
                headers = (("content-type", "application/json"), ("x-server", body.hex()[:68]))
                operations.records.keep(key, record, KeptAnswer(200, headers, body, ("a",)))
        sizes.append(tracemalloc.get_traced_memory()[0] / number * 1000)
        tracemalloc.stop()
    return sizes[0], sizes[1]


async def recovery_seconds(rounds: int, seed: int) -> list[float]:
    """Return the seconds from each kill of an entry until another answers its operation."""
    rng = random.Random(seed)
    seconds = []
    async with Fleet(shape(3)) as fleet:
        for number in range(rounds):
            key, entry = new_key(rng), number % 3
            first = asyncio.create_task(_send_seconds(fleet, entry, key, True, "?work_ms=400"))
            await asyncio.sleep(0.2)
            fleet.kill(f"entry-{entry}")
            started = time.perf_counter()
            await asyncio.gather(first, return_exceptions=True)
            with contextlib.suppress(RuntimeError):
                await _send_seconds(fleet, (entry + 1) % 3, key, False, "?work_ms=400")
            seconds.append(time.perf_counter() - started)
            fleet.start_entry(entry)
            await fleet.until_ready([entry])
    return seconds


async def describe_failure(failure: str, seed: int, seconds: float = 10.0) -> str:
    """Return a line with the shares of marked and unmarked operations not served in a failure."""
    async with Fleet(shape(5)) as fleet:
        urls = [fleet.url(index) for index in range(5)]
        marked = OperationCallers(urls, CallerBehaviour(rate=40, unmarked=0.0, twice=0.0), seed)
        unmarked = OperationCallers(
            urls, CallerBehaviour(rate=20, unmarked=1.0, twice=0.0), seed + 1
        )
        fault_task = asyncio.create_task(_inject_failure(fleet, failure, seconds))
        await asyncio.gather(marked.run(seconds), unmarked.run(seconds))
        await fault_task
    cells = []
    for callers in (marked, unmarked):
        outcomes = callers.report.outcomes
        served = sum(n for (outcome, _), n in outcomes.items() if outcome == "served")
        cells.append(f"{1 - served / outcomes.total():.2%} of {outcomes.total()}")
    return f"{failure}: not served, marked {cells[0]}, unmarked {cells[1]}"


async def _inject_failure(fleet: Fleet, failure: str, seconds: float) -> None:
    await asyncio.sleep(1)
    if failure == "outage":
        await fleet.control_platform(down=True)
    elif failure == "death":
        fleet.kill("entry-1")
    elif failure == "pause":
        fleet.signal("entry-1", signal.SIGSTOP)
    elif failure == "rolling":
        for index in range(4):
            fleet.signal(f"entry-{index}", signal.SIGTERM)
            await asyncio.to_thread(fleet.processes_by_name[f"entry-{index}"].wait, 20)
            fleet.start_entry(index)
            await fleet.until_ready([index])


FAILURES = ("none", "outage", "death", "pause", "rolling")


@click.command()
@click.option("--part", type=click.Choice(["latency", "failures"]), default="latency")
@click.option("--seed", type=int, default=5)
def main(part: str, seed: int) -> None:
    """Measure keyed operations and print a table."""
    print(f"seed {seed}, load {os.getloadavg()[0]:.1f}")
    if part == "failures":
        empty, answered = bytes_per_thousand_records()
        print(f"a thousand tombstones: {empty:.0f} bytes; with answers: {answered:.0f} bytes")
        settled = asyncio.run(recovery_seconds(4, seed))
        print("settled after a death in", ", ".join(f"{value:.3f} s" for value in settled))
        for failure in FAILURES:
            print(asyncio.run(describe_failure(failure, seed)), flush=True)
        return
    rounds, entries = 150, 13
    costs_by_kind = asyncio.run(measure(rounds, entries, seed))
    print(f"{rounds} rounds, {entries} entries, load {os.getloadavg()[0]:.1f}")
    print(f"{'':<28}{'p50 ms':>10}{'p99 ms':>10}{'+p50':>10}{'+p99':>10}", end="")
    print(f"{'peer bytes':>12}{'calls':>10}")
    for costs in costs_by_kind:
        print(costs.row(costs_by_kind[0].latency))


if __name__ == "__main__":
    main()
