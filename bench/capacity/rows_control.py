"""Rows of one entry's control plane: probes, operations, configuration, membership, metrics."""

from __future__ import annotations

import math

import attrs

from bench.capacity.rows import BASED_ON_ASSUMPTIONS, COMPUTED, MEASURED, Row
from bench.capacity.rows_calls import (
    BYTES_PER_MB,
    MS_PER_S,
    US_PER_S,
    calls_per_entry,
    entries_needed,
)
from bench.capacity.size import ASSUMED, DESIGN, PLATFORM, SECONDS_PER_DAY
from bench.capacity.slopes import Results
from sycamorebay.coordination.membership import DEAD_AFTER_ROUNDS
from sycamorebay.protocol.revisions import MAX_TRAIL_ENTRIES
from sycamorebay.settings import OperationSettings, PeerSettings, Settings
from sycamorebay.state.document import Measuring
from sycamorebay.transport.operations.ranges import MIN_READ_INTERVAL_S

PROBES = "entry: probes"
OPERATIONS = "entry: operations at most once"
CONFIGURATION = "entry: configuration"
MEMBERSHIP = "entry: membership and peers"
METRICS = "entry: metrics"
CONTROL = "entry: all control"
# Growth of a value by its encoding in the watch's answers.
BASE64_RATIO = 4 / 3
HOURS_PER_DAY = 24
# Time that the audit trail in the store should reach back.
REQUIRED_TRAIL_HOURS = 24.0
LABEL_SETS = 30
ANSWER_BYTES = 1_024
FAN_OUT: int = attrs.fields_dict(PeerSettings)["fan_out"].default
HEARTBEAT_S: float = attrs.fields_dict(Settings)["heartbeat_s"].default


def rows(results: Results) -> list[Row]:
    """Return the rows of the control plane."""
    return [
        *_probes(results),
        *_operations(results),
        *_configuration(results),
        *_membership(results),
        *_metrics(results),
        *_control(results),
    ]


def value_bytes(results: Results) -> float:
    """Return the bytes of the document's value in the store at the design size."""
    return results.slope("configuration.value_services").cost_at(DESIGN.services)


def _watch_bytes_per_s(results: Results) -> float:
    """Return the mean bytes a second that the document's watch sends to one entry."""
    return value_bytes(results) * BASE64_RATIO * DESIGN.changes_per_day / SECONDS_PER_DAY


def _change_s(results: Results) -> float:
    """Return the processor seconds of one change at one entry, without the entry's idle costs."""
    return results.slope("revisions.cpu").slope() * DESIGN.instances


def _blocking_s(results: Results) -> float:
    """Return the seconds for which one change blocks the calls of an entry."""
    parts = ("decode", "check", "swap")
    return sum(results.slope(f"configuration.{part}").cost_at(DESIGN.instances) for part in parts)


def _probes(results: Results) -> list[Row]:
    per_entry = Measuring().probes_per_entry
    rate_each = per_entry / DESIGN.instances
    rate_per_server = entries_needed(results) * min(
        Measuring().probes_per_backend_server, rate_each
    )
    calls = DESIGN.calls_per_s / DESIGN.instances
    probe_s = results.slope("probes.time").slope()
    return [
        Row(
            PROBES,
            "messages",
            "probes that one backend server gets from all entries",
            rate_per_server,
            "probes/s",
            COMPUTED,
            f"entries x {per_entry:g} probes/s, the document's default, / 630; bound: a tenth of"
            f" the {calls:.0f} calls/s that it gets at the crest",
            "coordination.probe",
            calls / 10,
            "a budget for the whole fleet, divided by the entries alive",
        ),
        Row(
            PROBES,
            "state",
            "age of a report at one entry, were probes its only source",
            1 / rate_each,
            "s",
            COMPUTED,
            f"630 / {per_entry:g} probes/s",
            "coordination.probe",
        ),
        Row(
            PROBES,
            "processor",
            "one probe",
            probe_s * MS_PER_S,
            "ms",
            MEASURED,
            "`probes.time`",
            "transport.forwarding.probing",
        ),
        Row(
            PROBES,
            "processor",
            "share of a core for probes, the whole budget used",
            probe_s * per_entry * 100,
            "% of a core",
            COMPUTED,
            f"`probes.time` x {per_entry:g}",
            "transport.forwarding.probing",
            DESIGN.control_core_share * 100,
            "a smaller budget, or cheaper probes over UDP",
        ),
    ]


def _operations(results: Results) -> list[Row]:
    entries = entries_needed(results)
    settings = OperationSettings()
    keyed = calls_per_entry(results) * ASSUMED.keyed_share
    resent = keyed * ASSUMED.resend_share
    kept_answers = settings.max_kept_bytes / ANSWER_BYTES
    inquiry = results.slope("operations.inquiry").predict(entries - 1)
    return [
        Row(
            OPERATIONS,
            "messages",
            "keyed operations at one entry",
            keyed,
            "operations/s",
            BASED_ON_ASSUMPTIONS,
            "calls at one entry x 5 % keyed",
            "coordination.operations",
        ),
        Row(
            OPERATIONS,
            "processor",
            "decisions on one operation",
            results.slope("operations.decision").slope() * US_PER_S,
            "us",
            MEASURED,
            "`operations.decision`",
            "coordination.operations",
        ),
        Row(
            OPERATIONS,
            "state",
            "records of keys young enough to be sent again",
            keyed * settings.max_key_age_s,
            "records",
            BASED_ON_ASSUMPTIONS,
            f"operations at one entry x {settings.max_key_age_s:g} s; above the bound later sends"
            " of the oldest keys are answered `unknown`",
            "state.operations",
            float(settings.max_records),
            "a shorter age of keys, or more records",
        ),
        Row(
            OPERATIONS,
            "state",
            "time that an answer of 1 KB is kept to be given again",
            kept_answers / keyed / 60,
            "min",
            BASED_ON_ASSUMPTIONS,
            f"{settings.max_kept_bytes / BYTES_PER_MB:g} MB of answers / 1 KB"
            " / operations at one entry",
            "state.operations",
        ),
        Row(
            OPERATIONS,
            "memory",
            "records and kept answers, both full",
            _records_bytes(results) / BYTES_PER_MB,
            "MB",
            COMPUTED,
            f"{settings.max_records:,} x `operations.record`"
            f" + {settings.max_kept_bytes / BYTES_PER_MB:g} MB",
            "state.operations",
        ),
        Row(
            OPERATIONS,
            "messages",
            "peers asked for one later send",
            float(entries - 1),
            "peers",
            COMPUTED,
            "entries - 1, each with a question and an answer",
            "transport.operations.inquire",
        ),
        Row(
            OPERATIONS,
            "messages",
            "bytes of inquiries at one entry, both directions",
            2 * resent * results.slope("operations.inquiry_bytes").predict(entries - 1),
            "B/s",
            BASED_ON_ASSUMPTIONS,
            "2 x operations at one entry x 1 % sent again x `operations.inquiry_bytes`",
            "transport.operations.inquire",
            DESIGN.control_bytes_per_s,
            "a home for each key, so that one peer is asked",
        ),
        Row(
            OPERATIONS,
            "processor",
            "decisions on one inquiry where it is asked",
            inquiry * US_PER_S,
            "us",
            COMPUTED,
            "`operations.inquiry` at entries - 1",
            "coordination.operations",
        ),
        Row(
            OPERATIONS,
            "messages",
            "reads of all ranges at the platform's service, whole fleet",
            entries * min(resent, 1 / MIN_READ_INTERVAL_S),
            "reads/s",
            BASED_ON_ASSUMPTIONS,
            "one for each later send, at most 5 a second for each entry",
            "transport.operations.ranges",
            PLATFORM.reads_per_s,
            "ranges that ride on heartbeats",
        ),
    ]


def _configuration(results: Results) -> list[Row]:
    watch_bytes_per_s = _watch_bytes_per_s(results)
    change_s = _change_s(results)
    trail_hours = MAX_TRAIL_ENTRIES / DESIGN.changes_per_day * HOURS_PER_DAY
    trail = results.slope("configuration.trail").cost_at(MAX_TRAIL_ENTRIES)
    return [
        Row(
            CONFIGURATION,
            "state",
            "value of the document in the store",
            value_bytes(results) / BYTES_PER_MB,
            "MB",
            MEASURED,
            "`configuration.value_services` at 630 instances in 82 services, compressed",
            "protocol.revisions",
            PLATFORM.value_bytes / BYTES_PER_MB,
        ),
        Row(
            CONFIGURATION,
            "state",
            "value of the audit trail in the store, full",
            trail / BYTES_PER_MB,
            "MB",
            MEASURED,
            f"`configuration.trail` at {MAX_TRAIL_ENTRIES} changes, reasons of 57 characters",
            "protocol.revisions",
            PLATFORM.value_bytes / BYTES_PER_MB,
        ),
        Row(
            CONFIGURATION,
            "state",
            "hours of the last day that the audit trail in the store leaves out",
            max(0.0, REQUIRED_TRAIL_HOURS - trail_hours),
            "h",
            COMPUTED,
            f"{MAX_TRAIL_ENTRIES} entries reach back {trail_hours:.1f} h at 2,900 changes a"
            " day; bound: none, set here",
            "transport.configuration.admin",
            0.0,
            "a key for each few hundred entries; until then the log of the command line keeps them",
        ),
        Row(
            CONFIGURATION,
            "messages",
            "bytes that the watch brings, over a day",
            watch_bytes_per_s,
            "B/s",
            COMPUTED,
            "value x 4/3 (base64) x 2,900 a day",
            "transport.configuration.platform",
            DESIGN.control_bytes_per_s,
            "differences in place of whole documents",
        ),
        Row(
            CONFIGURATION,
            "messages",
            "bytes that the watch brings in a minute of 20 changes",
            value_bytes(results) * BASE64_RATIO * ASSUMED.changes_per_burst_minute / 60,
            "B/s",
            BASED_ON_ASSUMPTIONS,
            "value x 4/3 x 20 a minute",
            "transport.configuration.platform",
            DESIGN.control_bytes_per_s,
            "watch a small key with number and digest; fetch the newest, once in some seconds",
        ),
        Row(
            CONFIGURATION,
            "messages",
            "bytes of one document fetched from a peer, by an entry that is behind or starts",
            results.slope("configuration.fetch").cost_at(DESIGN.instances),
            "B",
            MEASURED,
            "`configuration.fetch` at 630 instances in 82 services",
            "transport.peering.heartbeats",
        ),
        Row(
            CONFIGURATION,
            "processor",
            "time that one change takes, during which no call moves",
            _blocking_s(results) * MS_PER_S,
            "ms",
            MEASURED,
            "`configuration.decode`, `.check` and `.swap` at 630; bound: the 0.62 ms of the calls"
            " that wait meanwhile",
            "coordination.configuration",
            DESIGN.added_bound_s * MS_PER_S,
            "check differences only, or check in slices or in a thread; operators check it before",
        ),
        Row(
            CONFIGURATION,
            "processor",
            "share of a core for changes, over a day",
            change_s * DESIGN.changes_per_day / SECONDS_PER_DAY * 100,
            "% of a core",
            COMPUTED,
            "`revisions.cpu` x 630 x 2,900 a day",
            "coordination.configuration",
            DESIGN.control_core_share * 100,
        ),
        Row(
            CONFIGURATION,
            "messages",
            "calls that wait past 0.62 ms for a change, in a minute of 20",
            _blocking_s(results) * ASSUMED.changes_per_burst_minute / 60 * 100,
            "% of calls",
            BASED_ON_ASSUMPTIONS,
            "time of a change x 20 / 60 s",
            "coordination.configuration",
            (1 - DESIGN.added_share) * 100,
            "as above",
        ),
        Row(
            CONFIGURATION,
            "messages",
            "time from acceptance until in force at 12 entries, all up, design size",
            results.slope("revisions.in_force").cost_at(12),
            "s",
            MEASURED,
            "`revisions.in_force`",
            "transport.entry.daemon",
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
            results.slope("members.peer_bytes").predict(entries),
            "B/s",
            COMPUTED,
            "`members.peer_bytes` at the entries needed",
            "transport.peering.peers",
            DESIGN.control_bytes_per_s,
            "a bounded number of peers for each heartbeat",
        ),
        Row(
            MEMBERSHIP,
            "processor",
            "an entry without callers or probes: heartbeats, leases, watch",
            results.slope("members.core_share").predict(entries) * 100,
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
            "transport.peering.peers",
        ),
        Row(
            MEMBERSHIP,
            "state",
            "time until peers alone miss an entry that vanished",
            DEAD_AFTER_ROUNDS * _round_s(entries),
            "s",
            COMPUTED,
            f"{DEAD_AFTER_ROUNDS} rounds of (entries - 1) / {FAN_OUT} heartbeats; the platform's"
            " service tells it when the lease of 10 s lapses",
            "coordination.membership",
        ),
    ]


def _round_s(entries: int) -> float:
    return math.ceil((entries - 1) / FAN_OUT) * HEARTBEAT_S


def _metrics(results: Results) -> list[Row]:
    time_s = results.slope("scrapes.time").predict(LABEL_SETS)
    scrape_bytes = results.slope("scrapes.bytes").predict(LABEL_SETS)
    return [
        Row(
            METRICS,
            "processor",
            "time of one scrape, during which no call moves",
            time_s * MS_PER_S,
            "ms",
            BASED_ON_ASSUMPTIONS,
            f"`scrapes.time` with {LABEL_SETS} label sets",
            "metrics",
        ),
        Row(
            METRICS,
            "messages",
            "bytes of scrapes",
            scrape_bytes / ASSUMED.scrape_interval_s,
            "B/s",
            BASED_ON_ASSUMPTIONS,
            f"`scrapes.bytes` with {LABEL_SETS} label sets, every 15 s",
            "metrics",
        ),
    ]


def _control(results: Results) -> list[Row]:
    entries = entries_needed(results)
    scrape = results.slope("scrapes.time").predict(LABEL_SETS) / ASSUMED.scrape_interval_s
    changes = _change_s(results) * DESIGN.changes_per_day / SECONDS_PER_DAY
    probes = results.slope("probes.time").slope() * Measuring().probes_per_entry
    core_share = results.slope("members.core_share").predict(entries) + scrape + changes + probes
    scrape_bytes_per_s = (
        results.slope("scrapes.bytes").predict(LABEL_SETS) / ASSUMED.scrape_interval_s
    )
    bytes_per_s = (
        results.slope("members.peer_bytes").predict(entries)
        + _watch_bytes_per_s(results)
        + scrape_bytes_per_s
    )
    table = results.slope("choice.services").predict(DESIGN.services)
    resident_bytes = results.slope("members.memory").predict(entries) + table
    return [
        Row(
            CONTROL,
            "processor",
            "membership, changes, probes and scrapes",
            core_share * 100,
            "% of a core",
            BASED_ON_ASSUMPTIONS,
            "sum of the rows above",
            "transport.entry.daemon",
            DESIGN.control_core_share * 100,
            "the rows above",
        ),
        Row(
            CONTROL,
            "messages",
            "peers, watch over a day, scrapes",
            bytes_per_s,
            "B/s",
            BASED_ON_ASSUMPTIONS,
            "sum of the rows above",
            "transport.entry.daemon",
            DESIGN.control_bytes_per_s,
            "the rows above",
        ),
        Row(
            CONTROL,
            "memory",
            "resident without callers, with its peers and the document",
            resident_bytes / BYTES_PER_MB,
            "MB",
            COMPUTED,
            "`members.memory` at the entries needed + `choice.services` at 82",
            "transport.entry.daemon",
            DESIGN.control_bytes / BYTES_PER_MB,
            "fewer links; fewer libraries loaded",
        ),
        Row(
            CONTROL,
            "memory",
            "the same with records and kept answers of operations full",
            (resident_bytes + _records_bytes(results)) / BYTES_PER_MB,
            "MB",
            COMPUTED,
            "the row above + records and kept answers",
            "state.operations",
            DESIGN.control_bytes / BYTES_PER_MB,
            "fewer or smaller records: a table by bytes in place of objects; smaller answers kept",
        ),
    ]


def _records_bytes(results: Results) -> float:
    settings = OperationSettings()
    return (
        settings.max_records * results.slope("operations.record").slope() + settings.max_kept_bytes
    )
