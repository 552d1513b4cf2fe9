"""Backend servers that turn bad, with real processes."""

from __future__ import annotations

import asyncio
from typing import Any

import testtools

from bench.fleet import Fleet, Shape
from tests.support import asynchronous, raw_document

FAULTS_BY_ID: dict[str, dict[str, Any]] = {"desk-4": {"slow": 20.0}, "desk-6": {"fail": True}}
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
            for server_id in FAULTS_BY_ID:
                self.assertGreater(await share_of(fleet, server_id), 0.05)
            for server_id, fault in FAULTS_BY_ID.items():
                await fleet.control_backend(server_id, **fault)
                await ask_for(fleet, NOTICED_S)
                self.assertLess(await share_of(fleet, server_id), 0.02, fault)


async def share_of(fleet: Fleet, server_id: str) -> float:
    """Return the share of requests that a server gets for a while."""
    before = await taken(fleet)
    await ask_for(fleet, WATCHED_S)
    after = await taken(fleet)
    return (after[server_id] - before[server_id]) / (sum(after.values()) - sum(before.values()))


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
