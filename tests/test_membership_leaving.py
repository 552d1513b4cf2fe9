"""A leaving backend server gets no new work from any entry, with real processes.

Probes are off, so that only heartbeats can carry the notice from the one entry that saw it.
"""

from __future__ import annotations

import asyncio

import testtools

from bench.fleet import Fleet
from tests.fast_fleet import (
    ENTRIES,
    FAST,
    LEAVING_SERVER,
    NO_PROBES,
    burst,
    count_requests_to_leaving_server,
    with_probe_budget,
)
from tests.support import asynchronous, small_shape

PROPAGATION_LIMIT_S = 3.0


class LeavingTest(testtools.TestCase):
    @asynchronous
    async def test_one_entrys_sign_stops_new_work_at_every_entry_until_it_returns(self):
        async with Fleet(small_shape(ENTRIES, **FAST)) as fleet:
            fleet.apply(with_probe_budget(fleet, NO_PROBES))
            await fleet.until_in_force(range(ENTRIES), 2)
            await fleet.control_backend(LEAVING_SERVER, leaving=True)
            await burst(fleet, 0)
            await asyncio.sleep(PROPAGATION_LIMIT_S)
            before = await count_requests_to_leaving_server(fleet)
            self.assertGreater(before, 0)
            for index in range(ENTRIES):
                self.assertEqual({200}, await burst(fleet, index))
            self.assertEqual(before, await count_requests_to_leaving_server(fleet))

            await fleet.control_backend(LEAVING_SERVER, leaving=False)
            fleet.apply(with_probe_budget(fleet, {}))
            async with asyncio.timeout(30):
                while await count_requests_to_leaving_server(fleet) == before:
                    await burst(fleet, 1)
                    await asyncio.sleep(0.3)
