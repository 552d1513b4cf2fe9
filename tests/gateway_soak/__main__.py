"""Runs a range of seeds: ``python -m tests.gateway_soak --first 1 --seeds 50 --seconds 15``."""

from __future__ import annotations

import asyncio
import logging
import sys

import click

from tests.gateway_soak.checks import CHECKS
from tests.gateway_soak.soak import run_soak


@click.command()
@click.option("--first", type=int, default=1, help="First seed.")
@click.option("--seeds", type=int, default=1, help="Number of seeds.")
@click.option("--seconds", type=float, default=15.0, help="Duration of the faults of each seed.")
def main(first: int, seeds: int, seconds: float) -> None:
    """Run seeds and print each violation of an invariant; the exit status is 1 if there is any."""
    # The stand-in for the store resets connections by an exception, which aiohttp's server logs.
    logging.disable(logging.CRITICAL)
    failed_seeds = 0
    for seed in range(first, first + seeds):
        history = asyncio.run(run_soak(seed, seconds))
        violations = [f"{check.__name__}: {text}" for check in CHECKS for text in check(history)]
        served = sum(call.status == 200 for call in history.calls)
        print(
            f"seed {seed}: {served} of {len(history.calls)} served, {len(violations)} violations",
            flush=True,
        )
        for line in violations[:20]:
            print(f"  {line}", flush=True)
        failed_seeds += bool(violations)
    print(f"{seeds} seeds, {failed_seeds} with violations")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
