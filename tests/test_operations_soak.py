from __future__ import annotations

import asyncio

import attrs
import testtools

from bench.operations import shape
from bench.soak import soak
from tests.support import asynchronous

SEED = 4
SECONDS = 7.0


class SoakTest(testtools.TestCase):
    @asynchronous
    async def test_promises_hold_and_a_broken_entry_is_found(self):
        sound = shape(4, freshness={"pause_s": 30.0})
        broken = attrs.evolve(sound, entry_command=("-m", "tests.broken_entry", "SilenceDenies"))
        (held, summary), (found, _) = await asyncio.gather(
            soak(SEED, SECONDS, sound), soak(SEED, SECONDS, broken)
        )
        self.assertEqual([], held, summary)
        self.assertIn("'served'", summary)
        self.assertTrue([line for line in found if "ran 2 times" in line], found)
