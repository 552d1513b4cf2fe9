"""Long randomised runs of keyed operations under failure: ``make soak SEED=3 SECONDS=600``.

Kills, freezes, cuts, outages of the platform and replacements come one after the other, at random
and more than one at a time. Ends with 1 where any promise was broken.
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
from bench.operations import Habits, OperationCallers, broken_promises, shape

ENTRIES = 5
QUIET_S = (0.1, 1.5)


class Chaos:
    """Faults at random; at most two entries are out at the same time.

    Parameters
    ----------
    fleet : Fleet
        What suffers.
    seed : int
        Seed of the faults.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._out: set[int] = set()
        self.counts: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Bring faults about for some seconds, then wait until they are mended."""
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
                tasks.create_task(_tolerant(fault))
                await asyncio.sleep(self._rng.uniform(*QUIET_S))

    async def kill_entry(self) -> None:
        """SIGKILL an entry and start it again with an empty memory."""
        with self._entry() as index:
            if index is not None:
                self._fleet.kill(f"entry-{index}")
                await asyncio.sleep(self._rng.uniform(0, 1))
                self._fleet.start_entry(index)
                await self._fleet.until_ready([index])

    async def pause_entry(self) -> None:
        """SIGSTOP an entry for longer than peers and callers wait."""
        with self._entry() as index:
            if index is not None:
                self._fleet.signal(f"entry-{index}", signal.SIGSTOP)
                await asyncio.sleep(self._rng.uniform(0.05, 3))
                self._fleet.signal(f"entry-{index}", signal.SIGCONT)

    async def replace_entry(self) -> None:
        """Stop an entry gracefully and start it again."""
        with self._entry() as index:
            if index is not None:
                name = f"entry-{index}"
                self._fleet.signal(name, signal.SIGTERM)
                await asyncio.to_thread(self._fleet.processes_by_name[name].wait, 20)
                self._fleet.start_entry(index)
                await self._fleet.until_ready([index])

    async def pause_backends(self) -> None:
        """SIGSTOP a process of backend servers."""
        self._fleet.signal("backends-0", signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.05, 1))
        self._fleet.signal("backends-0", signal.SIGCONT)

    async def kill_backends(self) -> None:
        """SIGKILL a process of backend servers and start it again."""
        self._fleet.kill("backends-1")
        await asyncio.sleep(self._rng.uniform(0, 0.5))
        self._fleet.start_backends(1)

    async def cut_answers(self) -> None:
        """Cut answers off in their middle."""
        await self._for_a_while("cut")

    async def shed(self) -> None:
        """Let every backend server shed."""
        await self._for_a_while("shed")

    async def _for_a_while(self, behaviour: str) -> None:
        await self._fleet.control_backend("all", **{behaviour: True})
        await asyncio.sleep(self._rng.uniform(0.05, 0.5))
        await self._fleet.control_backend("all", **{behaviour: False})

    async def outage(self) -> None:
        """Take the platform away."""
        await self._fleet.control_platform(down=True)
        await asyncio.sleep(self._rng.uniform(0.1, 4))
        await self._fleet.control_platform(down=False)

    async def lose_answers(self) -> None:
        """Lose answers of the platform to calls that took effect."""
        await self._fleet.control_platform(lose_answers=3)

    async def stale_reads(self) -> None:
        """Let the platform answer from the past."""
        await self._fleet.control_platform(stale_s=self._rng.uniform(0.5, 5))
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        await self._fleet.control_platform(stale_s=0.0)

    @contextlib.contextmanager
    def _entry(self):  # type: ignore[no-untyped-def]
        free = [i for i in range(self._fleet.shape.entries) if i not in self._out]
        if len(free) <= self._fleet.shape.entries - 2:
            yield None
            return
        index = self._rng.choice(free)
        self._out.add(index)
        try:
            yield index
        finally:
            self._out.discard(index)


async def _tolerant(fault: Callable[[], Awaitable[None]]) -> None:
    """Carry a fault out; a process that another fault has just ended is no error."""
    with contextlib.suppress(OSError, TimeoutError, RuntimeError):
        await fault()


async def soak(seed: int, seconds: float, made: Shape | None = None) -> tuple[list[str], str]:
    """Run, and return the broken promises and a summary."""
    async with Fleet(made or shape(ENTRIES, freshness={"pause_s": 30.0})) as fleet:
        chaos = Chaos(fleet, seed)
        urls = [fleet.url(index) for index in range(fleet.shape.entries)]
        callers = OperationCallers(urls, Habits(), seed)
        await asyncio.gather(callers.run(seconds), chaos.run(seconds))
        await asyncio.sleep(2.5)
        broken = broken_promises(callers.report, fleet.runs_by_key())
    outcomes = {outcome: count for (outcome, _), count in callers.report.outcomes.items()}
    total = sum(outcomes.values())
    summary = (
        f"seed {seed}, {seconds:.0f} s, {total} operations: {outcomes}; "
        f"sends: {dict(callers.sends)}; faults: {dict(chaos.counts)}; "
        f"load {os.getloadavg()[0]:.1f}"
    )
    return broken, summary


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--seconds", type=float, default=600.0)
def main(seed: int, seconds: float) -> None:
    """Run, and end with 1 where any promise was broken."""
    broken, summary = asyncio.run(soak(seed, seconds))
    print(summary)
    for line in broken:
        print(f"BROKEN: {line}")
    print("all promises held" if not broken else f"{len(broken)} promises broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
