from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import testtools

from bench.fleet import Fleet
from tests.operation_scenarios import (
    answer_truncated,
    caller_disconnects,
    concurrent_sends,
    first_send_overtaken,
    killed_while_running,
    paused_with_unread_send,
    shape,
)
from tests.support import asynchronous

FLEETS_AT_ONCE = 3
CASES = [
    ("NoTombstones", first_send_overtaken),
    ("NeverYields", concurrent_sends),
    ("ForgetsDoubt", answer_truncated),
    ("AsksNobody", caller_disconnects),
    ("SilenceDenies", paused_with_unread_send),
    ("SilenceDenies", killed_while_running),
]


class BrokenFleetTest(testtools.TestCase):
    """Each proof fails on a variant that leaves out the part that it is about."""

    @asynchronous
    async def test_the_proofs_find_broken_entries(self):
        slots = asyncio.Semaphore(FLEETS_AT_ONCE)
        runs = await asyncio.gather(*(self.most_runs(slots, *case) for case in CASES))
        for (variant, scenario), most in zip(CASES, runs, strict=True):
            self.assertGreater(most, 1, (variant, scenario.__name__))

    async def most_runs(self, slots: asyncio.Semaphore, variant: str, scenario: Any) -> int:
        """Return how often the key that ran most often did, in a fleet of broken entries."""
        async with slots, Fleet(shape(variant)) as fleet:
            # What callers are told is wrong as well; the count of runs is what is looked at.
            with contextlib.suppress(AssertionError):
                await scenario(fleet)
            await asyncio.sleep(0.5)
            return max(fleet.runs_by_key().values())
