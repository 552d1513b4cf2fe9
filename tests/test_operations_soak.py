from __future__ import annotations

import asyncio

import attrs
import testtools

from bench.operations import shape
from bench.soak import soak
from tests.support import asynchronous

SEED = 4
SECONDS = 4.5


class SoakTest(testtools.TestCase):
    @asynchronous
    async def test_promises_hold_and_a_broken_entry_is_found(self):
        sound = shape(4, freshness={"pause_s": 30.0})
        broken = attrs.evolve(sound, entry_command=("-m", "tests.broken_entry", "AsksNobody"))
        (held, summary), (found, _) = await asyncio.gather(
            soak(SEED, SECONDS, sound), soak(SEED, SECONDS, broken)
        )
        self.assertEqual([], held, summary)
        self.assertIn("'served'", summary)
        self.assertTrue([line for line in found if " times: " in line], found)
