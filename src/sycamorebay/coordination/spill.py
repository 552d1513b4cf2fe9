"""When a request leaves its failure domain, and which share of the requests of a service does.

A near server is in the daemon's own failure domain, a far one in another. Traffic between failure
domains is slower and is billed, so requests leave only while near servers are short: the shortage
shows in the near servers' reports, as the share of them that is busy.

A request that waits probes a few servers again and again, so the share that is busy tells how long
it will wait near and far. The request leaves if the time that it gains exceeds its part, drawn at
random, of a small part of the time that it can still wait. So the share of requests that leave is
the gain as a share of that part. It changes smoothly with the reports, and daemons with the same
reports do not all move.
"""

from __future__ import annotations

import math
from typing import Protocol

import attrs

# Servers that are probed at a time, and the time between two probes of a request that waits.
PROBED_SERVERS = 3
PROBE_INTERVAL_S = 0.02
# A busy server with requests as long as its service's usual ones is free again within this time.
REPORT_MEMORY_S = 1.0
# Weight of one report; about ten reports, three requests' probes, show a change.
_SMOOTHING_FACTOR = 0.1
# Weight of one report in the mean, which stands for reports that are too old.
_MEAN_SMOOTHING_FACTOR = 0.01
# Processing times vary, so each wait makes it less likely that the goal is met, which costs far
# more than the bytes of a usual request. No request stays for an expected wait of more than this
# part of the time that it can wait; with goals of about a second, that is some milliseconds.
WAIT_PART = 0.02
# Even if all reports are of busy servers, one of them may be free when it is asked again.
_MIN_FREE_SHARE = 0.01


@attrs.frozen
class CrossDomainPenalty:
    """What a far server costs beside a near one, as a time in seconds.

    Attributes
    ----------
    request_s : float
        Delay of a request and its answer, and what else an exchange costs.
    byte_s : float
        Cost of a byte of a request's and an answer's body.
    """

    request_s: float = 0.003
    byte_s: float = 1e-6

    def of(self, body_bytes: float) -> float:
        """Return the cost of a request with bodies of a size in bytes, in seconds."""
        return self.request_s + self.byte_s * body_bytes


DEFAULT_CROSS_DOMAIN_PENALTY = CrossDomainPenalty()


@attrs.define
class BusyShare:
    """Share of some servers that is busy, by their reports.

    It moves to the mean of the past as the reports age.
    """

    _recent: float = 0.0
    _mean: float = 0.0
    _reported_at: float = float("-inf")

    def on_report(self, at: float, busy: bool) -> None:
        """Record whether a server was busy at a time, in seconds."""
        self._recent = self.at(at)
        self._recent += _SMOOTHING_FACTOR * (busy - self._recent)
        self._mean += _MEAN_SMOOTHING_FACTOR * (busy - self._mean)
        self._reported_at = max(at, self._reported_at)

    def age_s(self, now: float) -> float:
        """Return the age of the last report, in seconds; infinite without one."""
        return max(0.0, now - self._reported_at)

    def at(self, now: float) -> float:
        """Return the expected share at a time, in seconds."""
        age_s = self.age_s(now)
        return self._mean + (self._recent - self._mean) * math.exp(-age_s / REPORT_MEMORY_S)


@attrs.frozen
class Shortage:
    """What a decision to leave rests on, for the log.

    Attributes
    ----------
    near_busy, far_busy : float
        Shares of the near and the far servers that are busy.
    near_age_s, far_age_s : float
        Ages of the last reports of near and of far servers, in seconds.
    """

    near_busy: float
    far_busy: float
    near_age_s: float
    far_age_s: float


class LeavePolicy(Protocol):
    """Decides which requests of one service may go to far servers."""

    def on_report(self, at: float, near: bool, busy: bool) -> None:
        """Record that a near or far server was busy or not at a time, in seconds."""
        ...

    def leaves(self, now: float, draw: float, slack_s: float, cost_s: float) -> bool:
        """Return whether a request may go to a far server.

        Parameters
        ----------
        now : float
            Current time in seconds.
        draw : float
            Random number of the request, from 0 to 1.
        slack_s : float
            Time that the request can still wait and meet its goal, in seconds.
        cost_s : float
            Cost of a far server beside a near one, in seconds.
        """
        ...

    def shortage(self, now: float) -> Shortage | None:
        """Return what decisions rest on at a time, in seconds; None if on nothing."""
        ...


class SpillShare:
    """Lets a share of requests leave that grows with the time gained and with less time left."""

    def __init__(self) -> None:
        self._near = BusyShare()
        self._far = BusyShare()

    def on_report(self, at: float, near: bool, busy: bool) -> None:
        """Record that a near or far server was busy or not at a time, in seconds."""
        (self._near if near else self._far).on_report(at, busy)

    def share(self, now: float, slack_s: float, cost_s: float) -> float:
        """Return the share of requests that leave; the parameters are those of `leaves`."""
        gain_s = self.gain_s(now, cost_s)
        if gain_s <= 0:
            return 0.0
        longest_s = WAIT_PART * slack_s
        return 1.0 if gain_s >= longest_s else gain_s / longest_s

    def leaves(self, now: float, draw: float, slack_s: float, cost_s: float) -> bool:
        """Return whether a request may go to a far server, see `LeavePolicy`."""
        return draw < self.share(now, slack_s, cost_s)

    def shortage(self, now: float) -> Shortage:
        """Return what decisions rest on at a time, in seconds."""
        near, far = self._near, self._far
        return Shortage(near.at(now), far.at(now), near.age_s(now), far.age_s(now))

    def gain_s(self, now: float, cost_s: float) -> float:
        """Return how much sooner a request is expected to be placed far than near, in seconds."""
        return _wait_s(self._near.at(now)) - _wait_s(self._far.at(now)) - cost_s


def _wait_s(busy_share: float) -> float:
    """Return the expected time until one of the probed servers is free, in seconds."""
    all_busy = (1.0 - max(_MIN_FREE_SHARE, 1.0 - busy_share)) ** PROBED_SERVERS
    return PROBE_INTERVAL_S * all_busy / (1.0 - all_busy)
