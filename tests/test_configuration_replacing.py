"""Restarts of a whole fleet, and operators whose changes race, with real processes.

They guard against an entry that reverts to an older revision after a restart, and against a change
that is lost, applied twice or reported wrongly while the store's answers get lost.
"""

from __future__ import annotations

import asyncio
import random

import testtools

from bench.fleet import Fleet
from sycamorebay import log
from sycamorebay.errors import ConflictError, PlatformError, UnknownOutcomeError
from sycamorebay.settings import LogSettings, PlatformSettings
from sycamorebay.transport.configuration import admin
from sycamorebay.transport.configuration.admin import Change
from sycamorebay.transport.configuration.platform import open_store
from tests.fast_fleet import ENTRIES, FAST, get, with_extra_host
from tests.support import asynchronous, document_text, small_shape

log.configure(LogSettings(level="critical"))

OPERATORS = 8
CHANGES = 200
SEED = 17


class ReplacingTest(testtools.TestCase):
    @asynchronous
    async def test_a_fleet_replaced_one_by_one_and_all_at_once_never_reverts(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            for round_ in range(ENTRIES):
                fleet.apply(with_extra_host(fleet, f"round-{round_}.test"))
                fleet.kill(f"entry-{round_}")
                fleet.start_entry(round_)
                await fleet.until_ready([round_])
                await fleet.until_in_force(range(ENTRIES), round_ + 2)
            for index in range(ENTRIES):
                fleet.kill(f"entry-{index}")
            for index in range(ENTRIES):
                fleet.start_entry(index)
            await fleet.until_ready(range(ENTRIES))
            for index in range(ENTRIES):
                self.assertEqual(ENTRIES + 1, (await fleet.status(index))["revision"])
                self.assertEqual(200, (await get(fleet, index, "round-2.test"))[0])


class RacingOperatorsTest(testtools.TestCase):
    @asynchronous
    async def test_two_hundred_changes_of_eight_operators_make_one_history(self):
        async with Fleet(small_shape(1, **FAST)) as fleet:
            settings = PlatformSettings(fleet.platform_url, timeout_s=0.5, calls_per_second=500)
            rng = random.Random(SEED)
            accepted: list[str] = []
            refused: list[str] = []
            unknown: list[str] = []

            async def operator(number: int) -> None:
                async with open_store(settings) as store:
                    change_number = 0
                    while len(accepted) < CHANGES:
                        change_number += 1
                        text = document_text(note=f"{number}-{change_number}")
                        change = Change(text, "apply", f"operator-{number}", "race")
                        try:
                            await admin.apply(store, "race", change)
                            accepted.append(change.nonce)
                        except ConflictError:
                            refused.append(change.nonce)
                        except (PlatformError, UnknownOutcomeError):
                            unknown.append(change.nonce)

            async def lose_answers() -> None:
                while True:
                    await fleet.control_platform(lose_answers=rng.randrange(3))
                    await asyncio.sleep(0.05)

            loss_task = asyncio.create_task(lose_answers())
            await asyncio.gather(*(operator(number) for number in range(OPERATORS)))
            loss_task.cancel()
            await asyncio.gather(loss_task, return_exceptions=True)
            await fleet.control_platform(lose_answers=0)
            async with open_store(settings) as store:
                trail = (await admin.read_history(store, "race")).trail
        nonces = [entry.nonce for entry in trail]
        self.assertEqual(list(range(1, len(trail) + 1)), [entry.revision for entry in trail])
        self.assertEqual(list(range(len(trail))), [entry.from_revision for entry in trail])
        self.assertEqual(len(nonces), len(set(nonces)))
        self.assertEqual(set(), set(accepted) - set(nonces))
        self.assertEqual(set(), set(refused) & set(nonces))
        self.assertEqual(set(), set(nonces) - set(accepted) - set(unknown))
        self.assertGreater(len(refused), 0)
