"""Latency, throughput and memory of one entry, with direct calls as the baseline.

Direct and forwarded calls alternate in short blocks of one run, so that both see the same noise
of the machine. ``python -m bench.speed --write`` writes the report to ``bench/results/speed.txt``.
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
from bench.http_connection import HttpConnection

RESULTS = Path(__file__).parent / "results"
REQUEST = b"GET /prices/7 HTTP/1.1\r\nhost: desk.test\r\naccept: */*\r\nuser-agent: bench\r\n\r\n"
DOWNLOAD = b"GET /bytes?bytes=%d HTTP/1.1\r\nhost: desk.test\r\n\r\n"
UPLOAD = b"POST /bids HTTP/1.1\r\nhost: desk.test\r\ncontent-length: %d\r\n\r\n"
# Time that an entry may add to a call at the 99th percentile.
TARGET_ADDED_MS = 0.62
MAX_RATE_CONNECTIONS = 32
OPEN_LOOP_CONNECTIONS = 64
# Rate of the open loop, as a share of the largest rate of the closed loop.
OPEN_LOOP_SHARE = 0.3
BACKEND_PROCESSES = 3
_MAX_LATENCY_US = 60_000_000
_ROUTES = [
    {"methods": ["GET"], "path": "/prices", "idempotent": True, "deadline_ms": 10_000},
    {"methods": ["GET"], "path": "/bytes", "idempotent": True, "deadline_ms": 120_000},
    {"methods": ["POST"], "path": "/bids", "deadline_ms": 120_000},
]


@attrs.define
class Pair:
    """Latencies of direct and forwarded calls under one load.

    Attributes
    ----------
    name : str
        Name of the load in the report.
    direct : HdrHistogram
        Latency of direct calls, in microseconds.
    through : HdrHistogram
        Latency of calls through the entry, in microseconds.
    """

    name: str
    direct: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3))
    through: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3))

    def line(self) -> str:
        """Return a line of the report, in milliseconds: direct, through the entry, difference."""
        cells = [f"{self.name:24}"]
        for quantile in (50.0, 90.0, 99.0):
            direct = self.direct.get_value_at_percentile(quantile) / 1000
            through = self.through.get_value_at_percentile(quantile) / 1000
            cells.append(f"{direct:7.3f} {through:7.3f} {through - direct:+7.3f}")
        return " | ".join(cells)


class Bench:
    """Measures a fleet of one entry.

    Parameters
    ----------
    fleet : Fleet
        Started fleet with one entry.
    seed : int
        Seed of the open-loop arrivals.
    seconds : float
        Length of the measurement of each load.
    """

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._entry = [f"{fleet.address}:{CALLERS_PORT}"]
        self._backends = [server["address"] for server in fleet.servers]
        self._process = psutil.Process(fleet.processes_by_name["entry-0"].pid)

    async def closed_loop(self, count: int) -> Pair:
        """Measure a closed loop over `count` connections."""
        pair = Pair(f"{count} connections")
        async with _open(self._backends, count) as direct, _open(self._entry, count) as through:
            await self._run_block(through, 0.5, Pair("").through)
            for _ in range(5):
                await self._run_block(direct, self._seconds / 10, pair.direct)
                await self._run_block(through, self._seconds / 10, pair.through)
        return pair

    async def open_loop(self, rate: float) -> Pair:
        """Measure open-loop arrivals at a rate a second; latencies start at the intended times."""
        pair = Pair(f"open loop, {rate:.0f}/s")
        count = OPEN_LOOP_CONNECTIONS
        async with _open(self._backends, count) as direct, _open(self._entry, count) as through:
            for _ in range(5):
                await self._run_arrivals(direct, rate, pair.direct)
                await self._run_arrivals(through, rate, pair.through)
        return pair

    async def max_rate(self) -> tuple[float, float]:
        """Return the largest rate of one entry in calls/s and its processor time a call in µs."""
        async with _open(self._entry, MAX_RATE_CONNECTIONS) as through:
            await self._run_block(through, 0.5, Pair("").through)
            histogram = Pair("").through
            before = _cpu_s(self._process)
            started = time.perf_counter()
            await self._run_block(through, self._seconds / 2, histogram)
            elapsed = time.perf_counter() - started
            calls = histogram.get_total_count()
            return calls / elapsed, (_cpu_s(self._process) - before) / calls * 1e6

    async def download(self, size: int) -> tuple[float, float]:
        """Stream an answer of `size` bytes; return the entry's resident MB before and at peak."""
        return await self._stream_and_watch_memory(self._entry[0], DOWNLOAD % size, 0)

    async def upload(self, size: int) -> tuple[float, float]:
        """Stream a body of `size` bytes; return the entry's resident MB before and at peak."""
        return await self._stream_and_watch_memory(self._entry[0], UPLOAD % size, size)

    def resident_mb(self) -> float:
        """Return the resident memory of the entry in megabytes."""
        return self._process.memory_info().rss / 1e6

    async def _stream_and_watch_memory(
        self, address: str, head: bytes, size: int
    ) -> tuple[float, float]:
        host, _, port = address.rpartition(":")
        before = peak = self.resident_mb()
        reader, writer = await asyncio.open_connection(host, int(port))
        done = asyncio.create_task(_exchange(reader, writer, head, size))
        while not done.done():
            peak = max(peak, self.resident_mb())
            await asyncio.sleep(0.02)
        await done
        return before, peak

    async def _run_block(
        self, connections: list[HttpConnection], seconds: float, histogram: HdrHistogram
    ) -> None:
        end = time.perf_counter() + seconds

        async def loop(connection: HttpConnection) -> None:
            while (started := time.perf_counter()) < end:
                await connection.call(REQUEST)
                _record(histogram, time.perf_counter() - started)

        await asyncio.gather(*(loop(connection) for connection in connections))

    async def _run_arrivals(
        self, connections: list[HttpConnection], rate: float, histogram: HdrHistogram
    ) -> None:
        idle_connections: asyncio.LifoQueue[HttpConnection] = asyncio.LifoQueue()
        for connection in connections:
            idle_connections.put_nowait(connection)

        async def call_at(intended_at: float) -> None:
            connection = await idle_connections.get()
            await connection.call(REQUEST)
            _record(histogram, time.perf_counter() - intended_at)
            idle_connections.put_nowait(connection)

        start = time.perf_counter()
        at = 0.0
        async with asyncio.TaskGroup() as tasks:
            while (at := at + self._rng.expovariate(rate)) < self._seconds / 10:
                while (wait := start + at - time.perf_counter()) > 0:  # noqa: ASYNC110
                    # The event loop's timers are too coarse: the last milliseconds are polled.
                    await asyncio.sleep(wait - 0.002 if wait > 0.003 else 0)
                tasks.create_task(call_at(start + at))


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
            raise ConnectionError(f"the answer ended {left} bytes before its end")
        left -= len(read)
    writer.close()


@asynccontextmanager
async def _open(addresses: list[str], count: int) -> AsyncIterator[list[HttpConnection]]:
    next_address = itertools.cycle(addresses)
    connections = [await HttpConnection.open(next(next_address)) for _ in range(count)]
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
    """Measure one entry and return the lines of the report.

    Parameters
    ----------
    seed : int
        Seed of the open-loop arrivals.
    seconds : float
        Length of the measurement of each load.
    stream_bytes : int
        Size of the streamed bodies; 0 to leave them out.

    Raises
    ------
    ConnectionError
        If a call fails.
    """
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
        rate, cpu_us = await bench.max_rate()
        lines.append((await bench.open_loop(rate * OPEN_LOOP_SHARE)).line())
        load_mb = bench.resident_mb()
        lines += [
            "",
            f"target: {TARGET_ADDED_MS} ms added at p99",
            f"top rate of one entry process: {rate:.0f} calls/s at "
            f"{MAX_RATE_CONNECTIONS} connections, {cpu_us:.0f} us of processor a call",
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
    """Measure one entry and print the report."""
    report = "\n".join(uvloop.run(measure(seed, seconds, stream_bytes))) + "\n"
    sys.stdout.write(report)
    if write:
        RESULTS.mkdir(exist_ok=True)
        (RESULTS / "speed.txt").write_text(report)


if __name__ == "__main__":
    main()
