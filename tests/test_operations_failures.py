"""Keyed operations run at most once through failures of the platform and of entries.

Each scenario repeats a send after an outage, lost or stale answers, a pause or a crash.
"""

from __future__ import annotations

import testtools

from bench.fleet import Fleet
from tests.operation_scenarios import (
    killed_while_running,
    lost_and_stale_platform_answers,
    paused_with_unread_send,
    platform_outage,
    shape,
)
from tests.support import asynchronous


class FailuresTest(testtools.TestCase):
    @asynchronous
    async def test_operations_run_at_most_once(self):
        async with Fleet(shape()) as fleet:
            for scenario in (
                platform_outage,
                lost_and_stale_platform_answers,
                paused_with_unread_send,
                killed_while_running,
            ):
                self.assertEqual({1}, set(await scenario(fleet)), scenario.__name__)
