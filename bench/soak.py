"""Soak test of keyed operations under fault injection: ``make soak SEED=3 SECONDS=600``.

Kills, pauses, truncated answers, platform outages and replacements start at random times and may
overlap. Exits with 1 if any guarantee was violated.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import click

from bench.fleet import Fleet, Shape
from bench.operations import CallerBehaviour, OperationCallers, find_violations, shape

ENTRIES = 5
# Bounds of the time between the starts of two faults.
FAULT_INTERVAL_S = (0.1, 1.5)


class FaultInjector:
    """Injects random faults; at most two entries are down or paused at the same time.

    Parameters
    ----------
    fleet : Fleet
        Fleet under test.
    seed : int
        Seed of the faults and their times.

    Attributes
    ----------
    counts : collections.Counter of str
        Injected faults by the name of their method.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._unavailable: set[int] = set()
        self.counts: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds, then wait until all have ended."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_entry,
            self.pause_entry,
            self.pause_entry,
            self.replace_entry,
            self.pause_backends,
            self.kill_backends,
            self.cut_answers,
            self.shed,
            self.outage,
            self.lose_answers,
            self.stale_reads,
        ]
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end:
                fault = self._rng.choice(faults)
                self.counts[fault.__name__] += 1
                tasks.create_task(_tolerate_dead_process(fault))
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))

    async def kill_entry(self) -> None:
        """SIGKILL an entry and restart it without its state."""
        with self._choose_entry() as index:
            if index is not None:
                self._fleet.kill(f"entry-{index}")
                await asyncio.sleep(self._rng.uniform(0, 1))
                self._fleet.start_entry(index)
                await self._fleet.until_ready([index])

    async def pause_entry(self) -> None:
        """SIGSTOP an entry for up to 3 s, longer than the timeouts of peers and callers."""
        with self._choose_entry() as index:
            if index is not None:
                self._fleet.signal(f"entry-{index}", signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(0.05, 3))
                self._fleet.signal(f"entry-{index}", signal.SIGCONT)

    async def replace_entry(self) -> None:
        """Stop an entry gracefully and restart it."""
        with self._choose_entry() as index:
            if index is not None:
                name = f"entry-{index}"
                self._fleet.signal(name, signal.SIGTERM)
                await asyncio.to_thread(self._fleet.processes_by_name[name].wait, 20)
                self._fleet.start_entry(index)
                await self._fleet.until_ready([index])

    async def pause_backends(self) -> None:
        """SIGSTOP a process of backend servers for up to 1 s."""
        self._fleet.signal("backends-0", signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.05, 1))
        self._fleet.signal("backends-0", signal.SIGCONT)

    async def kill_backends(self) -> None:
        """SIGKILL a process of backend servers and restart it."""
        self._fleet.kill("backends-1")
        await asyncio.sleep(self._rng.uniform(0, 0.5))
        self._fleet.start_backends(1)

    async def cut_answers(self) -> None:
        """Let every backend server truncate its answers for up to 0.5 s."""
        await self._for_a_while("cut")

    async def shed(self) -> None:
        """Let every backend server shed its load for up to 0.5 s."""
        await self._for_a_while("shed")

    async def _for_a_while(self, behaviour: str) -> None:
        await self._fleet.control_backend("all", **{behaviour: True})
        await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        await self._fleet.control_backend("all", **{behaviour: False})

    async def outage(self) -> None:
        """Make the platform unavailable for up to 4 s."""
        await self._fleet.control_platform(down=True)
        await asyncio.sleep(self._rng.uniform(0.1, 4))
        await self._fleet.control_platform(down=False)

    async def lose_answers(self) -> None:
        """Lose the platform's answers to three calls that took effect."""
        await self._fleet.control_platform(lose_answers=3)

    async def stale_reads(self) -> None:
        """Let the platform answer reads with data up to 5 s old."""
        await self._fleet.control_platform(stale_s=self._rng.uniform(0.5, 5))
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        await self._fleet.control_platform(stale_s=0.0)

    @contextlib.contextmanager
    def _choose_entry(self):  # type: ignore[no-untyped-def]
        available = [i for i in range(self._fleet.shape.entries) if i not in self._unavailable]
        if len(available) <= self._fleet.shape.entries - 2:
            yield None
            return
        index = self._rng.choice(available)
        self._unavailable.add(index)
        try:
            yield index
        finally:
            self._unavailable.discard(index)


async def _tolerate_dead_process(fault: Callable[[], Awaitable[None]]) -> None:
    """Inject a fault; that another fault has just ended the same process is no error."""
    with contextlib.suppress(OSError, TimeoutError, RuntimeError):
        await fault()


async def soak(
    seed: int, seconds: float, fleet_shape: Shape | None = None
) -> tuple[list[str], str]:
    """Run callers and faults on a fleet.

    Parameters
    ----------
    seed : int
        Seed of callers and faults.
    seconds : float
        Time during which operations are sent and faults injected.
    fleet_shape : Shape, optional
        Fleet to start in place of the default one of `ENTRIES` entries.

    Returns
    -------
    list of str
        One line for each violated guarantee.
    str
        Summary of operations, sends and faults.
    """
    async with Fleet(fleet_shape or shape(ENTRIES, freshness={"pause_s": 30.0})) as fleet:
        injector = FaultInjector(fleet, seed)
        urls = [fleet.url(index) for index in range(fleet.shape.entries)]
        callers = OperationCallers(urls, CallerBehaviour(), seed)
        await asyncio.gather(callers.run(seconds), injector.run(seconds))
        await asyncio.sleep(2.5)
        violations = find_violations(callers.report, fleet.runs_by_key())
    outcomes = {outcome: count for (outcome, _), count in callers.report.outcomes.items()}
    total = sum(outcomes.values())
    summary = (
        f"seed {seed}, {seconds:.0f} s, {total} operations: {outcomes}; "
        f"sends: {dict(callers.sends)}; faults: {dict(injector.counts)}; "
        f"load {os.getloadavg()[0]:.1f}"
    )
    return violations, summary


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=600.0)
def main(seed: int, seconds: float) -> None:
    """Run the soak test; exit with 1 if any guarantee was violated."""
    violations, summary = asyncio.run(soak(seed, seconds))
    print(summary)
    for line in violations:
        print(f"VIOLATION: {line}")
    print("all guarantees held" if not violations else f"{len(violations)} guarantees violated")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
