"""Rows of the fleet's load on the platform's service, and of the operators' command line."""

from __future__ import annotations

from bench.capacity.rows import COMPUTED, MEASURED, Row
from bench.capacity.rows_calls import BYTES_PER_MB, entries_needed
from bench.capacity.rows_control import BASE64_RATIO, value_bytes
from bench.capacity.size import DESIGN, PLATFORM, SECONDS_PER_DAY
from bench.capacity.slopes import Results

PLATFORM_ROLE = "platform's service"
COMMAND = "operator's command line"
CALLS_PER_CHANGE = 3
CALLS_PER_S_UNIT = "calls/s"


def rows(results: Results) -> list[Row]:
    """Return the rows of the platform's service and the command line."""
    return [*_platform(results), *_command(results)]


def _platform(results: Results) -> list[Row]:
    entries = entries_needed(results)
    changes = DESIGN.changes_per_day / SECONDS_PER_DAY
    return [
        Row(
            PLATFORM_ROLE,
            "messages",
            "calls in calm, whole fleet",
            results.slope("members.calls").predict(entries)
            + results.slope("revisions.calls").predict(entries) * changes,
            CALLS_PER_S_UNIT,
            COMPUTED,
            "`members.calls` + `revisions.calls` x 2,900 a day; bound: 300/s, for writes",
            "transport.configuration.platform",
            PLATFORM.writes_per_s,
        ),
        Row(
            PLATFORM_ROLE,
            "state",
            "waiting watches",
            float(entries),
            "watches",
            COMPUTED,
            "one an entry; each counts as one call",
            "transport.configuration.platform",
        ),
        *_start(results, entries),
        *_outage_end(results, entries),
        Row(
            PLATFORM_ROLE,
            "messages",
            "calls for one change, most of them each entry's report, were they to fall into one s",
            results.slope("revisions.calls").predict(entries),
            "calls",
            COMPUTED,
            "`revisions.calls` at the entries needed; bound: 300/s, for writes",
            "transport.configuration.registration",
            PLATFORM.writes_per_s,
            "reports that wait for the next renewal of the lease",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "bytes that one change sends to all entries",
            entries * value_bytes(results) * BASE64_RATIO / BYTES_PER_MB,
            "MB",
            COMPUTED,
            "entries x value x 4/3",
            "transport.configuration.platform",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "registrations that the watches carry as every lease lapses and comes back",
            2.0 * entries * entries,
            "messages",
            COMPUTED,
            "2 x entries x entries: each one's going and coming, to every watch",
            "transport.entry.daemon",
        ),
    ]


def _start(results: Results, entries: int) -> list[Row]:
    reads = results.slope("platform.start_reads").predict(entries)
    writes = results.slope("platform.start_writes").predict(entries)
    peak = results.slope("platform.start_peak").predict(entries)
    remedy = "spread of the first registration over some seconds"
    return [
        Row(
            PLATFORM_ROLE,
            "messages",
            "reads of a start of the whole fleet, were they to fall into one second",
            reads,
            "reads/s",
            COMPUTED,
            "`platform.start_reads` at the entries needed",
            "transport.configuration.following",
            PLATFORM.reads_per_s,
            remedy,
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "writes of a start of the whole fleet, were they to fall into one second",
            writes,
            "writes/s",
            COMPUTED,
            "`platform.start_writes` at the entries needed",
            "transport.configuration.registration",
            PLATFORM.writes_per_s,
            remedy,
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "writes in the busiest second of such a start",
            peak * writes / (reads + writes),
            "writes/s",
            COMPUTED,
            "`platform.start_peak` at the entries needed x share of writes",
            "transport.configuration.registration",
            PLATFORM.writes_per_s,
            remedy,
        ),
    ]


def _outage_end(results: Results, entries: int) -> list[Row]:
    peak = results.slope("platform.outage_end_peak").predict(entries)
    share = results.slope("platform.outage_end_write_share")
    write_share = share.cost_at(max(share.sizes))
    remedy = "longer, jittered waits that grow with the length of the outage"
    return [
        Row(
            PLATFORM_ROLE,
            "messages",
            "reads in the busiest second as an outage longer than the leases ends",
            peak * (1 - write_share),
            "reads/s",
            COMPUTED,
            "`platform.outage_end_peak` at the entries needed x share of reads",
            "coordination.rate_limit",
            PLATFORM.reads_per_s,
            remedy,
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "writes in the busiest second as an outage longer than the leases ends",
            peak * write_share,
            "writes/s",
            COMPUTED,
            "`platform.outage_end_peak` at the entries needed x `platform.outage_end_write_share`",
            "coordination.rate_limit",
            PLATFORM.writes_per_s,
            remedy,
        ),
    ]


def _command(results: Results) -> list[Row]:
    return [
        Row(
            COMMAND,
            "processor",
            "one `config check` of the whole document",
            results.slope("configuration.command").cost_at(DESIGN.instances),
            "s",
            MEASURED,
            "`configuration.command` at 630",
            "cli",
        ),
        Row(
            COMMAND,
            "memory",
            "one `config check` of the whole document",
            results.slope("configuration.command_memory").cost_at(DESIGN.instances) / BYTES_PER_MB,
            "MB",
            MEASURED,
            "`configuration.command_memory` at 630",
            "cli",
        ),
        Row(
            COMMAND,
            "messages",
            "calls at the platform's service for one change, no conflict",
            float(CALLS_PER_CHANGE),
            "calls",
            COMPUTED,
            "reads of document and trail, one compare-and-swap of both and the kept text",
            "transport.configuration.admin",
        ),
    ]
