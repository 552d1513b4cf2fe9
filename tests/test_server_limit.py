"""Tests of server limits that daemons share without telling each other what they send."""

from __future__ import annotations

from collections import deque
from random import Random
from unittest import mock

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorebay.coordination.placing import Place, PlacementRequest, Placer, Refuse, Wait
from sycamorebay.coordination.removed_starts import MAX_REMOVED
from sycamorebay.coordination.server_limit import RemovedLimits, ServerLimit
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.coordination.subset import ServerSubset
from sycamorebay.platform.headers import PlatformHeaderCodec
from sycamorebay.protocol.limit_rows import (
    LimitMessage,
    LimitRow,
    decode_limits,
    encode_limits,
)
from sycamorebay.state.server_entries import ServerEntry

WINDOW_S = 4.0
STEP_S = 0.05
DURATION_S = 80.0
FLEET_SIZES = (1, 4, 13, 40, 125, 312)
LIMITS_PER_S = (0.5, 1.0, 2.0, 10.0)


def allowed(per_s: float) -> float:
    """Return how many requests a server may get within the window."""
    return 1.5 * per_s * WINDOW_S + 5


class SharedLimit:
    """Daemons that share the limit of one server under a demand that comes and goes."""

    def __init__(self, daemons: int, per_s: float, seed: int) -> None:
        self.rng = Random(seed)
        self.daemons = daemons
        self.per_s = per_s
        self.limits = [self.new_limit(0.0) for _ in range(daemons)]
        self.sent_at: deque[float] = deque()
        self.total = 0
        self.worst = 0

    def new_limit(self, now: float) -> ServerLimit:
        """Return the limit as a daemon that has just learnt of it knows it."""
        limit = ServerLimit(Random(self.rng.random()))
        limit.on_named(now, self.per_s)
        return limit

    def run(self, idle_s: float = 0.0, restart_interval_s: float = DURATION_S) -> None:
        """Play `DURATION_S` with demand at every daemon, after idle periods and restarts."""
        for step in range(int(DURATION_S / STEP_S)):
            now = step * STEP_S
            if step % int(restart_interval_s / STEP_S) == 0:
                self.limits = [self.new_limit(now) for _ in range(self.daemons)]
            if idle_s and now % (2 * idle_s) < idle_s:
                continue
            for limit in self.limits:
                if limit.admits(now, self.daemons):
                    limit.take()
                    self.sent_at.append(now)
                    self.total += 1
            while self.sent_at and now - self.sent_at[0] >= WINDOW_S:
                self.sent_at.popleft()
            self.worst = max(self.worst, len(self.sent_at))


class SharedLimitTest(testtools.TestCase):
    def assert_kept(self, **changes: float) -> None:
        for daemons in FLEET_SIZES:
            for per_s in LIMITS_PER_S:
                shared = SharedLimit(daemons, per_s, seed=daemons)
                shared.run(**changes)
                self.assertLessEqual(shared.worst, allowed(per_s), (daemons, per_s))

    def test_daemons_that_tell_each_other_nothing_keep_a_limit_together(self):
        self.assert_kept()

    def test_permits_saved_while_idle_do_not_exceed_a_limit_when_load_rises(self):
        self.assert_kept(idle_s=10.0)

    def test_daemons_that_restart_together_keep_a_limit(self):
        self.assert_kept(restart_interval_s=2.0)

    def test_most_of_a_limit_is_used_under_load(self):
        for daemons in FLEET_SIZES:
            shared = SharedLimit(daemons, 2.0, seed=daemons)
            shared.run()
            self.assertGreater(shared.total, 0.5 * 2.0 * DURATION_S)


class RequestLimitTest(testtools.TestCase):
    def test_an_older_answer_neither_ends_nor_replaces_a_limit(self):
        limit = ServerLimit(Random(1))
        self.assertTrue(limit.on_named(1.0, 2.0))
        self.assertFalse(limit.on_absent(1.2))
        self.assertFalse(limit.on_named(0.9, 5.0))
        self.assertEqual(2.0, limit.per_s)
        self.assertTrue(limit.on_absent(1.6))
        self.assertTrue(limit.admits(1.6, 13))

    def test_the_end_of_a_limit_that_a_peer_saw_earlier_is_ignored(self):
        limit = ServerLimit(Random(1))
        limit.on_named(1.0, 2.0)
        self.assertFalse(limit.on_ended(0.9))
        self.assertTrue(limit.on_ended(1.1))

    def test_a_daemon_that_was_suspended_has_no_permits_for_that_time(self):
        limit = ServerLimit(Random(1))
        limit.on_named(0.0, 10.0)
        taken = 0
        while limit.admits(60.0, 1):
            limit.take()
            taken += 1
        self.assertLessEqual(taken, 10)

    def test_a_limit_of_zero_still_admits_a_request_now_and_then(self):
        limit = ServerLimit(Random(1))
        limit.on_named(0.0, 0.0)
        admitted = 0
        for second in range(100):
            if limit.admits(float(second), 1):
                limit.take()
                admitted += 1
        self.assertGreater(admitted, 0)
        self.assertLessEqual(admitted, 10)

    @given(st.floats(0.001, 1e6), st.floats(1, 1000), st.lists(st.floats(0, 5)))
    @settings(max_examples=50, deadline=None)
    def test_the_next_permit_is_never_in_the_past(self, per_s, sharers, steps):
        limit = ServerLimit(Random(1))
        limit.on_named(0.0, per_s)
        now = 0.0
        for step in steps:
            now += step
            self.assertGreaterEqual(limit.next_permit_at(now, sharers), now)
            if limit.admits(now, sharers):
                limit.take()


def entry(name: str, domain: str = "a") -> ServerEntry:
    return ServerEntry(name, "desk", "10.0.0.1:1", domain, 3)


def request(number: int) -> PlacementRequest:
    return PlacementRequest(number, "desk", "quote", 2, 0.5, 1.0)


class PlacingTest(testtools.TestCase):
    def placer(self, *names: str) -> Placer:
        placer = Placer("a", Random(1))
        placer.on_servers(0.0, [entry(name) for name in names])
        return placer

    def test_a_request_goes_to_another_server_while_the_limit_is_used_up(self):
        placer = self.placer("s", "t")
        placer.sharers = lambda _: 13
        placer.load("s").limit.on_named(0.0, 1.0)
        decisions = [placer.on_request(0.01 * n, request(n)) for n in range(4)]
        placed = [one.server.id for one in decisions if isinstance(one, Place)]
        self.assertEqual(["t", "t"], placed)

    def test_a_request_is_refused_at_once_when_no_limit_admits_it_in_time(self):
        placer = self.placer("s")
        placer.sharers = lambda _: 1000
        placer.load("s").limit.on_named(0.0, 1.0)
        self.assertIsInstance(placer.on_request(0.0, request(1)), Refuse)

    def test_a_request_waits_for_a_permit_that_comes_in_time(self):
        placer = self.placer("s")
        limit = placer.load("s").limit
        limit.on_named(0.0, 10.0)
        self.assertIsInstance(placer.on_request(0.0, request(1)), Wait)
        self.assertIsInstance(placer.on_tick(0.3)[0], Place)

    def test_a_hedge_needs_a_permit(self):
        placer = self.placer("s", "t")
        placer.sharers = lambda _: 1000
        first = request(1)
        placer.load("t").limit.on_named(0.0, 1.0)
        self.assertEqual("s", placer.on_request(0.0, first).server.id)
        self.assertIsNone(placer.on_hedge(0.1, first))

    def test_a_limited_server_of_the_subset_is_used_without_a_report(self):
        placer = self.placer("s")
        placer.subset = ServerSubset("d", "a")
        placer.subset.on_servers([entry("s")])
        placer.load("s").limit.on_named(-1.0, 10.0)
        self.assertIsInstance(placer.on_request(0.0, request(1)), Place)

    def test_the_steps_of_a_request_do_not_grow_with_the_servers_without_a_limit(self):
        steps = []
        for servers in (100, 400):
            entries = [entry(f"s{n}") for n in range(servers)]
            placer = Placer("a", Random(1))
            placer.on_servers(0.0, entries)
            placer.subset = ServerSubset("d", "a")
            placer.subset.on_servers(entries)
            usable = ServerLoad.usable
            with mock.patch.object(
                ServerLoad, "usable", autospec=True, side_effect=usable
            ) as asked:
                placer.on_request(0.0, request(1))
            steps.append(asked.call_count)
        self.assertEqual(steps[0], steps[1])


class ReturningServerTest(testtools.TestCase):
    def test_a_server_that_returns_to_the_list_keeps_its_limit(self):
        placer = Placer("a", Random(1))
        placer.on_servers(0.0, [entry("s"), entry("t")])
        placer.load("s").limit.on_named(0.0, 1.0)
        placer.on_servers(1.0, [entry("t")])
        placer.on_servers(9.0, [entry("s"), entry("t")])
        self.assertEqual(1.0, placer.load("s").limit.per_s)
        self.assertIsNone(placer.load("t").limit.per_s)

    def test_another_start_of_a_server_has_no_limit(self):
        placer = Placer("a", Random(1))
        placer.on_servers(0.0, [entry("s")])
        placer.load("s").limit.on_named(0.0, 1.0)
        placer.on_servers(1.0, [])
        placer.on_servers(9.0, [attrs.evolve(entry("s"), started_ms=5)])
        self.assertIsNone(placer.load("s").limit.per_s)

    def test_the_limits_of_servers_that_never_return_are_forgotten(self):
        kept = RemovedLimits()
        for number in range(2 * MAX_REMOVED):
            limit = ServerLimit(Random(1))
            limit.on_named(0.0, 1.0)
            kept.put(f"s{number}", limit)
        self.assertEqual(MAX_REMOVED, len(kept))
        self.assertIsNone(kept.pop("s0"))
        self.assertIsNotNone(kept.pop(f"s{2 * MAX_REMOVED - 1}"))


class SharersTest(testtools.TestCase):
    def test_no_server_has_more_daemons_than_its_limit_is_divided_among(self):
        domains = "abcde"
        entries = [entry(f"s{n}", domains[n % 5]) for n in range(300)]
        subsets = [ServerSubset(f"d{n}", domains[n % 5]) for n in range(312)]
        for subset in subsets:
            subset.on_servers(entries)
        for one in entries:
            daemons = sum(one.id in subset.all("desk") for subset in subsets)
            self.assertLessEqual(daemons, subsets[0].sharers(one, 312, 5))


class CodecTest(testtools.TestCase):
    def test_the_limit_of_an_answer_is_read_and_a_malformed_one_ignored(self):
        codec = PlatformHeaderCodec()
        for name in (b"server-limit", b"sycamorebay-server-limit"):
            self.assertEqual(1.5, codec.read_answer(200, [(name, b"1.5")]).requests_per_s)
        for value in (b"", b"x", b"nan", b"inf", b"-1"):
            answer = codec.read_answer(200, [(b"server-limit", value)])
            self.assertIsNone(answer.requests_per_s)

    def test_limits_survive_the_message_between_daemons(self):
        message = LimitMessage(7, (LimitRow(1, 1.5, 0.5), LimitRow(2, None, 0.0)))
        self.assertEqual(message, decode_limits(encode_limits(message)))

    def test_a_limit_that_no_message_can_hold_breaks_no_message(self):
        rows = (LimitRow(1, 1e300, 0.0), LimitRow(2, 1.5, 0.0))
        largest, other = decode_limits(encode_limits(LimitMessage(7, rows))).rows
        self.assertEqual(rows[1], other)
        self.assertGreater(largest.per_s, 1e6)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_decoded_or_refused(self, data):
        try:
            decode_limits(data)
        except ValueError:
            return
