"""Tables and plots of the results of `bench.policy`: ``python -m bench.report SCENARIO``."""

from __future__ import annotations

import json
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot as plt

from bench.policy import RESULTS
from bench.scenarios import SCENARIOS_BY_NAME, Scenario

Result = dict[str, Any]
Measure = Callable[[Result, str], float]


def ratio_to_ideal(result: Result, kind: str) -> float:
    """Return the 99th percentile of a kind's latency over that of the ideal shared queue."""
    figures = result["kinds"][kind]
    return figures["p99"] / figures["ideal_p99"]


def goodput(result: Result, kind: str) -> float:
    """Return the served requests of a kind over the capacity of all slots of its service."""
    figures = result["kinds"][kind]
    return figures["served"] / figures["capacity"]


MEASURES: dict[str, Measure] = {
    "p50 ms": lambda result, kind: result["kinds"][kind]["p50"],
    "p99 ms": lambda result, kind: result["kinds"][kind]["p99"],
    "p99 / ideal": ratio_to_ideal,
    "served / sent": lambda r, kind: r["kinds"][kind]["served"] / r["kinds"][kind]["sent"],
    "served / capacity": goodput,
}
FAULT_MEASURES: dict[str, Measure] = {
    "to it, 1st s": lambda result, _: result["faulty"]["first_second"],
    "to it, per s later": lambda result, _: result["faulty"]["per_second_later"],
}


def load_results(scenario: str) -> list[Result]:
    """Return the results of a scenario.

    Raises
    ------
    FileNotFoundError
        If the scenario has not been measured.
    """
    path = RESULTS / f"{scenario}.jsonl"
    return [json.loads(line) for line in path.read_text().splitlines()]


def median_and_range(values: list[float]) -> str:
    """Return the median and the range of values as text, ``-`` without values."""
    if not values:
        return "-"
    return f"{statistics.median(values):.2f} ({min(values):.2f}-{max(values):.2f})"


def table(results: list[Result], scenario: Scenario) -> list[str]:
    """Return the lines of a Markdown table with one row for each kind and variant."""
    measures = {**MEASURES, **(FAULT_MEASURES if scenario.fault else {})}
    kinds = sorted({kind for result in results for kind in result["kinds"]})
    lines = [
        "| kind | variant | seeds (void) | machine load | " + " | ".join(measures) + " |",
        "|---" * (4 + len(measures)) + "|",
    ]
    for kind in kinds:
        for variant in scenario.variants:
            rows = [r for r in results if r["variant"] == variant.name and kind in r["kinds"]]
            valid = [r for r in rows if not r["void"]]
            if not rows:
                continue
            load = median_and_range([r["machine_load"] for r in rows])
            cells = [
                median_and_range([measure(r, kind) for r in valid]) for measure in measures.values()
            ]
            counted = f"{len(rows)} ({len(rows) - len(valid)})"
            row = [kind, variant.name, counted, load, *cells]
            lines.append("| " + " | ".join(row) + " |")
    return lines


def plot(results: list[Result], scenario: Scenario, path: Path) -> None:
    """Plot the 99th percentile of each seed by variant, and the median of the ideal queue's.

    Parameters
    ----------
    results : list of dict
        Results of all seeds; void ones are left out.
    scenario : Scenario
        Scenario that was measured.
    path : Path
        File to write; its suffix decides the format.
    """
    kinds = sorted({kind for result in results for kind in result["kinds"]})
    figure, axes = plt.subplots(1, len(kinds), figsize=(5 * len(kinds), 4), squeeze=False)
    for axis, kind in zip(axes[0], kinds, strict=True):
        names = []
        ideals = []
        for variant in scenario.variants:
            rows = [
                r["kinds"][kind]
                for r in results
                if r["variant"] == variant.name and kind in r["kinds"] and not r["void"]
            ]
            if rows:
                axis.plot([len(names)] * len(rows), [row["p99"] for row in rows], "o")
                names.append(variant.name)
                ideals += [row["ideal_p99"] for row in rows]
        axis.axhline(statistics.median(ideals), linestyle="--", color="grey", label="shared queue")
        axis.set_xticks(range(len(names)), names, rotation=30, ha="right")
        axis.set_ylim(bottom=0)
        axis.set_ylabel("99th percentile, ms")
        axis.set_title(kind)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


@click.command()
@click.argument("scenarios", nargs=-1, type=click.Choice(list(SCENARIOS_BY_NAME)))
def main(scenarios: tuple[str, ...]) -> None:
    """Print and write the table and the plot of SCENARIOS, all measured ones if none is named."""
    measured = [name for name in SCENARIOS_BY_NAME if (RESULTS / f"{name}.jsonl").exists()]
    for name in scenarios or measured:
        results, scenario = load_results(name), SCENARIOS_BY_NAME[name]
        lines = table(results, scenario)
        (RESULTS / f"{name}.md").write_text("\n".join(lines) + "\n")
        plot(results, scenario, RESULTS / f"{name}.svg")
        click.echo("\n".join(lines))


if __name__ == "__main__":
    main()
