"""Load generator: seeded open-loop arrivals through a stand-in for the platform's balancer."""

from __future__ import annotations

import asyncio
import json
import random
import time
import uuid
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

MAX_SENDS = 5
_MAX_LATENCY_US = 120_000_000
# A run is void if the 99th percentile of the load generator's own lateness is above this.
MAX_LATENESS_MS = 20.0
# Time for which the balancer passes over an entry that accepted no connection.
UNREACHABLE_S = 1.0


@attrs.frozen
class Kind:
    """One kind of request.

    Attributes
    ----------
    name : str
        Name of the kind in the report.
    host : str
        ``Host`` header of the requests.
    method : str
        HTTP method.
    target : str
        Path and query.
    rate : float
        Mean arrival rate, in requests a second.
    keyed : bool
        Whether the request is a non-idempotent operation with an idempotency key.
    """

    name: str
    host: str
    method: str
    target: str
    rate: float
    keyed: bool = False


@attrs.define
class Report:
    """Outcomes and latencies from the callers' view.

    Attributes
    ----------
    outcomes : collections.Counter
        Requests by final outcome and step of refusal or failure.
    wrong_answers : int
        Answers that echo the token of another request.
    latency_by_kind : dict of str to HdrHistogram
        Latency of served requests by kind, in microseconds.
    outcomes_by_key : dict of str to list of str
        Outcomes of all sends by idempotency key.
    lateness : HdrHistogram
        Delay of the load generator's own sends, in microseconds.
    """

    outcomes: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    wrong_answers: int = 0
    latency_by_kind: dict[str, HdrHistogram] = attrs.field(factory=dict)
    outcomes_by_key: dict[str, list[str]] = attrs.field(factory=dict)
    lateness: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3))

    def observe(self, kind: Kind, seconds: float) -> None:
        """Record a latency in seconds, counted from the intended send time."""
        histogram = self.latency_by_kind.setdefault(kind.name, HdrHistogram(1, _MAX_LATENCY_US, 3))
        histogram.record_value(max(1, int(seconds * 1e6)))

    def quantile_ms(self, kind_name: str, quantile: float) -> float:
        """Return a latency percentile of one kind in milliseconds, or 0 without samples."""
        histogram = self.latency_by_kind.get(kind_name)
        return histogram.get_value_at_percentile(quantile) / 1000 if histogram else 0.0

    def lateness_p99_ms(self) -> float:
        """Return the 99th percentile of the load generator's own lateness in milliseconds."""
        return self.lateness.get_value_at_percentile(99) / 1000


class Balancer:
    """Stand-in for the platform's balancer: round robin over entries that accept connections.

    Parameters
    ----------
    urls : list of str
        Base URLs of the entries.
    """

    def __init__(self, urls: list[str]) -> None:
        self._urls = urls
        self._next = 0
        self._unreachable_until_by_url: dict[str, float] = {}

    def pick(self) -> str:
        """Return the URL of the next entry not marked as unreachable, or of any if all are."""
        now = time.monotonic()
        for _ in self._urls:
            self._next = (self._next + 1) % len(self._urls)
            url = self._urls[self._next]
            if self._unreachable_until_by_url.get(url, 0.0) <= now:
                break
        return url

    def on_connect_failure(self, url: str) -> None:
        """Pass over an entry that accepted no connection for `UNREACHABLE_S`."""
        self._unreachable_until_by_url[url] = time.monotonic() + UNREACHABLE_S


class LoadGenerator:
    """Sends a mix of requests and records the outcome of each.

    Parameters
    ----------
    urls : list of str
        Base URLs of the entries.
    kinds : list of Kind
        Kinds of request with their rates.
    seed : int
        Seed of the arrivals and tokens.

    Attributes
    ----------
    report : Report
        Outcomes and latencies so far.
    """

    def __init__(self, urls: list[str], kinds: list[Kind], seed: int) -> None:
        self._balancer = Balancer(urls)
        self._kinds = kinds
        self._rng = random.Random(seed)
        self.report = Report()

    async def run(
        self, seconds: float, rate_factor: Callable[[float], float] | None = None
    ) -> None:
        """Send requests and wait for every answer.

        Parameters
        ----------
        seconds : float
            Time during which requests are sent.
        rate_factor : callable, optional
            Returns the factor of every kind's rate for a time in seconds from the start.
        """
        arrivals = self._arrivals(seconds, rate_factor or (lambda _: 1.0))
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=60)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            session._retry_connection = False
            start = time.monotonic()
            async with asyncio.TaskGroup() as tasks:
                for at, kind in arrivals:
                    wait_s = start + at - time.monotonic()
                    if wait_s > 0:
                        await asyncio.sleep(wait_s)
                    late_s = time.monotonic() - start - at
                    self.report.lateness.record_value(max(1, int(late_s * 1e6)))
                    tasks.create_task(self._call(session, kind, start + at))

    def _arrivals(
        self, seconds: float, rate_factor: Callable[[float], float]
    ) -> list[tuple[float, Kind]]:
        arrivals = []
        for kind in self._kinds:
            at = 0.0
            while kind.rate > 0:
                at += self._rng.expovariate(kind.rate * rate_factor(at))
                if at >= seconds:
                    break
                arrivals.append((at, kind))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    async def _call(self, session: aiohttp.ClientSession, kind: Kind, intended_at: float) -> None:
        token = new_key(self._rng)
        outcomes: list[str] = []
        for _ in range(MAX_SENDS):
            first = all(outcome in ("unreached", "not-run") for outcome in outcomes)
            outcome, step, retry_after = await self._send(session, kind, token, first)
            outcomes.append(outcome)
            if outcome == "unreached":
                continue
            if outcome in ("served", "failed") or not kind.keyed:
                break
            await asyncio.sleep(min(retry_after, 1.0) * 0.5)
        self.report.outcomes[outcomes[-1], step] += 1
        if kind.keyed:
            self.report.outcomes_by_key[token] = outcomes
        if outcomes[-1] == "served":
            self.report.observe(kind, time.monotonic() - intended_at)

    async def _send(
        self, session: aiohttp.ClientSession, kind: Kind, token: str, first: bool
    ) -> tuple[str, str, float]:
        headers = {"host": kind.host, "x-echo": token}
        if kind.keyed:
            headers["idempotency-key"] = token
            headers["sycamorebay-attempt"] = "1" if first else "2"
        entry = self._balancer.pick()
        try:
            async with session.request(
                kind.method, entry + kind.target, headers=headers
            ) as response:
                body = await response.read()
                return self._outcome(response, body, token)
        except aiohttp.ClientConnectorError:
            self._balancer.on_connect_failure(entry)
            return "unreached", "connect", 0.0
        except (aiohttp.ClientError, TimeoutError, OSError):
            return "lost", "answer", 0.5

    def _outcome(
        self, response: aiohttp.ClientResponse, body: bytes, token: str
    ) -> tuple[str, str, float]:
        outcome = response.headers.get("sycamorebay-outcome")
        if outcome is not None:
            step = (_json(body) or {}).get("step", "")
            return outcome, step, float(response.headers.get("retry-after", "1"))
        if response.status >= 500:
            return "failed", str(response.status), 0.0
        if response.content_type == "application/json" and _json(body).get("echo") != token:
            self.report.wrong_answers += 1
        return "served", "", 0.0


def new_key(rng: random.Random) -> str:
    """Return an idempotency key, a UUID of version 7 with the current time, as 32 hex digits."""
    milliseconds = int(time.time() * 1000)
    number = milliseconds << 80 | 7 << 76 | rng.getrandbits(12) << 64
    return uuid.UUID(int=number | 2 << 62 | rng.getrandbits(62)).hex


def _json(body: bytes) -> Any:
    return json.loads(body)


def find_violations(report: Report, runs_by_key: Counter[str]) -> list[str]:
    """Compare the last outcome of each operation with the runs at backend servers.

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
            violations.append(f"operation {key} ran {runs} times")
        if outcomes[-1] == "served" and runs == 0:
            violations.append(f"operation {key} was reported served and never ran")
        if runs and all(outcome in ("not-run", "unreached") for outcome in outcomes):
            violations.append(f"operation {key} was reported not run and ran")
    return violations
