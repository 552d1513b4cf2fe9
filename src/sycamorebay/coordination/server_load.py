"""Current load and slowdown of a backend server, as observed by all daemons."""

from __future__ import annotations

from random import Random

import attrs

from sycamorebay.coordination.announcements import Announcements
from sycamorebay.coordination.cold_server import ColdState, ServiceWarmUp
from sycamorebay.coordination.server_limit import ServerLimit
from sycamorebay.state.server_entries import ServerEntry

# The speed of a shared machine changes several times a second, so the slowdown of an older report
# is no longer meaningful.
SLOWDOWN_HORIZON_S = 0.3
# Until a server's report has this age, its in-flight requests override lower figures from peers.
REPORT_HORIZON_S = 0.1
# Share of the slots that is used; servers slow down when they are nearly full.
TARGET_UTILIZATION = 0.8
WARM_UP_SLOWDOWN = 2.0
# A full server frees a slot after about the processing time of one request.
SHED_SUSPENSION_S = 0.05
_MEAN_SLOWDOWN_SMOOTHING_FACTOR = 0.05
_FAILURE_SMOOTHING_FACTOR = 0.2
_MIN_SUSPENSION_S = 0.25
_MAX_SUSPENSION_S = 3.0


@attrs.frozen
class ServerReport:
    """Load that a backend server reports.

    Attributes
    ----------
    running, waiting : int
        Requests that the server processes, and requests in its queue.
    slowdown : float
        Current processing time as a multiple of the normal one.
    """

    running: int
    waiting: int
    slowdown: float = 1.0


class MeanSlowdown:
    """Smoothed mean slowdown of a service's servers, used for servers without a recent report."""

    def __init__(self) -> None:
        self.value = 1.0

    def on_report(self, report: ServerReport) -> None:
        """Update the mean with one report."""
        self.value += _MEAN_SLOWDOWN_SMOOTHING_FACTOR * (report.slowdown - self.value)


@attrs.define(eq=False)
class ServerLoad:
    """Load of one backend server as this daemon knows it.

    All times are seconds on one clock that the caller chooses.

    Attributes
    ----------
    entry : ServerEntry
        Latest entry that the server published.
    mean_slowdown : MeanSlowdown
        Mean slowdown of the server's service.
    limit : ServerLimit
        Limit that the server sets on the requests of all daemons together.
    announcements : Announcements
        What the server has said of itself in its answers.
    cold : ColdState
        How long the server is cold.
    evacuated : bool
        Whether the server's failure domain is evacuated, so that the server gets no requests.
    own_in_flight : int
        Requests that this daemon has in flight at the server.
    in_flight_by_peer : dict of str to int
        Requests that each peer has in flight at the server; change it through `on_peer` only.
    report : ServerReport or None
        Latest report.
    reported_at : float
        Time at which the latest report was made.
    failure_rate : float
        Smoothed share of failed requests, from 0 to 1.
    consecutive_failures : int
        Failed requests since the last success.
    suspended_until : float
        Time until which the server gets no requests.
    warm_up_until : float
        Time until which the server is expected to be slow after its start.
    """

    entry: ServerEntry
    mean_slowdown: MeanSlowdown
    limit: ServerLimit
    announcements: Announcements = attrs.field(factory=Announcements)
    cold: ColdState = attrs.field(factory=lambda: ColdState(Random(0), ServiceWarmUp()))
    evacuated: bool = False
    own_in_flight: int = 0
    in_flight_by_peer: dict[str, int] = attrs.field(factory=dict)
    report: ServerReport | None = None
    reported_at: float = float("-inf")
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    suspended_until: float = float("-inf")
    warm_up_until: float = float("-inf")
    _peers_in_flight: int = 0
    _others_in_flight_at_report: int = 0

    @property
    def target_slots(self) -> int:
        """Requests that the server can process at the same time without slowing down."""
        return max(1, int(self.entry.slots * TARGET_UTILIZATION))

    def on_peer(self, peer: str, in_flight: int) -> None:
        """Record how many requests a peer has in flight at the server."""
        self._peers_in_flight += in_flight - self.in_flight_by_peer.pop(peer, 0)
        if in_flight:
            self.in_flight_by_peer[peer] = in_flight

    def on_report(self, at: float, report: ServerReport) -> None:
        """Record a report made at time `at`; reports older than the latest are ignored."""
        if at <= self.reported_at:
            return
        self.report = report
        self.reported_at = at
        self._others_in_flight_at_report = max(
            0, report.running + report.waiting - self.own_in_flight
        )
        self.mean_slowdown.on_report(report)

    def on_success(self) -> None:
        """Record a successful request, which ends a run of failures."""
        self.consecutive_failures = 0
        self.failure_rate -= _FAILURE_SMOOTHING_FACTOR * self.failure_rate

    def on_failure(self, now: float) -> None:
        """Record a failed request and suspend the server.

        The suspension doubles with each consecutive failure, up to a maximum.
        """
        self.failure_rate += _FAILURE_SMOOTHING_FACTOR * (1.0 - self.failure_rate)
        self.consecutive_failures += 1
        suspension_s = min(
            _MAX_SUSPENSION_S, _MIN_SUSPENSION_S * 2 ** (self.consecutive_failures - 1)
        )
        self.suspended_until = max(self.suspended_until, now + suspension_s)

    def on_shed(self, now: float) -> None:
        """Suspend the server briefly, as it rejected a request because it was full."""
        self.suspended_until = max(self.suspended_until, now + SHED_SUSPENSION_S)

    def in_flight(self, now: float) -> int:
        """Return the requests that all daemons have in flight at the server.

        While the latest report is recent, the larger of the reported and the exchanged number
        counts for the requests of other daemons.
        """
        others = self._peers_in_flight
        if now - self.reported_at < REPORT_HORIZON_S:
            others = max(others, self._others_in_flight_at_report)
        return self.own_in_flight + others

    def slowdown(self, now: float) -> float:
        """Return the expected slowdown of a request that starts now.

        It is a multiple of the normal processing time and moves from the latest report to the mean
        of the service as the report ages.
        """
        mean = self.mean_slowdown.value
        expected = mean
        if self.report is not None:
            age = now - self.reported_at
            if age < SLOWDOWN_HORIZON_S:
                expected += (self.report.slowdown - mean) * (1.0 - age / SLOWDOWN_HORIZON_S)
        # A server whose limit as a cold one applies gets few requests, and reports its slowdown.
        if now < self.warm_up_until and not self.cold.is_limited(now):
            expected *= WARM_UP_SLOWDOWN
        return expected

    def usable(self, now: float) -> bool:
        """Return whether the server may get requests.

        It may if it neither leaves, rests nor is suspended, and its failure domain is in use.
        """
        is_available = not self.entry.leaving and now >= self.suspended_until
        return is_available and not self.evacuated and self.announcements.accepts(now)

    def is_limited(self, now: float) -> bool:
        """Return whether requests need a permit, by the server's own limit or as it is cold."""
        return self.limit.per_s is not None or self.cold.is_limited(now)

    def admits(self, now: float, sharers: float) -> bool:
        """Return whether the limits that apply admit a request now, see `ServerLimit.admits`."""
        return self.limit.admits(now, sharers) and self.cold.admits(now, sharers)

    def next_permit_at(self, now: float, sharers: float) -> float:
        """Return from when the limits that apply admit a request, see `admits`."""
        own_at = self.limit.next_permit_at(now, sharers)
        return max(own_at, self.cold.next_permit_at(now, sharers))

    def take_permit(self, now: float) -> None:
        """Use up a permit of each limit that applies; call it after `admits` has returned True."""
        self.limit.take()
        self.cold.take(now)
