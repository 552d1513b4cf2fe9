"""Measures membership: resources and traffic of entry daemons without callers."""

from __future__ import annotations

import asyncio
import statistics
import time

import attrs

from bench.capacity.entries import (
    metric,
    platform_counters,
    resident_bytes,
    running_fleet,
    total_calls,
    usage,
)
from bench.capacity.slopes import Results
from bench.fleet import Fleet

ENTRIES = (8, 13, 20)
REPEATS = 2
WARM_UP_S = 2.0
WINDOW_S = 4.0


@attrs.frozen
class Costs:
    """Mean costs of one entry of a fleet; the fields name the results.

    Attributes
    ----------
    core_share : float
        Processor seconds a second.
    peer_bytes : float
        Bytes a second sent to and received from peers.
    io_bytes : float
        Bytes a second read and written by system calls.
    memory : float
        Resident memory, in bytes.
    calls : float
        Calls a second to the platform's service, of the whole fleet.
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
    """Measure membership and add the results."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    rounds = [[await _costs(entries) for entries in ENTRIES] for _ in range(REPEATS)]
    for name, unit in _UNITS.items():
        costs = [[getattr(cost, name) for cost in repeat] for repeat in rounds]
        results.add_slope(f"members.{name}", unit, "entry", ENTRIES, costs)


async def _costs(entries: int) -> Costs:
    async with running_fleet(entries, backend_processes=1) as fleet:
        await asyncio.sleep(WARM_UP_S)
        peer_before = await _peer_bytes(fleet)
        used_before = [usage(fleet, index) for index in range(entries)]
        calls_before = total_calls(await platform_counters(fleet))
        started = time.monotonic()
        await asyncio.sleep(WINDOW_S)
        elapsed = time.monotonic() - started
        used = [usage(fleet, index) - used_before[index] for index in range(entries)]
        calls = total_calls(await platform_counters(fleet)) - calls_before
        peer_after = await _peer_bytes(fleet)
        return Costs(
            core_share=statistics.mean(entry.cpu_s for entry in used) / elapsed,
            peer_bytes=(peer_after - peer_before) / entries / elapsed,
            io_bytes=statistics.mean(entry.io_bytes for entry in used) / elapsed,
            memory=statistics.mean(resident_bytes(fleet, index) for index in range(entries)),
            calls=calls / elapsed,
        )


async def _peer_bytes(fleet: Fleet) -> float:
    """Return the bytes that all entries have sent to and received from peers so far."""
    bytes_by_entry = [
        await metric(fleet, "sycamorebay_peer_bytes_total", index)
        for index in range(fleet.shape.entries)
    ]
    return sum(bytes_by_entry)
