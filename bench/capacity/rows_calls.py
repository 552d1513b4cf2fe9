"""Rows of the data plane: entries needed, added latency, choice of a backend server."""

from __future__ import annotations

import math

from bench.capacity.rows import BASED_ON_ASSUMPTIONS, COMPUTED, MEASURED, Row
from bench.capacity.size import ASSUMED, DESIGN
from bench.capacity.slopes import Results

FORWARDING = "entry: forwarding"
CHOICE = "entry: choice"
FORWARD_MODULE = "transport.forwarding.forward"
MS_PER_S = 1e3
US_PER_S = 1e6
BYTES_PER_MB = 1e6


def entries_needed(results: Results) -> int:
    """Return the entry daemons, one a core, needed at peak load without one failure domain."""
    cores = DESIGN.calls_per_s * results.figure("forwarding.top_cpu").median()
    remaining_share = 1 - 1 / DESIGN.failure_domains
    return math.ceil(cores / ASSUMED.busy_share / remaining_share)


def calls_per_entry(results: Results) -> float:
    """Return the calls a second at one entry while all failure domains are up."""
    return DESIGN.calls_per_s / entries_needed(results)


def affordable_cpu_s() -> float:
    """Return the processor seconds a call at which the assumed VMs would suffice."""
    cores = ASSUMED.vms * ASSUMED.cores_per_vm
    remaining_share = 1 - 1 / DESIGN.failure_domains
    return cores * remaining_share * ASSUMED.busy_share / DESIGN.calls_per_s


def rows(results: Results) -> list[Row]:
    """Return the rows of the data plane."""
    return [
        *_entries(results),
        *_latency(results),
        *_forwarding_costs(results),
        *_choice(results),
    ]


def _entries(results: Results) -> list[Row]:
    cpu_s = results.figure("forwarding.top_cpu").median()
    cores = DESIGN.calls_per_s * cpu_s
    return [
        Row(
            FORWARDING,
            "processor",
            "cores that only forward, whole fleet at the crest",
            cores,
            "cores",
            COMPUTED,
            "81,000 calls/s x `forwarding.top_cpu`",
            FORWARD_MODULE,
        ),
        Row(
            FORWARDING,
            "processor",
            "entry daemons needed, one a core, one of 7 failure domains lost at the crest",
            entries_needed(results),
            "daemons",
            BASED_ON_ASSUMPTIONS,
            "cores / 0.6 busy / (6/7); bound: 16 VMs x 2 cores",
            FORWARD_MODULE,
            float(ASSUMED.vms * ASSUMED.cores_per_vm),
            f"processor time per call from {cpu_s * MS_PER_S:.2f} ms"
            f" to {affordable_cpu_s() * MS_PER_S:.2f} ms,"
            f" or {math.ceil(entries_needed(results) / ASSUMED.cores_per_vm)} VMs of"
            f" {ASSUMED.cores_per_vm} cores, or larger VMs",
        ),
        Row(
            FORWARDING,
            "messages",
            "calls at one entry, all failure domains up",
            calls_per_entry(results),
            "calls/s",
            COMPUTED,
            "81,000 calls/s / entries; bound: `forwarding.top_rate`",
            FORWARD_MODULE,
            results.figure("forwarding.top_rate").median(),
        ),
    ]


def _latency(results: Results) -> list[Row]:
    bound_ms = DESIGN.added_bound_s * MS_PER_S
    median = results.slope("latency.added_p50")
    tail = results.slope("latency.added_p99")
    share = results.slope("latency.share_in_bound")
    low, middle, high = share.sizes
    late_share = 1 - share.cost_at(middle)
    latency_rows = [
        Row(
            FORWARDING,
            "messages",
            f"time added at {name}, {rate:.0f} calls/s at one entry",
            slope.cost_at(rate) * MS_PER_S,
            "ms",
            MEASURED,
            f"`{slope.name}`, paired with direct calls",
            FORWARD_MODULE,
            bound_ms,
            "less work per call: parsing, header copies, tasks and client of the library",
        )
        for name, slope in (("the median", median), ("the 99th percentile", tail))
        for rate in (low, high)
    ]
    latency_rows.append(
        Row(
            FORWARDING,
            "messages",
            f"calls past 0.62 ms at {middle:.0f} calls/s",
            late_share * 100,
            "%",
            MEASURED,
            "1 - `latency.share_in_bound`",
            FORWARD_MODULE,
            (1 - DESIGN.added_share) * 100,
            "as above",
        )
    )
    metric_share = results.slope("latency.metric_share").cost_at(middle)
    latency_rows.append(
        Row(
            FORWARDING,
            "messages",
            "late calls that `sycamorebay_added_seconds` counts as in bound",
            max(0.0, metric_share - share.cost_at(middle)) * 100,
            "%",
            MEASURED,
            "`latency.metric_share` - `latency.share_in_bound`; bound: 1 %, set here",
            "metrics",
            1.0,
            "count from the first byte read to the answer's head written, without the backend"
            " server's time, so that the listener's and the client's work is in it",
        )
    )
    return [*latency_rows, *_depth(median.cost_at(middle), late_share)]


def _depth(added_s: float, late_share: float) -> list[Row]:
    depth = DESIGN.depth
    late_share_at_bound = 1 - DESIGN.added_share**depth
    return [
        Row(
            FORWARDING,
            "messages",
            "time added to a request 11 deep, each call at its measured median",
            depth * added_s * MS_PER_S,
            "ms",
            COMPUTED,
            "11 x `latency.added_p50`; bound: 11 x 0.62 ms",
            FORWARD_MODULE,
            depth * DESIGN.added_bound_s * MS_PER_S,
            "as above",
        ),
        Row(
            FORWARDING,
            "messages",
            "requests 11 deep with at least one call past 0.62 ms, as measured",
            (1 - (1 - late_share) ** depth) * 100,
            "%",
            COMPUTED,
            "1 - (1 - late share)^11; bound: 1 - 0.99^11, what the target itself allows",
            FORWARD_MODULE,
            late_share_at_bound * 100,
            "as above; to keep 99 in 100 whole requests, 99.91 in 100 calls must keep the bound",
        ),
    ]


def _forwarding_costs(results: Results) -> list[Row]:
    connections = results.slope("forwarding.connection")
    body = results.slope("forwarding.body")
    return [
        Row(
            FORWARDING,
            "memory",
            "resident with 1,000 callers' connections open",
            connections.predict(ASSUMED.connections_per_entry) / BYTES_PER_MB,
            "MB",
            BASED_ON_ASSUMPTIONS,
            "`forwarding.connection` at 1,000",
            "transport.forwarding.front",
        ),
        Row(
            FORWARDING,
            "processor",
            "each 64 KB of an answer's body",
            body.slope() * MS_PER_S,
            "ms",
            MEASURED,
            "`forwarding.body`",
            "transport.forwarding.upstream",
        ),
    ]


def _choice(results: Results) -> list[Row]:
    decision = results.slope("choice.decision")
    average_s = decision.predict(DESIGN.instances / DESIGN.services)
    largest_s = decision.predict(ASSUMED.largest_service_instances)
    table_bytes = results.slope("choice.services").predict(DESIGN.services)
    entries = entries_needed(results)
    return [
        Row(
            CHOICE,
            "processor",
            "decisions of one request, service of average size (7.7 instances)",
            average_s * US_PER_S,
            "us",
            COMPUTED,
            "`choice.decision` at 630/82",
            "coordination.dispatch",
        ),
        Row(
            CHOICE,
            "processor",
            "decisions of one request, largest service (30 instances)",
            largest_s * US_PER_S,
            "us",
            BASED_ON_ASSUMPTIONS,
            "`choice.decision` at 30",
            "coordination.dispatch",
        ),
        Row(
            CHOICE,
            "processor",
            "decisions of one request, were all 630 instances one service",
            decision.cost_at(DESIGN.instances) * US_PER_S,
            "us",
            MEASURED,
            "`choice.decision` at 630",
            "coordination.dispatch",
        ),
        Row(
            CHOICE,
            "memory",
            "document and table of backend servers",
            table_bytes / BYTES_PER_MB,
            "MB",
            MEASURED,
            "`choice.services` at 630 instances in 82 services",
            "state.backends",
        ),
        Row(
            CHOICE,
            "state",
            "connections at one backend server, were each entry to keep one idle",
            float(entries),
            "connections",
            COMPUTED,
            "entries; bound: about 200 connections an instance today",
            "transport.forwarding.upstream",
            200.0,
            "a subset of entries for each backend server",
        ),
        Row(
            CHOICE,
            "state",
            "entries that share one slot of a service of average size",
            entries / (DESIGN.instances / DESIGN.services * ASSUMED.slots_per_instance),
            "entries",
            BASED_ON_ASSUMPTIONS,
            "entries / (630/82 x 4 slots); slots are dealt to entries, and above 1 some have none",
            "coordination.assignment",
            1.0,
            "fewer entries for each service: those of the instance's failure domain, or a subset",
        ),
        Row(
            CHOICE,
            "state",
            "time between two answers of one backend server at one entry",
            entries * DESIGN.instances / DESIGN.calls_per_s,
            "s",
            COMPUTED,
            "entries x 630 / 81,000: age of a piggybacked report at its next use",
            "coordination.choose",
        ),
    ]
