"""A change reaches every entry despite hung watches, outages and restarts.

The entries are real processes whose settings shorten all intervals.
"""

from __future__ import annotations

import asyncio

import testtools

from bench.fleet import Fleet
from tests.fast_fleet import ENTRIES, FAST, HEARTBEATS_ONLY, get, wait_until_live, with_extra_host
from tests.support import asynchronous, small_shape


class RevisionsTest(testtools.TestCase):
    @asynchronous
    async def test_a_hung_watch_delays_no_entry(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            await fleet.control_platform(hang_watches=True)
            fleet.apply(with_extra_host(fleet, "new.test"))
            await fleet.until_in_force(range(ENTRIES), 2)
            status, _ = await get(fleet, 2, "new.test")
            self.assertEqual(200, status)

    @asynchronous
    async def test_an_outage_right_after_acceptance_keeps_no_entry_old(self):
        async with Fleet(small_shape(ENTRIES, **HEARTBEATS_ONLY)) as fleet:
            await fleet.control_platform(hang_watches=True)
            fleet.kill("entry-0")
            fleet.apply(with_extra_host(fleet, "new.test"))
            fleet.start_entry(0)
            await fleet.until_ready([0])
            await fleet.control_platform(down=True)
            await fleet.until_in_force(range(ENTRIES), 2)

    @asynchronous
    async def test_an_entry_that_starts_in_an_outage_boots_from_its_peers(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            fleet.apply(with_extra_host(fleet, "new.test"))
            await fleet.until_in_force(range(ENTRIES), 2)
            await fleet.control_platform(down=True)
            for index in range(ENTRIES):
                fleet.kill(f"entry-{index}")
                fleet.start_entry(index)
                await fleet.until_ready([index])
                self.assertEqual(2, (await fleet.status(index))["revision"])
            status, _ = await get(fleet, 0, "new.test")
            self.assertEqual(200, status)

    @asynchronous
    async def test_a_fleet_that_starts_in_an_outage_refuses_until_it_ends(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            await fleet.control_platform(down=True)
            for index in range(ENTRIES):
                fleet.kill(f"entry-{index}")
            for index in range(ENTRIES):
                fleet.start_entry(index)
            for index in range(ENTRIES):
                await wait_until_live(fleet, index)
            await asyncio.sleep(3)
            for index in range(ENTRIES):
                status, body = await get(fleet, index, "desk.test")
                self.assertEqual(503, status)
                self.assertIn('"not-run"', body)
            await fleet.control_platform(down=False)
            await fleet.until_ready(range(ENTRIES))
