"""Measures at-most-once operations: memory of records, time of decisions, cost of inquiries."""

from __future__ import annotations

import time
import tracemalloc

from bench.capacity.slopes import Results, repeated
from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.operations import (
    Inquire,
    Inquiry,
    InquiryReply,
    Operation,
    Operations,
    Run,
)
from sycamorebay.coordination.ranges import EntryRange
from sycamorebay.protocol import frames
from sycamorebay.protocol.generated.peers.ttypes import Envelope
from sycamorebay.protocol.inquiries import encode_inquiry, encode_reply
from sycamorebay.settings import OperationSettings
from sycamorebay.state.operations import KeptAnswer, OperationKey, Phase, parse_key

RECORDS = (1_000, 5_000, 20_000)
ANSWER_BYTES = (0, 1_024, 4_096)
ANSWERED_RECORDS = 1_000
PEERS = (8, 24, 60)
INQUIRIES = 200
REPEATS = 3
FINGERPRINT = bytes(16)
NOW_S = 1_000_000.0
RANGE_S = 900.0


def measure(results: Results) -> None:
    """Measure keyed operations and add the results."""
    costs = [[_record_costs(int(n), 0) for n in RECORDS] for _ in range(REPEATS)]
    memory = [[cost[0] for cost in repeat] for repeat in costs]
    results.add_slope("operations.record", "B", "record without an answer", RECORDS, memory)
    spent = [[cost[1] for cost in repeat] for repeat in costs]
    results.add_slope("operations.decision", "s", "operation", RECORDS, spent)
    bodies = repeated(
        lambda size: _record_costs(ANSWERED_RECORDS, int(size))[0] / ANSWERED_RECORDS,
        ANSWER_BYTES,
        REPEATS,
    )
    results.add_slope("operations.answer", "B", "byte of a kept answer", ANSWER_BYTES, bodies)
    inquiries = repeated(lambda peers: _inquiry_s(int(peers)), PEERS, REPEATS)
    results.add_slope("operations.inquiry", "s", "peer asked", PEERS, inquiries)
    sent = [[_inquiry_bytes() * peers for peers in PEERS]]
    results.add_slope("operations.inquiry_bytes", "B", "peer asked", PEERS, sent)


def _member(number: int) -> Member:
    return Member(f"entry-{number:03}", 1_700_000_000_000_000_000, "10.0.0.1:7000", "region-0-a")


def _key_text(number: int) -> str:
    return f"{int(NOW_S * 1000):012x}70008{number:015x}"


def _key(number: int) -> OperationKey:
    key = parse_key(_key_text(number))
    assert key is not None
    return key


def _operations() -> Operations:
    operations = Operations(OperationSettings(), _member(999))
    operations.range.on_confirmed(NOW_S - RANGE_S, NOW_S + RANGE_S)
    return operations


def _record_costs(records: int, answer_bytes: int) -> tuple[float, float]:
    """Return bytes held by, and processor seconds spent on, some operations and their answers."""
    started = time.process_time()
    _fill(_operations(), records, answer_bytes)
    spent = time.process_time() - started
    tracemalloc.start()
    try:
        operations = _operations()
        _fill(operations, records, answer_bytes)
        return float(tracemalloc.get_traced_memory()[0]), spent
    finally:
        tracemalloc.stop()


def _fill(operations: Operations, records: int, answer_bytes: int) -> None:
    headers = (("content-type", "application/json"),)
    for number in range(records):
        decision = operations.on_operation(NOW_S, Operation(_key_text(number), FINGERPRINT, True))
        if not isinstance(decision, Run):
            raise RuntimeError(f"a first send got {decision}, expected a Run")
        answer = None
        if answer_bytes:
            answer = KeptAnswer(200, headers, bytes(answer_bytes), ("region-0-a",))
        operations.on_answer(NOW_S, decision.key, answer)


def _inquiry_s(peers: int) -> float:
    """Return the processor seconds of one inquiry's decisions at the entry that sends it."""
    operations = _operations()
    members = [_member(number) for number in range(peers)]
    ranges = [EntryRange(member, NOW_S - RANGE_S, NOW_S + RANGE_S) for member in members]
    denial = InquiryReply(Phase.TOMBSTONE)
    started = time.process_time()
    for number in range(INQUIRIES):
        inquire = operations.on_operation(NOW_S, Operation(_key_text(number), FINGERPRINT, False))
        if not isinstance(inquire, Inquire):
            raise RuntimeError(f"a later send got {inquire}, expected an Inquire")
        operations.on_ranges(NOW_S, inquire.key, inquire.attempt, ranges)
        for member in members:
            decision = operations.on_reply(NOW_S, inquire.key, inquire.attempt, member, denial)
        if not isinstance(decision, Run):
            raise RuntimeError(f"denials by all peers got {decision}, expected a Run")
    return (time.process_time() - started) / INQUIRIES


def _inquiry_bytes() -> float:
    """Return the bytes of one inquiry and its reply, with their frames."""
    inquiry = encode_inquiry(Inquiry(_key(1), 1, FINGERPRINT, _member(1)))
    reply = encode_reply(InquiryReply(Phase.TOMBSTONE), 1_700_000_000_000_000_000)
    frame_bytes = 2 * (frames.LENGTH_BYTES + frames.FRAME_MAC_BYTES)
    message_bytes = len(frames.encode(Envelope(1, inquiry))) + len(
        frames.encode(Envelope(-1, reply))
    )
    return float(message_bytes + frame_bytes)
