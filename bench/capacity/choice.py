"""Measures the choice of a backend server: processor time, and memory of the backend table."""

from __future__ import annotations

import time
import tracemalloc
from random import Random

from bench.capacity.documents import document, document_text, host
from bench.capacity.slopes import Results, repeated
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.messages import Answer, Request, Send
from sycamorebay.state.document import load_document

SEED = 11
CANDIDATES = (10, 30, 100, 630)
INSTANCES = (30, 150, 630)
SERVICES = (20, 41, 82)
FIXED_SERVICES = 10
FIXED_INSTANCES = 630
WARM_UP_DECISIONS = 200
DECISIONS = 2_000
REPEATS = 3


def measure(results: Results) -> None:
    """Measure the choice of a backend server and add the results."""
    costs = repeated(_decision_s, CANDIDATES, REPEATS)
    results.add_slope("choice.decision", "s", "candidate", CANDIDATES, costs)
    by_instance = repeated(lambda n: _table_bytes(int(n), FIXED_SERVICES), INSTANCES, REPEATS)
    results.add_slope("choice.table", "B", "instance", INSTANCES, by_instance)
    by_service = repeated(lambda n: _table_bytes(FIXED_INSTANCES, int(n)), SERVICES, REPEATS)
    results.add_slope("choice.services", "B", "service", SERVICES, by_service)


def _decision_s(candidates: float) -> float:
    """Return the processor time of one request's decisions, from arrival to the slot's release."""
    dispatcher = Dispatcher(Random(SEED))
    dispatcher.on_document(0.0, document(int(candidates), 1))
    _run_requests(dispatcher, 0, WARM_UP_DECISIONS)
    started = time.process_time()
    _run_requests(dispatcher, WARM_UP_DECISIONS, DECISIONS)
    return (time.process_time() - started) / DECISIONS


def _run_requests(dispatcher: Dispatcher, first: int, count: int) -> None:
    for number in range(first, first + count):
        now = number * 0.001
        for action in dispatcher.on_request(now, Request(number, host(0), "GET", "/prices/7")):
            if isinstance(action, Send):
                dispatcher.on_answer(now, action.attempt_id, Answer(200))
                dispatcher.on_end(now, action.attempt_id)


def _table_bytes(instances: int, services: int) -> float:
    """Return the bytes held by the document in force and the state of its backend servers."""
    text = document_text(instances, services)
    # Loading the document before tracing leaves out what only the first load allocates.
    load_document(text)
    tracemalloc.start()
    try:
        dispatcher = Dispatcher(Random(SEED))
        dispatcher.on_document(0.0, load_document(text))
        return float(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()
