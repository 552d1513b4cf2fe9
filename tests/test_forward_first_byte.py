"""The checks before a request's first byte, and which failures count as nothing written.

While a connection is opened, the document can change and the deadline can pass. A request that was
not written is not run and may be retried; one that may have been written must not be sent again.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import aiohttp
import testtools

from sycamorebay.transport.forwarding.upstream import AiohttpUpstream, AttemptError, OutgoingRequest
from tests.one_entry import (
    OK,
    OneEntry,
    ReceivedRequest,
    ScriptedBackend,
    answer_ok,
    on_uvloop,
    one_entry,
)

PRICE_PATH = "/prices/1"
NOT_RUN_OUTCOME = b"sycamorebay-outcome: not-run"
UNKNOWN_OUTCOME = b"sycamorebay-outcome: unknown"


class _PausedConnector(aiohttp.TCPConnector):
    """Opens connections only after `resume` is set."""

    def __init__(self) -> None:
        super().__init__(limit=0)
        self.connecting = asyncio.Event()
        self.resume = asyncio.Event()

    async def _create_connection(self, *args, **kwargs):
        self.connecting.set()
        await self.resume.wait()
        return await super()._create_connection(*args, **kwargs)


class _CountingConnector(aiohttp.TCPConnector):
    """Counts the connections that it has opened."""

    connection_count = 0

    async def _create_connection(self, *args, **kwargs):
        connection = await super()._create_connection(*args, **kwargs)
        self.connection_count += 1
        return connection


@contextlib.asynccontextmanager
async def entry_with_paused_connector() -> AsyncIterator[tuple[OneEntry, _PausedConnector]]:
    async with (
        _PausedConnector() as connector,
        one_entry(answer_ok, upstream=AiohttpUpstream(connector)) as entry,
    ):
        yield entry, connector


def put(body: bytes, extra_headers: str = "") -> bytes:
    head = f"PUT /bids HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n{extra_headers}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


class FirstByteTest(testtools.TestCase):
    async def check_document_swapped_while_connecting(self, raw: bytes) -> None:
        async with entry_with_paused_connector() as (entry, connector):
            response_task = asyncio.create_task(entry.send_raw(raw))
            await connector.connecting.wait()
            entry.put_in_force(entry.document(domains=("b",)))
            connector.resume.set()
            response = await response_task
            self.assertIn(NOT_RUN_OUTCOME, response)
            self.assertIn(b'"place"', response)
            self.assertEqual([], entry.backends[0].requests)
            self.assertEqual(0, entry.in_flight)

    @on_uvloop
    async def test_a_document_swapped_while_connecting_applies(self):
        get = b"GET /prices/1 HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n\r\n"
        await self.check_document_swapped_while_connecting(get)

    @on_uvloop
    async def test_a_document_swapped_while_connecting_applies_to_bodies(self):
        await self.check_document_swapped_while_connecting(put(b"short"))
        await self.check_document_swapped_while_connecting(put(b"x" * 100_000))

    @on_uvloop
    async def test_a_deadline_that_passes_while_connecting_is_not_run(self):
        async with entry_with_paused_connector() as (entry, _):
            response = await entry.get("/late")
            self.assertIn(NOT_RUN_OUTCOME, response)
            self.assertEqual(0, entry.in_flight)

    @on_uvloop
    async def test_a_deadline_that_passed_at_the_first_byte_is_not_run(self):
        backend = ScriptedBackend()
        await backend.start()
        async with _CountingConnector() as connector:
            request = OutgoingRequest(backend.address, "GET", "/", [], None, None, deadline=2.0)

            def clock() -> float:
                return connector.connection_count * 5.0

            with testtools.ExpectedException(AttemptError, "no time is left"):
                await AiohttpUpstream(connector, clock).send(request, lambda: True)
        self.assertEqual([], backend.requests)
        backend.stop()

    @on_uvloop
    async def test_the_forwarded_deadline_is_the_time_left_at_the_first_byte(self):
        async with entry_with_paused_connector() as (entry, connector):
            response_task = asyncio.create_task(
                entry.get("/prices", headers="sycamorebay-deadline-ms: 900\r\n")
            )
            await connector.connecting.wait()
            await asyncio.sleep(0.2)
            connector.resume.set()
            await response_task
            remaining_ms = int(entry.backends[0].requests[0].header("sycamorebay-deadline-ms"))
            self.assertLessEqual(remaining_ms, 700)

    @on_uvloop
    async def test_a_refused_connection_is_not_run_and_tried_elsewhere(self):
        async with one_entry(answer_ok, answer_ok) as entry:
            entry.put_in_force(entry.document(retry_ratio=1))
            entry.backends[0].stop()
            for body in (b"short", b"x" * 300_000):
                for _ in range(4):
                    response = await entry.send_raw(put(body))
                    self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)

    @on_uvloop
    async def test_a_connection_that_times_out_is_not_run(self):
        with socket.socket() as full_listener, contextlib.ExitStack() as stack:
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            for _ in range(3):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(full_listener.getsockname())
            async with one_entry(answer_ok) as entry:
                entry.backends[0].address = "127.0.0.1:" + str(full_listener.getsockname()[1])
                entry.put_in_force(entry.document())
                response = await entry.send_raw(put(b"short"))
                self.assertIn(NOT_RUN_OUTCOME, response)
                self.assertIn(b"timed out", response)

    @on_uvloop
    async def test_a_reset_after_the_write_is_unknown(self):
        async def reset(request: ReceivedRequest) -> None:
            request.abort()

        async with one_entry(reset, reset) as entry:
            response = await entry.send_raw(put(b"short"))
            self.assertIn(UNKNOWN_OUTCOME, response)
            delivered = [len(backend.requests) for backend in entry.backends]
            self.assertEqual(1, sum(delivered))

    @on_uvloop
    async def test_a_pooled_connection_that_the_server_closed_is_not_written_to(self):
        async def answer_and_close(request: ReceivedRequest) -> None:
            await request.body()
            request.writer.write(OK)
            request.writer.close()
            await request.reader.read()

        async with one_entry(answer_and_close) as entry:
            for number in range(1, 30):
                response = await entry.send_raw(put(b"short"))
                self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
                self.assertEqual(number, len(entry.backends[0].requests))

    @on_uvloop
    async def test_a_request_written_to_a_stale_connection_is_not_retried(self):
        async def answer_first_only(request: ReceivedRequest) -> None:
            await request.body()
            if len(entry.backends[0].requests) > 1:
                request.abort()
            else:
                request.writer.write(OK)

        async with one_entry(answer_first_only) as entry:
            self.assertIn(b"200 OK", await entry.send_raw(put(b"short")))
            self.assertIn(UNKNOWN_OUTCOME, await entry.send_raw(put(b"short")))
            backend = entry.backends[0]
            self.assertEqual((2, 1), (len(backend.requests), backend.connections))

    @on_uvloop
    async def test_an_unsolicited_answer_reaches_no_caller(self):
        async def answer_twice(request: ReceivedRequest) -> None:
            request.writer.write(OK)
            await request.writer.drain()
            await asyncio.sleep(0.05)
            request.writer.write(OK.replace(b"ok", b"no"))

        async with one_entry(answer_twice) as entry:
            for _ in range(3):
                self.assertTrue((await entry.get(PRICE_PATH)).endswith(b"ok"))
                await asyncio.sleep(0.1)
            self.assertEqual(3, entry.backends[0].connections)

    @on_uvloop
    async def test_two_answers_at_once_reach_one_caller_at_most(self):
        async def answer_twice(request: ReceivedRequest) -> None:
            request.writer.write(OK + OK.replace(b"ok", b"no"))

        async with one_entry(answer_twice) as entry:
            for _ in range(3):
                self.assertTrue((await entry.get(PRICE_PATH)).endswith(b"ok"))
            self.assertEqual(3, entry.backends[0].connections)
