"""Time of the dispatch decisions for one call: ``python -m bench.decision_cost``."""

from __future__ import annotations

import gc
import json
import os
import time
from random import Random
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from bench.fleet import service
from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.messages import Answer, Request, Send
from sycamorebay.state.backends import LoadReport
from sycamorebay.state.document import load_document

DOMAINS = tuple(f"domain-{n}" for n in range(7))
ROUTES: list[dict[str, Any]] = [{"methods": ["GET"], "path": "/", "idempotent": True}]
ENTRIES = 13
MAX_IN_FLIGHT = 50
# Services and backend servers of each measured document.
SIZES = ((1, 30), (82, 630), (1, 630))


def build_dispatcher(services: int, servers: int) -> Dispatcher:
    """Return a dispatcher for a document with servers spread evenly over services."""
    rows = []
    for index in range(services):
        number = servers // services + (index < servers % services)
        rows.append(service(f"service-{index}", number, 3, DOMAINS, ROUTES))
    for port, server in enumerate(s for row in rows for s in row["backend_servers"]):
        server["address"] = f"127.0.0.1:{1000 + port}"
    dispatcher = Dispatcher(Random(1))
    dispatcher.on_document(0.0, load_document(json.dumps({"format": 1, "services": rows}).encode()))
    entries = [Entry(f"entry-{n}", DOMAINS[n % len(DOMAINS)]) for n in range(ENTRIES)]
    dispatcher.on_entries(0.0, entries[0], entries)
    return dispatcher


def measure(dispatcher: Dispatcher, services: int, calls: int) -> HdrHistogram:
    """Return the time of the three events of each call: request, answer and end, in nanoseconds."""
    histogram = HdrHistogram(100, 1_000_000_000, 3)
    open_sends: list[Send] = []
    report = LoadReport(1, 0)
    now = 0.0
    for number in range(calls):
        now += 0.001
        request = Request(number, f"service-{number % services}.test", "GET", "/prices")
        started_ns = time.perf_counter_ns()
        (action,) = dispatcher.on_request(now, request)
        spent_ns = time.perf_counter_ns() - started_ns
        if isinstance(action, Send):
            open_sends.append(action)
        if len(open_sends) > min(MAX_IN_FLIGHT, services * 4):
            send = open_sends.pop(0)
            started_ns = time.perf_counter_ns()
            dispatcher.on_answer(now, send.attempt_id, Answer(200, report=report))
            dispatcher.on_end(now, send.attempt_id)
            spent_ns += time.perf_counter_ns() - started_ns
        histogram.record_value(max(100, spent_ns))
    return histogram


@click.command()
@click.option("--calls", default=50_000)
def main(calls: int) -> None:
    """Print quantiles of the decision time of one call for each size of document."""
    gc.freeze()
    for services, servers in SIZES:
        histogram = measure(build_dispatcher(services, servers), services, calls)
        quantiles = "  ".join(
            f"p{q} {histogram.get_value_at_percentile(q) / 1000:.1f} us" for q in (50, 99, 99.9)
        )
        print(f"{servers:>4} servers in {services:>2} services: {quantiles}")
    print(f"machine load {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
