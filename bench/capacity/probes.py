"""Probes: an entry's processor time for each probe of a backend server."""

from __future__ import annotations

import asyncio

from bench.capacity.entries import fleet_of, metric, usage
from bench.capacity.slopes import Results
from bench.fleet import Fleet

RATES = (5, 10, 25)
SERVERS = 28
REPEATS = 2
SETTLE_S = 0.5
WINDOW_S = 3.0
PER_SERVER = 10.0


def measure(results: Results) -> None:
    """Measure the group."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    async with fleet_of(1, servers=SERVERS, backend_processes=1) as fleet:
        rounds = [[await _at(fleet, rate) for rate in RATES] for _ in range(REPEATS)]
    spent = [[one[0] for one in repeat] for repeat in rounds]
    results.add_slope("probes.time", "core", "probe/s", RATES, spent)
    sent = [[one[1] for one in repeat] for repeat in rounds]
    results.add_slope("probes.sent", "probes/s", "probe/s of the budget", RATES, sent)


async def _at(fleet: Fleet, rate: int) -> tuple[float, float]:
    """Return the processor time and the probes of a second at a budget."""
    budget = {"probes_per_entry": rate, "probes_per_backend_server": PER_SERVER}
    fleet.apply({**fleet.document, "measuring": budget})
    await asyncio.sleep(SETTLE_S)
    probes = await metric(fleet, "sycamorebay_probes_total")
    before = usage(fleet)
    await asyncio.sleep(WINDOW_S)
    used = usage(fleet) - before
    sent = await metric(fleet, "sycamorebay_probes_total") - probes
    return used.cpu_s / WINDOW_S, sent / WINDOW_S
