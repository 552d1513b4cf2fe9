"""Rows of the platform's service as the fleet loads it, and of the operators' command line."""

from __future__ import annotations

from bench.capacity.rows import COMPUTED, MEASURED, Row
from bench.capacity.rows_calls import MB, entries_needed
from bench.capacity.rows_control import BASE64, value_bytes
from bench.capacity.size import DESIGN, PLATFORM, SECONDS_PER_DAY
from bench.capacity.slopes import Results

PLATFORM_ROLE = "platform's service"
COMMAND = "operator's command line"
CALLS_FOR_A_CHANGE = 3
READS_AND_WRITES = "calls/s"


def rows(results: Results) -> list[Row]:
    """Return the rows."""
    return [*_platform(results), *_command(results)]


def _platform(results: Results) -> list[Row]:
    entries = entries_needed(results)
    changes = DESIGN.changes_per_day / SECONDS_PER_DAY
    return [
        Row(
            PLATFORM_ROLE,
            "messages",
            "calls in calm, whole fleet",
            results.slope("members.calls").at(entries)
            + results.slope("revisions.calls").at(entries) * changes,
            READS_AND_WRITES,
            COMPUTED,
            "`members.calls` + `revisions.calls` x 2,900 a day; bound: 300 writes/s",
            "transport.platform",
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
            "transport.platform",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "all calls of a start of the whole fleet, were they to fall into one second",
            results.slope("platform.start").at(entries),
            "calls",
            COMPUTED,
            "`platform.start` at the entries needed; bound: 300 writes, the lower of the two",
            "transport.platform",
            PLATFORM.writes_per_s,
            "spread of the first registration over some seconds",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "calls in the busiest second of such a start",
            results.slope("platform.start_peak").at(entries),
            READS_AND_WRITES,
            COMPUTED,
            "`platform.start_peak` at the entries needed; bound: 300 writes/s",
            "transport.platform",
            PLATFORM.writes_per_s,
            "as above",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "calls in the busiest second as an outage longer than the leases ends",
            results.slope("platform.outage_end_peak").at(entries),
            READS_AND_WRITES,
            COMPUTED,
            "`platform.outage_end_peak` at the entries needed; bound: 300 writes/s",
            "transport.platform",
            PLATFORM.writes_per_s,
            "longer, jittered waits that grow with the length of the outage",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "calls for one change, most of them each entry's report, were they to fall into one s",
            results.slope("revisions.calls").at(entries),
            "calls",
            COMPUTED,
            "`revisions.calls` at the entries needed; bound: 300 writes/s",
            "transport.registration",
            PLATFORM.writes_per_s,
            "reports that wait for the next renewal of the lease",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "bytes that one change sends to all entries",
            entries * value_bytes(results) * BASE64 / MB,
            "MB",
            COMPUTED,
            "entries x value x 4/3",
            "transport.platform",
        ),
        Row(
            PLATFORM_ROLE,
            "messages",
            "registrations that the watches carry as every lease lapses and comes back",
            2.0 * entries * entries,
            "messages",
            COMPUTED,
            "2 x entries x entries: each one's going and coming, to every watch",
            "transport.daemon",
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
            results.slope("configuration.command_memory").cost_at(DESIGN.instances) / MB,
            "MB",
            MEASURED,
            "`configuration.command_memory` at 630",
            "cli",
        ),
        Row(
            COMMAND,
            "messages",
            "calls at the platform's service for one change, no conflict",
            float(CALLS_FOR_A_CHANGE),
            "calls",
            COMPUTED,
            "reads of document and trail, one compare-and-swap of both and the kept text",
            "transport.admin",
        ),
    ]
