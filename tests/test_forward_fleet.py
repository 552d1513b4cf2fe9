"""The path through real processes."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import testtools

from bench.fleet import Fleet
from tests.support import asynchronous, small_shape

HOST = {"host": "desk.test"}


class ForwardFleetTest(testtools.TestCase):
    @asynchronous
    async def test_leaving_callers_cancel_and_a_stop_ends_connections_in_time(self):
        async with Fleet(small_shape(1, stop={"notice_s": 3.0, "limit_s": 5})) as fleet:
            await self.check_cancelled(fleet)
            await self.check_stop(fleet)

    async def check_cancelled(self, fleet: Fleet) -> None:
        calls = [
            asyncio.create_task(fleet.http.get(fleet.url(0) + "/prices?work_ms=1500", headers=HOST))
            for _ in range(6)
        ]
        await self.until_counted(fleet, "taken", 6)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await self.until_counted(fleet, "cancelled", 6)
        self.assertEqual(0, await self.counted(fleet, "ran"))

    async def counted(self, fleet: Fleet, name: str) -> int:
        counted = await fleet.counted_by_backend()
        return sum(one["counts"].get(name, 0) for one in counted.values())

    async def until_counted(self, fleet: Fleet, name: str, wanted: int) -> None:
        async with asyncio.timeout(10):
            while await self.counted(fleet, name) < wanted:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def check_stop(self, fleet: Fleet) -> None:
        """Callers that keep their connections are told to move before the listener closes."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector, headers=HOST) as one:
            async with one.get(fleet.url(0) + "/prices") as response:
                await response.read()
                self.assertIsNone(response.headers.get("connection"))
            fleet.signal("entry-0", signal.SIGTERM)
            while (await fleet.operator(0, "/ready"))[0] == 200:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            async with one.get(fleet.url(0) + "/prices") as response:
                await response.read()
                self.assertEqual("close", response.headers.get("connection"))
        process = fleet.processes_by_name["entry-0"]
        self.assertEqual(0, await asyncio.to_thread(process.wait, 10))
