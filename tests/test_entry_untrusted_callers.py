"""Tests that untrusted clients neither end an entry's process nor exceed its VM's memory.

Each test starts an entry process and lets a small crowd repeat one pattern at one of its
addresses. The smallest VMs have 200 MB and 4,100 descriptors, 200 of which are for files.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from bench.fleet import CALLERS_PORT, OPERATORS_PORT, PEERS_PORT, Fleet, Shape, fleet
from tests.gateway_fleet import eventually
from tests.support import asynchronous, raw_document
from tests.untrusted import (
    ATTACK_S,
    ENDLESS_CROWD,
    ENDLESS_S,
    KIB,
    EndlessRequests,
    Pattern,
    UntrustedTest,
    Victim,
)

RAM_MB = 200
MAX_FDS = 4100
ANSWER_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
HELD_CROWD = 300
IDLE_CROWD = 4500

HOST = b"Host: desk.test\r\n"
# Within the limits of an entry: 32 KiB and 100 headers.
LARGE_HEADERS = (b"x-padding: %s\r\n" % (b"x" * 320)) * 90
SLOW = b"GET /prices/7?work_ms=1900 HTTP/1.1\r\n" + HOST
# At most 16 requests may be pipelined behind the one in flight.
PIPELINED_LARGE_HEADS = SLOW + b"\r\n" + (SLOW + LARGE_HEADERS + b"\r\n") * 15
LARGE_ANSWERS = (b"GET /bytes?bytes=1000000 HTTP/1.1\r\n" + HOST + b"\r\n") * 16
UPLOAD = b"POST /bids HTTP/1.1\r\n" + HOST + b"Content-Length: 100000000\r\n\r\n"


class UnconfiguredFleet(Fleet):
    """An entry that has not got its first document, as the platform does not answer."""

    def start_platform(self) -> None:
        pass

    def _start_backends(self) -> None:
        pass

    async def _until_responding(self, url: str) -> None:
        pass

    def apply(self, document: dict) -> None:
        pass

    async def until_ready(self, indices, limit_s: float = 30.0) -> None:
        await eventually(lambda: is_live(self), limit_s)


async def is_live(started: Fleet) -> bool:
    """Whether the entry answers an operator."""
    url = started.url(0, OPERATORS_PORT) + "/live"
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with started.http.get(url, timeout=ANSWER_TIMEOUT) as answer:
            return answer.status == 200
    return False


async def is_answered(started: Fleet) -> bool:
    """Whether a backend server answers an ordinary request on a new connection."""
    return await status_of_request(started) == 200


async def is_refused(started: Fleet) -> bool:
    """Whether the entry refuses an ordinary request, since it has no document."""
    return await status_of_request(started) == 503


async def status_of_request(started: Fleet) -> int:
    headers = {"host": "desk.test", "connection": "close"}
    url = started.url(0) + "/prices/7"
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with started.http.get(url, headers=headers, timeout=ANSWER_TIMEOUT) as answer:
            return answer.status
    return 0


def victim_of(started: Fleet, port: int) -> Victim:
    """Return the entry of a fleet, to be attacked at one of its ports."""
    process = started.processes_by_name["entry-0"]

    async def is_serving() -> bool:
        if isinstance(started, UnconfiguredFleet):
            return await is_live(started) and await is_refused(started)
        return await is_live(started) and await is_answered(started)

    return Victim(
        process.pid,
        (started.address, port),
        is_serving,
        lambda: process.poll() is not None,
        RAM_MB,
        MAX_FDS,
    )


@asynccontextmanager
async def configured_entry() -> AsyncIterator[Fleet]:
    """Start an entry in front of one backend server."""
    async with fleet(Shape(1, raw_document(1), backend_processes=1)) as started:
        yield started


@asynccontextmanager
async def unconfigured_entry() -> AsyncIterator[Fleet]:
    """Start an entry that does not get its first document."""
    async with UnconfiguredFleet(Shape(1, raw_document(1))) as started:
        yield started


class CallersTest(EndlessRequests, UntrustedTest):
    async def check_endless(self, pattern: Pattern) -> None:
        async with configured_entry() as started:
            victim = victim_of(started, CALLERS_PORT)
            await self.check_victim(victim, pattern, ENDLESS_CROWD, ENDLESS_S)


class UnconfiguredCallersTest(UntrustedTest):
    @asynchronous
    async def test_one_trailer_without_end(self):
        pattern = Pattern(EndlessRequests.CHUNKED + b"0\r\nx: ", b"x" * 64 * KIB, 1000)
        async with unconfigured_entry() as started:
            victim = victim_of(started, CALLERS_PORT)
            await self.check_victim(victim, pattern, ENDLESS_CROWD, ENDLESS_S)


class OperatorsTest(EndlessRequests, UntrustedTest):
    async def check_endless(self, pattern: Pattern) -> None:
        async with unconfigured_entry() as started:
            victim = victim_of(started, OPERATORS_PORT)
            await self.check_victim(victim, pattern, ENDLESS_CROWD, ENDLESS_S)

    @asynchronous
    async def test_a_health_check_of_an_older_version_without_a_host_is_answered(self):
        async with unconfigured_entry() as started:
            reader, writer = await asyncio.open_connection(started.address, OPERATORS_PORT)
            writer.write(b"GET /live HTTP/1.0\r\n\r\n")
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()


class HeldRequestsTest(UntrustedTest):
    async def check(self, pattern: Pattern, crowd: int = HELD_CROWD, port: int = CALLERS_PORT):
        async with configured_entry() as started:
            await self.check_victim(victim_of(started, port), pattern, crowd, ATTACK_S)

    @asynchronous
    async def test_pipelined_large_heads(self):
        await self.check(Pattern(PIPELINED_LARGE_HEADS))

    @asynchronous
    async def test_large_answers_that_are_never_read(self):
        await self.check(Pattern(LARGE_ANSWERS))

    @asynchronous
    async def test_uploads_that_nobody_reads(self):
        await self.check(Pattern(UPLOAD, b"x" * 64 * KIB, 100))

    @asynchronous
    async def test_large_heads_held_open(self):
        await self.check(Pattern(SLOW + LARGE_HEADERS))

    @asynchronous
    async def test_idle_connections_beyond_the_descriptors(self):
        await self.check(Pattern(), IDLE_CROWD)

    @asynchronous
    async def test_idle_connections_of_operators_beyond_the_descriptors(self):
        await self.check(Pattern(), IDLE_CROWD, OPERATORS_PORT)


class PeersTest(UntrustedTest):
    async def check(self, pattern: Pattern, crowd: int):
        async with unconfigured_entry() as started:
            await self.check_victim(victim_of(started, PEERS_PORT), pattern, crowd, ENDLESS_S)

    @asynchronous
    async def test_handshakes_without_end(self):
        await self.check(Pattern(b"", b"x" * 64 * KIB, 1000), ENDLESS_CROWD)

    @asynchronous
    async def test_idle_connections_beyond_the_descriptors(self):
        await self.check(Pattern(), IDLE_CROWD)
