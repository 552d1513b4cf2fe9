"""Measures probes: processor time of an entry for each probe of a backend server."""

from __future__ import annotations

import asyncio

from bench.capacity.entries import metric, running_fleet, usage
from bench.capacity.slopes import Results
from bench.fleet import Fleet

PROBES_PER_S = (5, 10, 25)
SERVERS = 28
REPEATS = 2
WARM_UP_S = 0.5
WINDOW_S = 3.0
PROBES_PER_SERVER_PER_S = 10.0


def measure(results: Results) -> None:
    """Measure probes and add the results."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    async with running_fleet(1, servers=SERVERS, backend_processes=1) as fleet:
        rounds = [
            [await _measure_budget(fleet, rate) for rate in PROBES_PER_S] for _ in range(REPEATS)
        ]
    cpu = [[cost[0] for cost in repeat] for repeat in rounds]
    results.add_slope("probes.time", "core", "probe/s", PROBES_PER_S, cpu)
    sent = [[cost[1] for cost in repeat] for repeat in rounds]
    results.add_slope("probes.sent", "probes/s", "probe/s of the budget", PROBES_PER_S, sent)


async def _measure_budget(fleet: Fleet, rate: int) -> tuple[float, float]:
    """Return processor seconds and probes a second at a budget of `rate` probes a second."""
    budget = {"probes_per_entry": rate, "probes_per_backend_server": PROBES_PER_SERVER_PER_S}
    fleet.apply({**fleet.document, "measuring": budget})
    await asyncio.sleep(WARM_UP_S)
    probes = await metric(fleet, "sycamorebay_probes_total")
    before = usage(fleet)
    await asyncio.sleep(WINDOW_S)
    used = usage(fleet) - before
    sent = await metric(fleet, "sycamorebay_probes_total") - probes
    return used.cpu_s / WINDOW_S, sent / WINDOW_S
