"""Entries and a store that live in the past, with real processes."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import aiohttp
import testtools

from bench.fleet import Fleet
from tests.fast_fleet import ENTRIES, FAST, get, wait_until_live, with_extra_host
from tests.support import asynchronous, small_shape


class StaleTest(testtools.TestCase):
    @asynchronous
    async def test_a_store_that_shows_the_past_reverts_no_entry(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            await fleet.control_platform(stale_s=60.0)
            fleet.apply(moved(fleet))
            await fleet.until_in_force(range(ENTRIES), 2)
            fleet.kill("entry-0")
            for name in ("entry-1", "entry-2"):
                fleet.signal(name, signal.SIGSTOP)
            fleet.start_entry(0)
            asking = asyncio.create_task(hammer(fleet, 0, "desk.test", until_served="new.test"))
            await wait_until_live(fleet, 0)
            await asyncio.sleep(0.4)
            for name in ("entry-1", "entry-2"):
                fleet.signal(name, signal.SIGCONT)
            statuses = await asking
            self.assertEqual(set(), statuses - {503, 404})
            self.assertEqual(2, (await fleet.status(0))["revision"])

    @asynchronous
    async def test_an_entry_that_wakes_serves_nothing_by_its_old_document(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            self.assertEqual(200, (await get(fleet, 0, "desk.test"))[0])
            fleet.signal("entry-0", signal.SIGSTOP)
            await asyncio.sleep(1)
            await fleet.control_platform(hang_watches=True)
            fleet.apply(moved(fleet))
            await fleet.until_in_force([1, 2], 2)
            asked = [asyncio.create_task(get(fleet, 0, "desk.test")) for _ in range(20)]
            await asyncio.sleep(0.2)
            fleet.signal("entry-0", signal.SIGCONT)
            statuses = {status for status, _ in await asyncio.gather(*asked)}
            self.assertLessEqual(statuses, {503, 404})
            await fleet.until_in_force([0], 2)
            await fleet.until_ready([0])
            self.assertEqual(200, (await get(fleet, 0, "new.test"))[0])


def moved(fleet: Fleet) -> dict[str, Any]:
    """Return the fleet's document with another host in place of its own."""
    document = with_extra_host(fleet, "new.test")
    document["services"][0]["hosts"] = ["new.test"]
    return document


async def hammer(fleet: Fleet, index: int, host: str, until_served: str) -> set[int]:
    """Ask one entry for a host until it serves another one, and return what it answered."""
    statuses = set()
    served = 0
    async with asyncio.timeout(15):
        while served != 200:
            try:
                statuses.add((await get(fleet, index, host))[0])
                served, _ = await get(fleet, index, until_served)
            except aiohttp.ClientError:
                await asyncio.sleep(0.002)
    return statuses
