"""Fleets whose time is compressed by settings."""

from __future__ import annotations

import asyncio
from typing import Any

from bench.fleet import Fleet

ENTRIES = 3
FAST: dict[str, Any] = {
    "heartbeat_s": 0.2,
    "platform": {"timeout_s": 0.5, "lease_s": 2, "poll_s": 0.5, "calls_per_second": 20.0},
    "freshness": {"pause_s": 0.8, "settle_s": 1.0, "isolated_s": 4.0, "behind_s": 2.0},
}
HEARTBEATS_ONLY = {**FAST, "platform": {**FAST["platform"], "poll_s": 600}}


def changed(fleet: Fleet, note: str) -> dict[str, Any]:
    """Return the fleet's document with one more host."""
    services = [
        {**one, "hosts": [f"{one['name']}.test", note]} for one in fleet.document["services"]
    ]
    return {**fleet.document, "services": services}


async def get(fleet: Fleet, index: int, host: str) -> tuple[int, str]:
    url = fleet.url(index) + "/prices/7"
    async with fleet.http.get(url, headers={"host": host}) as response:
        return response.status, await response.text()


NO_PROBES = {"probes_per_entry": 0, "probes_per_backend_server": 0}
LEAVER = "desk-1"
BURST = 40


def probes(fleet: Fleet, measuring: dict[str, Any]) -> dict[str, Any]:
    """Return the fleet's document with another budget for probes, and a queue for a `burst`."""
    services = [{**one, "limits": {"queue_length": BURST}} for one in fleet.document["services"]]
    return {**fleet.document, "services": services, "measuring": measuring}


async def burst(fleet: Fleet, index: int) -> set[int]:
    """Ask for more at once than the servers that one entry prefers have slots."""
    asked = [get(fleet, index, "desk.test") for _ in range(BURST)]
    return {status for status, _ in await asyncio.gather(*asked)}


async def runs(fleet: Fleet) -> int:
    """Return how many requests the leaving backend server was sent."""
    return (await fleet.counted_by_backend())[LEAVER]["counts"].get("taken", 0)
