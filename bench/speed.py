"""Speed and memory of one entry, in pairs: the direct call against the call through the entry.

Direct and forwarded calls take turns in short blocks of one run, so that the machine's noise falls
on both. ``python -m bench.speed --write`` keeps the report under bench/results/.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import click
import psutil
import uvloop
from hdrh.histogram import HdrHistogram

from bench.fleet import CALLERS_PORT, Fleet, Shape, service
from bench.lean import LeanConnection

RESULTS = Path(__file__).parent / "results"
REQUEST = b"GET /prices/7 HTTP/1.1\r\nhost: desk.test\r\naccept: */*\r\nuser-agent: bench\r\n\r\n"
DOWNLOAD = b"GET /bytes?bytes=%d HTTP/1.1\r\nhost: desk.test\r\n\r\n"
UPLOAD = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\ncontent-length: %d\r\n\r\n"
TARGET_ADDED_MS = 0.62
TOP_RATE_CONNECTIONS = 32
OPEN_LOOP_CONNECTIONS = 64
OPEN_LOOP_SHARE = 0.3
BACKEND_PROCESSES = 3
_MAX_US = 60_000_000
_ROUTES = [
    {"methods": ["GET"], "path": "/prices", "idempotent": True, "deadline_ms": 10_000},
    {"methods": ["GET"], "path": "/bytes", "idempotent": True, "deadline_ms": 120_000},
    {"methods": ["POST"], "path": "/bids", "deadline_ms": 120_000},
]


@attrs.define
class Pair:
    """Latencies of direct and forwarded calls of one setting."""

    name: str
    direct: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, _MAX_US, 3))
    through: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, _MAX_US, 3))

    def line(self) -> str:
        """Return one line of the report, in milliseconds."""
        cells = [f"{self.name:24}"]
        for quantile in (50.0, 90.0, 99.0):
            direct = self.direct.get_value_at_percentile(quantile) / 1000
            through = self.through.get_value_at_percentile(quantile) / 1000
            cells.append(f"{direct:7.3f} {through:7.3f} {through - direct:+7.3f}")
        return " | ".join(cells)


class Bench:
    """One fleet under measurement.

    Parameters
    ----------
    fleet : Fleet
        With one entry.
    seed : int
        Seed of arrivals.
    seconds : float
        Length of each setting.
    """

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._entry = [f"{fleet.address}:{CALLERS_PORT}"]
        self._backends = [server["address"] for server in fleet.servers]
        self._process = psutil.Process(fleet.processes_by_name["entry-0"].pid)

    async def closed_loop(self, count: int) -> Pair:
        """Measure with some connections, each of which waits for its answer."""
        pair = Pair(f"{count} connections")
        async with _open(self._backends, count) as direct, _open(self._entry, count) as through:
            await self._block(through, 0.5, Pair("").through)
            for _ in range(5):
                await self._block(direct, self._seconds / 10, pair.direct)
                await self._block(through, self._seconds / 10, pair.through)
        return pair

    async def open_loop(self, rate: float) -> Pair:
        """Measure with arrivals at a rate, from the intended time of each."""
        pair = Pair(f"open loop, {rate:.0f}/s")
        count = OPEN_LOOP_CONNECTIONS
        async with _open(self._backends, count) as direct, _open(self._entry, count) as through:
            for _ in range(5):
                await self._arrivals(direct, rate, pair.direct)
                await self._arrivals(through, rate, pair.through)
        return pair

    async def top_rate(self) -> tuple[float, float]:
        """Return the most calls a second of one entry, and its processor time a call in µs."""
        async with _open(self._entry, TOP_RATE_CONNECTIONS) as through:
            await self._block(through, 0.5, Pair("").through)
            histogram = Pair("").through
            before = _cpu_s(self._process)
            started = time.perf_counter()
            await self._block(through, self._seconds / 2, histogram)
            elapsed = time.perf_counter() - started
            calls = histogram.get_total_count()
            return calls / elapsed, (_cpu_s(self._process) - before) / calls * 1e6

    async def download(self, size: int) -> tuple[float, float]:
        """Stream an answer; return resident megabytes before and at the peak."""
        return await self._watched(self._entry[0], DOWNLOAD % size, 0)

    async def upload(self, size: int) -> tuple[float, float]:
        """Stream a request body; return resident megabytes before and at the peak."""
        return await self._watched(self._entry[0], UPLOAD % size, size)

    def resident_mb(self) -> float:
        """Return the entry's resident memory."""
        return self._process.memory_info().rss / 1e6

    async def _watched(self, address: str, head: bytes, size: int) -> tuple[float, float]:
        host, _, port = address.rpartition(":")
        before = peak = self.resident_mb()
        reader, writer = await asyncio.open_connection(host, int(port))
        done = asyncio.create_task(_exchange(reader, writer, head, size))
        while not done.done():
            peak = max(peak, self.resident_mb())
            await asyncio.sleep(0.02)
        await done
        return before, peak

    async def _block(
        self, connections: list[LeanConnection], seconds: float, histogram: HdrHistogram
    ) -> None:
        end = time.perf_counter() + seconds

        async def loop(connection: LeanConnection) -> None:
            while (started := time.perf_counter()) < end:
                await connection.call(REQUEST)
                _record(histogram, time.perf_counter() - started)

        await asyncio.gather(*(loop(connection) for connection in connections))

    async def _arrivals(
        self, connections: list[LeanConnection], rate: float, histogram: HdrHistogram
    ) -> None:
        free: asyncio.LifoQueue[LeanConnection] = asyncio.LifoQueue()
        for connection in connections:
            free.put_nowait(connection)

        async def one(intended: float) -> None:
            connection = await free.get()
            await connection.call(REQUEST)
            _record(histogram, time.perf_counter() - intended)
            free.put_nowait(connection)

        start = time.perf_counter()
        at = 0.0
        async with asyncio.TaskGroup() as tasks:
            while (at := at + self._rng.expovariate(rate)) < self._seconds / 10:
                while (wait := start + at - time.perf_counter()) > 0:  # noqa: ASYNC110
                    # The event loop's timers are too coarse for arrivals.
                    await asyncio.sleep(wait - 0.002 if wait > 0.003 else 0)
                tasks.create_task(one(start + at))


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes, size: int
) -> None:
    writer.write(head)
    chunk = bytes(65_536)
    while size > 0:
        writer.write(chunk[:size])
        await writer.drain()
        size -= len(chunk)
    answer = await reader.readuntil(b"\r\n\r\n")
    if not answer.startswith(b"HTTP/1.1 200"):
        raise ConnectionError(answer.decode("latin-1"))
    left = int(answer.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    while left > 0:
        read = await reader.read(2**18)
        if not read:
            raise ConnectionError("the answer was cut off")
        left -= len(read)
    writer.close()


@asynccontextmanager
async def _open(addresses: list[str], count: int) -> AsyncIterator[list[LeanConnection]]:
    turn = itertools.cycle(addresses)
    connections = [await LeanConnection.open(next(turn)) for _ in range(count)]
    try:
        yield connections
    finally:
        for connection in connections:
            connection.close()


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, int(seconds * 1e6)))


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _shape() -> Shape:
    document = {
        "format": 1,
        "services": [service("desk", BACKEND_PROCESSES, 64, ("a", "b", "c"), _ROUTES)],
    }
    return Shape(1, document, BACKEND_PROCESSES, {"work_ms": 0.0, "queue": 1000})


async def measure(seed: int, seconds: float, stream_bytes: int) -> list[str]:
    """Measure one entry and return the lines of the report."""
    load = os.getloadavg()[0]
    lines = [
        f"command: python -m bench.speed --seed {seed} --seconds {seconds:g}",
        f"machine: {os.cpu_count()} cores, load average {load:.1f} at the start",
        "",
        "milliseconds: direct, through one entry, difference",
        f"{'':24} | {'p50':^23} | {'p90':^23} | {'p99':^23}",
    ]
    async with Fleet(_shape()) as fleet:
        bench = Bench(fleet, seed, seconds)
        idle_mb = bench.resident_mb()
        lines += [(await bench.closed_loop(count)).line() for count in (1, 4, 16)]
        rate, cpu_us = await bench.top_rate()
        lines.append((await bench.open_loop(rate * OPEN_LOOP_SHARE)).line())
        load_mb = bench.resident_mb()
        lines += [
            "",
            f"target: {TARGET_ADDED_MS} ms added at p99",
            f"top rate of one entry process: {rate:.0f} calls/s at "
            f"{TOP_RATE_CONNECTIONS} connections, {cpu_us:.0f} us of processor a call",
            f"resident: {idle_mb:.0f} MB idle, {load_mb:.0f} MB after the load",
        ]
        if stream_bytes:
            for name, stream in (("an answer", bench.download), ("a request body", bench.upload)):
                before, peak = await stream(stream_bytes)
                lines.append(
                    f"resident while streaming {name} of {stream_bytes / 1e9:g} GB: "
                    f"{before:.0f} MB before, {peak:.0f} MB at the peak"
                )
    lines.append(f"load average {os.getloadavg()[0]:.1f} at the end")
    return lines


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Length of each setting.")
@click.option("--stream-bytes", default=10**9, show_default=True, help="0 leaves streaming out.")
@click.option("--write", is_flag=True, help="Keep the report in bench/results/speed.txt.")
def main(seed: int, seconds: float, stream_bytes: int, write: bool) -> None:
    """Measure one entry."""
    report = "\n".join(uvloop.run(measure(seed, seconds, stream_bytes))) + "\n"
    sys.stdout.write(report)
    if write:
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / "speed.txt").write_text(report)


if __name__ == "__main__":
    main()
