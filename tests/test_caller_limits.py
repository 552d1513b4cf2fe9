"""Tests of the limits on callers' heads, memory and connections, without a network."""

from __future__ import annotations

import asyncio
import gc
import weakref

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sycamorebay.coordination.connection_slots import (
    FILE_DESCRIPTORS,
    FRESH_S,
    ConnectionSlots,
    Phase,
    divide_descriptors,
)
from sycamorebay.coordination.held_memory import CONNECTION_BYTES, RELIEF_SHARE, HeldMemory
from sycamorebay.coordination.memory_budget import MEGABYTE, MemoryBudget, divide_memory
from sycamorebay.protocol.head_meter import HeadMeter
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer, CallerRequest
from sycamorebay.transport.gateway.callers.listener import Listener
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.http.caller_guard import CallerGuard, CallerMemory
from sycamorebay.transport.http.paced_feed import PacedFeed
from tests.support import asynchronous
from tests.test_gateway_tiny_pieces import PausableTransport

HEAD_LIMIT = 16_384
START = b"GET /x HTTP/1.1\r\nHost: a\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"


async def receive(data: bytes, piece: int = 1000) -> tuple[bytes, int]:
    """Return what a connection writes for bytes received in pieces, and how many requests ran."""
    requests: list[CallerRequest] = []

    async def handle(request: CallerRequest) -> CallerAnswer:
        requests.append(request)
        return CallerAnswer(200, [])

    connection, transport = Listener(handle).create_connection(), PausableTransport()
    connection.connection_made(transport)
    pieces = [data[at : at + piece] for at in range(0, len(data), piece)]
    await transport.deliver(connection, pieces)
    for _ in range(100):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    return bytes(transport.written), len(requests)


class HeadLimitTest(testtools.TestCase):
    @asynchronous
    async def test_what_is_received_of_a_head_is_limited_whether_or_not_it_is_complete(self):
        beginnings = {
            "request line": (b"GET /", b"x"),
            "header": (START + b"x: ", b"x"),
            "header name": (START, b"x"),
            "spaces before a value": (START + b"x:", b" "),
            "headers": (START, b"a:b\r\n"),
            "empty lines": (b"", b"\r\n"),
        }
        for name, (start, filler) in beginnings.items():
            count = (HEAD_LIMIT - len(start)) // len(filler)
            written, _ = await receive(start + filler * count)
            self.assertEqual((name, b""), (name, written))
            written, requests = await receive(start + filler * (count + 1))
            self.assertEqual((name, b"HTTP/1.1 431", 0), (name, written[:12], requests))

    @asynchronous
    async def test_trailers_are_limited_like_a_head(self):
        for trailers in (b"a:b\r\n" * 4000, b"a:" + b"b" * 20_000):
            written, requests = await receive(CHUNKED + trailers)
            self.assertEqual((b"HTTP/1.1 400", 0), (written[:12], requests))
        written, _ = await receive(CHUNKED + b"a:b\r\n" * 3000 + b"\r\n")
        self.assertEqual(b"HTTP/1.1 200", written[:12])

    @asynchronous
    async def test_requests_with_3000_headers_of_five_bytes_are_served(self):
        whole = START + b"a:b\r\n" * 3000 + b"\r\n"
        for piece in (100, 1000, len(whole) * 3):
            written, requests = await receive(whole * 3, piece)
            self.assertEqual((3, 3), (written.count(b"HTTP/1.1 200"), requests))

    @given(st.lists(st.integers(0, 3), max_size=4), st.integers(1, 9))
    def test_the_bytes_of_a_head_are_counted_in_any_pieces(self, blank_lines, piece):
        for blank in blank_lines:
            head = b"\r\n" * blank + START + b"\r\n"
            meter, rest, taken = HeadMeter(), head + b"next", 0
            while taken < len(head):
                taken += meter.on_received(rest[taken : taken + piece])
            self.assertEqual((len(head), len(head)), (taken, meter.received_bytes))


class HeldMemoryTest(testtools.TestCase):
    @given(st.dictionaries(st.integers(), st.integers(1, 100), min_size=2), st.integers(1, 500))
    def test_the_largest_are_closed_until_the_others_fit(self, sizes, limit):
        memory: HeldMemory[int] = HeldMemory(limit)
        for key, size in sizes.items():
            memory.update(key, size)
        is_exceeded = memory.is_exceeded
        closed = memory.pop_largest()
        self.assertEqual(sum(sizes.values()) > limit, is_exceeded)
        self.assertEqual(is_exceeded, bool(closed))
        rest = [size for key, size in sizes.items() if key not in closed]
        self.assertEqual(sum(rest), memory.used)
        if closed:
            self.assertLessEqual(max(rest), min(sizes[key] for key in closed))
            self.assertTrue(memory.used <= RELIEF_SHARE * limit or len(rest) == 1)

    def test_the_shares_follow_from_the_memory_and_leave_room_for_the_process(self):
        self.assertEqual(MemoryBudget(), divide_memory(200))
        for ram_mb in (64, 200, 552):
            budget = divide_memory(ram_mb)
            total = budget.body_bytes + budget.answer_bytes
            total += budget.unsent_bytes + budget.request_bytes
            self.assertLess(total + 40 * MEGABYTE, ram_mb * MEGABYTE)


class GuardedCaller:
    """A connection that holds some bytes."""

    def __init__(self, held_bytes: int, phase: Phase) -> None:
        self.held_bytes = held_bytes
        self.phase = phase
        self.is_light = held_bytes < 100
        self.unsent_bytes = 0
        self.closed = ""

    def shed(self) -> None:
        self.closed = "shed"

    def abort(self) -> None:
        self.closed = "aborted"


class CallerGuardTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.counters = Counters()
        memory = CallerMemory(self.counters, 1000)
        self.guard = CallerGuard(lambda: self.now, self.counters, memory, 40)

    def connect(self, *callers: GuardedCaller) -> None:
        for caller in callers:
            self.now += 0.001
            self.guard.on_connected(caller)
            self.guard.on_changed(caller)

    def test_the_largest_connection_is_shed_when_light_ones_exceed_the_limit_with_it(self):
        large = GuardedCaller(500, Phase.INCOMPLETE)
        light = [GuardedCaller(20, Phase.BUSY) for _ in range(30)]
        self.connect(large, *light)
        self.assertEqual(("shed", 1), (large.closed, self.counters.memory_refused))
        self.assertEqual({""}, {caller.closed for caller in light})

    def test_a_busy_connection_is_not_closed_for_a_new_one(self):
        busy = [GuardedCaller(1, Phase.BUSY) for _ in range(39)]
        idle = GuardedCaller(1, Phase.IDLE)
        self.connect(idle, *busy)
        self.now += 2.0
        self.connect(GuardedCaller(1, Phase.BUSY))
        self.assertEqual(("aborted", 1), (idle.closed, self.counters.connections_evicted))
        self.assertEqual({""}, {caller.closed for caller in busy})

    def test_what_callers_have_not_taken_of_their_answers_counts(self):
        slow = GuardedCaller(10, Phase.BUSY)
        self.connect(slow, GuardedCaller(10, Phase.IDLE))
        slow.unsent_bytes = 2000
        self.now += 1.0
        self.connect(GuardedCaller(10, Phase.IDLE))
        self.assertEqual("shed", slow.closed)


class ReleaseTest(testtools.TestCase):
    def test_bytes_that_were_all_parsed_are_not_held(self):
        feed, received = PacedFeed(lambda _: 0), bytearray(100_000)
        feed.receive(received)
        # Raises BufferError while something refers to the bytes.
        received.clear()

    @asynchronous
    async def test_bytes_that_were_not_parsed_yet_are_not_held_once_their_request_is_refused(self):
        async def handle(_request: CallerRequest) -> CallerAnswer:
            return CallerAnswer(200, [])

        counters = Counters()
        memory = CallerMemory(counters, limit=100_000)
        listener = Listener(handle, guard=CallerGuard(counters=counters, memory=memory))
        other, connection = listener.create_connection(), listener.create_connection()
        transport = PausableTransport()
        other.connection_made(PausableTransport())
        connection.connection_made(transport)
        received = bytearray(START + b"a:b\r\n" * 40_000)
        connection.data_received(received)
        self.assertEqual((1, b"HTTP/1.1 503"), (counters.memory_refused, transport.written[:12]))
        # Raises BufferError while something refers to the bytes.
        received.clear()

    @asynchronous
    async def test_a_closed_connection_is_freed_without_the_collector(self):
        async def handle(_request: CallerRequest) -> CallerAnswer:
            return CallerAnswer(200, [])

        listener = Listener(handle)
        gc.disable()
        try:
            for received in (b"", START, START + b"\r\n", START + b"x: " + b"x" * HEAD_LIMIT):
                connection, transport = listener.create_connection(), PausableTransport()
                connection.connection_made(transport)
                await transport.deliver(connection, [received] if received else [])
                for _ in range(10):
                    await asyncio.sleep(0)
                connection.connection_lost(None)
                await asyncio.sleep(0)
                reference = weakref.ref(connection)
                del connection, transport
                self.assertIsNone(reference(), received[:40])
        finally:
            gc.enable()


class ConnectionSlotsTest(testtools.TestCase):
    def fill(self, *phases: Phase) -> ConnectionSlots[int]:
        slots: ConnectionSlots[int] = ConnectionSlots(len(phases))
        for number, phase in enumerate(phases):
            self.assertIsNone(slots.add(number, float(number)))
            slots.update(number, phase, float(number))
        return slots

    def test_idle_ones_are_closed_first_and_then_those_incomplete_for_longest(self):
        slots = self.fill(Phase.BUSY, Phase.INCOMPLETE, Phase.IDLE, Phase.INCOMPLETE)
        now = 4 + FRESH_S
        self.assertEqual([2, 1, 3], [slots.add(10 + count, now) for count in range(3)])

    def test_a_caller_that_has_just_connected_is_not_closed_before_older_incomplete_requests(self):
        slots = self.fill(Phase.INCOMPLETE, Phase.INCOMPLETE, Phase.IDLE)
        self.assertEqual(0, slots.add(10, 2.0 + FRESH_S / 2))

    def test_a_new_connection_is_refused_while_all_others_are_busy(self):
        slots = self.fill(Phase.BUSY, Phase.BUSY)
        self.assertEqual(10, slots.add(10, 2.0))
        self.assertEqual(2, len(slots))

    def test_callers_leave_descriptors_to_servers_the_store_and_peers(self):
        for max_fds in (300, 4100, 8192):
            limits = divide_descriptors(max_fds, 10**9, CONNECTION_BYTES)
            available = max_fds - FILE_DESCRIPTORS
            accepted = limits.callers + limits.backlog
            self.assertLessEqual(accepted, available // 2)
            # The three listeners' backlogs may all be taken in one turn.
            whole = accepted + 2 * (limits.side + limits.side_backlog)
            self.assertLess(whole, 0.75 * available)
