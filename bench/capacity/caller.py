"""A light caller as a process of its own, so that it costs little beside what it measures."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import cast

import click
import httptools
import uvloop

QUANTILES = 1_000
_WAIT_S = 60.0


class Connection(asyncio.Protocol):
    """One connection with one request in flight at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._done: asyncio.Future[int]
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        if not self._done.done():
            self._done.set_exception(ConnectionResetError("the connection ended"))

    def on_message_complete(self) -> None:
        """Take the end of an answer."""
        self._done.set_result(self._parser.get_status_code())
        self._parser = httptools.HttpResponseParser(self)

    async def call(self, request: bytes) -> float:
        """Send a request and return the seconds until its whole answer.

        Raises
        ------
        RuntimeError
            Where the answer is not a 200.
        """
        self._done = asyncio.get_running_loop().create_future()
        started = time.perf_counter()
        self._transport.write(request)
        status = await self._done
        elapsed = time.perf_counter() - started
        if status != 200:
            raise RuntimeError(f"status {status}")
        return elapsed


async def connect(address: str) -> Connection:
    """Open a connection to ``IP:port``."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(Connection, host, int(port))
    return connection


def request_bytes(host: str, target: str, body_bytes: int = 0) -> bytes:
    """Return a request; with a body it is a POST."""
    method = "POST" if body_bytes else "GET"
    head = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n"
    if body_bytes:
        head += f"content-length: {body_bytes}\r\n"
    return head.encode() + b"\r\n" + bytes(body_bytes)


async def _paced(connection: Connection, request: bytes, count: int, rate: float) -> list[float]:
    start = time.perf_counter() + random.random() / rate
    latencies = []
    for number in range(count):
        wait = start + number / rate - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        latencies.append(await connection.call(request))
    return latencies


async def _unpaced(connection: Connection, request: bytes, seconds: float) -> list[float]:
    end = time.perf_counter() + seconds
    latencies = []
    while time.perf_counter() < end:
        latencies.append(await connection.call(request))
    return latencies


async def _run(
    address: str, request: bytes, connections: int, rate: float, seconds: float
) -> list[float]:
    opened = [await connect(address) for _ in range(connections)]
    for connection in opened:
        await connection.call(request)
    each = rate / connections
    count = round(each * seconds)
    work = [
        _paced(one, request, count, each) if rate else _unpaced(one, request, seconds)
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
@click.option("--body-bytes", default=0)
def main(
    address: str,
    host: str,
    target: str,
    connections: int,
    rate: float,
    seconds: float,
    body_bytes: int,
) -> None:
    """Call, then print the count and the quantiles of the latency as JSON."""
    request = request_bytes(host, target, body_bytes)
    latencies = sorted(uvloop.run(_run(address, request, connections, rate, seconds)))
    steps = range(QUANTILES)
    quantiles = [round(latencies[len(latencies) * q // QUANTILES] * 1e6) for q in steps]
    print(json.dumps({"calls": len(latencies), "quantiles_us": quantiles}))


if __name__ == "__main__":
    main()
