from __future__ import annotations

import math
from random import Random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sycamorebay.coordination.announcements import (
    MAX_REST_S,
    REST_MEMORY_S,
    RETURN_STEP_S,
    Announcements,
    is_credible_rest,
)
from sycamorebay.coordination.placing import Place, PlacementRequest, Placer, Refuse
from sycamorebay.platform.headers import PlatformHeaderCodec
from sycamorebay.state.server_entries import ServerEntry

SLOTS = 8


def entry(number: int, **changes: object) -> ServerEntry:
    return ServerEntry(f"s{number}", "desk", f"10.0.0.{number}:1", "a", SLOTS, **changes)


def request(number: int) -> PlacementRequest:
    return PlacementRequest(number, "desk", "route", 2, 1000.0, 1000.0)


class AnnouncementsTest(testtools.TestCase):
    def test_nothing_ends_leaving(self):
        announced = Announcements()
        self.assertTrue(announced.on_leaving())
        self.assertFalse(announced.on_leaving())
        announced.on_rest(0.0, 1.0)
        self.assertFalse(announced.accepts(MAX_REST_S + 1))

    def test_a_shorter_rest_does_not_end_a_longer_one(self):
        announced = Announcements()
        self.assertTrue(announced.on_rest(0.0, 5.0))
        self.assertFalse(announced.on_rest(1.0, 1.0))
        self.assertFalse(announced.accepts(4.9))
        self.assertTrue(announced.accepts(5.0))

    def test_the_share_of_a_server_returns_by_steps_and_slower_after_each_further_rest(self):
        announced = Announcements()
        self.assertEqual(SLOTS, announced.own_slots(0.0, SLOTS))
        announced.on_rest(0.0, 1.0)
        shares = [announced.own_slots(1.0 + step * RETURN_STEP_S, SLOTS) for step in range(5)]
        self.assertEqual([1, 2, 4, 8, 8], shares)
        announced.on_rest(2.0, 1.0)
        self.assertEqual(1, announced.own_slots(3.0 + RETURN_STEP_S, SLOTS))
        announced.on_rest(3.1 + REST_MEMORY_S, 1.0)
        self.assertEqual(1, announced.rests)

    @given(st.floats(allow_nan=True, allow_infinity=True))
    def test_only_a_bounded_time_is_a_rest(self, seconds):
        expected = not math.isnan(seconds) and 0 < seconds <= MAX_REST_S
        self.assertEqual(expected, is_credible_rest(seconds))


class PlacingTest(testtools.TestCase):
    def create(self, servers: int) -> Placer:
        placer = Placer("a", Random(1))
        placer.on_servers(0.0, [entry(number) for number in range(servers)])
        return placer

    def test_a_server_that_leaves_or_rests_gets_no_requests(self):
        placer = self.create(3)
        placer.load("s0").announcements.on_leaving()
        placer.load("s1").announcements.on_rest(0.0, 5.0)
        placed = [placer.on_request(1.0, request(number)) for number in range(5)]
        self.assertEqual({"s2"}, {one.server.id for one in placed if isinstance(one, Place)})

    def test_an_announcement_survives_the_removal_of_an_entry_but_no_new_start(self):
        placer = self.create(2)
        placer.load("s0").announcements.on_leaving()
        placer.on_servers(1.0, [entry(1)])
        placer.on_servers(2.0, [entry(0, sequence=9), entry(1)])
        self.assertTrue(placer.load("s0").announcements.leaving)
        placer.on_servers(3.0, [entry(0, started_ms=5), entry(1)])
        self.assertFalse(placer.load("s0").announcements.leaving)

    def test_requests_without_a_server_are_refused_until_the_first_has_rested(self):
        placer = self.create(2)
        placer.load("s0").announcements.on_rest(0.0, 5.0)
        placer.load("s1").announcements.on_rest(0.0, 9.0)
        refused = [placer.on_request(1.0, request(number)) for number in range(20)]
        waits = [one.retry_after_s for one in refused if isinstance(one, Refuse)]
        self.assertEqual(20, len(waits))
        self.assertTrue(all(4.0 <= wait <= 5.0 for wait in waits))
        self.assertGreater(max(waits) - min(waits), 0.5)


class HeadersTest(testtools.TestCase):
    def test_announcements_are_read_from_the_head_of_an_answer(self):
        read = PlatformHeaderCodec().read_answer
        self.assertTrue(read(200, [(b"server-leaving", b"1")]).leaving)
        self.assertFalse(read(200, [(b"server-leaving", b"0")]).leaving)
        self.assertTrue(read(200, [(b"server-leaving", b"0"), (b"server-leaving", b"1")]).leaving)
        self.assertEqual(1.5, read(503, [(b"retry-after", b"1.5")]).rest_s)
        self.assertIsNone(read(200, [(b"retry-after", b"1.5")]).rest_s)
        for value in (b"", b"-1", b"x", b"nan", b"1e300", b"Wed, 21 Oct 2026 07:28:00 GMT"):
            metadata = read(503, [(b"retry-after", value)])
            self.assertEqual((None, True), (metadata.rest_s, metadata.rest_is_unreadable), value)
