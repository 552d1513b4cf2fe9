from __future__ import annotations

from collections import Counter
from random import Random

import testtools

from sycamorebay.coordination.choose import (
    CHOOSERS_BY_NAME,
    HotCold,
    LoadEstimate,
    OwnLeastOutstanding,
    OwnSlotsFirst,
    RoundRobin,
    TwoChoices,
)
from sycamorebay.state.backends import BackendState, LoadReport
from sycamorebay.state.document import BackendServer


def states(number: int = 4, own_slots: int = 0) -> list[BackendState]:
    backends = [BackendState(BackendServer(f"desk-{n}", "", "a", 3)) for n in range(number)]
    for state in backends:
        state.own_slots = own_slots
    return backends


class ChooserTest(testtools.TestCase):
    def test_every_chooser_returns_a_candidate(self):
        for make in CHOOSERS_BY_NAME.values():
            for number in (1, 2, 60):
                candidates = states(number)
                candidates[0].on_report(1.0, LoadReport(1, 0))
                self.assertIn(make().choose(1.0, candidates, Random(1)), candidates)

    def test_round_robin_takes_each_in_turn(self):
        chooser = RoundRobin()
        candidates = states()
        chosen = [chooser.choose(0.0, candidates, Random(1)).server.id for _ in range(8)]
        self.assertEqual({2}, set(Counter(chosen).values()))

    def test_own_least_outstanding_prefers_the_idle_one(self):
        busy, idle = states(2)
        busy.in_flight = 3
        chosen = [OwnLeastOutstanding().choose(0.0, [busy, idle], Random(n)) for n in range(50)]
        self.assertGreater(chosen.count(idle), 30)

    def test_two_choices_prefers_the_one_reported_idle(self):
        busy, idle = states(2)
        busy.on_report(0.0, LoadReport(3, 5))
        idle.on_report(0.0, LoadReport(0))
        chosen = [TwoChoices().choose(0.0, [busy, idle], Random(n)) for n in range(50)]
        self.assertGreater(chosen.count(idle), 30)

    def test_hot_cold_uses_a_report_a_few_times_only(self):
        candidates = states(4)
        for state in candidates[:2]:
            state.on_report(0.0, LoadReport(0))
        chooser = HotCold(max_uses=1)
        chosen = {chooser.choose(0.0, candidates, Random(1)).server.id for _ in range(2)}
        self.assertEqual({"desk-0", "desk-1"}, chosen)

    def test_hot_cold_takes_the_fastest_of_the_cold(self):
        candidates = states(5)
        for number, state in enumerate(candidates):
            state.on_report(0.0, LoadReport(3 if number == 0 else 0))
            state.answer_time_s = 0.001 if number in (0, 3) else 0.01
        self.assertIs(candidates[3], HotCold().choose(0.0, candidates, Random(1)))

    def test_own_slots_come_first_until_they_are_full(self):
        candidates = states()
        candidates[2].own_slots = 1
        chooser = OwnSlotsFirst()
        self.assertIs(candidates[2], chooser.choose(0.0, candidates, Random(1)))
        candidates[2].in_flight = 1
        chosen = {chooser.choose(0.0, candidates, Random(n)).server.id for n in range(40)}
        self.assertEqual({"desk-0", "desk-1", "desk-3"}, chosen)

    def test_an_overloaded_server_with_an_own_slot_is_not_chosen(self):
        candidates = states()
        candidates[2].own_slots = 1
        candidates[2].on_report(0.0, LoadReport(3, 2))
        self.assertIsNot(candidates[2], OwnSlotsFirst().choose(0.0, candidates, Random(1)))

    def test_own_slots_are_found_among_many_servers(self):
        candidates = states(200)
        candidates[150].own_slots = 1
        self.assertIs(candidates[150], OwnSlotsFirst().choose(0.0, candidates, Random(1)))


class LoadEstimateTest(testtools.TestCase):
    def test_an_aging_report_moves_to_the_mean(self):
        (state,) = states(1)
        state.answer_time_s = 0.1
        state.in_flight = 1
        state.on_report(0.0, LoadReport(4, 0))
        estimate = LoadEstimate(horizon=4.0)
        loads = [estimate.load(now, state, 0.0) for now in (0.0, 0.2, 0.4, 9.0)]
        self.assertEqual([4 / 3, 2.5 / 3, 1 / 3, 1 / 3], loads)

    def test_own_requests_since_the_report_count(self):
        (state,) = states(1)
        state.on_report(0.0, LoadReport(2, 0))
        state.in_flight = 1
        self.assertEqual(1.0, LoadEstimate().load(0.0, state, 0.0))
