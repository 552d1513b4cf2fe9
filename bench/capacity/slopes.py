"""Linear regression of costs over sizes, and the file of results."""

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
# Two sizes always fit a line exactly, so they can't show that a cost isn't linear.
MIN_SIZES = 3


@attrs.frozen
class Slope:
    """Growth of a cost with a size, fitted by least squares to repeated measurements.

    The fields are written to the results under their names.

    Attributes
    ----------
    name : str
        Group and quantity, separated by a dot, such as ``choice.decision``.
    unit : str
        Unit of the cost.
    per : str
        Unit of the size.
    sizes : tuple of float
        Sizes measured.
    costs : tuple of tuple of float
        One cost for each size, for each repeat.
    command : str
        Command that repeats the measurement.
    load_average : float
        Load average of the machine over one minute at the end of the measurement.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    costs: tuple[tuple[float, ...], ...]
    command: str
    load_average: float

    def slopes(self) -> list[float]:
        """Return the slope of each repeat, in `unit` for each unit of the size."""
        return [_least_squares(self.sizes, costs)[0] for costs in self.costs]

    def slope(self) -> float:
        """Return the median of the slopes of all repeats."""
        return statistics.median(self.slopes())

    def intercept(self) -> float:
        """Return the median of the fitted costs at size zero."""
        return statistics.median(_least_squares(self.sizes, costs)[1] for costs in self.costs)

    def predict(self, size: float) -> float:
        """Return the extrapolated cost at a size: intercept + slope x size.

        No cost falls with its size, so a negative slope is noise; the median of all measured costs
        is returned then.
        """
        slope = self.slope()
        if slope < 0:
            return statistics.median(cost for costs in self.costs for cost in costs)
        return self.intercept() + slope * size

    def cost_at(self, size: float) -> float:
        """Return the median of the costs measured at one of the sizes.

        Raises
        ------
        ValueError
            If the size was not measured.
        """
        index = self.sizes.index(size)
        return statistics.median(costs[index] for costs in self.costs)


@attrs.frozen
class Figure:
    """A quantity that was measured several times.

    The fields are written to the results under their names.

    Attributes
    ----------
    name : str
        Group and quantity, separated by a dot.
    unit : str
        Unit of the values.
    values : tuple of float
        One value for each repeat.
    command : str
        Command that repeats the measurement.
    load_average : float
        Load average of the machine over one minute at the end of the measurement.
    """

    name: str
    unit: str
    values: tuple[float, ...]
    command: str
    load_average: float

    def median(self) -> float:
        """Return the median of all repeats."""
        return statistics.median(self.values)


@attrs.frozen
class Run:
    """A measuring run of one group.

    Attributes
    ----------
    commit : str
        Commit that was measured.
    seconds : float
        Duration of the run, in seconds.
    """

    commit: str
    seconds: float


@attrs.define
class Results:
    """Results of all groups.

    Attributes
    ----------
    slopes_by_name : dict of str to Slope
        Slopes by group and quantity.
    figures_by_name : dict of str to Figure
        Figures by group and quantity.
    runs_by_group : dict of str to Run
        Last measuring run of each group.
    """

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
        """Add a slope, rounded to four digits, or replace the one of this name.

        Raises
        ------
        ValueError
            If there are fewer than `MIN_SIZES` sizes.
        """
        if len(sizes) < MIN_SIZES:
            raise ValueError(f"{name}: got {len(sizes)} sizes, expected at least {MIN_SIZES}")
        rounded = tuple(tuple(_round(cost) for cost in repeat) for repeat in costs)
        slope = Slope(name, unit, per, tuple(sizes), rounded, _command(name), _load_average())
        self.slopes_by_name[name] = slope

    def add_figure(self, name: str, unit: str, values: Sequence[float]) -> None:
        """Add a figure, rounded to four digits, or replace the one of this name."""
        rounded = tuple(_round(value) for value in values)
        self.figures_by_name[name] = Figure(name, unit, rounded, _command(name), _load_average())

    def slope(self, name: str) -> Slope:
        """Return a slope by its name.

        Raises
        ------
        KeyError
            If it has not been measured.
        """
        return self.slopes_by_name[name]

    def figure(self, name: str) -> Figure:
        """Return a figure by its name.

        Raises
        ------
        KeyError
            If it has not been measured.
        """
        return self.figures_by_name[name]

    def remove_group(self, group: str) -> None:
        """Remove the slopes and figures of a group, before it is measured again."""
        prefix = group + "."
        for by_name in (self.slopes_by_name, self.figures_by_name):
            for name in [name for name in by_name if name.startswith(prefix)]:
                del by_name[name]


def load_results(path: Path = RESULTS_PATH) -> Results:
    """Return the results of a file, empty ones if it doesn't exist."""
    if not path.exists():
        return Results()
    return cattrs.structure(json.loads(path.read_text()), Results)


def save_results(results: Results, path: Path = RESULTS_PATH) -> None:
    """Write results as JSON, sorted by name."""
    data: dict[str, Any] = cattrs.unstructure(results)
    path.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


def repeated(measure: Callable[[float], float], sizes: Sequence[float], repeats: int) -> list[Any]:
    """Measure all sizes in each of several rounds, so that drift affects all sizes alike.

    Parameters
    ----------
    measure : callable
        Returns the cost at a size.
    sizes : sequence of float
        Sizes to measure.
    repeats : int
        Number of rounds.

    Returns
    -------
    list of list of float
        One cost for each size, for each round.
    """
    return [[measure(size) for size in sizes] for _ in range(repeats)]


def _least_squares(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    fitted = statistics.linear_regression(sizes, costs)
    return fitted.slope, fitted.intercept


def _command(name: str) -> str:
    return f"python -m bench.capacity {name.partition('.')[0]}"


def _load_average() -> float:
    return round(os.getloadavg()[0], 1)


def _round(value: float) -> float:
    return float(f"{value:.4g}")
