"""Callers of keyed operations that send again after any failure, and what became of it.

``python -m bench.operations`` measures each kind of send against a keyless request.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from collections import Counter
from typing import Any

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

from bench.fleet import OPERATORS_PORT, Fleet, Shape, service
from bench.load import Report, new_key

HOST = "desk.test"
DOMAINS = ("a", "b")
ROUTES = [{"methods": ["POST"], "path": "/bids", "deadline_ms": 2000}]
MAX_US = 60_000_000


def shape(entries: int, work_ms: float = 5.0, **settings: Any) -> Shape:
    """Return a fleet for operations."""
    document = {"format": 1, "services": [service("desk", 8, 3, DOMAINS, ROUTES)]}
    return Shape(entries, document, 2, {"work_ms": work_ms, "jitter": 0.2}, settings)


@attrs.frozen
class Habits:
    """What the callers do.

    Attributes
    ----------
    rate : float
        Operations a second.
    timeout_s : float
        How long one send is waited for.
    sends : int
        Most sends of one operation.
    unmarked : float
        Share of operations whose first send carries no mark.
    twice : float
        Share of sends that go to two entries at once.
    """

    rate: float = 60.0
    timeout_s: float = 0.7
    sends: int = 6
    unmarked: float = 0.1
    twice: float = 0.1


class OperationCallers:
    """Sends operations through entries, any of which may fail at any time.

    Parameters
    ----------
    urls : list of str
        Entries.
    habits : Habits
        What the callers do.
    seed : int
        Seed of what they do and when.
    """

    def __init__(self, urls: list[str], habits: Habits, seed: int) -> None:
        self._urls = urls
        self._habits = habits
        self._rng = random.Random(seed)
        self.report = Report()
        self.sends: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Send for some seconds and wait for every operation's end."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            end = time.monotonic() + seconds
            async with asyncio.TaskGroup() as tasks:
                while time.monotonic() < end:
                    tasks.create_task(self._operate(session))
                    await asyncio.sleep(self._rng.expovariate(self._habits.rate))

    async def _operate(self, session: aiohttp.ClientSession) -> None:
        habits, rng = self._habits, self._rng
        key = new_key(rng)
        marked = rng.random() >= habits.unmarked
        told = self.report.told_by_key.setdefault(key, [])
        for _ in range(habits.sends):
            first = marked and all(outcome in ("unreached", "not-run") for outcome in told)
            copies = 1 if first or rng.random() >= habits.twice else 2
            urls = rng.sample(self._urls, copies)
            told += await asyncio.gather(*(self._send(session, url, key, first) for url in urls))
            if any(outcome in ("served", "failed") for outcome in told):
                break
            await asyncio.sleep(rng.uniform(0.05, 0.5))
        self.report.outcomes[_final(told), ""] += 1

    async def _send(self, session: aiohttp.ClientSession, url: str, key: str, first: bool) -> str:
        headers = {"host": HOST, "idempotency-key": key, "x-echo": key}
        headers["sycamorebay-attempt"] = "1" if first else "2"
        timeout = aiohttp.ClientTimeout(total=self._habits.timeout_s)
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


def _final(told: list[str]) -> str:
    return next((outcome for outcome in ("served", "failed") if outcome in told), told[-1])


def broken_promises(report: Report, runs_by_key: Counter[str]) -> list[str]:
    """Compare what callers were told, by any send, with what backend servers ran."""
    broken = []
    if report.wrong_answers:
        broken.append(f"{report.wrong_answers} callers got another request's answer")
    for key, told in report.told_by_key.items():
        runs = runs_by_key[key]
        if runs > 1:
            broken.append(f"operation {key} ran {runs} times: {told}")
        if "served" in told and runs == 0:
            broken.append(f"operation {key} was told served and never ran: {told}")
        if runs and all(outcome in ("not-run", "unreached") for outcome in told):
            broken.append(f"operation {key} was told not run and ran: {told}")
    return broken


@attrs.frozen
class Timed:
    """One kind of send: latency, and what it cost between entries and at the platform."""

    name: str
    latency: HdrHistogram
    peer_bytes: float
    platform_calls: float

    def row(self, base: HdrHistogram) -> str:
        """Return a row of the table; `base` is the keyless request of the same rounds."""
        cells = [self.latency.get_value_at_percentile(q) / 1000 for q in (50, 99)]
        added = [
            (self.latency.get_value_at_percentile(q) - base.get_value_at_percentile(q)) / 1000
            for q in (50, 99)
        ]
        numbers = "".join(f"{one:>10.2f}" for one in cells + added)
        return f"{self.name:<28}{numbers}{self.peer_bytes:>12.0f}{self.platform_calls:>10.2f}"


async def measure(rounds: int, entries: int, seed: int) -> list[Timed]:
    """Time each kind of send in turn, round by round, on a quiet fleet."""
    rng = random.Random(seed)
    kinds = ["keyless", "first, marked", "again, answer kept here", "again, kept elsewhere"]
    kinds += ["first, not marked"]
    latency = {kind: HdrHistogram(1, MAX_US, 3) for kind in kinds}
    bytes_by_kind: Counter[str] = Counter()
    calls_by_kind: Counter[str] = Counter()
    async with Fleet(shape(entries, work_ms=1.0)) as fleet:
        for number in range(rounds + 50):
            key, other = new_key(rng), new_key(rng)
            for kind, entry, sent, first in [
                ("keyless", 0, "", False),
                ("first, marked", 0, key, True),
                ("again, answer kept here", 0, key, False),
                ("again, kept elsewhere", 1, key, False),
                ("first, not marked", 0, other, False),
            ]:
                watched = number % 50 == 49
                before = await _costs(fleet, entries) if watched else (0.0, 0.0)
                seconds = await _timed_send(fleet, entry, sent, first)
                if watched:
                    after = await _costs(fleet, entries)
                    bytes_by_kind[kind] += int(after[0] - before[0])
                    calls_by_kind[kind] += int(after[1] - before[1])
                if number >= 50:
                    latency[kind].record_value(int(seconds * 1e6))
            # Reads of the ranges are paced; a pause keeps that out of the figures.
            await asyncio.sleep(0.25)
        watches = (rounds + 50) // 50
        return [
            Timed(kind, latency[kind], bytes_by_kind[kind] / watches, calls_by_kind[kind] / watches)
            for kind in kinds
        ]


async def _timed_send(fleet: Fleet, entry: int, key: str, first: bool) -> float:
    headers = {"host": HOST}
    if key:
        headers["idempotency-key"] = key
        headers["sycamorebay-attempt"] = "1" if first else "2"
    started = time.perf_counter()
    async with fleet.http.post(fleet.url(entry) + "/bids", headers=headers, data=b"x") as answer:
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


def main() -> int:
    """Measure and print a table."""
    rounds, entries, seed = 150, 13, 5
    timed = asyncio.run(measure(rounds, entries, seed))
    print(f"{rounds} rounds, {entries} entries, seed {seed}, load {os.getloadavg()[0]:.1f}")
    print(f"{'':<28}{'p50 ms':>10}{'p99 ms':>10}{'+p50':>10}{'+p99':>10}", end="")
    print(f"{'peer bytes':>12}{'calls':>10}")
    for one in timed:
        print(one.row(timed[0].latency))
    return 0


if __name__ == "__main__":
    sys.exit(main())
