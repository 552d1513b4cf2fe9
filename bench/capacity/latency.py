"""Measures the time that an entry adds to a call, with alternating direct calls as the baseline."""

from __future__ import annotations

import asyncio

import attrs

from bench.capacity.entries import Calls, entry_address, metric, run_caller, running_fleet
from bench.capacity.size import DESIGN
from bench.capacity.slopes import Results
from bench.fleet import Fleet

# Connections for each rate in calls a second.
CONNECTIONS_BY_RATE = {100: 1, 300: 4, 700: 16}
WINDOW_S = 1.5
REPEATS = 3
BOUND_BUCKET_METRIC = 'sycamorebay_added_seconds_bucket{le="0.00062"}'
COUNT_METRIC = "sycamorebay_added_seconds_count"


@attrs.frozen
class Pair:
    """Direct calls and calls through an entry at the same rate.

    Attributes
    ----------
    direct : Calls
        Calls to a backend server.
    through : Calls
        Calls through the entry.
    metric_share : float
        Share of the calls that are within the bound by the entry's own metric.
    """

    direct: Calls
    through: Calls
    metric_share: float

    def added_s(self, share: float) -> float:
        """Return the difference of the latencies at a quantile, in seconds."""
        return self.through.quantile_s(share) - self.direct.quantile_s(share)

    def share_in_bound(self) -> float:
        """Return the share of the quantiles at which the added time is within the bound."""
        pairs = zip(self.direct.quantiles_us, self.through.quantiles_us, strict=True)
        in_bound = [through - direct <= DESIGN.added_bound_s * 1e6 for direct, through in pairs]
        return sum(in_bound) / len(in_bound)


def measure(results: Results) -> None:
    """Measure the added time and add the results."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    rates = tuple(CONNECTIONS_BY_RATE)
    async with running_fleet(1) as fleet:
        await run_caller(entry_address(fleet), connections=16, rate=500)
        rounds = [[await _measure_pair(fleet, rate) for rate in rates] for _ in range(REPEATS)]
    per = "call/s offered"
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        direct = [[pair.direct.quantile_s(share) for pair in repeat] for repeat in rounds]
        results.add_slope(f"latency.direct_{name}", "s", per, rates, direct)
        added = [[pair.added_s(share) for pair in repeat] for repeat in rounds]
        results.add_slope(f"latency.added_{name}", "s", per, rates, added)
    in_bound = [[pair.share_in_bound() for pair in repeat] for repeat in rounds]
    results.add_slope("latency.share_in_bound", "share", per, rates, in_bound)
    shares = [[pair.metric_share for pair in repeat] for repeat in rounds]
    results.add_slope("latency.metric_share", "share", per, rates, shares)


async def _measure_pair(fleet: Fleet, rate: int) -> Pair:
    options = {"connections": CONNECTIONS_BY_RATE[rate], "rate": rate, "seconds": WINDOW_S}
    direct = await run_caller(fleet.servers[0]["address"], **options)
    before = await _metric_counts(fleet)
    through = await run_caller(entry_address(fleet), **options)
    after = await _metric_counts(fleet)
    return Pair(direct, through, (after[0] - before[0]) / (after[1] - before[1]))


async def _metric_counts(fleet: Fleet) -> tuple[float, float]:
    return await metric(fleet, BOUND_BUCKET_METRIC), await metric(fleet, COUNT_METRIC)
