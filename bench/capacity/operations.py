"""Operations at most once: bytes per record and processor time per decision."""

from __future__ import annotations

import time
import tracemalloc
import uuid
from random import Random

from bench.capacity.slopes import Results, repeated
from sycamorebay.coordination.operations import KeptAnswer, Operation, Operations

SEED = 13
RECORDS = (1_000, 5_000, 20_000)
ANSWER_BYTES = (0, 1_024, 8_192)
REPEATS = 3
FINGERPRINT = bytes(16)


def measure(results: Results) -> None:
    """Measure the group."""
    both = [[_record(int(n), 200) for n in RECORDS] for _ in range(REPEATS)]
    memory = [[one[0] for one in repeat] for repeat in both]
    results.add_slope("operations.record", "B", "record with a 200 B answer", RECORDS, memory)
    spent = [[one[1] for one in repeat] for repeat in both]
    results.add_slope("operations.decision", "s", "operation", RECORDS, spent)
    bodies = repeated(lambda size: _record(1_000, int(size))[0] / 1_000, ANSWER_BYTES, REPEATS)
    results.add_slope("operations.answer", "B", "byte of a kept answer", ANSWER_BYTES, bodies)


def _record(records: int, answer_bytes: int) -> tuple[float, float]:
    """Return bytes held and processor time spent for some operations and their answers."""
    rng = Random(SEED)
    keys = [str(uuid.UUID(int=rng.getrandbits(128))) for _ in range(records)]
    spent = _run(keys, answer_bytes)
    tracemalloc.start()
    try:
        kept = Operations()
        _fill(kept, keys, answer_bytes)
        return float(tracemalloc.get_traced_memory()[0]), spent
    finally:
        tracemalloc.stop()


def _run(keys: list[str], answer_bytes: int) -> float:
    operations = Operations()
    started = time.process_time()
    _fill(operations, keys, answer_bytes)
    return time.process_time() - started


def _fill(operations: Operations, keys: list[str], answer_bytes: int) -> None:
    for key in keys:
        own_key = "".join(key)
        operations.on_operation(0.0, Operation(own_key, FINGERPRINT, True))
        headers = (("content-type", "application/json"),)
        operations.on_answer(0.0, own_key, KeptAnswer(200, headers, bytes(answer_bytes)))
