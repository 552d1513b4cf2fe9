"""How busy a backend server is and how fast it works at the moment, from what all daemons saw."""

from __future__ import annotations

import attrs

from sycamorebay.state.server_entries import ServerEntry

# The pace of a shared machine changes several times a second; a report says nothing later.
SLOWDOWN_HORIZON_S = 0.3
# How long a report of requests of others outweighs what the other daemons say.
REPORT_HORIZON_S = 0.1
# Servers slow down when they are nearly full: work is placed up to this share of the slots.
COMFORTABLE_SHARE = 0.8
WARM_UP_FACTOR = 2.0
# A full server frees a slot after about one piece of work.
SHED_PAUSE_S = 0.05
_MEAN_SLOWDOWN_SMOOTHING = 0.05
_FAILURE_SMOOTHING = 0.2
_MIN_SUSPENSION_S = 0.25
_MAX_SUSPENSION_S = 3.0


@attrs.frozen
class ServerReport:
    """A backend server's word on its load.

    Attributes
    ----------
    running, waiting : int
        Requests that it runs and that wait in it.
    slowdown : float
        Time that work takes there now, as a multiple of the usual.
    """

    running: int
    waiting: int
    slowdown: float = 1.0


class MeanSlowdown:
    """The usual pace of a service's servers, for those of which nothing fresh is known."""

    def __init__(self) -> None:
        self.value = 1.0

    def on_report(self, report: ServerReport) -> None:
        """Take one report."""
        self.value += _MEAN_SLOWDOWN_SMOOTHING * (report.slowdown - self.value)


@attrs.define(eq=False)
class ServerLoad:
    """What this daemon knows of one backend server's load.

    Attributes
    ----------
    entry : ServerEntry
        The server's own latest word.
    mean_slowdown : MeanSlowdown
        Of its service.
    own : int
        This daemon's requests in flight there.
    own_by_peer : dict
        The same of each peer, by its name; `on_peer` changes it.
    """

    entry: ServerEntry
    mean_slowdown: MeanSlowdown
    own: int = 0
    own_by_peer: dict[str, int] = attrs.field(factory=dict)
    report: ServerReport | None = None
    reported_at: float = float("-inf")
    failure_rate: float = 0.0
    strikes: int = 0
    suspended_until: float = float("-inf")
    warm_at: float = float("-inf")
    _others: int = 0
    _others_at_report: int = 0

    @property
    def comfortable_slots(self) -> int:
        """Requests that it runs at full speed."""
        return max(1, int(self.entry.slots * COMFORTABLE_SHARE))

    def on_peer(self, peer: str, in_flight: int) -> None:
        """Take what a peer has in flight here."""
        self._others += in_flight - self.own_by_peer.pop(peer, 0)
        if in_flight:
            self.own_by_peer[peer] = in_flight

    def on_report(self, at: float, report: ServerReport) -> None:
        """Take a report made at a time; an older one than the known changes nothing."""
        if at <= self.reported_at:
            return
        self.report = report
        self.reported_at = at
        self._others_at_report = max(0, report.running + report.waiting - self.own)
        self.mean_slowdown.on_report(report)

    def on_success(self) -> None:
        """Take an answer that was one."""
        self.strikes = 0
        self.failure_rate -= _FAILURE_SMOOTHING * self.failure_rate

    def on_failure(self, now: float) -> None:
        """Take a failed request; a row of them suspends the server."""
        self.failure_rate += _FAILURE_SMOOTHING * (1.0 - self.failure_rate)
        self.strikes += 1
        pause_s = min(_MAX_SUSPENSION_S, _MIN_SUSPENSION_S * 2 ** (self.strikes - 1))
        self.suspended_until = max(self.suspended_until, now + pause_s)

    def on_shed(self, now: float) -> None:
        """Take a request that the server rejected since it was full."""
        self.suspended_until = max(self.suspended_until, now + SHED_PAUSE_S)

    def in_flight(self, now: float) -> int:
        """Return the requests in flight there of all callers."""
        others = self._others
        if now - self.reported_at < REPORT_HORIZON_S:
            others = max(others, self._others_at_report)
        return self.own + others

    def slowdown(self, now: float) -> float:
        """Return the expected pace of work that starts now, as a multiple of the usual."""
        usual = self.mean_slowdown.value
        expected = usual
        if self.report is not None:
            age = now - self.reported_at
            if age < SLOWDOWN_HORIZON_S:
                expected += (self.report.slowdown - usual) * (1.0 - age / SLOWDOWN_HORIZON_S)
        if now < self.warm_at:
            expected *= WARM_UP_FACTOR
        return expected

    def usable(self, now: float) -> bool:
        """Whether it gets work at all."""
        return not self.entry.leaving and now >= self.suspended_until
