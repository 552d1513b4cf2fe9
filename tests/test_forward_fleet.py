"""Cancelled requests and graceful shutdown with a real entry and real backend servers."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
import testtools

from bench.fleet import Fleet
from tests.support import asynchronous, small_shape

HOST_HEADER = {"host": "desk.test"}


class ForwardFleetTest(testtools.TestCase):
    @asynchronous
    async def test_leaving_callers_cancel_and_a_stop_ends_connections_in_time(self):
        async with Fleet(small_shape(1, stop={"notice_s": 3.0, "limit_s": 5})) as fleet:
            await self.check_cancelled(fleet)
            await self.check_stop(fleet)

    async def check_cancelled(self, fleet: Fleet) -> None:
        calls = [
            asyncio.create_task(
                fleet.http.get(fleet.url(0) + "/prices?work_ms=1500", headers=HOST_HEADER)
            )
            for _ in range(6)
        ]
        await self.wait_for_count(fleet, "taken", 6)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await self.wait_for_count(fleet, "cancelled", 6)
        self.assertEqual(0, await self.total_count(fleet, "ran"))

    async def total_count(self, fleet: Fleet, name: str) -> int:
        counted = await fleet.counted_by_backend()
        return sum(counters["counts"].get(name, 0) for counters in counted.values())

    async def wait_for_count(self, fleet: Fleet, name: str, expected_count: int) -> None:
        async with asyncio.timeout(10):
            while await self.total_count(fleet, name) < expected_count:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def check_stop(self, fleet: Fleet) -> None:
        """An entry that stops answers with ``connection: close`` before its listener closes."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector, headers=HOST_HEADER) as session:
            async with session.get(fleet.url(0) + "/prices") as response:
                await response.read()
                self.assertIsNone(response.headers.get("connection"))
            fleet.signal("entry-0", signal.SIGTERM)
            while (await fleet.operator(0, "/ready"))[0] == 200:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            async with session.get(fleet.url(0) + "/prices") as response:
                await response.read()
                self.assertEqual("close", response.headers.get("connection"))
        process = fleet.processes_by_name["entry-0"]
        self.assertEqual(0, await asyncio.to_thread(process.wait, 10))
