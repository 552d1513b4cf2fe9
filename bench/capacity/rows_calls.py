"""Rows of the calls' own path: how many entries, what they add, choice of a backend server."""

from __future__ import annotations

import math

from bench.capacity.rows import ASSUMED as SUPPOSED
from bench.capacity.rows import COMPUTED, MEASURED, Row
from bench.capacity.size import ASSUMED, DESIGN
from bench.capacity.slopes import Results

FORWARDING = "entry: forwarding"
CHOICE = "entry: choice"
FORWARD = "transport.forwarding.forward"
MS = 1e3
US = 1e6
MB = 1e6


def entries_needed(results: Results) -> int:
    """Return entry daemons, each with a core, for the crest with a failure domain lost."""
    cores = DESIGN.calls_per_s * results.figure("forwarding.top_cpu").median()
    left = 1 - 1 / DESIGN.failure_domains
    return math.ceil(cores / ASSUMED.busy_share / left)


def calls_per_entry(results: Results) -> float:
    """Return calls a second of one entry while all failure domains are up."""
    return DESIGN.calls_per_s / entries_needed(results)


def affordable_cpu_s() -> float:
    """Return processor time per call at which today's VMs would do."""
    cores = ASSUMED.vms * ASSUMED.cores_per_vm
    left = 1 - 1 / DESIGN.failure_domains
    return cores * left * ASSUMED.busy_share / DESIGN.calls_per_s


def rows(results: Results) -> list[Row]:
    """Return the rows."""
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
            FORWARD,
        ),
        Row(
            FORWARDING,
            "processor",
            "entry daemons needed, one a core, one of 7 failure domains lost at the crest",
            entries_needed(results),
            "daemons",
            SUPPOSED,
            "cores / 0.6 busy / (6/7); bound: 16 VMs x 2 cores",
            FORWARD,
            float(ASSUMED.vms * ASSUMED.cores_per_vm),
            f"processor time per call from {cpu_s * MS:.2f} ms to {affordable_cpu_s() * MS:.2f} ms,"
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
            FORWARD,
            results.figure("forwarding.top_rate").median(),
        ),
    ]


def _latency(results: Results) -> list[Row]:
    bound_ms = DESIGN.added_bound_s * MS
    median = results.slope("latency.added_p50")
    tail = results.slope("latency.added_p99")
    share = results.slope("latency.share_in_bound")
    quiet, middle, busy = share.sizes
    late = 1 - share.cost_at(middle)
    made = [
        Row(
            FORWARDING,
            "messages",
            f"time added at {name}, {rate:.0f} calls/s at one entry",
            slope.cost_at(rate) * MS,
            "ms",
            MEASURED,
            f"`{slope.name}`, paired with direct calls",
            FORWARD,
            bound_ms,
            "less work per call: parsing, header copies, tasks and client of the library",
        )
        for name, slope in (("the median", median), ("the 99th percentile", tail))
        for rate in (quiet, busy)
    ]
    made.append(
        Row(
            FORWARDING,
            "messages",
            f"calls past 0.62 ms at {middle:.0f} calls/s",
            late * 100,
            "%",
            MEASURED,
            "1 - `latency.share_in_bound`",
            FORWARD,
            (1 - DESIGN.added_share) * 100,
            "as above",
        )
    )
    own = results.slope("latency.metric_share").cost_at(middle)
    made.append(
        Row(
            FORWARDING,
            "messages",
            "late calls that `sycamorebay_added_seconds` counts as in bound",
            max(0.0, own - share.cost_at(middle)) * 100,
            "%",
            MEASURED,
            "`latency.metric_share` - `latency.share_in_bound`; bound: 1 %, set here",
            "metrics",
            1.0,
            "count from the first byte read to the answer's head written, without the backend"
            " server's time, so that the listener's and the client's work is in it",
        )
    )
    return [*made, *_depth(median.cost_at(middle), late)]


def _depth(added_s: float, late: float) -> list[Row]:
    depth = DESIGN.depth
    by_bound = 1 - DESIGN.added_share**depth
    return [
        Row(
            FORWARDING,
            "messages",
            "time added to a request 11 deep, each call at its measured median",
            depth * added_s * MS,
            "ms",
            COMPUTED,
            "11 x `latency.added_p50`; bound: 11 x 0.62 ms",
            FORWARD,
            depth * DESIGN.added_bound_s * MS,
            "as above",
        ),
        Row(
            FORWARDING,
            "messages",
            "requests 11 deep with at least one call past 0.62 ms, as measured",
            (1 - (1 - late) ** depth) * 100,
            "%",
            COMPUTED,
            "1 - (1 - late share)^11; bound: 1 - 0.99^11, what the target itself allows",
            FORWARD,
            by_bound * 100,
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
            connections.at(ASSUMED.connections_per_entry) / MB,
            "MB",
            SUPPOSED,
            "`forwarding.connection` at 1,000",
            "transport.forwarding.front",
        ),
        Row(
            FORWARDING,
            "processor",
            "each 64 KB of an answer's body",
            body.slope() * MS,
            "ms",
            MEASURED,
            "`forwarding.body`",
            "transport.forwarding.upstream",
        ),
    ]


def _choice(results: Results) -> list[Row]:
    decision = results.slope("choice.decision")
    usual = decision.at(DESIGN.instances / DESIGN.services)
    largest = decision.at(ASSUMED.largest_service_instances)
    table = results.slope("choice.services").at(DESIGN.services)
    entries = entries_needed(results)
    return [
        Row(
            CHOICE,
            "processor",
            "decisions of one request, service of average size (7.7 instances)",
            usual * US,
            "us",
            COMPUTED,
            "`choice.decision` at 630/82",
            "coordination.dispatch",
        ),
        Row(
            CHOICE,
            "processor",
            "decisions of one request, largest service (30 instances)",
            largest * US,
            "us",
            SUPPOSED,
            "`choice.decision` at 30",
            "coordination.dispatch",
        ),
        Row(
            CHOICE,
            "processor",
            "decisions of one request, were all 630 instances one service",
            decision.cost_at(DESIGN.instances) * US,
            "us",
            MEASURED,
            "`choice.decision` at 630",
            "coordination.dispatch",
        ),
        Row(
            CHOICE,
            "memory",
            "document and table of backend servers",
            table / MB,
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
            SUPPOSED,
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
