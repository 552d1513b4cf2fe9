"""Tests that answers without end, of backend servers or the store, keep an entry within its VM.

Each test starts an entry process whose server or store answers ordinary requests, and all others
with one pattern. The bounds are those of `test_entry_untrusted_callers`.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bench.fleet import CALLERS_PORT, Fleet, Shape
from tests.gateway_fleet import free_port
from tests.support import asynchronous, raw_document
from tests.test_entry_untrusted_callers import UnconfiguredFleet, victim_of
from tests.untrusted import ENDLESS_CROWD, ENDLESS_S, KIB, Pattern, UntrustedTest

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# The ordinary request of `is_answered` asks for another path.
REQUEST = b"GET /prices/endless HTTP/1.1\r\nHost: desk.test\r\n\r\n"
PIECES = 10_000


@asynccontextmanager
async def endless_server(pattern: Pattern, address: str, port: int) -> AsyncIterator[None]:
    """Serve a pattern as the answer to what isn't an ordinary request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if b"/prices/7" in head or b"/load" in head:
                    writer.write(OK)
                    continue
                writer.write(pattern.start)
                for _ in range(pattern.count):
                    writer.write(pattern.piece)
                    await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, address, port)
    try:
        yield
    finally:
        server.close()


class EndlessServerFleet(Fleet):
    """An entry in front of a server that the test itself runs."""

    def _start_backends(self) -> None:
        pass


class ServersTest(UntrustedTest):
    async def check(self, pattern: Pattern) -> None:
        prepared = EndlessServerFleet(Shape(1, raw_document(1)))
        host, _, port = prepared.servers[0]["address"].partition(":")
        async with endless_server(pattern, host, int(port)), prepared as started:
            victim = victim_of(started, CALLERS_PORT)
            await self.check_victim(victim, Pattern(REQUEST), ENDLESS_CROWD, ENDLESS_S)

    @asynchronous
    async def test_one_header_without_end(self):
        await self.check(Pattern(b"HTTP/1.1 200 OK\r\nx: ", b"x" * 64 * KIB, PIECES))

    @asynchronous
    async def test_tiny_headers_without_end(self):
        await self.check(Pattern(b"HTTP/1.1 200 OK\r\n", b"ab:\r\n" * 13_000, PIECES))

    @asynchronous
    async def test_interim_answers_without_end(self):
        await self.check(Pattern(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_600, PIECES))

    @asynchronous
    async def test_one_trailer_without_end(self):
        await self.check(Pattern(CHUNKED + b"0\r\nx: ", b"x" * 64 * KIB, PIECES))

    @asynchronous
    async def test_tiny_trailers_without_end(self):
        await self.check(Pattern(CHUNKED + b"0\r\n", b"ab:\r\n" * 13_000, PIECES))

    @asynchronous
    async def test_a_chunk_extension_without_end(self):
        await self.check(Pattern(CHUNKED + b"1;x=", b"x" * 64 * KIB, PIECES))

    @asynchronous
    async def test_a_body_without_end_for_callers_that_do_not_read(self):
        await self.check(Pattern(CHUNKED, b"10000\r\n" + b"x" * 64 * KIB + b"\r\n", PIECES))


class StoreTest(UntrustedTest):
    async def check(self, pattern: Pattern) -> None:
        port = free_port()
        platform = {
            "url": f"http://127.0.0.1:{port}",
            "vm_list_url": f"http://127.0.0.1:{port}/vms",
        }
        prepared = UnconfiguredFleet(Shape(1, raw_document(1), settings={"platform": platform}))
        async with endless_server(pattern, "127.0.0.1", port), prepared as started:
            victim = victim_of(started, CALLERS_PORT)
            await self.check_victim(victim, Pattern(), 0, ENDLESS_S)

    @asynchronous
    async def test_an_answer_without_end(self):
        await self.check(Pattern(CHUNKED, b"10000\r\n" + b"x" * 64 * KIB + b"\r\n", PIECES))

    @asynchronous
    async def test_one_header_without_end(self):
        await self.check(Pattern(b"HTTP/1.1 200 OK\r\nx: ", b"x" * 64 * KIB, PIECES))

    @asynchronous
    async def test_tiny_trailers_without_end(self):
        await self.check(Pattern(CHUNKED + b"0\r\n", b"ab:\r\n" * 13_000, PIECES))
