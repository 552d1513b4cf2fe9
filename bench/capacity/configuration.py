"""Measures configuration: bytes in the store, time to apply a revision, size of the trail."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from bench.capacity.documents import document_text, proportional_services
from bench.capacity.slopes import Results, repeated
from sycamorebay.coordination.configuration import Configuration, Revision
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.protocol import frames
from sycamorebay.protocol.documents import compress_document
from sycamorebay.protocol.generated.peers.ttypes import Body, DocumentReply, Envelope
from sycamorebay.protocol.revisions import (
    MAX_TRAIL_ENTRIES,
    AuditEntry,
    RevisionRecord,
    decode_record,
    encode_record,
    encode_trail,
)
from sycamorebay.state.document import digest_of, load_document

INSTANCES = (30, 150, 630)
SERVICES = (20, 41, 82)
FIXED_SERVICES = 10
FIXED_INSTANCES = 630
TRAIL_ENTRIES = (10, 100, MAX_TRAIL_ENTRIES)
REPEATS = 5
COMMAND_REPEATS = 2
PER_INSTANCE = "instance with its share of services"


def measure(results: Results) -> None:
    """Measure the configuration and add the results."""
    texts = [[float(len(document_text(int(n), FIXED_SERVICES))) for n in INSTANCES]]
    results.add_slope("configuration.text", "B", "instance", INSTANCES, texts)
    values = [[_value_bytes(int(n), FIXED_SERVICES) for n in INSTANCES]]
    results.add_slope("configuration.value", "B", "instance", INSTANCES, values)
    services = [[_value_bytes(FIXED_INSTANCES, int(n)) for n in SERVICES]]
    results.add_slope("configuration.value_services", "B", "service", SERVICES, services)
    fetches = [[_fetch_bytes(int(n)) for n in INSTANCES]]
    results.add_slope("configuration.fetch", "B", PER_INSTANCE, INSTANCES, fetches)
    trail = [[_trail_bytes(int(n)) for n in TRAIL_ENTRIES]]
    results.add_slope("configuration.trail", "B", "change kept", TRAIL_ENTRIES, trail)
    for name, work in (("decode", _decode_s), ("check", _check_s), ("swap", _swap_s)):
        costs = repeated(work, INSTANCES, REPEATS)
        results.add_slope(f"configuration.{name}", "s", PER_INSTANCE, INSTANCES, costs)
    usage = [[_command_usage(int(n)) for n in INSTANCES] for _ in range(COMMAND_REPEATS)]
    times = [[cost[0] for cost in repeat] for repeat in usage]
    results.add_slope("configuration.command", "s", PER_INSTANCE, INSTANCES, times)
    memory = [[cost[1] for cost in repeat] for repeat in usage]
    results.add_slope("configuration.command_memory", "B", PER_INSTANCE, INSTANCES, memory)


def _value(instances: int, services: int) -> bytes:
    revision = Revision(1_000_000, document_text(instances, services))
    return encode_record(RevisionRecord(revision, "0" * 32))


def _value_bytes(instances: int, services: int) -> float:
    return float(len(_value(instances, services)))


def _fetch_bytes(instances: int) -> float:
    """Return the bytes of the message in which a peer sends its document."""
    packed = compress_document(document_text(instances, proportional_services(instances)))
    body = Body(document_reply=DocumentReply(1_000_000, packed, True))
    return float(len(frames.encode(Envelope(-1, body))))


def _trail_bytes(entries: int) -> float:
    entry = AuditEntry(
        revision=1_000_000,
        from_revision=999_999,
        digest=digest_of(b""),
        author="on-call.operator",
        reason="two more instances for lot-desk before the evening's bids",
        at="2030-01-01T00:00:00+00:00",
        action="promote",
        nonce="0" * 32,
    )
    return float(len(encode_trail((entry,) * entries)))


def _decode_s(instances: float) -> float:
    value = _value(int(instances), proportional_services(int(instances)))
    started = time.process_time()
    decode_record(value)
    return time.process_time() - started


def _check_s(instances: float) -> float:
    text = document_text(int(instances), proportional_services(int(instances)))
    started = time.process_time()
    Configuration().on_revision(0.0, Revision(1, text))
    return time.process_time() - started


def _swap_s(instances: float) -> float:
    document = load_document(document_text(int(instances), proportional_services(int(instances))))
    dispatcher = Dispatcher(Random(1))
    dispatcher.on_document(0.0, document)
    started = time.process_time()
    dispatcher.on_document(1.0, document)
    return time.process_time() - started


def _command_usage(instances: int) -> tuple[float, float]:
    """Return the processor time in seconds and the peak memory in bytes of one ``config check``.

    Raises
    ------
    RuntimeError
        If the command fails.
    """
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "document.json"
        path.write_bytes(document_text(instances, proportional_services(instances)))
        command = [sys.executable, "-m", "sycamorebay", "config", "check", str(path)]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"config check exited with {process.returncode}, expected 0")
    return usage.ru_utime + usage.ru_stime, usage.ru_maxrss * 1024.0
