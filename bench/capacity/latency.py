"""Time that one entry adds to a call, against direct calls made in turn with it."""

from __future__ import annotations

import asyncio

import attrs

from bench.capacity.entries import Calls, call, entry_address, fleet_of, metric
from bench.capacity.size import DESIGN
from bench.capacity.slopes import Results
from bench.fleet import Fleet

CONNECTIONS_BY_RATE = {100: 1, 300: 4, 700: 16}
CALLS_S = 1.5
REPEATS = 3
BOUND_BUCKET = 'sycamorebay_added_seconds_bucket{le="0.00062"}'
COUNT = "sycamorebay_added_seconds_count"


@attrs.frozen
class Pair:
    """Direct calls, calls through the entry, and the share that the entry's metric has in bound."""

    direct: Calls
    through: Calls
    metric_share: float

    def added_s(self, share: float) -> float:
        """Return the time added at a quantile."""
        return self.through.quantile_s(share) - self.direct.quantile_s(share)

    def share_in_bound(self) -> float:
        """Return the share of quantiles at which the time added keeps the bound."""
        pairs = zip(self.direct.quantiles_us, self.through.quantiles_us, strict=True)
        kept = [through - direct <= DESIGN.added_bound_s * 1e6 for direct, through in pairs]
        return sum(kept) / len(kept)


def measure(results: Results) -> None:
    """Measure the group."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    rates = tuple(CONNECTIONS_BY_RATE)
    async with fleet_of(1) as fleet:
        await call(entry_address(fleet), connections=16, rate=500)
        rounds = [[await _pair(fleet, rate) for rate in rates] for _ in range(REPEATS)]
    per = "call/s offered"
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        direct = [[pair.direct.quantile_s(share) for pair in one] for one in rounds]
        results.add_slope(f"latency.direct_{name}", "s", per, rates, direct)
        added = [[pair.added_s(share) for pair in one] for one in rounds]
        results.add_slope(f"latency.added_{name}", "s", per, rates, added)
    kept = [[pair.share_in_bound() for pair in one] for one in rounds]
    results.add_slope("latency.share_in_bound", "share", per, rates, kept)
    shares = [[pair.metric_share for pair in one] for one in rounds]
    results.add_slope("latency.metric_share", "share", per, rates, shares)


async def _pair(fleet: Fleet, rate: int) -> Pair:
    options = {"connections": CONNECTIONS_BY_RATE[rate], "rate": rate, "seconds": CALLS_S}
    direct = await call(fleet.servers[0]["address"], **options)
    before = await _counted(fleet)
    through = await call(entry_address(fleet), **options)
    after = await _counted(fleet)
    return Pair(direct, through, (after[0] - before[0]) / (after[1] - before[1]))


async def _counted(fleet: Fleet) -> tuple[float, float]:
    return await metric(fleet, BOUND_BUCKET), await metric(fleet, COUNT)
