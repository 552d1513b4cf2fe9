"""Keyed operations run at most once where several sends of one key overlap or arrive late.

Each scenario sends a key again while an earlier send is delayed, running, cut off, refused or
abandoned by its caller.
"""

from __future__ import annotations

import testtools

from bench.fleet import Fleet
from tests.operation_scenarios import (
    caller_leaves,
    cut_mid_answer,
    late_in_the_balancer,
    shape,
    shed_and_sent_again,
    two_at_once,
)
from tests.support import asynchronous


class SendsTest(testtools.TestCase):
    @asynchronous
    async def test_operations_run_at_most_once(self):
        async with Fleet(shape()) as fleet:
            for scenario in (
                late_in_the_balancer,
                two_at_once,
                cut_mid_answer,
                shed_and_sent_again,
                caller_leaves,
            ):
                self.assertEqual({1}, set(await scenario(fleet)), scenario.__name__)
