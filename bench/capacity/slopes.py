"""Slopes by least squares over repeated measurements, and the file that keeps them."""

from __future__ import annotations

import json
import os
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import attrs
import cattrs

RESULTS_PATH = Path(__file__).resolve().parent.parent / "results" / "capacity.json"
MIN_SIZES = 3


@attrs.frozen
class Slope:
    """How a cost grows with a size.

    Attributes
    ----------
    name : str
        Group and quantity, such as ``choice.decision``.
    unit : str
        Unit of the cost.
    per : str
        What the size counts.
    sizes : tuple of float
        Sizes measured.
    costs : tuple of tuple of float
        For each repeat, one cost for each size.
    command : str
        What measures it again.
    load_average : float
        The machine's load over a minute at the end of the measurement.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    costs: tuple[tuple[float, ...], ...]
    command: str
    load_average: float

    def slopes(self) -> list[float]:
        """Return the slope of each repeat."""
        return [_least_squares(self.sizes, costs)[0] for costs in self.costs]

    def slope(self) -> float:
        """Return the median slope over repeats."""
        return statistics.median(self.slopes())

    def base(self) -> float:
        """Return the median cost at size zero."""
        return statistics.median(_least_squares(self.sizes, costs)[1] for costs in self.costs)

    def at(self, size: float) -> float:
        """Return the cost at a size: base + slope x size.

        A slope below zero is noise: the median of all costs is returned instead.
        """
        slope = self.slope()
        if slope < 0:
            return statistics.median(cost for costs in self.costs for cost in costs)
        return self.base() + slope * size

    def cost_at(self, size: float) -> float:
        """Return the median cost measured at one of the sizes."""
        place = self.sizes.index(size)
        return statistics.median(costs[place] for costs in self.costs)


@attrs.frozen
class Figure:
    """One quantity measured several times.

    Attributes
    ----------
    name, unit : str
        What it is.
    values : tuple of float
        One a repeat.
    command : str
        What measures it again.
    load_average : float
        The machine's load over a minute at the end of the measurement.
    """

    name: str
    unit: str
    values: tuple[float, ...]
    command: str
    load_average: float

    def median(self) -> float:
        """Return the median over repeats."""
        return statistics.median(self.values)


@attrs.frozen
class Run:
    """One group's measuring run: the commit measured and how long it took in seconds."""

    commit: str
    seconds: float


@attrs.define
class Results:
    """Everything that was measured."""

    slopes_by_name: dict[str, Slope] = attrs.field(factory=dict)
    figures_by_name: dict[str, Figure] = attrs.field(factory=dict)
    runs_by_group: dict[str, Run] = attrs.field(factory=dict)

    def add_slope(
        self,
        name: str,
        unit: str,
        per: str,
        sizes: Sequence[float],
        costs: Sequence[Sequence[float]],
    ) -> None:
        """Keep a slope.

        Raises
        ------
        ValueError
            Where there are fewer than `MIN_SIZES` sizes.
        """
        if len(sizes) < MIN_SIZES:
            raise ValueError(f"{name}: {len(sizes)} sizes, at least {MIN_SIZES} are needed")
        kept = tuple(tuple(_rounded(cost) for cost in repeat) for repeat in costs)
        slope = Slope(name, unit, per, tuple(sizes), kept, _command(name), _load_average())
        self.slopes_by_name[name] = slope

    def add_figure(self, name: str, unit: str, values: Sequence[float]) -> None:
        """Keep a figure."""
        kept = tuple(_rounded(value) for value in values)
        self.figures_by_name[name] = Figure(name, unit, kept, _command(name), _load_average())

    def slope(self, name: str) -> Slope:
        """Return a slope by its name."""
        return self.slopes_by_name[name]

    def figure(self, name: str) -> Figure:
        """Return a figure by its name."""
        return self.figures_by_name[name]

    def forget(self, group: str) -> None:
        """Drop what an earlier run of a group left."""
        prefix = group + "."
        for kept in (self.slopes_by_name, self.figures_by_name):
            for name in [name for name in kept if name.startswith(prefix)]:
                del kept[name]


def load_results(path: Path = RESULTS_PATH) -> Results:
    """Return the results in a file; none where it does not exist."""
    if not path.exists():
        return Results()
    return cattrs.structure(json.loads(path.read_text()), Results)


def save_results(results: Results, path: Path = RESULTS_PATH) -> None:
    """Write results, in the order of their names."""
    data: dict[str, Any] = cattrs.unstructure(results)
    path.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


def repeated(measure: Callable[[float], float], sizes: Sequence[float], repeats: int) -> list[Any]:
    """Measure every size in each of several rounds, so that drift falls on all sizes alike."""
    return [[measure(size) for size in sizes] for _ in range(repeats)]


def _least_squares(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    fitted = statistics.linear_regression(sizes, costs)
    return fitted.slope, fitted.intercept


def _command(name: str) -> str:
    return f"python -m bench.capacity {name.partition('.')[0]}"


def _load_average() -> float:
    return round(os.getloadavg()[0], 1)


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")
