"""What one gateway counts, and its text for a metrics scrape."""

from __future__ import annotations

from bisect import bisect_left

from sycamorebay.outcomes import Refusal

_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0)


class Latencies:
    """A histogram of times in seconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(_BOUNDS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count one time."""
        self.counts[bisect_left(_BOUNDS_S, seconds)] += 1
        self.total += seconds


class Counters:
    """Counters of one gateway.

    Plain numbers, since they are counted often and read seldom; ``prometheus_client`` is imported
    only when they are read.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.sends = 0
        self.hedges = 0
        self.budget_empty = 0
        self.probes = 0
        self.store_calls = 0
        self.store_failures = 0
        self.peer_datagrams = 0
        self.undecodable = 0
        self.refusals_by_step: dict[tuple[str, str], int] = {}
        self.answered = Latencies()
        self.backend = Latencies()

    def on_refusal(self, refusal: Refusal) -> None:
        """Count a refusal."""
        key = (refusal.tag, refusal.step)
        self.refusals_by_step[key] = self.refusals_by_step.get(key, 0) + 1

    def text(self, log_lines_dropped: int, open_connections: int) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        from prometheus_client import CollectorRegistry, generate_latest

        from sycamorebay.transport.gateway.exposition import CountersCollector

        registry = CollectorRegistry()
        registry.register(CountersCollector(self, _BOUNDS_S, log_lines_dropped, open_connections))
        return generate_latest(registry)
