"""Requests, keyed operations, refusals and graceful shutdown through real processes."""

from __future__ import annotations

import asyncio
import random
import signal

import aiohttp
import testtools
from yarl import URL

from bench.fleet import OPERATORS_PORT, Fleet
from bench.load import new_key
from tests.support import asynchronous, small_shape

HOST_HEADER = {"host": "desk.test"}


class WholePathTest(testtools.TestCase):
    @asynchronous
    async def test_serves_refuses_and_stops_gracefully(self):
        async with Fleet(small_shape()) as fleet:
            await self.check_served(fleet)
            await self.check_operation(fleet)
            await self.check_refused(fleet)
            await self.check_operators(fleet)
            await self.check_truncated_answer(fleet)
            await self.check_stop(fleet)

    async def check_served(self, fleet: Fleet) -> None:
        headers = {**HOST_HEADER, "x-echo": "mine"}
        url = URL(fleet.url(0) + "/prices/7?a=%2F", encoded=True)
        async with fleet.http.get(url, headers=headers) as response:
            body = await response.json()
        self.assertEqual(200, response.status)
        self.assertEqual(("mine", "/prices/7?a=%2F"), (body["echo"], body["path"]))
        async with fleet.http.post(
            fleet.url(1) + "/bids", headers=HOST_HEADER, data=b"x" * 9
        ) as response:
            self.assertEqual(9, (await response.json())["bytes"])

    async def check_operation(self, fleet: Fleet) -> None:
        key = new_key(random.Random(1))
        headers = {**HOST_HEADER, "idempotency-key": key, "sycamorebay-attempt": "1"}
        bodies = []
        for _ in range(2):
            async with fleet.http.post(fleet.url(0) + "/bids", headers=headers) as response:
                self.assertEqual(200, response.status)
                bodies.append(await response.read())
        self.assertEqual(bodies[0], bodies[1])
        counted = await fleet.counted_by_backend()
        self.assertEqual(
            1, sum(counters["runs_by_key"].get(key, 0) for counters in counted.values())
        )

    async def check_refused(self, fleet: Fleet) -> None:
        async with fleet.http.get(fleet.url(0) + "/", headers={"host": "no.test"}) as response:
            problem = await response.json(content_type="application/problem+json")
        self.assertEqual(404, response.status)
        self.assertEqual(("not-run", "route"), (problem["outcome"], problem["step"]))
        self.assertIn("retry-after", response.headers)

    async def check_operators(self, fleet: Fleet) -> None:
        async with fleet.http.get(fleet.url(0, OPERATORS_PORT) + "/metrics") as response:
            self.assertEqual(401, response.status)
        async with fleet.http.get(fleet.url(0, OPERATORS_PORT) + "/live") as response:
            self.assertEqual(200, response.status)
        status, text = await fleet.operator(0, "/metrics")
        self.assertEqual(200, status)
        self.assertIn("sycamorebay_revision 1.0", text)

    async def check_truncated_answer(self, fleet: Fleet) -> None:
        await fleet.control_backend("all", cut=True)
        with testtools.ExpectedException(aiohttp.ClientPayloadError):
            async with fleet.http.get(fleet.url(0) + "/prices/7", headers=HOST_HEADER) as response:
                await response.read()
        await fleet.control_backend("all", cut=False)

    async def check_stop(self, fleet: Fleet) -> None:
        url = fleet.url(0) + "/prices/7?work_ms=800"
        slow_request = asyncio.create_task(fleet.http.get(url, headers=HOST_HEADER))
        await asyncio.sleep(0.2)
        fleet.signal("entry-0", signal.SIGTERM)
        await asyncio.sleep(0.1)
        status, _ = await fleet.operator(0, "/ready")
        self.assertEqual(503, status)
        response = await slow_request
        self.assertEqual(200, response.status)
        await response.read()
        process = fleet.processes_by_name["entry-0"]
        self.assertEqual(0, await asyncio.to_thread(process.wait, 10))
