"""Refusals of requests that cannot be placed, and when their callers may come again."""

from __future__ import annotations

from random import Random

from sycamorebay.coordination.placement import PlacementRequest, Refuse
from sycamorebay.coordination.service_pool import ServicePool

# Bounds of the Retry-After time given with a refusal.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Callers that wait for servers to have rested return within this time, and not at once.
REST_SPREAD_S = 1.0
EVACUATED_RETRY_AFTER_S = 1.0
# Spreads the return of callers that are refused at the same moment.
_SPREAD = (0.75, 1.25)


class Refusals:
    """Builds refusals; all times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def refuse(self, pool: ServicePool, request: PlacementRequest, reason: str) -> Refuse:
        """Refuse a request until the requests that wait now have probably been started."""
        backlog_s = len(pool.queue) * pool.start_interval_s
        retry_after_s = max(MIN_RETRY_AFTER_S, backlog_s) * self._rng.uniform(*_SPREAD)
        return Refuse(request.id, reason, min(MAX_RETRY_AFTER_S, retry_after_s))

    def refuse_unusable(self, now: float, pool: ServicePool, request: PlacementRequest) -> Refuse:
        """Refuse a request that no server takes, until the first one has rested."""
        if pool.is_evacuated:
            reason = "all failure domains of the service are evacuated"
            retry_after_s = EVACUATED_RETRY_AFTER_S * self._rng.uniform(*_SPREAD)
            return Refuse(request.id, reason, retry_after_s)
        reason = "no backend server of the service is usable"
        refusal = self.refuse(pool, request, reason)
        rest_s = min(_rested_at(pool), default=now) - now
        if rest_s <= refusal.retry_after_s:
            return refusal
        return Refuse(request.id, reason, rest_s + self._rng.uniform(0.0, REST_SPREAD_S))


def _rested_at(pool: ServicePool) -> list[float]:
    """Return when the servers that do not leave will have rested."""
    return [
        load.announcements.resting_until
        for load in pool.loads_by_id.values()
        if not load.entry.leaving and not load.announcements.leaving
    ]
