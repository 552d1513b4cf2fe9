"""A minimal caller that runs in its own process, so that its cost isn't part of the measurement."""

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
_TIMEOUT_S = 60.0


async def timed_call(connection: HttpConnection, request: bytes) -> float:
    """Send a request and return the seconds until its answer is complete.

    Raises
    ------
    ConnectionError
        If the status isn't 200 or the connection is closed before the end of the answer.
    """
    started = time.perf_counter()
    await connection.call(request)
    return time.perf_counter() - started


def request_bytes(host: str, target: str) -> bytes:
    """Return a GET request without a body."""
    return f"GET {target} HTTP/1.1\r\nhost: {host}\r\n\r\n".encode()


async def _call_at_rate(
    connection: HttpConnection, request: bytes, count: int, rate: float, offset_s: float
) -> list[float]:
    start = time.perf_counter() + offset_s
    latencies = []
    for number in range(count):
        wait_s = start + number / rate - time.perf_counter()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        latencies.append(await timed_call(connection, request))
    return latencies


async def _call_back_to_back(
    connection: HttpConnection, request: bytes, seconds: float
) -> list[float]:
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
    rate_each = rate / connections
    count = round(rate_each * seconds)
    loops = [
        (
            _call_at_rate(one, request, count, rate_each, rng.uniform(0, 1 / rate_each))
            if rate
            else _call_back_to_back(one, request, seconds)
        )
        for one in opened
    ]
    async with asyncio.timeout(_TIMEOUT_S):
        return [latency for one in await asyncio.gather(*loops) for latency in one]


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
    """Send calls, then print their number and the quantiles of their latency as JSON."""
    request = request_bytes(host, target)
    latencies = sorted(uvloop.run(_run(address, request, connections, rate, seconds)))
    indices = range(QUANTILES)
    quantiles = [round(latencies[len(latencies) * q // QUANTILES] * 1e6) for q in indices]
    print(json.dumps({"calls": len(latencies), "quantiles_us": quantiles}))


if __name__ == "__main__":
    main()
