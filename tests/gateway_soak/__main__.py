"""Plays seeds: ``python -m tests.gateway_soak --first 1 --seeds 50 --seconds 15``."""

from __future__ import annotations

import asyncio
import logging
import sys

import click

from tests.gateway_soak.checks import CHECKS
from tests.gateway_soak.play import play


@click.command()
@click.option("--first", type=int, default=1, help="First seed.")
@click.option("--seeds", type=int, default=1, help="Number of seeds.")
@click.option("--seconds", type=float, default=15.0, help="Time with faults of each.")
def main(first: int, seeds: int, seconds: float) -> None:
    """Play seeds and print what broke a promise."""
    # The stand-in of the store resets connections by an error, which its server logs.
    logging.disable(logging.CRITICAL)
    broken = 0
    for seed in range(first, first + seeds):
        history = asyncio.run(play(seed, seconds))
        found = [f"{check.__name__}: {one}" for check in CHECKS for one in check(history)]
        served = sum(call.status == 200 for call in history.calls)
        print(
            f"seed {seed}: {served} of {len(history.calls)} served, {len(found)} broken", flush=True
        )
        for line in found[:20]:
            print(f"  {line}", flush=True)
        broken += bool(found)
    print(f"{seeds} seeds, {broken} with a broken promise")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
