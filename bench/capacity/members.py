"""Membership: real entry daemons without callers, and what passes between them."""

from __future__ import annotations

import asyncio
import statistics
import time

import attrs

from bench.capacity.entries import (
    fleet_of,
    metric,
    platform_calls,
    platform_total,
    resident_bytes,
    usage,
)
from bench.capacity.slopes import Results
from bench.fleet import Fleet

ENTRIES = (8, 13, 20)
REPEATS = 2
SETTLE_S = 2.0
CALM_S = 4.0


@attrs.frozen
class Costs:
    """What one entry of a fleet costs.

    Attributes
    ----------
    core_share : float
        Processor time a second.
    peer_bytes, io_bytes : float
        Bytes a second between peers, and of all system calls.
    memory : float
        Resident bytes.
    calls : float
        Calls a second at the platform's service, of the whole fleet.
    """

    core_share: float
    peer_bytes: float
    io_bytes: float
    memory: float
    calls: float


_UNITS = {
    "core_share": "core",
    "peer_bytes": "B/s",
    "io_bytes": "B/s",
    "memory": "B",
    "calls": "calls/s",
}


def measure(results: Results) -> None:
    """Measure the group."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    rounds = [[await _costs(entries) for entries in ENTRIES] for _ in range(REPEATS)]
    for name, unit in _UNITS.items():
        costs = [[getattr(one, name) for one in repeat] for repeat in rounds]
        results.add_slope(f"members.{name}", unit, "entry", ENTRIES, costs)


async def _costs(entries: int) -> Costs:
    async with fleet_of(entries, backend_processes=1) as fleet:
        await asyncio.sleep(SETTLE_S)
        peer_before = await _peer_bytes(fleet)
        used_before = [usage(fleet, index) for index in range(entries)]
        calls_before = platform_total(await platform_calls(fleet))
        started = time.monotonic()
        await asyncio.sleep(CALM_S)
        elapsed = time.monotonic() - started
        used = [usage(fleet, index) - used_before[index] for index in range(entries)]
        calls = platform_total(await platform_calls(fleet)) - calls_before
        peer_after = await _peer_bytes(fleet)
        return Costs(
            core_share=statistics.mean(one.cpu_s for one in used) / elapsed,
            peer_bytes=(peer_after - peer_before) / entries / elapsed,
            io_bytes=statistics.mean(one.io_bytes for one in used) / elapsed,
            memory=statistics.mean(resident_bytes(fleet, index) for index in range(entries)),
            calls=calls / elapsed,
        )


async def _peer_bytes(fleet: Fleet) -> float:
    """Return what all entries have sent and received so far."""
    counted = [
        await metric(fleet, "sycamorebay_peer_bytes_total", index)
        for index in range(fleet.shape.entries)
    ]
    return sum(counted)
