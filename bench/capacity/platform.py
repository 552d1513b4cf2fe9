"""The platform's service as a fleet loads it: at a start, as an outage ends."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from bench.capacity.entries import fleet_of, platform_calls, platform_total, platform_writes
from bench.capacity.slopes import Results
from bench.fleet import Fleet

ENTRIES = (4, 8, 13)
REPEATS = 2
LEASE_S = 3
OUTAGE_S = 3.5
RECOVERY_S = 2.5


@attrs.frozen
class Calls:
    """Calls of a whole fleet.

    Attributes
    ----------
    start_reads, start_writes : float
        Calls until every entry was ready.
    start_peak, outage_end_peak : float
        Calls in the busiest second of a start and after an outage.
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
    """Measure the group."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    rounds = [[await _calls(entries) for entries in ENTRIES] for _ in range(REPEATS)]
    for name, unit in _UNITS.items():
        costs = [[getattr(one, name) for one in repeat] for repeat in rounds]
        results.add_slope(f"platform.{name}", unit, "entry", ENTRIES, costs)


async def _calls(entries: int) -> Calls:
    async with fleet_of(entries, backend_processes=1, lease_s=LEASE_S) as fleet:
        at_start = await platform_calls(fleet)
        writes = platform_writes(at_start)
        reads = platform_total(at_start) - writes
        return Calls(reads, writes, _peak(at_start, 0), *await _outage_end(fleet))


async def _outage_end(fleet: Fleet) -> tuple[float, float]:
    """Return most calls in a second, and the share of writes, after one longer than the leases."""
    await fleet.control_platform(down=True)
    await asyncio.sleep(OUTAGE_S)
    before = await platform_calls(fleet)
    await fleet.control_platform(down=False)
    await asyncio.sleep(RECOVERY_S)
    last = max(int(second) for second in before["calls_by_second"])
    after = await platform_calls(fleet)
    writes = platform_writes(after) - platform_writes(before)
    share = writes / (platform_total(after) - platform_total(before))
    return _peak(after, last), share


def _peak(counted: dict[str, Any], since: int) -> float:
    by_second = counted["calls_by_second"].items()
    return float(max((calls for second, calls in by_second if int(second) >= since), default=0))
