"""A backend server on a VM that the platform lists as leaving gets no new work.

Real processes; probes are off, so that only the list can show it.
"""

from __future__ import annotations

import asyncio

import testtools

from bench.fleet import Fleet
from tests.fast_fleet import (
    FAST,
    LEAVING_SERVER,
    NO_PROBES,
    burst,
    count_requests_to_leaving_server,
    with_probe_budget,
)
from tests.support import asynchronous, small_shape

PROPAGATION_LIMIT_S = 3.0


class VmListTest(testtools.TestCase):
    @asynchronous
    async def test_a_leaving_vm_of_the_list_gets_no_new_work(self):
        async with Fleet(small_shape(1, **FAST)) as fleet:
            fleet.apply(with_probe_budget(fleet, NO_PROBES))
            address = next(s["address"] for s in fleet.servers if s["id"] == LEAVING_SERVER)
            await fleet.control_platform(vms=[{"address": address, "state": "leaving"}])
            await asyncio.sleep(PROPAGATION_LIMIT_S)
            before = await count_requests_to_leaving_server(fleet)
            self.assertEqual({200}, await burst(fleet, 0))
            self.assertEqual(before, await count_requests_to_leaving_server(fleet))
