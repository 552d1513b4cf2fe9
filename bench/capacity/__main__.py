"""Command that measures groups of slopes and renders the tables of the capacity page."""

from __future__ import annotations

import importlib
import subprocess
import time

import click

from bench.capacity.page import render_page
from bench.capacity.slopes import Run, load_results, save_results

GROUPS = (
    "choice",
    "configuration",
    "operations",
    "scrapes",
    "forwarding",
    "latency",
    "probes",
    "members",
    "platform",
    "revisions",
)


@click.command()
@click.argument("names", nargs=-1, type=click.Choice([*GROUPS, "all", "render"]))
def main(names: tuple[str, ...]) -> None:
    """Measure the groups NAMES; ``render`` writes the tables of docs/CAPACITY.md."""
    for name in GROUPS if "all" in names else names:
        if name != "render":
            _measure(name)
    if "all" in names or "render" in names:
        render_page()


def _measure(group: str) -> None:
    results = load_results()
    results.remove_group(group)
    started = time.monotonic()
    importlib.import_module(f"bench.capacity.{group}").measure(results)
    run = Run(_describe_commit(), round(time.monotonic() - started, 1))
    results.runs_by_group[group] = run
    save_results(results)
    click.echo(f"{group}: {run.seconds} s")


def _describe_commit() -> str:
    """Return the checked-out commit, marked as dirty where files differ from it."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


if __name__ == "__main__":
    main()
