"""Tests that no number of connections with much work keeps an ordinary request waiting."""

from __future__ import annotations

import asyncio

import testtools

from sycamorebay.transport.http.paced_feed import MAX_STEPS_PER_TURN, PacedFeed
from sycamorebay.transport.http.turns import BUSY_TURNS, Turns
from tests.support import asynchronous
from tests.test_gateway_tiny_pieces import PausableTransport

SLICE_STEPS = 64
TURN_STEPS = 4 * MAX_STEPS_PER_TURN


class TurnsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.turns = Turns(TURN_STEPS)
        self.fed: list[str] = []

    def connect(self, name: str) -> tuple[PacedFeed, PausableTransport]:
        """Return a feed in which each byte is a step."""

        def take(data: bytes | memoryview) -> int:
            self.fed.append(name)
            return len(data)

        feed = PacedFeed(take, turns=self.turns, slice_bytes=lambda: SLICE_STEPS)
        transport = PausableTransport()
        feed.open(transport)
        return feed, transport

    @asynchronous
    async def test_the_work_of_all_connections_in_a_turn_is_bounded(self):
        callers = [self.connect(f"caller {number}") for number in range(20)]
        for feed, _ in callers:
            feed.receive(b"x" * 10 * MAX_STEPS_PER_TURN)
        turns = 0
        while any(transport.paused for _, transport in callers):
            before = len(self.fed)
            await asyncio.sleep(0)
            turns += 1
            self.assertLessEqual(
                SLICE_STEPS * (len(self.fed) - before), TURN_STEPS + MAX_STEPS_PER_TURN
            )
        self.assertGreaterEqual(turns, 20 * 10 * MAX_STEPS_PER_TURN // TURN_STEPS - 1)
        self.assertEqual(20 * 10 * MAX_STEPS_PER_TURN, SLICE_STEPS * len(self.fed))

    @asynchronous
    async def test_an_ordinary_request_goes_before_the_rest_of_a_flood(self):
        for number in range(50):
            self.connect(f"flood {number}")[0].receive(b"x" * 100 * MAX_STEPS_PER_TURN)
        for _ in range(20):
            await asyncio.sleep(0)
        ordinary, transport = self.connect("ordinary")
        ordinary.receive(b"x" * SLICE_STEPS)
        await asyncio.sleep(0)
        self.assertIn("ordinary", self.fed)
        self.assertFalse(ordinary.has_rest or transport.paused)

    @asynchronous
    async def test_a_connection_that_was_busy_counts_as_light_again(self):
        once_busy = self.connect("once busy")[0]
        once_busy.receive(b"x" * 2 * MAX_STEPS_PER_TURN)
        for number in range(50):
            self.connect(f"flood {number}")[0].receive(b"x" * 100 * MAX_STEPS_PER_TURN)
        for _ in range(2 * BUSY_TURNS):
            await asyncio.sleep(0)
        self.fed.clear()
        once_busy.receive(b"x" * SLICE_STEPS)
        await asyncio.sleep(0)
        self.assertIn("once busy", self.fed)

    @asynchronous
    async def test_a_connection_that_ends_waits_for_no_turn(self):
        flood = [self.connect(f"flood {number}")[0] for number in range(10)]
        for feed in flood:
            feed.receive(b"x" * 100 * MAX_STEPS_PER_TURN)
            feed.close()
        self.fed.clear()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual([], self.fed)
