"""Keyed operations run at most once where several sends of one key overlap or arrive late.

Each scenario sends a key again while an earlier send is delayed, running, cut off, refused or
abandoned by its caller.
"""

from __future__ import annotations

import testtools

from bench.fleet import Fleet
from tests.operation_scenarios import (
    answer_truncated,
    caller_disconnects,
    concurrent_sends,
    first_send_overtaken,
    shape,
    shed_and_sent_again,
)
from tests.support import asynchronous


class SendsTest(testtools.TestCase):
    @asynchronous
    async def test_operations_run_at_most_once(self):
        async with Fleet(shape()) as fleet:
            for scenario in (
                first_send_overtaken,
                concurrent_sends,
                answer_truncated,
                shed_and_sent_again,
                caller_disconnects,
            ):
                self.assertEqual({1}, set(await scenario(fleet)), scenario.__name__)
