"""What is checked before the first byte, and what counts as nothing written."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import aiohttp
import testtools

from sycamorebay.transport.forwarding.upstream import AiohttpUpstream, AttemptError, OutgoingRequest
from tests.one_entry import OK, Exchange, OneEntry, ScriptedBackend, answer_ok, on_uvloop, one_entry

GET = "/prices/1"
NOT_RUN = b"sycamorebay-outcome: not-run"
UNKNOWN = b"sycamorebay-outcome: unknown"


class _HeldConnector(aiohttp.TCPConnector):
    """Holds each new connection until it is let go."""

    def __init__(self) -> None:
        super().__init__(limit=0)
        self.reached = asyncio.Event()
        self.go = asyncio.Event()

    async def _create_connection(self, *args, **kwargs):
        self.reached.set()
        await self.go.wait()
        return await super()._create_connection(*args, **kwargs)


class _LateConnector(aiohttp.TCPConnector):
    """Counts the connections that it opened."""

    connected = 0

    async def _create_connection(self, *args, **kwargs):
        made = await super()._create_connection(*args, **kwargs)
        self.connected += 1
        return made


@contextlib.asynccontextmanager
async def held_entry() -> AsyncIterator[tuple[OneEntry, _HeldConnector]]:
    async with (
        _HeldConnector() as connector,
        one_entry(answer_ok, upstream=AiohttpUpstream(connector)) as entry,
    ):
        yield entry, connector


def put(body: bytes, extra: str = "") -> bytes:
    head = f"PUT /bids HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n{extra}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


class FirstByteTest(testtools.TestCase):
    async def swap_while_connecting(self, raw: bytes) -> None:
        async with held_entry() as (entry, connector):
            asked = asyncio.create_task(entry.ask(raw))
            await connector.reached.wait()
            entry.put_in_force(entry.document(domains=("b",)))
            connector.go.set()
            got = await asked
            self.assertIn(NOT_RUN, got)
            self.assertIn(b'"place"', got)
            self.assertEqual([], entry.backends[0].exchanges)
            self.assertEqual(0, entry.in_flight)

    @on_uvloop
    async def test_a_document_swapped_while_connecting_is_honoured(self):
        get = b"GET /prices/1 HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n\r\n"
        await self.swap_while_connecting(get)

    @on_uvloop
    async def test_a_document_swapped_while_connecting_is_honoured_for_bodies(self):
        await self.swap_while_connecting(put(b"short"))
        await self.swap_while_connecting(put(b"x" * 100_000))

    @on_uvloop
    async def test_a_deadline_that_passes_while_connecting_is_not_run(self):
        async with held_entry() as (entry, _):
            got = await entry.get("/late")
            self.assertIn(NOT_RUN, got)
            self.assertEqual(0, entry.in_flight)

    @on_uvloop
    async def test_a_deadline_that_passed_at_the_first_byte_is_not_run(self):
        backend = ScriptedBackend()
        await backend.start()
        async with _LateConnector() as connector:
            request = OutgoingRequest(backend.address, "GET", "/", [], None, None, deadline=2.0)

            def clock() -> float:
                return connector.connected * 5.0

            with testtools.ExpectedException(AttemptError, "no time is left"):
                await AiohttpUpstream(connector, clock).send(request, lambda: True)
        self.assertEqual([], backend.exchanges)
        backend.stop()

    @on_uvloop
    async def test_the_deadline_that_travels_is_what_is_left_at_the_first_byte(self):
        async with held_entry() as (entry, connector):
            asked = asyncio.create_task(
                entry.get("/prices", headers="sycamorebay-deadline-ms: 900\r\n")
            )
            await connector.reached.wait()
            await asyncio.sleep(0.2)
            connector.go.set()
            await asked
            left_ms = int(entry.backends[0].exchanges[0].header("sycamorebay-deadline-ms"))
            self.assertLessEqual(left_ms, 700)

    @on_uvloop
    async def test_a_refused_connection_is_not_run_and_tried_elsewhere(self):
        async with one_entry(answer_ok, answer_ok) as entry:
            entry.put_in_force(entry.document(retry_ratio=1))
            entry.backends[0].stop()
            for body in (b"short", b"x" * 300_000):
                for _ in range(4):
                    got = await entry.ask(put(body))
                    self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)

    @on_uvloop
    async def test_a_connection_that_times_out_is_not_run(self):
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(3):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            async with one_entry(answer_ok) as entry:
                entry.backends[0].address = "127.0.0.1:" + str(listener.getsockname()[1])
                entry.put_in_force(entry.document())
                got = await entry.ask(put(b"short"))
                self.assertIn(NOT_RUN, got)
                self.assertIn(b"timed out", got)

    @on_uvloop
    async def test_a_reset_after_the_write_is_unknown(self):
        async def reset(exchange: Exchange) -> None:
            exchange.cut()

        async with one_entry(reset, reset) as entry:
            got = await entry.ask(put(b"short"))
            self.assertIn(UNKNOWN, got)
            delivered = [len(backend.exchanges) for backend in entry.backends]
            self.assertEqual(1, sum(delivered))

    @on_uvloop
    async def test_a_pooled_connection_that_the_server_closed_is_not_written_to(self):
        async def answer_and_close(exchange: Exchange) -> None:
            await exchange.body()
            exchange.writer.write(OK)
            exchange.writer.close()
            await exchange.reader.read()

        async with one_entry(answer_and_close) as entry:
            for number in range(1, 30):
                got = await entry.ask(put(b"short"))
                self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)
                self.assertEqual(number, len(entry.backends[0].exchanges))

    @on_uvloop
    async def test_nothing_is_sent_again_after_a_stale_connection_took_it(self):
        async def first_only(exchange: Exchange) -> None:
            await exchange.body()
            if len(entry.backends[0].exchanges) > 1:
                exchange.cut()
            else:
                exchange.writer.write(OK)

        async with one_entry(first_only) as entry:
            self.assertIn(b"200 OK", await entry.ask(put(b"short")))
            self.assertIn(UNKNOWN, await entry.ask(put(b"short")))
            backend = entry.backends[0]
            self.assertEqual((2, 1), (len(backend.exchanges), backend.connections))

    @on_uvloop
    async def test_an_answer_that_nobody_asked_for_reaches_nobody(self):
        async def twice(exchange: Exchange) -> None:
            exchange.writer.write(OK)
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.writer.write(OK.replace(b"ok", b"no"))

        async with one_entry(twice) as entry:
            for _ in range(3):
                self.assertTrue((await entry.get(GET)).endswith(b"ok"))
                await asyncio.sleep(0.1)
            self.assertEqual(3, entry.backends[0].connections)

    @on_uvloop
    async def test_two_answers_at_once_reach_one_caller_at_most(self):
        async def twice(exchange: Exchange) -> None:
            exchange.writer.write(OK + OK.replace(b"ok", b"no"))

        async with one_entry(twice) as entry:
            for _ in range(3):
                self.assertTrue((await entry.get(GET)).endswith(b"ok"))
            self.assertEqual(3, entry.backends[0].connections)
