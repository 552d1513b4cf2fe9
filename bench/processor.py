"""Compares the processor time of one call between two source trees, in paired short blocks.

``python -m bench.processor BASE`` compares the package under the directory BASE with this one.
Each runs an entry, backend servers with a fixed answer and a minimal client in one process. The
trees run their blocks alternately, so that the median of the paired ratios shows differences of a
few hundredths on a busy machine.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import cast

import click
import uvloop

from bench.http_connection import HttpConnection

ROOT = Path(__file__).resolve().parent.parent
CONNECTIONS = 8
# Calls on each connection in one block.
CALLS_PER_BLOCK = 25
REQUEST = b"GET /prices/7 HTTP/1.1\r\nhost: desk.test\r\naccept: */*\r\nuser-agent: bench\r\n\r\n"
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json; charset=utf-8\r\nServer: bench\r\n"
    b"Date: Fri, 04 Dec 2026 02:00:00 GMT\r\nEndpoint-Load-Metrics: "
    b"TEXT named_metrics.in_flight=1, named_metrics.queued=0\r\nContent-Length: 60\r\n\r\n"
) + b"x" * 60


class _FixedAnswerBackend(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(ANSWER)


async def _worker() -> None:
    """Run one block for each line on standard input, and print its processor time a call in µs."""
    from tests.one_entry import one_entry

    loop = asyncio.get_running_loop()
    async with one_entry(*[None] * 3) as entry:  # type: ignore[arg-type]
        for backend in entry.backends:
            server = await loop.create_server(_FixedAnswerBackend, "127.0.0.1", 0)
            backend.address = "127.0.0.1:" + str(server.sockets[0].getsockname()[1])
        entry.put_in_force(entry.document())
        address = f"127.0.0.1:{entry.port}"
        connections = [await HttpConnection.open(address) for _ in range(CONNECTIONS)]
        await _run_block(connections, 4 * CALLS_PER_BLOCK)
        for _ in sys.stdin:
            before = time.process_time()
            await _run_block(connections, CALLS_PER_BLOCK)
            used_s = time.process_time() - before
            sys.stdout.write(f"{used_s / (CALLS_PER_BLOCK * CONNECTIONS) * 1e6}\n")
            sys.stdout.flush()
        for connection in connections:
            connection.close()


async def _run_block(connections: list[HttpConnection], calls: int) -> None:
    async def loop(connection: HttpConnection) -> None:
        for _ in range(calls):
            await connection.call(REQUEST)

    await asyncio.gather(*(loop(connection) for connection in connections))


def _start(source: Path) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "bench.processor", "--worker", str(source)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(source)},
    )


def _measure_block(process: subprocess.Popen[str]) -> float:
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.write("block\n")
    process.stdin.flush()
    return float(process.stdout.readline())


@click.command()
@click.argument("base", type=click.Path(exists=True, path_type=Path))
@click.option("--blocks", default=150, show_default=True)
@click.option("--worker", is_flag=True, hidden=True)
def main(base: Path, blocks: int, worker: bool) -> None:
    """Compare the package under the directory BASE with this one."""
    if worker:
        uvloop.run(_worker())
        return
    processes = [_start(base.resolve()), _start(ROOT / "src")]
    used_us: list[list[float]] = [[], []]
    for number in range(blocks):
        for tree in (0, 1) if number % 2 else (1, 0):
            used_us[tree].append(_measure_block(processes[tree]))
    for process in processes:
        process.communicate()
    ratios = [this_us / base_us for base_us, this_us in zip(*used_us, strict=True)]
    for name, values in zip(("base", "this"), used_us, strict=True):
        click.echo(f"{name}: least {min(values):.0f} us, median {statistics.median(values):.0f} us")
    click.echo(f"median of the paired ratios: {statistics.median(ratios):.3f}")
    click.echo(f"load average: {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
