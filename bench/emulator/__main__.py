"""Simulates scenarios and prints their scores: ``python -m bench.emulator husk --seeds 3``."""

from __future__ import annotations

import attrs
import click

from bench.emulator.load import SCENARIOS_BY_NAME
from bench.emulator.result import summarize
from bench.emulator.simulation import Simulation


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seeds", type=int, default=3, help="Seeds simulated of each scenario.")
@click.option(
    "--per-s", type=float, default=0.0, help="Mean requests a second; 0 uses the scenario's rate."
)
def main(names: tuple[str, ...], seeds: int, per_s: float) -> None:
    """Simulate the scenarios NAMES, all where none is named, and print their mean scores."""
    for name in names or tuple(SCENARIOS_BY_NAME):
        scenario = SCENARIOS_BY_NAME[name]
        if per_s:
            scenario = attrs.evolve(scenario, mean_rate_per_s=per_s)
        results = [summarize(Simulation(scenario, seed).run()) for seed in range(1, seeds + 1)]
        worth = sum(result.worth for result in results) / len(results)
        scores = " ".join(
            f"{field.name} {sum(getattr(one, field.name) for one in results) / len(results):.3f}"
            for field in attrs.fields(type(results[0]))
        )
        print(f"{name}: worth {worth:.3f} = {scores}")


if __name__ == "__main__":
    main()
