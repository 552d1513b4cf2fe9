from __future__ import annotations

import asyncio

import attrs
import testtools

from bench.operations import shape
from bench.soak import soak
from tests.support import asynchronous

SEED = 4
SOAK_S = 4.5


class SoakTest(testtools.TestCase):
    @asynchronous
    async def test_invariants_hold_and_a_broken_entry_is_detected(self):
        sound = shape(4, freshness={"pause_s": 30.0})
        broken = attrs.evolve(sound, entry_command=("-m", "tests.broken_entry", "AsksNobody"))
        (violations, summary), (broken_violations, _) = await asyncio.gather(
            soak(SEED, SOAK_S, sound), soak(SEED, SOAK_S, broken)
        )
        self.assertEqual([], violations, summary)
        self.assertIn("'served'", summary)
        self.assertTrue(
            [line for line in broken_violations if " times: " in line], broken_violations
        )
