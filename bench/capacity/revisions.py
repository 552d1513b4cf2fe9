"""Revisions at real entries: cost of each change, and the time until it is in force everywhere."""

from __future__ import annotations

import asyncio
import json
import time

from bench.capacity.documents import document_text
from bench.capacity.entries import fleet_of, usage
from bench.capacity.slopes import Results
from bench.fleet import Fleet
from sycamorebay.settings import PlatformSettings
from sycamorebay.transport import admin
from sycamorebay.transport.platform import open_store

INSTANCES = (30, 150, 630)
SERVICES = 10
CHANGES = 8
REPEATS = 2
ENTRIES = (2, 6, 12)
IN_FORCE_CHANGES = 5
LIMIT_S = 20.0
ENVIRONMENT = "production"


def measure(results: Results) -> None:
    """Measure the group."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    async with fleet_of(1, backend_processes=1) as fleet:
        rounds = [[await _change_cost(fleet, n) for n in INSTANCES] for _ in range(REPEATS)]
    cpu = [[one[0] for one in repeat] for repeat in rounds]
    results.add_slope("revisions.cpu", "s", "instance", INSTANCES, cpu)
    read = [[one[1] for one in repeat] for repeat in rounds]
    results.add_slope("revisions.bytes", "B", "instance", INSTANCES, read)
    waits = []
    for entries in ENTRIES:
        async with fleet_of(entries, backend_processes=1) as fleet:
            waits.append([await _in_force_s(fleet) for _ in range(IN_FORCE_CHANGES)])
    repeats = [list(one) for one in zip(*waits, strict=True)]
    results.add_slope("revisions.in_force", "s", "entry", ENTRIES, repeats)


async def _change_cost(fleet: Fleet, instances: int) -> tuple[float, float]:
    """Return an entry's processor time and bytes per change."""
    before = usage(fleet)
    for _ in range(CHANGES):
        await _change(fleet, instances)
    used = usage(fleet) - before
    return used.cpu_s / CHANGES, used.io_bytes / CHANGES


async def _in_force_s(fleet: Fleet) -> float:
    started = time.monotonic()
    await _change(fleet, INSTANCES[-1])
    return time.monotonic() - started


async def _change(fleet: Fleet, instances: int) -> None:
    """Make a change and wait until every entry has it in force."""
    text = document_text(instances, SERVICES)
    change = admin.Change(text, "apply", "operator", "one more instance for the evening")
    async with open_store(PlatformSettings(url=fleet.platform_url)) as store:
        record = await admin.apply(store, ENVIRONMENT, change)
    async with asyncio.timeout(LIMIT_S):
        for index in range(fleet.shape.entries):
            while await _revision(fleet, index) < record.revision.number:  # noqa: ASYNC110
                await asyncio.sleep(0.02)


async def _revision(fleet: Fleet, index: int) -> int:
    _, text = await fleet.operator(index, "/status")
    return int(json.loads(text)["revision"])
