"""Prometheus text of a gateway's counters.

Import this module only when metrics are read, as ``prometheus_client`` takes memory.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from sycamorebay.transport.gateway.counters import BUCKET_BOUNDS_S, Counters, LatencyHistogram

_COUNTERS = {
    "requests": "Requests taken.",
    "sends": "Sends to backend servers.",
    "hedges": "Second sends of requests that took long.",
    "budget_empty": "Requests not sent again since the retry budget was used up.",
    "probes": "Probes of backend servers.",
    "limits_named": "Request limits that backend servers named, changed ones included.",
    "limited_sends": "Sends to backend servers with a limit.",
    "limited_probes": "Probes of backend servers with a limit.",
    "servers_leaving": "Starts of backend servers whose answers say that they leave.",
    "server_rests": "Rests for which backend servers asked this daemon.",
    "rests_unreadable": "Rests of backend servers whose time could not be read.",
    "evacuations": "Failure domains whose evacuation came into force.",
    "evacuations_ended": "Failure domains that were returned to use.",
    "servers_cold": "Backend servers that became cold, with a limit for cold ones.",
    "servers_warm": "Backend servers that were cold and became warm.",
    "held_for_cold": "Requests that a cold server with free slots did not get.",
    "throttles": "Times that a service was throttled, as its servers rejected most requests.",
    "crashes": "Backend servers that seemed to crash under a request of this daemon.",
    "requests_blocked": "Writes to the store of requests that crash their servers.",
    "answers_ended_early": "Large answers of which callers got a part only.",
    "slow_callers_closed": "Connections closed since their callers read too slowly.",
    "framing_refused": "Requests and answers ended since their framing was out of proportion.",
    "invalid_statuses": "Answers with a status outside of 100 to 599.",
    "heads_too_large": "Requests refused since their heads were larger than the limit.",
    "memory_refused": "Connections of callers refused or closed as callers held too much memory.",
    "connections_evicted": "Connections of callers closed since there were too many.",
    "store_calls": "Calls to the store.",
    "store_failures": "Calls to the store that failed.",
    "store_histories_lost": "Watches of the store whose history was no longer there.",
    "older_listings": "Listings of the store that were older than what was known.",
    "store_restores": "Times that the store came back from an older copy.",
    "earlier_eras_refused": "Answers and messages about the store before it was restored.",
    "eras_unreadable": "Answers of the store with no era, or one that could not be read.",
    "eras_doubted": "Answers of the store that skipped an era.",
    "leases_of_other_era": "Writes under a lease that was granted before the store was restored.",
    "peer_datagrams": "Datagrams from other daemons.",
    "datagrams_sent": "Datagrams to other daemons.",
    "datagram_bytes_sent": "Bytes of datagrams to other daemons.",
    "undecodable_datagrams": "Datagrams that could not be decoded.",
    "other_version_datagrams": "Datagrams of another version of the protocol.",
    "permit_requests": "Requests to owners of accounts for permits.",
    "permit_requests_repeated": "Requests for permits that were sent once more.",
    "permit_requests_unanswered": "Requests for permits that were given up.",
    "permit_requests_forwarded": "Requests for permits that this relay forwarded for its leaves.",
    "permit_grants_late": "Answers to requests for permits that were given up, or never made.",
    "permit_owners_lost": "Times that an account's owner was found not to answer.",
    "permits_granted": "Permits that this daemon granted as the owner of an account.",
    "permits_refused": "Permits that this daemon refused as the owner of an account.",
    "peer_fetches": "Copies of the store requested from other daemons.",
    "peer_fetch_failures": "Copies of the store that other daemons did not deliver.",
    "undecodable": "Items of the store that could not be read.",
    "items_not_applied": "Items of the store whose handling ended with an error.",
    "deliveries_failed": "Changes of the store that were handed on again after an error.",
    "tasks_failed": "Background tasks that ended with an error and were started again.",
}


def render(counters: Counters, log_lines_dropped: int, open_connections: int) -> bytes:
    """Return all metrics in the Prometheus text format.

    Parameters
    ----------
    counters : Counters
        Counters of the gateway.
    log_lines_dropped : int
        Log lines dropped since the start.
    open_connections : int
        Open connections of callers.
    """
    registry = CollectorRegistry()
    registry.register(CountersCollector(counters, log_lines_dropped, open_connections))
    return generate_latest(registry)


class CountersCollector(Collector):
    """Collector of one gateway's counters.

    Parameters
    ----------
    counters : Counters
        Read when metrics are collected.
    log_lines_dropped : int
        Log lines dropped since the start.
    open_connections : int
        Open connections of callers.
    """

    def __init__(self, counters: Counters, log_lines_dropped: int, open_connections: int) -> None:
        self._counters = counters
        self._log_lines_dropped = log_lines_dropped
        self._open_connections = open_connections

    def collect(self) -> Iterable[Metric]:
        """Return the current value of each metric."""
        for name, help_text in _COUNTERS.items():
            value = getattr(self._counters, name)
            yield CounterMetricFamily(f"sycamorebay_{name}", help_text, value)
        yield CounterMetricFamily(
            "sycamorebay_log_lines_dropped", "Log lines left out.", self._log_lines_dropped
        )
        yield GaugeMetricFamily(
            "sycamorebay_open_connections", "Connections of callers.", self._open_connections
        )
        refusals = CounterMetricFamily(
            "sycamorebay_refusals", "Refused requests.", labels=["outcome", "step"]
        )
        for (outcome, step), value in self._counters.refusals_by_step.items():
            refusals.add_metric([outcome, step], value)
        yield refusals
        denials = CounterMetricFamily(
            "sycamorebay_denials", "Requests refused for their key.", labels=["reason"]
        )
        for reason, value in self._counters.denials_by_reason.items():
            denials.add_metric([reason], value)
        yield denials
        admissions = CounterMetricFamily(
            "sycamorebay_admissions", "Requests of limited accounts.", labels=["verdict"]
        )
        for verdict, value in self._counters.admissions_by_verdict.items():
            admissions.add_metric([verdict], value)
        yield admissions
        placement = CounterMetricFamily(
            "sycamorebay_placement_refusals", "Requests given no server.", labels=["reason"]
        )
        for reason, value in self._counters.placement_refusals_by_reason.items():
            placement.add_metric([reason], value)
        yield placement
        traffic = CounterMetricFamily(
            "sycamorebay_traffic_bytes",
            "Bytes exchanged with peers and servers in this failure domain and in others.",
            labels=["kind", "failure_domain"],
        )
        for (kind, is_near), value in self._counters.bytes_by_traffic.items():
            traffic.add_metric([kind.value, "own" if is_near else "other"], value)
        yield traffic
        yield self._histogram("answered", "Time to the answer.", self._counters.answered)
        yield self._histogram("backend", "Time at backend servers.", self._counters.backend)

    def _histogram(
        self, name: str, help_text: str, latencies: LatencyHistogram
    ) -> HistogramMetricFamily:
        bounds = [str(bound) for bound in BUCKET_BOUNDS_S] + ["+Inf"]
        buckets = list(zip(bounds, accumulate(latencies.counts), strict=True))
        return HistogramMetricFamily(
            f"sycamorebay_{name}_seconds", help_text, buckets, latencies.total
        )
