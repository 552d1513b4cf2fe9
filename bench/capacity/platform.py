"""Measures a fleet's load on the platform's service: at its start and after an outage."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from bench.capacity.entries import platform_counters, running_fleet, total_calls, total_writes
from bench.capacity.slopes import Results
from bench.fleet import Fleet

ENTRIES = (4, 8, 13)
REPEATS = 2
LEASE_S = 3
# Longer than the leases, so that every entry has to register again.
OUTAGE_S = 3.5
RECOVERY_S = 2.5


@attrs.frozen
class Calls:
    """Calls of a whole fleet to the platform's service; the fields name the results.

    Attributes
    ----------
    start_reads : float
        Reading calls until every entry was ready.
    start_writes : float
        Writing calls until every entry was ready.
    start_peak : float
        Calls in the busiest second of the start.
    outage_end_peak : float
        Calls in the busiest second after an outage.
    outage_end_write_share : float
        Share of writes in all calls after an outage.
    """

    start_reads: float
    start_writes: float
    start_peak: float
    outage_end_peak: float
    outage_end_write_share: float


_UNITS = {
    "start_reads": "calls",
    "start_writes": "calls",
    "start_peak": "calls/s",
    "outage_end_peak": "calls/s",
    "outage_end_write_share": "share",
}


def measure(results: Results) -> None:
    """Measure the load on the platform and add the results."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    rounds = [[await _measure_calls(entries) for entries in ENTRIES] for _ in range(REPEATS)]
    for name, unit in _UNITS.items():
        costs = [[getattr(calls, name) for calls in repeat] for repeat in rounds]
        results.add_slope(f"platform.{name}", unit, "entry", ENTRIES, costs)


async def _measure_calls(entries: int) -> Calls:
    async with running_fleet(entries, backend_processes=1, lease_s=LEASE_S) as fleet:
        start_counters = await platform_counters(fleet)
        writes = total_writes(start_counters)
        reads = total_calls(start_counters) - writes
        return Calls(reads, writes, _peak(start_counters, 0), *await _outage_end(fleet))


async def _outage_end(fleet: Fleet) -> tuple[float, float]:
    """Return the calls of the busiest second after an outage, and the share of writes."""
    await fleet.control_platform(down=True)
    await asyncio.sleep(OUTAGE_S)
    before = await platform_counters(fleet)
    await fleet.control_platform(down=False)
    await asyncio.sleep(RECOVERY_S)
    last = max(int(second) for second in before["calls_by_second"])
    after = await platform_counters(fleet)
    writes = total_writes(after) - total_writes(before)
    share = writes / (total_calls(after) - total_calls(before))
    return _peak(after, last), share


def _peak(counters: dict[str, Any], first_second: int) -> float:
    by_second = counters["calls_by_second"].items()
    return float(
        max((calls for second, calls in by_second if int(second) >= first_second), default=0)
    )
