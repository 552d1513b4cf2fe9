"""A light caller as a process of its own, so that it costs little beside what it measures."""

from __future__ import annotations

import asyncio
import json
import random
import time

import click
import uvloop

from bench.http_connection import HttpConnection

SEED = 19
QUANTILES = 1_000
_WAIT_S = 60.0


async def timed_call(connection: HttpConnection, request: bytes) -> float:
    """Send a request and return the seconds until its whole answer."""
    started = time.perf_counter()
    await connection.call(request)
    return time.perf_counter() - started


def request_bytes(host: str, target: str) -> bytes:
    """Return a request without a body."""
    return f"GET {target} HTTP/1.1\r\nhost: {host}\r\n\r\n".encode()


async def _paced(
    connection: HttpConnection, request: bytes, count: int, rate: float, later_s: float
) -> list[float]:
    start = time.perf_counter() + later_s
    latencies = []
    for number in range(count):
        wait = start + number / rate - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        latencies.append(await timed_call(connection, request))
    return latencies


async def _unpaced(connection: HttpConnection, request: bytes, seconds: float) -> list[float]:
    end = time.perf_counter() + seconds
    latencies = []
    while time.perf_counter() < end:
        latencies.append(await timed_call(connection, request))
    return latencies


async def _run(
    address: str, request: bytes, connections: int, rate: float, seconds: float
) -> list[float]:
    opened = [await HttpConnection.open(address) for _ in range(connections)]
    for connection in opened:
        await connection.call(request)
    rng = random.Random(SEED)
    each = rate / connections
    count = round(each * seconds)
    work = [
        (
            _paced(one, request, count, each, rng.uniform(0, 1 / each))
            if rate
            else _unpaced(one, request, seconds)
        )
        for one in opened
    ]
    async with asyncio.timeout(_WAIT_S):
        return [latency for one in await asyncio.gather(*work) for latency in one]


@click.command()
@click.option("--address", required=True, help="IP:port.")
@click.option("--host", required=True)
@click.option("--target", default="/prices/7")
@click.option("--connections", default=1)
@click.option("--rate", default=0.0, help="Calls a second; 0 for one after another.")
@click.option("--seconds", default=2.0)
def main(
    address: str,
    host: str,
    target: str,
    connections: int,
    rate: float,
    seconds: float,
) -> None:
    """Call, then print the count and the quantiles of the latency as JSON."""
    request = request_bytes(host, target)
    latencies = sorted(uvloop.run(_run(address, request, connections, rate, seconds)))
    steps = range(QUANTILES)
    quantiles = [round(latencies[len(latencies) * q // QUANTILES] * 1e6) for q in steps]
    print(json.dumps({"calls": len(latencies), "quantiles_us": quantiles}))


if __name__ == "__main__":
    main()
