"""A backend server that becomes slow or fails loses its new requests, with real processes."""

from __future__ import annotations

import asyncio
from typing import Any

import testtools

from bench.fleet import Fleet, Shape
from tests.support import asynchronous, raw_document

FAULTS_BY_ID: dict[str, dict[str, Any]] = {"desk-4": {"slow": 20.0}, "desk-6": {"fail": True}}
SERVERS = 10
CALLERS = 4
DETECTION_S = 1.0
MEASURED_S = 1.5


class BadServerTest(testtools.TestCase):
    @asynchronous
    async def test_a_bad_server_loses_its_new_work(self):
        shape = Shape(1, raw_document(SERVERS), 1, {"work_ms": 20.0})
        async with Fleet(shape) as fleet:
            await send_requests(fleet, MEASURED_S)
            for server_id in FAULTS_BY_ID:
                self.assertGreater(await measured_share(fleet, server_id), 0.05)
            for server_id, fault in FAULTS_BY_ID.items():
                await fleet.control_backend(server_id, **fault)
                await send_requests(fleet, DETECTION_S)
                self.assertLess(await measured_share(fleet, server_id), 0.02, fault)


async def measured_share(fleet: Fleet, server_id: str) -> float:
    """Return the fraction of requests that a server receives within `MEASURED_S`."""
    before = await received_by_id(fleet)
    await send_requests(fleet, MEASURED_S)
    after = await received_by_id(fleet)
    return (after[server_id] - before[server_id]) / (sum(after.values()) - sum(before.values()))


async def received_by_id(fleet: Fleet) -> dict[str, int]:
    counted = await fleet.counted_by_backend()
    return {
        server_id: counters["counts"].get("taken", 0) for server_id, counters in counted.items()
    }


async def send_requests(fleet: Fleet, seconds: float) -> None:
    """Run `CALLERS` callers for some seconds, each sending one request after the other."""
    end = asyncio.get_running_loop().time() + seconds

    async def run_caller() -> None:
        while asyncio.get_running_loop().time() < end:
            url = fleet.url(0) + "/prices/7"
            async with fleet.http.get(url, headers={"host": "desk.test"}) as response:
                await response.read()

    await asyncio.gather(*(run_caller() for _ in range(CALLERS)))
