"""The scenarios of keyed operations detect entries whose protocol is broken on purpose.

Each variant of an entry leaves out one part of the protocol. A scenario that passed with such an
entry would not guard against the fault.
"""

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

MAX_CONCURRENT_FLEETS = 3
CASES = [
    ("NoTombstones", first_send_overtaken),
    ("NeverYields", concurrent_sends),
    ("ForgetsDoubt", answer_truncated),
    ("AsksNobody", caller_disconnects),
    ("SilenceDenies", paused_with_unread_send),
    ("SilenceDenies", killed_while_running),
]


class BrokenFleetTest(testtools.TestCase):
    """Each scenario finds a repeated run on the variant that lacks the part it tests."""

    @asynchronous
    async def test_the_proofs_find_broken_entries(self):
        slots = asyncio.Semaphore(MAX_CONCURRENT_FLEETS)
        runs = await asyncio.gather(*(self.max_runs_of_one_key(slots, *case) for case in CASES))
        for (variant, scenario), max_runs in zip(CASES, runs, strict=True):
            self.assertGreater(max_runs, 1, (variant, scenario.__name__))

    async def max_runs_of_one_key(
        self, slots: asyncio.Semaphore, variant: str, scenario: Any
    ) -> int:
        """Return the highest number of runs of one key in a fleet of broken entries."""
        async with slots, Fleet(shape(variant)) as fleet:
            # Callers get wrong answers as well, but only the number of runs matters here.
            with contextlib.suppress(AssertionError):
                await scenario(fleet)
            await asyncio.sleep(0.5)
            return max(fleet.runs_by_key().values())
