"""Measures revisions at entry daemons: cost of a change and time until it is in force."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable

from bench.capacity.documents import document_text, proportional_services
from bench.capacity.entries import (
    apply_document,
    platform_counters,
    running_fleet,
    total_calls,
    usage,
)
from bench.capacity.size import DESIGN
from bench.capacity.slopes import Results
from bench.fleet import Fleet

INSTANCES = (30, 150, 630)
CHANGES = 4
CHANGE_INTERVAL_S = 0.2
REPEATS = 2
ENTRIES = (2, 6, 12)
IN_FORCE_CHANGES = 3
CHANGES_PER_WINDOW = 4
WINDOW_S = 3.0
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02

_variants = itertools.count(1)


def measure(results: Results) -> None:
    """Measure revisions and add the results."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    async with running_fleet(1, backend_processes=1) as fleet:
        rounds = [[await _change_cost(fleet, n) for n in INSTANCES] for _ in range(REPEATS)]
    cpu = [[cost[0] for cost in repeat] for repeat in rounds]
    results.add_slope("revisions.cpu", "s", "instance with its share of services", INSTANCES, cpu)
    io_bytes = [[cost[1] for cost in repeat] for repeat in rounds]
    results.add_slope(
        "revisions.bytes", "B", "instance with its share of services", INSTANCES, io_bytes
    )
    waits, calls = [], []
    for entries in ENTRIES:
        async with running_fleet(entries, backend_processes=1) as fleet:
            calls.append(await _calls_per_change(fleet))
            waits.append([await _in_force_s(fleet) for _ in range(IN_FORCE_CHANGES)])
    repeats = [list(repeat) for repeat in zip(*waits, strict=True)]
    results.add_slope("revisions.in_force", "s", "entry", ENTRIES, repeats)
    results.add_slope("revisions.calls", "calls", "entry", ENTRIES, [calls])


async def _calls_per_change(fleet: Fleet) -> float:
    """Return the calls to the platform for each change, beyond those of a fleet without changes."""
    baseline = await _calls_in(fleet, asyncio.sleep(WINDOW_S))
    return (
        await _calls_in(fleet, _changes_within(fleet, WINDOW_S)) - baseline
    ) / CHANGES_PER_WINDOW


async def _calls_in(fleet: Fleet, work: Awaitable[None]) -> float:
    before = total_calls(await platform_counters(fleet))
    await work
    return total_calls(await platform_counters(fleet)) - before


async def _changes_within(fleet: Fleet, seconds: float) -> None:
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(asyncio.sleep(seconds))
        for _ in range(CHANGES_PER_WINDOW):
            await apply_document(
                fleet,
                document_text(INSTANCES[0], proportional_services(INSTANCES[0]), next(_variants)),
            )
            await asyncio.sleep(seconds / CHANGES_PER_WINDOW / 2)


async def _change_cost(fleet: Fleet, instances: int) -> tuple[float, float]:
    """Return an entry's processor seconds and bytes of system calls for each change."""
    before = usage(fleet)
    for _ in range(CHANGES):
        revision = await apply_document(
            fleet, document_text(instances, proportional_services(instances), next(_variants))
        )
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await _until_in_force(fleet, revision)
    used = usage(fleet) - before
    return used.cpu_s / CHANGES, used.io_bytes / CHANGES


async def _in_force_s(fleet: Fleet) -> float:
    """Return the seconds from a change's acceptance until it is in force at every entry."""
    text = document_text(DESIGN.instances, DESIGN.services, next(_variants))
    revision = await apply_document(fleet, text)
    started = time.monotonic()
    await _until_in_force(fleet, revision)
    return time.monotonic() - started


async def _until_in_force(fleet: Fleet, revision: int) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        for index in range(fleet.shape.entries):
            while await _revision(fleet, index) < revision:  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)


async def _revision(fleet: Fleet, index: int) -> int:
    _, text = await fleet.operator(index, "/status")
    return int(json.loads(text)["revision"])
