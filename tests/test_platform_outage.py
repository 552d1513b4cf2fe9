"""A long outage of the platform's store, and a slow store, with real processes.

Entries must serve throughout an outage that spans several leases, register again after it, and put
changes in force in time.
"""

from __future__ import annotations

import asyncio

import testtools

from bench.fleet import Fleet
from sycamorebay.settings import PlatformSettings
from sycamorebay.transport.configuration import admin
from sycamorebay.transport.configuration.platform import Store, open_store
from tests.fast_fleet import ENTRIES, FAST, get, with_extra_host
from tests.support import asynchronous, small_shape

OUTAGE_S = 6.0
RECOVERY_TIMEOUT_S = 17.0


class OutageTest(testtools.TestCase):
    @asynchronous
    async def test_serves_throughout_an_outage_and_goes_on_after_it(self):
        for fault in ("down", "hang"):
            async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
                await fleet.control_platform(**{fault: True})
                self.assertEqual({200}, await self.statuses(fleet, OUTAGE_S))
                await fleet.control_platform(**{fault: False})
                await self.until_registered(fleet)
                fleet.apply(with_extra_host(fleet, "new.test"))
                await fleet.until_in_force(range(ENTRIES), 2, RECOVERY_TIMEOUT_S)

    async def statuses(self, fleet: Fleet, seconds: float) -> set[int]:
        """Request from every entry in turn for `seconds`; return the statuses seen."""
        ends_at = asyncio.get_running_loop().time() + seconds
        statuses = set()
        while asyncio.get_running_loop().time() < ends_at:
            for index in range(ENTRIES):
                statuses.add((await get(fleet, index, "desk.test"))[0])
            await asyncio.sleep(0.05)
        return statuses

    async def until_registered(self, fleet: Fleet) -> None:
        settings = PlatformSettings(fleet.platform_url)
        async with asyncio.timeout(RECOVERY_TIMEOUT_S), open_store(settings) as store:
            while not await all_registered(store):  # noqa: ASYNC110
                await asyncio.sleep(0.3)

    @asynchronous
    async def test_a_slow_store_brings_a_change_in_force_in_time(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            await fleet.control_platform(slow_s=0.4)
            fleet.apply(with_extra_host(fleet, "new.test"))
            await fleet.until_in_force(range(ENTRIES), 2, RECOVERY_TIMEOUT_S)
            self.assertEqual(200, (await get(fleet, 2, "new.test"))[0])


async def all_registered(store: Store) -> bool:
    return len((await admin.read_rollout(store, "production")).members) == ENTRIES
