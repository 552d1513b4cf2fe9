"""Random events against a model of the dispatcher: drawn by Hypothesis, and from fixed seeds."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bench.random_driver import RandomDriver
from bench.soak_decisions import run_once

NUMBERS = st.integers(0, 2**24 - 1)


class DispatcherMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.driver = RandomDriver(1)

    @rule(event=st.sampled_from(RandomDriver.EVENTS), number=NUMBERS)
    def event(self, event, number):
        getattr(self.driver, event)(number)

    def teardown(self):
        self.driver.finish()


DispatcherTest = DispatcherMachine.TestCase
DispatcherTest.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None, database=None
)


class FixedSeedsTest(unittest.TestCase):
    def test_seeds_hold(self):
        for seed in range(1, 21):
            run_once(seed)
