"""Tests that bodies in tiny pieces take memory and time in proportion to their bytes."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import testtools
from hypothesis import given
from hypothesis import strategies as st

from standins.scripts import endless
from sycamorebay.protocol.framing import FREE_CHUNKS, FramingError, FramingMeter
from sycamorebay.protocol.pieces import JOINED_BYTES, SMALL_PIECE_BYTES, PieceBuffer
from sycamorebay.state.routing import RequestLimits
from sycamorebay.transport.gateway.body_stream import HIGH_WATER_BYTES, BodyStream
from sycamorebay.transport.gateway.callers.body_reservations import BodyReservations
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer, CallerRequest
from sycamorebay.transport.gateway.callers.listener import Listener
from sycamorebay.transport.gateway.servers.buffer_budget import BufferBudget
from sycamorebay.transport.gateway.servers.client import AnswerError, ClientAnswer, Connection
from sycamorebay.transport.http.paced_feed import SLICE_BYTES, PacedFeed
from tests.gateway_fleet import config, fleet, route
from tests.support import asynchronous
from tests.test_gateway_fuzz import RecordingTransport

CHUNKED_OK = (
    b"HTTP/1.1 200 OK\r\nSycamorebay-Request-Id: {id}\r\nSycamorebay-Server-Sig: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
SEGMENT_BYTES = 64 * 1024
UPLOAD = b"POST /unsafe/x HTTP/1.1\r\nHost: desk.test\r\nTransfer-Encoding: chunked\r\n\r\n"
# What the process may hold of a body, for each byte: the pieces, and the whole that they become.
MAX_HELD_PER_BYTE = 3.0
FIXED_BYTES = 2 * 1024 * 1024
ENDLESS_UPLOADS = {
    "chunks of one byte": b"1\r\nx\r\n",
    "chunks of two bytes": b"2\r\nxx\r\n",
    "trailers": b"x-a: 1\r\n",
    "chunk extensions": b"1;" + b"e" * 500 + b"\r\nx\r\n",
}
ROUTE_TIMEOUT_S = 8.0


def chunks(size: int, count: int) -> bytes:
    """Return a body in chunks of a size, with its end."""
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * count + b"0\r\n\r\n"


def segments(data: bytes) -> list[bytes]:
    return [data[at : at + SEGMENT_BYTES] for at in range(0, len(data), SEGMENT_BYTES)]


def document() -> dict:
    timeout = f"{ROUTE_TIMEOUT_S}s"
    routes = {kind: route(kind, timeout=timeout, goal=timeout) for kind in ("safe", "unsafe")}
    document = config(1, **routes)
    document["limits"]["max_body_bytes"] = 64 * 1024 * 1024
    return document


class PausableTransport(RecordingTransport):
    """Knows whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self._reads = asyncio.Event()
        self._reads.set()

    @property
    def paused(self) -> bool:
        return not self._reads.is_set()

    def pause_reading(self) -> None:
        self._reads.clear()

    def resume_reading(self) -> None:
        self._reads.set()

    def abort(self) -> None:
        super().abort()
        self._reads.set()

    async def deliver(self, protocol: asyncio.Protocol, received: list[bytes]) -> None:
        """Deliver segments while the connection is open, as an event loop would."""
        for segment in received:
            await self._reads.wait()
            if not self.closed:
                protocol.data_received(segment)


async def receive(received: list[bytes]) -> ClientAnswer:
    """Return the answer whose bytes a connection receives in segments."""
    connection, transport = Connection(BufferBudget()), PausableTransport()
    connection.connection_made(transport)
    request = asyncio.ensure_future(connection.send_request(b"x", b"", lambda *_: True))
    await asyncio.sleep(0)
    await transport.deliver(connection, received)
    return await asyncio.wait_for(request, 5.0)


class PieceBufferTest(testtools.TestCase):
    @given(st.lists(st.binary(max_size=2 * SMALL_PIECE_BYTES)), st.integers(0, 5))
    def test_the_bytes_keep_their_order(self, pieces, popped):
        buffer, data = PieceBuffer(), b""
        for index, piece in enumerate(pieces):
            buffer.add(piece)
            if index < popped:
                data += buffer.pop()
        self.assertEqual(len(b"".join(pieces)), len(data) + buffer.size)
        self.assertEqual(b"".join(pieces), data + buffer.pop_all())
        self.assertEqual((0, b""), (buffer.size, buffer.pop()))

    def test_tiny_pieces_are_held_by_few_objects(self):
        buffer = PieceBuffer()
        for _ in range(100_000):
            buffer.add(b"x")
        self.assertLessEqual(buffer.object_count, 100_000 // JOINED_BYTES + 1)


class PacedFeedTest(testtools.TestCase):
    def create(self, steps_per_byte: int) -> tuple[PacedFeed, PausableTransport, list[bytes]]:
        fed: list[bytes] = []

        def take(data: bytes | memoryview) -> int:
            fed.append(bytes(data))
            return steps_per_byte * len(data)

        feed, transport = PacedFeed(take), PausableTransport()
        feed.open(transport)
        return feed, transport, fed

    @asynchronous
    async def test_much_work_is_spread_over_turns_in_which_others_run(self):
        feed, transport, fed = self.create(steps_per_byte=1)
        data = bytes(range(256)) * 1024
        feed.receive(data)
        turns = 0
        while transport.paused:
            self.assertLessEqual(len(fed), turns + 1)
            turns += 1
            await asyncio.sleep(0)
        self.assertEqual(len(data) // SLICE_BYTES, turns)
        self.assertEqual(data, b"".join(fed))

    @asynchronous
    async def test_large_pieces_are_fed_in_one_turn_and_the_connection_is_read_in_the_next(self):
        feed, transport, fed = self.create(steps_per_byte=0)
        feed.receive(b"x" * 16 * SLICE_BYTES)
        self.assertEqual((16, True, False), (len(fed), transport.paused, feed.has_rest))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(transport.paused)

    @asynchronous
    async def test_a_connection_that_is_held_back_goes_on_with_what_it_had(self):
        feed, transport, fed = self.create(steps_per_byte=1)
        feed.receive(b"x" * 3 * SLICE_BYTES)
        feed.hold_back(True)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual((1, True), (len(fed), transport.paused))
        feed.hold_back(False)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual((3, False), (len(fed), transport.paused))

    @asynchronous
    async def test_an_ended_connection_loses_nothing_that_was_received(self):
        feed, _, fed = self.create(steps_per_byte=1)
        feed.receive(b"x" * 3 * SLICE_BYTES)
        feed.flush()
        await asyncio.sleep(0)
        self.assertEqual(b"x" * 3 * SLICE_BYTES, b"".join(fed))


class FramingMeterTest(testtools.TestCase):
    def test_small_chunks_are_bounded_by_the_body(self):
        meter = FramingMeter()
        with self.assertRaises(FramingError):
            for _ in range(2 * FREE_CHUNKS):
                meter.on_chunk()
                meter.on_body(2)
        self.assertLess(meter.body_bytes, 2 * (FREE_CHUNKS + FREE_CHUNKS))

    def test_chunks_of_a_line_each_are_never_too_many(self):
        meter = FramingMeter()
        for _ in range(10 * FREE_CHUNKS):
            meter.on_chunk()
            meter.on_body(40)
            meter.on_received(46)


class ServerPiecesTest(testtools.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    def held_by(self, received: list[bytes]) -> int:
        """Return the most bytes that the process holds while an answer is received."""
        tracemalloc.start()
        try:
            asyncio.run(receive(received))
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    def test_an_answer_in_small_chunks_takes_memory_in_proportion_to_its_bytes(self):
        size, count = 20, 200_000
        received = segments(self.HEAD + chunks(size, count))
        held = self.held_by(received)
        self.assertLess(held, MAX_HELD_PER_BYTE * size * count + FIXED_BYTES)

    def test_trailers_without_end_behind_a_large_body_take_no_memory(self):
        body = b"%x\r\n" % SEGMENT_BYTES + b"x" * SEGMENT_BYTES + b"\r\n0\r\n"
        received = segments(self.HEAD + body + b"a:\r\n" * 300_000)
        tracemalloc.start()
        try:
            self.assertRaises(AnswerError, asyncio.run, receive(received))
            self.assertLess(tracemalloc.get_traced_memory()[1], FIXED_BYTES)
        finally:
            tracemalloc.stop()

    @asynchronous
    async def test_an_answer_in_a_few_tiny_chunks_is_delivered(self):
        answer = await receive(segments(self.HEAD + chunks(1, FREE_CHUNKS // 2)))
        self.assertEqual(b"x" * (FREE_CHUNKS // 2), answer.body)

    @asynchronous
    async def test_what_follows_an_answer_in_a_later_slice_answers_no_other_request(self):
        answer = self.HEAD + chunks(40, 330)
        stray = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"
        # The answer ends within the first slice, after more steps than a turn takes.
        self.assertLess(len(answer), SLICE_BYTES)
        received = answer + b"HTTP/1.1 200 OK\r\nx: " + b"x" * SLICE_BYTES + b"\r\n\r\n" + stray
        connection, transport = Connection(BufferBudget()), PausableTransport()
        connection.connection_made(transport)
        followed: list[bool] = []

        async def ask() -> bytes:
            first = await connection.send_request(b"x", b"", lambda *_: True)
            followed.append(connection.open)
            return first.body

        request = asyncio.ensure_future(ask())
        await asyncio.sleep(0)
        connection.data_received(received)
        self.assertEqual(40 * 330, len(await request))
        self.assertEqual([False], followed)

    @asynchronous
    async def test_a_stream_in_tiny_segments_is_held_by_few_objects(self):
        class Source:
            def pause_reading(self) -> None: ...
            def resume_reading(self) -> None: ...
            def abort(self) -> None: ...

        stream = BodyStream(Source(), 10**6)
        for _ in range(HIGH_WATER_BYTES):
            stream.feed(b"x")
        self.assertLessEqual(stream._pieces.object_count, HIGH_WATER_BYTES // JOINED_BYTES + 1)

    @asynchronous
    async def test_an_answer_in_tiny_chunks_without_end_is_ended_at_once(self):
        async with fleet(servers=1, document=document()) as started:
            for size in (1, 2):
                sent: list[int] = []
                piece = (b"%x\r\n" % size + b"x" * size + b"\r\n") * 4096
                started.servers_by_id["s0"].script = endless(CHUNKED_OK, piece, sent)
                load = started.gateways[0]._placer.load("s0")
                load.suspended_until = float("-inf")
                caller = await started.caller()
                begun = time.monotonic()
                answer = await caller.ask(f"r{size}", "/unsafe/x", "POST", b"x", deadline_ms=8000)
                caller.close()
                self.assertEqual(502, answer.status)
                self.assertLess(time.monotonic() - begun, ROUTE_TIMEOUT_S / 2)
                self.assertEqual(size, started.gateways[0]._counters.framing_refused)


class CallerPiecesTest(testtools.TestCase):
    def feed(self, data: bytes) -> tuple[RecordingTransport, list[CallerRequest], int]:
        """Feed a caller's bytes to a connection; return its end and the most bytes held."""
        requests: list[CallerRequest] = []

        async def handle(request: CallerRequest) -> CallerAnswer:
            requests.append(request)
            return CallerAnswer(200, [])

        async def play() -> RecordingTransport:
            listener = Listener(handle)
            listener.request_limits = RequestLimits(body_bytes=64 * 1024 * 1024)
            connection, transport = listener.create_connection(), PausableTransport()
            connection.connection_made(transport)
            await transport.deliver(connection, received)
            await asyncio.sleep(0.01)
            connection.connection_lost(None)
            return transport

        received = segments(data)
        tracemalloc.start()
        try:
            transport = asyncio.run(play())
            return transport, requests, tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    def test_an_upload_in_small_chunks_takes_memory_in_proportion_to_its_bytes(self):
        size, count = 20, 200_000
        _, requests, held = self.feed(UPLOAD + chunks(size, count))
        self.assertEqual([size * count], [len(request.body) for request in requests])
        self.assertLess(held, MAX_HELD_PER_BYTE * size * count + FIXED_BYTES)

    def test_uploads_without_end_in_their_framing_are_refused(self):
        for name, piece in ENDLESS_UPLOADS.items():
            start = b"0\r\n" if name == "trailers" else b""
            data = UPLOAD + start + piece * (2 * 1024 * 1024 // len(piece))
            transport, requests, held = self.feed(data)
            self.assertEqual((name, b"HTTP/1.1 400"), (name, transport.written[:12]))
            self.assertEqual([], requests, name)
            self.assertLess(held, FIXED_BYTES, name)

    @asynchronous
    async def test_the_body_of_a_refused_upload_is_no_longer_held(self):
        async def handle(_request: CallerRequest) -> CallerAnswer:
            return CallerAnswer(200, [])

        listener = Listener(handle)
        listener.request_limits = RequestLimits(body_bytes=64 * 1024 * 1024)
        listener.bodies = BodyReservations(4 * SEGMENT_BYTES)
        connection, transport = listener.create_connection(), PausableTransport()
        connection.connection_made(transport)
        await transport.deliver(connection, segments(UPLOAD + chunks(8192, 100)))
        self.assertEqual(b"HTTP/1.1 503", transport.written[:12])
        self.assertEqual((0, 0), (connection._reader._body.size, listener.bodies.used))
        connection.connection_lost(None)

    def test_the_end_of_one_upload_is_no_framing_of_the_next(self):
        body = b"x" * (SEGMENT_BYTES - 200)
        first = b"POST /unsafe/x HTTP/1.1\r\nHost: desk.test\r\nContent-Length: %d\r\n\r\n"
        whole = first % len(body) + body
        second = first % 10
        padding = b"x" * (2 * SEGMENT_BYTES)
        long = first % (len(body) + len(padding)) + padding + body
        transport, requests, _ = self.feed(long + second + b"0123456789" + whole)
        self.assertEqual(3, len(requests))
        self.assertEqual(b"HTTP/1.1 200", transport.written[:12])
