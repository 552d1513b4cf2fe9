"""Tests that untrusted callers neither end a gateway's process nor exceed its limits.

Each test starts a gateway process with lowered limits and lets a small crowd of callers repeat one
pattern. The bounds follow from the settings: resident memory may reach `ram_mb`, and open
descriptors may reach `max_fds` without the 200 that are for files.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any
from unittest import mock

from standins.scripted import ReceivedRequest, ServerConnection
from tests.gateway_fleet import HOST, config, eventually, route
from tests.gateway_processes import CALLERS, CONTROL, DATAGRAMS, READINESS, Gateways, gateways
from tests.support import asynchronous
from tests.untrusted import (
    ENDLESS_CROWD,
    ENDLESS_S,
    KIB,
    EndlessRequests,
    Pattern,
    UntrustedTest,
    Victim,
    crowd_of,
)

RAM_MB = 64
MANY_FDS = 4100
FEW_FDS = 300
CROWD = 150
LARGE_CROWD = 500
ANSWER_BYTES = 256 * KIB

START = b"GET /safe/x HTTP/1.1\r\nHost: %s\r\n" % HOST.encode()
UPLOAD = b"POST /safe/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 16000\r\n" % HOST.encode()
# Each takes far more memory than its five bytes in the head.
TINY_HEADERS = b"ab:\r\n" * 2600
# The server's answer has to name its request; the gateway would take it for a failed one otherwise.
NAMED = START + b"Sycamorebay-Request-Id: pipelined\r\nSycamorebay-Deadline-Ms: 20000\r\n"
PIPELINED_TINY_HEADERS = (NAMED + TINY_HEADERS + b"\r\n") * 32
PIPELINED = (NAMED + b"\r\n") * 64
# No route matches, so that the gateway itself answers each of them.
PIPELINED_REFUSED = (b"GET /nowhere HTTP/1.1\r\nHost: %s\r\n\r\n" % HOST.encode()) * 64
LARGEST_DATAGRAM_BYTES = 60_000
BURST_DATAGRAMS = 50
BURST_INTERVAL_S = 0.01


def document() -> dict[str, Any]:
    """Return a configuration with the largest request limits that a deployment has."""
    changed = config(2, safe=route("safe", timeout="20s", goal="20s"))
    changed["limits"] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 64 * KIB * KIB,
        "header_timeout": "3s",
        "idle_timeout": "15s",
    }
    return changed


async def answered(started: Gateways, status: int = 200) -> bool:
    """Ask an ordinary request on a new connection; return whether it got this status."""
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        caller = await started.connect(0)
        try:
            async with asyncio.timeout(5.0):
                answer = await caller.ask("ordinary", "/safe/ordinary", deadline_ms=5000)
            return answer.status == status
        finally:
            caller.close()
    return False


def limit_resources(max_fds: int) -> contextlib.AbstractContextManager[Any]:
    """Lower the limits in the boot files of gateways that are started in the context."""
    plain_settings = Gateways.boot_settings

    def boot_settings(started: Gateways, number: int) -> dict[str, Any]:
        limits = {"ram_mb": RAM_MB, "max_fds": max_fds}
        return {**plain_settings(started, number), "limits": limits}

    return mock.patch.object(Gateways, "boot_settings", boot_settings)


@asynccontextmanager
async def limited_gateway(max_fds: int = MANY_FDS) -> AsyncIterator[Gateways]:
    """Start a gateway with lowered limits, behind it a server with large answers."""

    async def answer(request: ReceivedRequest, connection: ServerConnection) -> None:
        size = 2 if request.target.endswith("ordinary") else ANSWER_BYTES
        connection.answer(request, body=b"x" * size)

    with limit_resources(max_fds):
        async with gateways(1) as started:
            started.fleet.servers_by_id["s0"].script = answer
            started.fleet.store.put("op/config", document())
            await eventually(lambda: has_configuration(started))
            yield started


@asynccontextmanager
async def unconfigured_gateway() -> AsyncIterator[Gateways]:
    """Start a gateway with lowered limits that knows no configuration."""
    with limit_resources(MANY_FDS):
        async with gateways(1, wait=False, configured=False) as started:
            await eventually(lambda: answered(started, 503))
            yield started


def has_configuration(started: Gateways) -> bool:
    log = started.read_log(0)
    return any("configuration" in json.dumps(line) and line.get("version") == 2 for line in log)


def victim_of(
    started: Gateways,
    port: int,
    is_serving: Callable[[], Awaitable[bool]],
    max_fds: int = MANY_FDS,
) -> Victim:
    """Return the first gateway, to be attacked at one of its ports."""
    process = started.processes[0]
    return Victim(
        process.pid,
        (started.address(0), started.ports[port]),
        is_serving,
        lambda: process.returncode is not None,
        RAM_MB,
        max_fds,
    )


async def is_serving(started: Gateways) -> bool:
    """Whether a gateway answers an ordinary request, and is ready."""
    return await answered(started) and await started.is_ready(0)


class UntrustedCallersTest(UntrustedTest):
    async def check(
        self, pattern: Pattern, crowd: int = CROWD, max_fds: int = MANY_FDS, port: int = CALLERS
    ) -> None:
        """Let a crowd repeat a pattern; check the process, its bounds and an ordinary request."""
        async with limited_gateway(max_fds) as started:
            victim = victim_of(started, port, lambda: is_serving(started), max_fds)
            await self.check_victim(victim, pattern, crowd)

    @asynchronous
    async def test_heads_over_the_limit(self):
        await self.check(Pattern(START, b"x-padding: %s\r\n" % (b"x" * 1000), 1000))

    @asynchronous
    async def test_one_header_without_end(self):
        await self.check(Pattern(START + b"x: ", b"x" * 64 * KIB, 64))

    @asynchronous
    async def test_many_headers_without_end(self):
        await self.check(Pattern(START, TINY_HEADERS, 300))

    @asynchronous
    async def test_a_request_line_without_end(self):
        await self.check(Pattern(b"GET /", b"x" * 64 * KIB, 64))

    @asynchronous
    async def test_empty_lines_without_end_before_a_request(self):
        await self.check(Pattern(b"", b"\r\n" * 32 * KIB, 1000))

    @asynchronous
    async def test_heads_of_thousands_of_tiny_headers_held_open(self):
        await self.check(Pattern(START + TINY_HEADERS))

    @asynchronous
    async def test_complete_heads_whose_bodies_are_never_sent(self):
        await self.check(Pattern(UPLOAD + TINY_HEADERS + b"\r\n"))

    @asynchronous
    async def test_idle_connections_beyond_the_descriptors(self):
        await self.check(Pattern(), max_fds=FEW_FDS)

    @asynchronous
    async def test_incomplete_requests_on_connections_beyond_the_descriptors(self):
        await self.check(Pattern(START), max_fds=FEW_FDS)

    @asynchronous
    async def test_pipelined_requests_whose_answers_are_never_read(self):
        await self.check(Pattern(PIPELINED))

    @asynchronous
    async def test_pipelined_tiny_headers_whose_answers_are_never_read(self):
        await self.check(Pattern(PIPELINED_TINY_HEADERS), crowd=30)

    @asynchronous
    async def test_tiny_headers_held_open_at_the_readiness_address(self):
        await self.check(Pattern(START + TINY_HEADERS), port=READINESS)

    @asynchronous
    async def test_idle_connections_at_the_control_address(self):
        await self.check(Pattern(), max_fds=FEW_FDS, port=CONTROL)

    @asynchronous
    async def test_tiny_headers_without_end_on_many_connections(self):
        await self.check(Pattern(START, TINY_HEADERS, 300), crowd=LARGE_CROWD)

    @asynchronous
    async def test_tiny_headers_without_end_in_large_segments_on_many_connections(self):
        await self.check(Pattern(START, TINY_HEADERS * 5, 1000), crowd=LARGE_CROWD)

    @asynchronous
    async def test_pipelined_refused_requests_whose_answers_are_never_read(self):
        await self.check(Pattern(b"", PIPELINED_REFUSED, 1000))

    @asynchronous
    async def test_incomplete_requests_beside_tiny_headers_without_end(self):
        async with limited_gateway() as started:
            victim = victim_of(started, CALLERS, lambda: is_serving(started))
            async with crowd_of(LARGE_CROWD, victim.address, Pattern(START)):
                await self.check_victim(victim, Pattern(START, TINY_HEADERS, 300), ENDLESS_CROWD)


class UnconfiguredCallersTest(EndlessRequests, UntrustedTest):
    async def check_endless(self, pattern: Pattern) -> None:
        async with unconfigured_gateway() as started:
            victim = victim_of(started, CALLERS, lambda: answered(started, 503))
            await self.check_victim(victim, pattern, ENDLESS_CROWD, ENDLESS_S)


class ControlTest(EndlessRequests, UntrustedTest):
    async def check_endless(self, pattern: Pattern) -> None:
        async with limited_gateway() as started:
            victim = victim_of(started, CONTROL, lambda: is_serving(started))
            await self.check_victim(victim, pattern, ENDLESS_CROWD, ENDLESS_S)


class DatagramsTest(UntrustedTest):
    @asynchronous
    async def test_datagrams_without_end(self):
        async with limited_gateway() as started:
            victim = victim_of(started, DATAGRAMS, lambda: is_serving(started))
            with socket.socket(type=socket.SOCK_DGRAM) as sock:
                task = asyncio.create_task(send_datagrams(sock, victim.address))
                try:
                    await self.check_victim(victim, Pattern(), 0, ENDLESS_S)
                finally:
                    task.cancel()


async def send_datagrams(sock: socket.socket, address: tuple[str, int]) -> None:
    """Send datagrams of random bytes and sizes, in bursts."""
    rng = random.Random(45)
    while True:
        for _ in range(BURST_DATAGRAMS):
            sock.sendto(rng.randbytes(rng.randrange(LARGEST_DATAGRAM_BYTES)), address)
        await asyncio.sleep(BURST_INTERVAL_S)
