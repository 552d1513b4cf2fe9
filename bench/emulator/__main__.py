"""Plays scenarios and prints what callers got: ``python -m bench.emulator husk --seeds 3``."""

from __future__ import annotations

import attrs
import click

from bench.emulator.load import SCENARIOS_BY_NAME
from bench.emulator.result import result_of
from bench.emulator.world import World


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seeds", type=int, default=3, help="Seeds played of each scenario.")
@click.option("--per-s", type=float, default=0.0, help="Requests a second instead of its own.")
def main(names: tuple[str, ...], seeds: int, per_s: float) -> None:
    """Play scenarios."""
    for name in names or tuple(SCENARIOS_BY_NAME):
        scenario = SCENARIOS_BY_NAME[name]
        if per_s:
            scenario = attrs.evolve(scenario, per_s=per_s)
        results = [result_of(World(scenario, seed).play()) for seed in range(1, seeds + 1)]
        worth = sum(result.worth for result in results) / len(results)
        parts = " ".join(
            f"{field.name} {sum(getattr(r, field.name) for r in results) / len(results):.3f}"
            for field in attrs.fields(type(results[0]))
        )
        print(f"{name}: worth {worth:.3f} = {parts}")


if __name__ == "__main__":
    main()
