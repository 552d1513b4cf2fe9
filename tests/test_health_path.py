"""Backend servers that turn bad, with real processes."""

from __future__ import annotations

import asyncio
from typing import Any

import testtools

from bench.fleet import Fleet, Shape
from tests.support import asynchronous, raw_document

SICK = "desk-4"
SERVERS = 10
ASKERS = 4
NOTICED_S = 1.0
WATCHED_S = 1.5


class BadServerTest(testtools.TestCase):
    @asynchronous
    async def test_a_bad_server_loses_its_new_work(self):
        shape = Shape(1, raw_document(SERVERS), 1, {"work_ms": 20.0})
        async with Fleet(shape) as fleet:
            await ask_for(fleet, WATCHED_S)
            usual = await self.share_of_sick(fleet)
            self.assertGreater(usual, 0.05)
            for fault, good in (({"slow": 20.0}, {"slow": 1.0}), ({"fail": True}, {"fail": False})):
                await self.check_fault(fleet, fault)
                await fleet.control_backend(SICK, **good)
                await ask_for(fleet, 3 * WATCHED_S)

    async def check_fault(self, fleet: Fleet, fault: dict[str, Any]) -> None:
        await fleet.control_backend(SICK, **fault)
        await ask_for(fleet, NOTICED_S)
        self.assertLess(await self.share_of_sick(fleet), 0.02, fault)

    async def share_of_sick(self, fleet: Fleet) -> float:
        before = await taken(fleet)
        await ask_for(fleet, WATCHED_S)
        after = await taken(fleet)
        sent = {server_id: after[server_id] - before[server_id] for server_id in after}
        return sent[SICK] / sum(sent.values())


async def taken(fleet: Fleet) -> dict[str, int]:
    counted = await fleet.counted_by_backend()
    return {server_id: one["counts"].get("taken", 0) for server_id, one in counted.items()}


async def ask_for(fleet: Fleet, seconds: float) -> None:
    """Let a few callers ask one request after the other for some seconds."""
    end = asyncio.get_running_loop().time() + seconds

    async def ask() -> None:
        while asyncio.get_running_loop().time() < end:
            url = fleet.url(0) + "/prices/7"
            async with fleet.http.get(url, headers={"host": "desk.test"}) as response:
                await response.read()

    await asyncio.gather(*(ask() for _ in range(ASKERS)))
