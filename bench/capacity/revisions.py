"""Revisions at real entries: cost of each change, and the time until it is in force everywhere."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable

from bench.capacity.documents import document_text, services_of
from bench.capacity.entries import change, fleet_of, platform_calls, platform_total, usage
from bench.capacity.size import DESIGN
from bench.capacity.slopes import Results
from bench.fleet import Fleet

INSTANCES = (30, 150, 630)
CHANGES = 4
CHANGE_S = 0.2
REPEATS = 2
ENTRIES = (2, 6, 12)
IN_FORCE_CHANGES = 3
CALLS_CHANGES = 4
CALLS_S = 3.0
LIMIT_S = 20.0
LOOK_S = 0.02

_variants = itertools.count(1)


def measure(results: Results) -> None:
    """Measure the group."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    async with fleet_of(1, backend_processes=1) as fleet:
        rounds = [[await _change_cost(fleet, n) for n in INSTANCES] for _ in range(REPEATS)]
    cpu = [[one[0] for one in repeat] for repeat in rounds]
    results.add_slope("revisions.cpu", "s", "instance with its share of services", INSTANCES, cpu)
    read = [[one[1] for one in repeat] for repeat in rounds]
    results.add_slope(
        "revisions.bytes", "B", "instance with its share of services", INSTANCES, read
    )
    waits, calls = [], []
    for entries in ENTRIES:
        async with fleet_of(entries, backend_processes=1) as fleet:
            calls.append(await _calls_per_change(fleet))
            waits.append([await _in_force_s(fleet) for _ in range(IN_FORCE_CHANGES)])
    repeats = [list(one) for one in zip(*waits, strict=True)]
    results.add_slope("revisions.in_force", "s", "entry", ENTRIES, repeats)
    results.add_slope("revisions.calls", "calls", "entry", ENTRIES, [calls])


async def _calls_per_change(fleet: Fleet) -> float:
    """Return calls at the platform's service for each change, beyond those of a calm fleet."""
    calm = await _calls_in(fleet, asyncio.sleep(CALLS_S))
    return (await _calls_in(fleet, _changes_within(fleet, CALLS_S)) - calm) / CALLS_CHANGES


async def _calls_in(fleet: Fleet, work: Awaitable[None]) -> float:
    before = platform_total(await platform_calls(fleet))
    await work
    return platform_total(await platform_calls(fleet)) - before


async def _changes_within(fleet: Fleet, seconds: float) -> None:
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(asyncio.sleep(seconds))
        for _ in range(CALLS_CHANGES):
            await change(
                fleet, document_text(INSTANCES[0], services_of(INSTANCES[0]), next(_variants))
            )
            await asyncio.sleep(seconds / CALLS_CHANGES / 2)


async def _change_cost(fleet: Fleet, instances: int) -> tuple[float, float]:
    """Return an entry's processor time and bytes for each change."""
    before = usage(fleet)
    for _ in range(CHANGES):
        revision = await change(
            fleet, document_text(instances, services_of(instances), next(_variants))
        )
        await asyncio.sleep(CHANGE_S)
    await _until_in_force(fleet, revision)
    used = usage(fleet) - before
    return used.cpu_s / CHANGES, used.io_bytes / CHANGES


async def _in_force_s(fleet: Fleet) -> float:
    """Return the time from a change's acceptance until every entry has it in force."""
    text = document_text(DESIGN.instances, DESIGN.services, next(_variants))
    revision = await change(fleet, text)
    started = time.monotonic()
    await _until_in_force(fleet, revision)
    return time.monotonic() - started


async def _until_in_force(fleet: Fleet, revision: int) -> None:
    async with asyncio.timeout(LIMIT_S):
        for index in range(fleet.shape.entries):
            while await _revision(fleet, index) < revision:  # noqa: ASYNC110
                await asyncio.sleep(LOOK_S)


async def _revision(fleet: Fleet, index: int) -> int:
    _, text = await fleet.operator(index, "/status")
    return int(json.loads(text)["revision"])
