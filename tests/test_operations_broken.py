from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import testtools

from bench.fleet import Fleet
from tests.operation_scenarios import (
    caller_leaves,
    cut_mid_answer,
    killed_while_running,
    late_in_the_balancer,
    paused_with_a_send_in_its_socket,
    shape,
    two_at_once,
)
from tests.support import asynchronous

FLEETS_AT_ONCE = 3
CASES = [
    ("NoTombstones", late_in_the_balancer),
    ("NeverYields", two_at_once),
    ("ForgetsDoubt", cut_mid_answer),
    ("AsksNobody", caller_leaves),
    ("SilenceDenies", paused_with_a_send_in_its_socket),
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
