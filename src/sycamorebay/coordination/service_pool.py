"""The backend servers of one service, and the requests that wait for one of them."""

from __future__ import annotations

from sycamorebay.coordination.account_use import AccountUse
from sycamorebay.coordination.cold_server import ServiceWarmUp
from sycamorebay.coordination.fair_queue import FairQueue
from sycamorebay.coordination.server_load import MeanSlowdown, ServerLoad
from sycamorebay.coordination.shed_throttle import ShedThrottle
from sycamorebay.coordination.spill import LeavePolicy

_START_INTERVAL_SMOOTHING_FACTOR = 0.2


class ServicePool:
    """The backend servers of one service and its queue of waiting requests."""

    def __init__(self, leave_policy: LeavePolicy) -> None:
        self.leave_policy = leave_policy
        self.mean_slowdown = MeanSlowdown()
        self.warm_up = ServiceWarmUp()
        self.loads_by_id: dict[str, ServerLoad] = {}
        self.queue = FairQueue()
        self.use = AccountUse()
        self.throttle = ShedThrottle()
        self.start_interval_s = 0.0
        self.last_start_at = 0.0
        self.busy_since = 0.0

    @property
    def is_evacuated(self) -> bool:
        """Whether all servers are in evacuated failure domains; False without any server."""
        return bool(self.loads_by_id) and all(one.evacuated for one in self.loads_by_id.values())

    def on_start(self, now: float) -> None:
        """Update the smoothed interval between starts of waiting requests."""
        began_at = self.last_start_at
        if self.queue.is_shared:
            # The time in which nothing waited tells nothing of how fast waiting requests start.
            began_at = max(began_at, self.busy_since)
        interval_s = min(1.0, now - began_at)
        self.last_start_at = now
        self.start_interval_s += _START_INTERVAL_SMOOTHING_FACTOR * (
            interval_s - self.start_interval_s
        )
