"""Tests of pipelined requests on one caller's connection, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import testtools

from sycamorebay.protocol.caller_connection import MAX_OVERLAPPING
from sycamorebay.state.routing import RequestLimits
from sycamorebay.transport.gateway.body_stream import BodyStream
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer, CallerRequest
from sycamorebay.transport.gateway.callers.connection import CallerConnection
from sycamorebay.transport.gateway.callers.listener import Listener
from tests.support import asynchronous
from tests.test_gateway_fuzz import RecordingTransport


class Source:
    """A server's connection, of which nothing is asked."""

    def pause_reading(self) -> None: ...
    def resume_reading(self) -> None: ...
    def abort(self) -> None: ...


@attrs.define
class Pipeline:
    """A connection whose requests end when the test says so."""

    listener: Listener
    connection: CallerConnection
    transport: RecordingTransport
    started: list[str]
    answers: dict[str, asyncio.Future[CallerAnswer]]

    def send(self, *paths: str) -> None:
        request = "GET {} HTTP/1.1\r\nHost: desk.test\r\n\r\n"
        self.connection.data_received("".join(request.format(path) for path in paths).encode())

    async def answer(self, path: str, answer: CallerAnswer) -> None:
        self.answers[path].set_result(answer)
        await self.settle()

    async def settle(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)


@asynccontextmanager
async def pipeline() -> AsyncIterator[Pipeline]:
    started: list[str] = []
    answers: dict[str, asyncio.Future[CallerAnswer]] = {}

    async def handle(request: CallerRequest) -> CallerAnswer:
        started.append(request.path)
        answers[request.path] = asyncio.get_running_loop().create_future()
        return await answers[request.path]

    listener = Listener(
        handle,
        may_overlap=lambda request: request.path.startswith("/safe"),
        may_be_large=lambda request: request.path.startswith("/download"),
    )
    connection, transport = listener.create_connection(), RecordingTransport()
    connection.connection_made(transport)
    try:
        yield Pipeline(listener, connection, transport, started, answers)
    finally:
        connection.connection_lost(None)


class StopTest(testtools.TestCase):
    @asynchronous
    async def test_no_request_is_started_after_the_connection_is_announced_to_close(self):
        for second in ("/download/2", "/safe/2"):
            async with pipeline() as played:
                played.send("/download/1", second)
                await played.settle()
                played.listener.stopping = True
                stream = BodyStream(Source(), 4)
                await played.answer("/download/1", CallerAnswer(200, [], stream=stream))
                self.assertIn(b"connection: close", played.transport.written)
                self.assertEqual(["/download/1"], played.started)
                played.send("/safe/3")
                stream.feed(b"body")
                stream.end()
                await played.settle()
                self.assertEqual(["/download/1"], played.started)
                self.assertTrue(played.transport.written.endswith(b"\r\n\r\nbody"))


class BrokenDownloadTest(testtools.TestCase):
    @asynchronous
    async def test_a_download_that_breaks_off_takes_no_started_request_along(self):
        async with pipeline() as played:
            played.send("/download/1", "/safe/2")
            await played.settle()
            stream = BodyStream(Source(), 4)
            await played.answer("/download/1", CallerAnswer(200, [], stream=stream))
            stream.feed(b"bo")
            stream.fail("broken off")
            await played.settle()
            self.assertTrue(played.transport.closed)
            self.assertEqual(["/download/1"], played.started)

    @asynchronous
    async def test_requests_behind_a_whole_download_are_answered(self):
        async with pipeline() as played:
            played.send("/download/1", "/safe/2", "/safe/3")
            await played.settle()
            stream = BodyStream(Source(), 4)
            await played.answer("/download/1", CallerAnswer(200, [], stream=stream))
            stream.feed(b"body")
            stream.end()
            await played.settle()
            self.assertEqual(["/download/1", "/safe/2", "/safe/3"], played.started)
            await played.answer("/safe/2", CallerAnswer(200, []))
            await played.answer("/safe/3", CallerAnswer(200, []))
            self.assertEqual(3, played.transport.written.count(b"HTTP/1.1 200"))

    @asynchronous
    async def test_safe_requests_still_overlap(self):
        async with pipeline() as played:
            played.send("/safe/1", "/safe/2", "/download/3", "/safe/4")
            await played.settle()
            self.assertEqual(["/safe/1", "/safe/2"], played.started)


class UnreadAnswersTest(testtools.TestCase):
    @asynchronous
    async def test_no_request_starts_until_the_caller_reads_the_answers_before_it(self):
        async with pipeline() as played:
            played.send("/unsafe/1", "/unsafe/2")
            await played.settle()
            played.connection.pause_writing()
            await played.answer("/unsafe/1", CallerAnswer(200, []))
            played.send("/unsafe/3")
            await played.settle()
            self.assertEqual(["/unsafe/1"], played.started)
            played.connection.resume_writing()
            await played.settle()
            await played.answer("/unsafe/2", CallerAnswer(200, []))
            self.assertEqual(["/unsafe/1", "/unsafe/2", "/unsafe/3"], played.started)

    @asynchronous
    async def test_a_caller_that_reads_no_answer_is_cut_off_after_the_idle_time(self):
        async with pipeline() as played:
            played.listener.request_limits = RequestLimits(idle_s=0.05)
            played.send("/unsafe/1", "/unsafe/2")
            await played.settle()
            played.connection.pause_writing()
            await played.answer("/unsafe/1", CallerAnswer(200, []))
            await asyncio.sleep(0.2)
            self.assertTrue(played.transport.closed)
            self.assertEqual(["/unsafe/1"], played.started)

    @asynchronous
    async def test_some_safe_requests_of_one_caller_overlap_and_the_others_follow(self):
        paths = [f"/safe/{number}" for number in range(MAX_OVERLAPPING + 2)]
        async with pipeline() as played:
            played.send(*paths)
            await played.settle()
            self.assertEqual(paths[:MAX_OVERLAPPING], played.started)
            await played.answer(paths[0], CallerAnswer(200, []))
            self.assertEqual(paths[: MAX_OVERLAPPING + 1], played.started)
