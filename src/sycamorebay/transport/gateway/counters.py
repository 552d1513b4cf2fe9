"""Metrics of one gateway."""

from __future__ import annotations

import enum
from bisect import bisect_left

from sycamorebay.coordination.account_permits import Admission
from sycamorebay.coordination.authentication import Denial
from sycamorebay.outcomes import Refusal

# Upper bounds of the buckets of all histograms.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0)


class TrafficKind(enum.Enum):
    """What bytes between gateways, or between gateways and backend servers, are sent for.

    The values are written to metrics.
    """

    HEARTBEATS = "heartbeats"
    LOADS = "loads"
    LIMITS = "limits"
    PERMITS = "permits"
    CHANGES = "changes"
    CRASHES = "crashes"
    LEAVES = "leaves"
    COPIES = "copies"
    PROBES = "probes"
    REQUESTS = "requests"
    ANSWERS = "answers"


class LatencyHistogram:
    """A histogram of latencies in seconds.

    Attributes
    ----------
    counts : list of int
        Observations in each bucket; the last bucket has no upper bound.
    total : float
        Sum of all observations, in seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Add one latency, in seconds."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += seconds


class Counters:
    """Counters and histograms of one gateway.

    These are plain numbers, since they are updated often and read rarely; ``prometheus_client`` is
    not imported for them. The names of the numbers become metric names, see `exposition`, which
    also describes each of them.

    Attributes
    ----------
    refusals_by_step : dict
        Refused requests by outcome and step.
    denials_by_reason : dict
        Requests refused for their key, by reason.
    admissions_by_verdict : dict
        Requests of limited accounts, by whether their limits admitted them.
    placement_refusals_by_reason : dict
        Requests that were given no server, by reason.
    bytes_by_traffic : dict
        Bytes by kind and by whether the other end is in this daemon's failure domain. Datagrams
        count where they are sent, copies where they are received, and the traffic with backend
        servers in both directions. Headers of TCP, UDP and IP are not included.
    answered : LatencyHistogram
        Time from a request's arrival to its answer, for answers of backend servers.
    backend : LatencyHistogram
        Time from a send to its answer.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.sends = 0
        self.hedges = 0
        self.budget_empty = 0
        self.probes = 0
        self.limits_named = 0
        self.limited_sends = 0
        self.limited_probes = 0
        self.servers_leaving = 0
        self.server_rests = 0
        self.rests_unreadable = 0
        self.evacuations = 0
        self.evacuations_ended = 0
        self.servers_cold = 0
        self.servers_warm = 0
        self.held_for_cold = 0
        self.throttles = 0
        self.crashes = 0
        self.requests_blocked = 0
        self.answers_ended_early = 0
        self.slow_callers_closed = 0
        self.framing_refused = 0
        self.invalid_statuses = 0
        self.heads_too_large = 0
        self.memory_refused = 0
        self.connections_evicted = 0
        self.store_calls = 0
        self.store_failures = 0
        self.store_histories_lost = 0
        self.older_listings = 0
        self.store_restores = 0
        self.earlier_eras_refused = 0
        self.eras_unreadable = 0
        self.eras_doubted = 0
        self.leases_of_other_era = 0
        self.peer_datagrams = 0
        self.datagrams_sent = 0
        self.datagram_bytes_sent = 0
        self.undecodable_datagrams = 0
        self.other_version_datagrams = 0
        self.permit_requests = 0
        self.permit_requests_repeated = 0
        self.permit_requests_unanswered = 0
        self.permit_requests_forwarded = 0
        self.permit_grants_late = 0
        self.permit_owners_lost = 0
        self.permits_granted = 0
        self.permits_refused = 0
        self.peer_fetches = 0
        self.peer_fetch_failures = 0
        self.undecodable = 0
        self.items_not_applied = 0
        self.deliveries_failed = 0
        self.tasks_failed = 0
        self.refusals_by_step: dict[tuple[str, str], int] = {}
        self.denials_by_reason: dict[str, int] = {}
        self.admissions_by_verdict: dict[str, int] = {}
        self.placement_refusals_by_reason: dict[str, int] = {}
        self.bytes_by_traffic: dict[tuple[TrafficKind, bool], int] = {}
        self.answered = LatencyHistogram()
        self.backend = LatencyHistogram()

    def on_memory_refused(self) -> None:
        """Count a connection that was refused or closed as callers held too much memory."""
        self.memory_refused += 1

    def on_connection_evicted(self) -> None:
        """Count a connection that was closed as there were too many."""
        self.connections_evicted += 1

    def on_refusal(self, refusal: Refusal) -> None:
        """Count a refused request by its outcome and step."""
        key = (refusal.tag, refusal.step)
        self.refusals_by_step[key] = self.refusals_by_step.get(key, 0) + 1

    def on_denial(self, denial: Denial) -> None:
        """Count a request that is refused for its key."""
        reason = denial.value
        self.denials_by_reason[reason] = self.denials_by_reason.get(reason, 0) + 1

    def on_admission(self, admission: Admission) -> None:
        """Count a decision on a request of a limited account."""
        verdict = admission.verdict.value
        self.admissions_by_verdict[verdict] = self.admissions_by_verdict.get(verdict, 0) + 1

    def on_placement_refusal(self, reason: str) -> None:
        """Count a request that was given no server."""
        known = self.placement_refusals_by_reason.get(reason, 0)
        self.placement_refusals_by_reason[reason] = known + 1

    def on_traffic(self, kind: TrafficKind, is_near: bool, size: int) -> None:
        """Count bytes of a kind, exchanged with a peer or server that is near or is not.

        Parameters
        ----------
        kind : TrafficKind
            What they are sent for.
        is_near : bool
            Whether the other end is in this daemon's failure domain.
        size : int
            Number of bytes.
        """
        key = (kind, is_near)
        self.bytes_by_traffic[key] = self.bytes_by_traffic.get(key, 0) + size

    def on_task_failed(self) -> None:
        """Count a background task that ended with an error."""
        self.tasks_failed += 1
