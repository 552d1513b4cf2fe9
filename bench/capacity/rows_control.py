"""Rows of control at one entry: probes, operations, configuration, membership, metrics."""

from __future__ import annotations

import importlib.util

from bench.capacity.rows import ASSUMED as SUPPOSED
from bench.capacity.rows import COMPUTED, MEASURED, Row
from bench.capacity.rows_calls import MB, MS, US, calls_per_entry, entries_needed
from bench.capacity.size import ASSUMED, DESIGN, PLATFORM, SECONDS_PER_DAY
from bench.capacity.slopes import Results
from sycamorebay.coordination import operations
from sycamorebay.state.document import Measuring
from sycamorebay.transport import admin
from sycamorebay.transport.forward import MAX_KEPT_ANSWER_BYTES

PROBES = "entry: probes"
OPERATIONS = "entry: operations at most once"
CONFIGURATION = "entry: configuration"
MEMBERSHIP = "entry: membership and peers"
METRICS = "entry: metrics"
CONTROL = "entry: all control"
BASE64 = 4 / 3
HOURS_PER_DAY = 24
TRAIL_HOURS = 24.0
LABEL_SETS = 30


def rows(results: Results) -> list[Row]:
    """Return the rows."""
    return [
        *_probes(results),
        *_operations(results),
        *_configuration(results),
        *_membership(results),
        *_metrics(results),
        *_control(results),
    ]


def value_bytes(results: Results) -> float:
    """Return bytes of the store's value at the design size, its audit trail full."""
    document = results.slope("configuration.value_services").at(DESIGN.services)
    trail = results.slope("configuration.trail").slope() * admin.MAX_TRAIL_ENTRIES
    return document + trail


def _pushed_bytes_per_s(results: Results) -> float:
    """Return bytes a second that the document's watch brings to one entry, over a day."""
    return value_bytes(results) * BASE64 * DESIGN.changes_per_day / SECONDS_PER_DAY


def _change_s(results: Results) -> float:
    """Return processor time of one change at one entry."""
    return results.slope("revisions.cpu").at(DESIGN.instances)


def _probes(results: Results) -> list[Row]:
    mechanism = "coordination.probe"
    built = importlib.util.find_spec(f"sycamorebay.{mechanism}") is not None
    most = entries_needed(results) * Measuring().probes_per_backend_server
    calls = DESIGN.calls_per_s / DESIGN.instances
    return [
        Row(
            PROBES,
            "messages",
            "probes that one backend server may get from all entries",
            most,
            "probes/s",
            COMPUTED,
            "entries x 2 probes/s, the document's default; bound: a tenth of the"
            f" {calls:.0f} calls/s that it gets at the crest",
            mechanism if built else "",
            calls / 10,
            "a budget for the whole fleet, divided by the entries alive",
        )
    ]


def _operations(results: Results) -> list[Row]:
    record = results.slope("operations.record").slope()
    per_byte = results.slope("operations.answer")
    keyed = calls_per_entry(results) * ASSUMED.keyed_share
    largest = operations._MAX_RECORDS * per_byte.at(MAX_KEPT_ANSWER_BYTES)
    return [
        Row(
            OPERATIONS,
            "messages",
            "keyed operations at one entry",
            keyed,
            "operations/s",
            SUPPOSED,
            "calls at one entry x 5 % keyed",
            "coordination.operations",
        ),
        Row(
            OPERATIONS,
            "processor",
            "decisions on one operation",
            results.slope("operations.decision").slope() * US,
            "us",
            MEASURED,
            "`operations.decision`",
            "coordination.operations",
        ),
        Row(
            OPERATIONS,
            "state",
            "time until a record is pushed out by newer ones",
            operations._MAX_RECORDS / keyed / 60,
            "min",
            SUPPOSED,
            f"{operations._MAX_RECORDS:,} records / operations at one entry",
            "coordination.operations",
        ),
        Row(
            OPERATIONS,
            "memory",
            "records full, answers of 200 B",
            operations._MAX_RECORDS * record / MB,
            "MB",
            COMPUTED,
            f"{operations._MAX_RECORDS:,} records x `operations.record`",
            "coordination.operations",
        ),
        Row(
            OPERATIONS,
            "memory",
            "records full, each answer as large as may be kept",
            largest / MB,
            "MB",
            COMPUTED,
            f"{operations._MAX_RECORDS:,} records x `operations.answer` at 16 KB",
            "coordination.operations",
            DESIGN.control_bytes / MB,
            "a bound on the bytes of all kept answers, beside that on their number",
        ),
    ]


def _configuration(results: Results) -> list[Row]:
    pushed = _pushed_bytes_per_s(results)
    change_s = _change_s(results)
    trail_hours = admin.MAX_TRAIL_ENTRIES / DESIGN.changes_per_day * HOURS_PER_DAY
    return [
        Row(
            CONFIGURATION,
            "state",
            "value in the store, its audit trail full",
            value_bytes(results) / MB,
            "MB",
            COMPUTED,
            f"`configuration.value_services` + {admin.MAX_TRAIL_ENTRIES} x `configuration.trail`",
            "protocol.revisions",
            PLATFORM.value_bytes / MB,
        ),
        Row(
            CONFIGURATION,
            "state",
            "hours of changes missing from a day's audit trail in the store",
            max(0.0, TRAIL_HOURS - trail_hours),
            "h",
            COMPUTED,
            f"{admin.MAX_TRAIL_ENTRIES} entries reach back {trail_hours:.1f} h at 2,900 changes a"
            " day; bound: none of the last day missing",
            "transport.admin",
            0.0,
            "shorter entries in a key of their own, written in the same transaction",
        ),
        Row(
            CONFIGURATION,
            "messages",
            "bytes that the watch brings, over a day",
            pushed,
            "B/s",
            COMPUTED,
            "value x 4/3 (base64) x 2,900 a day",
            "transport.platform",
            DESIGN.control_bytes_per_s,
            "watch a small key with number and digest; send differences, not the whole document",
        ),
        Row(
            CONFIGURATION,
            "messages",
            "bytes that the watch brings in a minute of 20 changes",
            value_bytes(results) * BASE64 * ASSUMED.changes_per_burst_minute / 60,
            "B/s",
            SUPPOSED,
            "value x 4/3 x 20 a minute",
            "transport.platform",
            DESIGN.control_bytes_per_s,
            "as above; fetch the newest revision only, at most once in some seconds",
        ),
        Row(
            CONFIGURATION,
            "processor",
            "time that one change takes, during which no call moves",
            change_s * MS,
            "ms",
            COMPUTED,
            "`revisions.cpu` at 630; bound: the 0.62 ms of the calls that wait meanwhile",
            "coordination.configuration",
            DESIGN.added_bound_s * MS,
            "check differences only, or check in slices or in a thread; operators check it before",
        ),
        Row(
            CONFIGURATION,
            "processor",
            "share of a core for changes, over a day",
            change_s * DESIGN.changes_per_day / SECONDS_PER_DAY * 100,
            "% of a core",
            COMPUTED,
            "`revisions.cpu` at 630 x 2,900 a day",
            "coordination.configuration",
            DESIGN.control_core_share * 100,
        ),
        Row(
            CONFIGURATION,
            "messages",
            "calls that wait past 0.62 ms for a change, in a minute of 20",
            change_s * ASSUMED.changes_per_burst_minute / 60 * 100,
            "% of calls",
            SUPPOSED,
            "time of a change x 20 / 60 s",
            "coordination.configuration",
            (1 - DESIGN.added_share) * 100,
            "as above",
        ),
        Row(
            CONFIGURATION,
            "messages",
            "time from acceptance until in force at 12 entries, all up",
            results.slope("revisions.in_force").cost_at(12),
            "s",
            MEASURED,
            "`revisions.in_force`",
            "transport.daemon",
            DESIGN.in_force_s,
        ),
    ]


def _membership(results: Results) -> list[Row]:
    entries = entries_needed(results)
    return [
        Row(
            MEMBERSHIP,
            "messages",
            "bytes between peers, both directions",
            results.slope("members.peer_bytes").at(entries),
            "B/s",
            COMPUTED,
            "`members.peer_bytes` at the entries needed",
            "transport.peers",
            DESIGN.control_bytes_per_s,
            "a bounded number of peers for each heartbeat",
        ),
        Row(
            MEMBERSHIP,
            "processor",
            "an entry without callers: heartbeats, leases, watch",
            results.slope("members.core_share").at(entries) * 100,
            "% of a core",
            COMPUTED,
            "`members.core_share` at the entries needed",
            "coordination.membership",
            DESIGN.control_core_share * 100,
            "a bounded number of peers for each heartbeat",
        ),
        Row(
            MEMBERSHIP,
            "state",
            "links to peers, two for each",
            2.0 * (entries - 1),
            "connections",
            COMPUTED,
            "2 x (entries - 1)",
            "transport.peers",
        ),
    ]


def _metrics(results: Results) -> list[Row]:
    time_s = results.slope("scrapes.time").at(LABEL_SETS)
    text = results.slope("scrapes.bytes").at(LABEL_SETS)
    return [
        Row(
            METRICS,
            "processor",
            "time of one scrape, during which no call moves",
            time_s * MS,
            "ms",
            SUPPOSED,
            f"`scrapes.time` with {LABEL_SETS} label sets",
            "metrics",
        ),
        Row(
            METRICS,
            "messages",
            "bytes of scrapes",
            text / ASSUMED.scrape_interval_s,
            "B/s",
            SUPPOSED,
            f"`scrapes.bytes` with {LABEL_SETS} label sets, every 15 s",
            "metrics",
        ),
    ]


def _control(results: Results) -> list[Row]:
    entries = entries_needed(results)
    scrape = results.slope("scrapes.time").at(LABEL_SETS) / ASSUMED.scrape_interval_s
    changes = _change_s(results) * DESIGN.changes_per_day / SECONDS_PER_DAY
    core = results.slope("members.core_share").at(entries) + scrape + changes
    text = results.slope("scrapes.bytes").at(LABEL_SETS) / ASSUMED.scrape_interval_s
    sent = results.slope("members.peer_bytes").at(entries) + _pushed_bytes_per_s(results) + text
    table = results.slope("choice.services").at(DESIGN.services)
    return [
        Row(
            CONTROL,
            "processor",
            "membership, changes and scrapes",
            core * 100,
            "% of a core",
            SUPPOSED,
            "sum of the rows above",
            "transport.daemon",
            DESIGN.control_core_share * 100,
            "the rows above",
        ),
        Row(
            CONTROL,
            "messages",
            "peers, watch over a day, scrapes",
            sent,
            "B/s",
            SUPPOSED,
            "sum of the rows above",
            "transport.daemon",
            DESIGN.control_bytes_per_s,
            "the rows above",
        ),
        Row(
            CONTROL,
            "memory",
            "resident without callers, with its peers and the document",
            (results.slope("members.memory").at(entries) + table) / MB,
            "MB",
            COMPUTED,
            "`members.memory` at the entries needed + `choice.services` at 82",
            "transport.daemon",
            DESIGN.control_bytes / MB,
            "fewer links; fewer libraries loaded",
        ),
    ]
