"""However a request ends, its slot is freed, and an unfinished one is cancelled upstream.

A slot that stays taken is lost to all later requests. A backend server notices a cancelled request
by its closed connection.
"""

from __future__ import annotations

import asyncio

import testtools

from sycamorebay.coordination.messages import Enqueue
from sycamorebay.transport.forwarding.exchange import ForwardedBody
from tests.one_entry import (
    OneEntry,
    ReceivedRequest,
    answer,
    answer_ok,
    eventually,
    on_uvloop,
    one_entry,
)

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n"
REQUEST = b"GET /prices/1 HTTP/1.1\r\nhost: desk.test\r\n\r\n"


async def never_answer(request: ReceivedRequest) -> None:
    await request.reader.read()


async def send_head_only(request: ReceivedRequest) -> None:
    request.writer.write(HEAD)
    await request.reader.read()


async def send_partial_body(request: ReceivedRequest) -> None:
    request.writer.write(HEAD + b"x" * 100)
    await request.reader.read()


class _TwoChunks:
    """A backend server's answer of two chunks."""

    def __init__(self) -> None:
        self.remaining = [b"a", b"b"]
        self.released = 0

    async def chunks(self):
        while self.remaining:
            yield self.remaining.pop(0)

    def is_complete(self) -> bool:
        return not self.remaining

    def release(self) -> None:
        self.released += 1


class EndingsTest(testtools.TestCase):
    async def assert_freed(self, entry: OneEntry) -> None:
        freed = await eventually(lambda: entry.in_flight == 0)
        self.assertTrue(freed, "the slot was not freed")
        self.assertEqual(0, entry.forwarder.in_flight)

    async def assert_cancelled(self, entry: OneEntry) -> None:
        await self.assert_freed(entry)
        closed = await eventually(lambda: entry.backends[0].open == 0)
        self.assertTrue(closed, "the connection to the backend server was not closed")

    async def disconnect_after(self, entry: OneEntry, received: bytes) -> None:
        reader, writer = await entry.connect()
        writer.write(REQUEST)
        self.assertTrue(await eventually(lambda: len(entry.backends[0].requests) == 1))
        if received:
            await reader.readuntil(received)
        self.assertEqual(1, entry.in_flight)
        writer.transport.abort()

    @on_uvloop
    async def test_a_caller_disconnects_before_the_head(self):
        async with one_entry(never_answer) as entry:
            await self.disconnect_after(entry, b"")
            await self.assert_cancelled(entry)

    @on_uvloop
    async def test_a_caller_disconnects_between_head_and_body(self):
        async with one_entry(send_head_only) as entry:
            await self.disconnect_after(entry, b"\r\n\r\n")
            await self.assert_cancelled(entry)

    @on_uvloop
    async def test_a_caller_disconnects_in_the_body(self):
        async with one_entry(send_partial_body) as entry:
            await self.disconnect_after(entry, b"xxx")
            await self.assert_cancelled(entry)

    @on_uvloop
    async def test_a_caller_that_half_closes_counts_as_disconnected(self):
        async with one_entry(never_answer) as entry:
            reader, writer = await entry.connect()
            writer.write(REQUEST)
            self.assertTrue(await eventually(lambda: entry.in_flight == 1))
            writer.write_eof()
            self.assertEqual(b"", await reader.read())
            await self.assert_cancelled(entry)

    @on_uvloop
    async def test_a_caller_disconnects_while_its_requests_are_pipelined(self):
        async with one_entry(never_answer) as entry:
            _, writer = await entry.connect()
            writer.write(REQUEST * 3)
            self.assertTrue(await eventually(lambda: entry.in_flight == 1))
            writer.transport.abort()
            await self.assert_cancelled(entry)
            self.assertEqual(1, len(entry.backends[0].requests))

    @on_uvloop
    async def test_a_truncated_answer_resets_the_caller(self):
        async def send_truncated(request: ReceivedRequest) -> None:
            request.writer.write(HEAD + b"x" * 100)
            await request.writer.drain()
            await asyncio.sleep(0.05)
            request.abort()

        async with one_entry(send_truncated) as entry:
            reader, writer = await entry.connect()
            writer.write(REQUEST)
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read()
            await self.assert_freed(entry)

    @on_uvloop
    async def test_a_truncated_chunked_answer_resets_the_caller(self):
        async def send_truncated(request: ReceivedRequest) -> None:
            request.writer.write(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await request.writer.drain()
            await asyncio.sleep(0.05)
            request.writer.close()
            await request.reader.read()

        async with one_entry(send_truncated) as entry:
            reader, writer = await entry.connect()
            writer.write(REQUEST)
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read()
            await self.assert_freed(entry)

    @on_uvloop
    async def test_a_deadline_that_passes_in_the_body_resets_the_caller(self):
        async with one_entry(send_partial_body) as entry:
            reader, writer = await entry.connect()
            writer.write(REQUEST.replace(b"/prices/1", b"/late"))
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read()
            await self.assert_cancelled(entry)

    @on_uvloop
    async def test_a_deadline_that_passes_before_the_head_is_answered_unknown(self):
        async with one_entry(never_answer) as entry:
            response = await entry.get("/late")
            self.assertIn(b"sycamorebay-outcome: unknown", response)
            self.assertIn(b"retry-after: ", response)
            await self.assert_cancelled(entry)

    @on_uvloop
    async def test_a_caller_that_never_reads_holds_its_slot_until_the_deadline(self):
        async def send_endlessly(request: ReceivedRequest) -> None:
            request.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100000000\r\n\r\n")
            while True:
                request.writer.write(b"x" * 100_000)
                await request.writer.drain()

        async with one_entry(send_endlessly) as entry:
            _, writer = await entry.connect()
            writer.write(REQUEST.replace(b"/prices/1", b"/late"))
            self.assertTrue(await eventually(lambda: entry.in_flight == 1))
            await self.assert_cancelled(entry)
            writer.close()

    @on_uvloop
    async def test_answers_without_a_body_free_slot_and_connection(self):
        answers = {
            b"GET": [
                b"HTTP/1.1 204 No Content\r\n\r\n",
                b"HTTP/1.1 304 Not Modified\r\ncontent-length: 70\r\n\r\n",
                b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            ],
            b"HEAD": [b"HTTP/1.1 200 OK\r\ncontent-length: 70\r\n\r\n"],
        }
        for method, answers_to_method in answers.items():
            for head in answers_to_method:
                async with one_entry(answer(head)) as entry:
                    for _ in range(2):
                        response = await entry.get("/prices", method.decode())
                        self.assertEqual(head.split(b"\r\n")[0], response.split(b"\r\n")[0])
                        self.assertTrue(response.endswith(b"\r\n\r\n"), response)
                        await self.assert_freed(entry)
                    self.assertEqual(1, entry.backends[0].connections)

    @on_uvloop
    async def test_the_content_length_of_an_answer_to_head_is_kept(self):
        async with one_entry(answer(b"HTTP/1.1 200 OK\r\ncontent-length: 70\r\n\r\n")) as entry:
            self.assertIn(b"content-length: 70\r\n", await entry.get("/prices", "HEAD"))

    @on_uvloop
    async def test_a_large_answer_is_complete_and_frees_its_slot(self):
        whole = b"HTTP/1.1 200 OK\r\ncontent-length: 3000000\r\n\r\n" + b"x" * 3_000_000
        async with one_entry(answer(whole)) as entry:
            reader, writer = await entry.connect()
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            response = await reader.readexactly(3_000_000)
            self.assertEqual(3_000_000, len(response))
            await self.assert_freed(entry)
            writer.close()

    @on_uvloop
    async def test_an_internal_error_is_a_refusal_and_frees_the_slot(self):
        async with one_entry(answer(HEAD)) as entry:

            def raise_error(*_: object) -> None:
                raise RuntimeError

            entry.dispatcher.on_answer = raise_error
            response = await entry.get("/prices")
            self.assertTrue(response.startswith(b"HTTP/1.1 500 "), response)
            self.assertIn(b"sycamorebay-outcome: unknown", response)
            await self.assert_freed(entry)

    @on_uvloop
    async def test_a_caller_that_pipelines_and_never_reads_gets_back_pressure(self):
        big = b"HTTP/1.1 200 OK\r\ncontent-length: 60000\r\n\r\n" + b"x" * 60_000
        async with one_entry(answer(big)) as entry:
            _, writer = await entry.connect()
            for _ in range(400):
                writer.write(REQUEST)
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.3)
            self.assertLess(len(entry.backends[0].requests), 300)
            writer.transport.abort()
            await self.assert_freed(entry)

    @on_uvloop
    async def test_the_slot_is_free_once_the_last_chunk_was_read(self):
        ended = []
        backend_answer = _TwoChunks()
        body = ForwardedBody(backend_answer, 0.0, "", "", lambda: ended.append(1))
        chunks = aiter(body)
        self.assertEqual((b"a", 0, []), (await anext(chunks), backend_answer.released, ended))
        self.assertEqual((b"b", 1, [1]), (await anext(chunks), backend_answer.released, ended))
        self.assertIsNone(await anext(chunks, None))
        body.close()
        self.assertEqual((1, [1]), (backend_answer.released, ended))


class DecisionTimeoutTest(testtools.TestCase):
    @on_uvloop
    async def test_a_request_without_a_decision_is_refused_in_its_time(self):
        async with one_entry(answer_ok) as entry:
            entry.dispatcher.invariants.strict = False
            entry.dispatcher._admit = lambda now, pending: Enqueue(pending.request.id, now)
            answer = await entry.get("/prices/7")
            self.assertIn(b" 504 ", answer.split(b"\r\n")[0])
            self.assertIn(b'"not-run"', answer)
            violations = entry.dispatcher.invariants.violations_by_name
            self.assertEqual({"decided in time": 1}, dict(violations))
            self.assertTrue(entry.dispatcher.is_idle())
