"""Soak test of the dispatch decisions: seeded random runs against a model.

``python -m bench.soak_decisions --seed 1 --minutes 1``
"""

from __future__ import annotations

import sys
import time
import traceback
from random import Random

import click

from bench.random_driver import RandomDriver

EVENTS_PER_RUN = 400


def run_once(seed: int) -> None:
    """Drive one dispatcher by the events that a seed draws.

    Raises
    ------
    AssertionError
        If the dispatcher violates the model.
    """
    rng = Random(seed)
    driver = RandomDriver(seed)
    for _ in range(EVENTS_PER_RUN):
        driver.step(rng)
    driver.finish()


@click.command()
@click.option("--seed", default=1, help="Seed of the first run; each run takes the next one.")
@click.option("--minutes", default=1.0)
def main(seed: int, minutes: float) -> None:
    """Run seed after seed until the time is up; exit with 1 at the first failure."""
    end = time.monotonic() + minutes * 60
    runs = 0
    while time.monotonic() < end:
        try:
            run_once(seed + runs)
        except Exception:
            traceback.print_exc()
            click.echo(f"FAILED with --seed {seed + runs}")
            sys.exit(1)
        runs += 1
    click.echo(f"{runs} runs of {EVENTS_PER_RUN} events held (seeds {seed} to {seed + runs - 1})")


if __name__ == "__main__":
    main()
