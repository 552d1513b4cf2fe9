"""Metrics without locks, for values that only one event loop changes."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from itertools import accumulate

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily
from prometheus_client.registry import Collector


class UnlockedCounter(Collector):
    """Counter that only one thread may use.

    Parameters
    ----------
    name, documentation : str
        Name and help text, as for a metric of ``prometheus_client``.
    registry : CollectorRegistry
        Registry to which the counter is added.
    """

    def __init__(self, name: str, documentation: str, registry: CollectorRegistry) -> None:
        self._name = name
        self._documentation = documentation
        self._value = 0
        registry.register(self)

    def inc(self) -> None:
        """Increment the counter by one."""
        self._value += 1

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Yield the counter's current value; called when the metrics are read."""
        yield CounterMetricFamily(self._name, self._documentation, self._value)


class UnlockedHistogram(Collector):
    """Histogram that only one thread may use.

    Parameters
    ----------
    name, documentation : str
        Name and help text, as for a metric of ``prometheus_client``.
    bounds : sequence of float
        Inclusive upper bounds of the buckets, ascending, without infinity.
    registry : CollectorRegistry
        Registry to which the histogram is added.
    """

    def __init__(
        self, name: str, documentation: str, bounds: Sequence[float], registry: CollectorRegistry
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._bounds = tuple(bounds)
        self._counts = [0] * (len(self._bounds) + 1)
        self._sum = 0.0
        registry.register(self)

    def observe(self, value: float) -> None:
        """Add a value to its bucket and to the sum."""
        self._counts[bisect_left(self._bounds, value)] += 1
        self._sum += value

    def collect(self) -> Iterable[HistogramMetricFamily]:
        """Yield the current counts and sum; called when the metrics are read."""
        bounds = [str(bound) for bound in self._bounds] + ["+Inf"]
        buckets = list(zip(bounds, accumulate(self._counts), strict=True))
        yield HistogramMetricFamily(self._name, self._documentation, buckets, self._sum)
