"""Crowds of callers that repeat one pattern, and the memory and descriptors of their victim."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import psutil
import testtools

from tests.gateway_fleet import eventually
from tests.support import asynchronous

MB = 1_000_000
KIB = 1024
FILE_FDS = 200
SAMPLE_S = 0.02
RETRY_S = 0.1
ESTABLISHED = 1
ATTACK_S = 5.0
GIVE_UP_S = 20.0
# Callers of a pattern that sends without end, and how long they do so.
ENDLESS_CROWD = 20
ENDLESS_S = 3.0


@attrs.define
class Pattern:
    """What a caller sends on each of its connections, which it then keeps open."""

    start: bytes = b""
    piece: bytes = b""
    count: int = 0


@attrs.define
class Peak:
    """Most resident memory in bytes, and most open descriptors, that a process had."""

    process: psutil.Process
    memory: int = 0
    descriptors: int = 0

    async def watch(self) -> None:
        while True:
            self.memory = max(self.memory, self.process.memory_info().rss)
            self.descriptors = max(self.descriptors, self.process.num_fds())
            await asyncio.sleep(SAMPLE_S)


@attrs.frozen
class Victim:
    """A process under attack; `is_serving` tells whether it answers an ordinary request."""

    pid: int
    address: tuple[str, int]
    is_serving: Callable[[], Awaitable[bool]]
    has_ended: Callable[[], bool]
    ram_mb: int
    max_fds: int


async def attack(address: tuple[str, int], pattern: Pattern) -> None:
    """Repeat a pattern on one connection after the other; never read an answer."""
    loop = asyncio.get_running_loop()
    while True:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * KIB)
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, pattern.start)
            for _ in range(pattern.count):
                await loop.sock_sendall(sock, pattern.piece)
            await wait_for_close(sock)
        await asyncio.sleep(RETRY_S)


async def wait_for_close(sock: socket.socket) -> None:
    """Wait until a connection was closed, without taking what was received."""

    def is_closed() -> bool:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != ESTABLISHED

    await eventually(is_closed, ATTACK_S + 2 * GIVE_UP_S)


@asynccontextmanager
async def crowd_of(count: int, address: tuple[str, int], pattern: Pattern) -> AsyncIterator[None]:
    """Let so many callers repeat a pattern until the end of the context."""
    tasks = [asyncio.create_task(attack(address, pattern)) for _ in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def peak_of(pid: int) -> AsyncIterator[Peak]:
    """Watch the memory and the descriptors of a process until the end of the context."""
    peak = Peak(psutil.Process(pid))
    task = asyncio.create_task(peak.watch())
    try:
        yield peak
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class UntrustedTest(testtools.TestCase):
    """Checks a process under attack."""

    async def check_victim(
        self, victim: Victim, pattern: Pattern, crowd: int, attack_s: float = ATTACK_S
    ) -> None:
        """Let a crowd repeat a pattern; check the process, its bounds and an ordinary request."""
        async with peak_of(victim.pid) as peak:
            try:
                async with crowd_of(crowd, victim.address, pattern):
                    await asyncio.sleep(attack_s)
                    self.assertFalse(victim.has_ended(), "the process ended")
                    await self.await_success(victim.is_serving, "no ordinary request answered")
                    self.assertFalse(victim.has_ended(), "the process ended")
            finally:
                print(f"{self.id()}: {peak.memory // MB} MB, {peak.descriptors} descriptors")
        self.assertGreater(peak.memory, 0, "the process was not sampled")
        self.assertLessEqual(peak.memory, victim.ram_mb * MB)
        self.assertLessEqual(peak.descriptors, victim.max_fds - FILE_FDS)

    async def await_success(self, attempt: Callable[[], Awaitable[bool]], failure: str) -> None:
        """Repeat an attempt as an ordinary caller would after a refusal."""
        try:
            await eventually(attempt, GIVE_UP_S)
        except TimeoutError:
            self.fail(failure)


class EndlessRequests:
    """Tests of requests without end at one address, for classes derived from `UntrustedTest`."""

    START = b"GET / HTTP/1.1\r\nHost: desk.test\r\n"
    CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"

    async def check_endless(self, pattern: Pattern) -> None:
        """Let a crowd of `ENDLESS_CROWD` repeat a pattern for `ENDLESS_S`."""
        raise NotImplementedError

    @asynchronous
    async def test_one_header_without_end(self):
        await self.check_endless(Pattern(self.START + b"x: ", b"x" * 64 * KIB, 1000))

    @asynchronous
    async def test_tiny_headers_without_end(self):
        await self.check_endless(Pattern(self.START, b"ab:\r\n" * 13_000, 1000))

    @asynchronous
    async def test_a_request_line_without_end(self):
        await self.check_endless(Pattern(b"GET /", b"x" * 64 * KIB, 1000))

    @asynchronous
    async def test_empty_lines_without_end(self):
        await self.check_endless(Pattern(b"", b"\r\n" * 32 * KIB, 1000))

    @asynchronous
    async def test_one_trailer_without_end(self):
        await self.check_endless(Pattern(self.CHUNKED + b"0\r\nx: ", b"x" * 64 * KIB, 1000))

    @asynchronous
    async def test_tiny_trailers_without_end(self):
        await self.check_endless(Pattern(self.CHUNKED + b"0\r\n", b"ab:\r\n" * 13_000, 1000))

    @asynchronous
    async def test_a_chunk_extension_without_end(self):
        await self.check_endless(Pattern(self.CHUNKED + b"1;x=", b"x" * 64 * KIB, 1000))
