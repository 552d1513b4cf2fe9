"""Tests of faults that the checker of callers' connections found, on the listener itself."""

from __future__ import annotations

import asyncio
import weakref

import testtools

from sycamorebay.state.routing import RequestLimits
from sycamorebay.transport.gateway.body_stream import BodyStream
from sycamorebay.transport.gateway.callers.body_reservations import BodyReservations
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer
from sycamorebay.transport.gateway.callers.listener import Listener
from sycamorebay.transport.gateway.callers.slow_callers import SlowCallers
from sycamorebay.transport.gateway.counters import Counters
from tests.support import asynchronous
from tests.test_gateway_fuzz import RecordingTransport
from tests.test_gateway_pipelines import Pipeline, Source, pipeline

ROOM_BYTES = 100_000
# A head may have so many bytes, so that empty lines stay unparsed over several turns.
MANY_BYTES = 8 * 1024 * 1024


def send_upload(played: Pipeline, size: int, *lines: str) -> None:
    """Send the head of an upload, with further header lines."""
    head = "".join(f"{line}\r\n" for line in ("Host: desk.test", f"Content-Length: {size}", *lines))
    played.connection.data_received(f"POST /upload/x HTTP/1.1\r\n{head}\r\n".encode())


class InterimAnswerTest(testtools.TestCase):
    @asynchronous
    async def test_no_interim_answer_is_written_into_an_answer_that_is_being_passed_on(self):
        async with pipeline() as played:
            played.send("/download/1")
            await played.settle()
            stream = BodyStream(Source(), 4)
            await played.answer("/download/1", CallerAnswer(200, [], stream=stream))
            stream.feed(b"bo")
            await played.settle()
            send_upload(played, 3, "Expect: 100-continue")
            stream.feed(b"dy")
            stream.end()
            await played.settle()
            self.assertTrue(played.transport.written.endswith(b"\r\n\r\nbody"))


class AnnouncedCloseTest(testtools.TestCase):
    @asynchronous
    async def test_a_body_that_waits_for_room_gives_up_once_the_close_is_announced(self):
        async with pipeline() as played:
            bodies = played.listener.bodies = BodyReservations(ROOM_BYTES)
            uploads = bodies.reserve(ROOM_BYTES, lambda: None)
            played.send("/safe/1")
            send_upload(played, ROOM_BYTES)
            await played.settle()
            played.listener.stopping = True
            await played.answer("/safe/1", CallerAnswer(200, []))
            self.assertIn(b"connection: close", played.transport.written)
            uploads.release()
            self.assertEqual(0, bodies.used)
            # What is not read until the connection is closed would reset it.
            self.assertFalse(played.connection._feed._is_paused)


class IdleTest(testtools.TestCase):
    @asynchronous
    async def test_an_idle_time_that_ends_beside_unparsed_bytes_is_bounded_again(self):
        async def handle(_request: object) -> CallerAnswer:
            return CallerAnswer(200, [])

        listener = Listener(handle, request_limits=RequestLimits(head_bytes=MANY_BYTES, idle_s=0.0))
        connection, transport = listener.create_connection(), RecordingTransport()
        connection.connection_made(transport)
        # Empty lines are no request; so many of them are parsed over several turns.
        connection.data_received(b"\r\n" * (MANY_BYTES // 4))
        await asyncio.sleep(0)
        self.assertTrue(connection._feed.has_rest)
        await asyncio.sleep(0.3)
        self.assertFalse(connection._feed.has_rest)
        self.assertTrue(transport.closed)
        connection.connection_lost(None)


class MemoryTest(testtools.TestCase):
    @asynchronous
    async def test_an_idle_connection_keeps_no_answer(self):
        async with pipeline() as played:
            played.send("/safe/1")
            await played.settle()
            answer = CallerAnswer(200, [], b"x")
            kept = weakref.ref(answer)
            await played.answer("/safe/1", answer)
            played.answers.clear()
            del answer
            self.assertIs(None, kept())


class SlowCallerTest(testtools.TestCase):
    @asynchronous
    async def test_an_answer_that_fills_the_buffer_after_it_was_counted_cuts_its_caller_off(self):
        async with pipeline() as played:
            played.listener.slow_callers = SlowCallers(Counters(), max_unsent_bytes=100)
            played.send("/unsafe/1")
            await played.settle()
            await played.answer("/unsafe/1", CallerAnswer(200, [], b"x" * 200))
            played.transport.get_write_buffer_size = lambda: 200
            played.connection.pause_writing()
            self.assertTrue(played.transport.closed)

    @asynchronous
    async def test_no_request_starts_behind_an_answer_for_which_the_caller_is_cut_off(self):
        async with pipeline() as played:
            played.send("/unsafe/1", "/unsafe/2")
            await played.settle()
            loop, lose = asyncio.get_running_loop(), played.connection.connection_lost
            # As a transport does, it reports its end in the next turn.
            played.transport.abort = lambda: loop.call_soon(lose, None)
            played.connection.pause_writing()
            played.transport.get_write_buffer_size = lambda: 1
            played.listener.slow_callers = SlowCallers(Counters(), max_unsent_bytes=0)
            played.listener.slow_callers.add(played.connection)
            await played.answer("/unsafe/1", CallerAnswer(200, []))
            self.assertEqual(["/unsafe/1"], played.started)
