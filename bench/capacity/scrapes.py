"""Measures scrapes of the metrics: processor time and bytes, by the number of label sets."""

from __future__ import annotations

import time

from bench.capacity.slopes import Results, repeated
from sycamorebay.metrics import Metrics
from sycamorebay.outcomes import NotRun

LABEL_SETS = (0, 30, 300)
SCRAPES = 20
REPEATS = 5


def measure(results: Results) -> None:
    """Measure scrapes and add the results."""
    costs = repeated(_scrape_s, LABEL_SETS, REPEATS)
    results.add_slope("scrapes.time", "s", "label set", LABEL_SETS, costs)
    sizes = [[float(len(_metrics(int(n)).text())) for n in LABEL_SETS]]
    results.add_slope("scrapes.bytes", "B", "label set", LABEL_SETS, sizes)


def _metrics(label_sets: int) -> Metrics:
    metrics = Metrics()
    for number in range(label_sets):
        metrics.on_refusal(NotRun(f"step-{number}", "peer", "reason"))
    return metrics


def _scrape_s(label_sets: float) -> float:
    metrics = _metrics(int(label_sets))
    metrics.text()
    started = time.process_time()
    for _ in range(SCRAPES):
        metrics.text()
    return (time.process_time() - started) / SCRAPES
