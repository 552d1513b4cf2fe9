"""Counters and histograms for one event loop: no locks, read only when metrics are asked for."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from itertools import accumulate

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily
from prometheus_client.registry import Collector


class UnlockedCounter(Collector):
    """A counter for one thread.

    Parameters
    ----------
    name, documentation : str
        As of a metric of ``prometheus_client``.
    registry : CollectorRegistry
        Where it is registered.
    """

    def __init__(self, name: str, documentation: str, registry: CollectorRegistry) -> None:
        self._name = name
        self._documentation = documentation
        self._value = 0
        registry.register(self)

    def inc(self) -> None:
        """Count one."""
        self._value += 1

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Return the metric as it stands."""
        yield CounterMetricFamily(self._name, self._documentation, self._value)


class UnlockedHistogram(Collector):
    """A histogram for one thread.

    Parameters
    ----------
    name, documentation : str
        As of a metric of ``prometheus_client``.
    bounds : sequence of float
        Upper bounds of the buckets, ascending, without infinity.
    registry : CollectorRegistry
        Where it is registered.
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
        """Count one value."""
        self._counts[bisect_left(self._bounds, value)] += 1
        self._sum += value

    def collect(self) -> Iterable[HistogramMetricFamily]:
        """Return the metric as it stands."""
        bounds = [str(bound) for bound in self._bounds] + ["+Inf"]
        buckets = list(zip(bounds, accumulate(self._counts), strict=True))
        yield HistogramMetricFamily(self._name, self._documentation, buckets, self._sum)
