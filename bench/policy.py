"""Measures the decisions: each variant over several seeds, on real processes.

``python -m bench.policy run SCENARIO [VARIANT ...]`` appends to ``bench/results/``;
``python -m bench.policy report SCENARIO`` makes the table and the plot of a scenario.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import statistics
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import click

from bench.fleet import Fleet, Shape, service
from bench.ideal import shared_queue
from bench.load import LATE_MS, Kind, Load
from bench.scenarios import SCENARIOS_BY_NAME, Scenario, Variant

RESULTS = Path(__file__).parent / "results"
WORKLOADS = Path(__file__).parent / "workloads"
WORK_SPREAD = 0.5


@attrs.frozen
class Job:
    """One request: when it arrives, its kind and its work in seconds."""

    at: float
    kind: Kind
    work_s: float


class SizedLoad(Load):
    """A load whose every request names its own work, drawn from the seed."""

    def __init__(
        self, urls: list[str], kinds: list[Kind], seed: int, work_ms: dict[str, float]
    ) -> None:
        super().__init__(urls, kinds, seed)
        self._work_ms = work_ms
        self.jobs: list[Job] = []

    def _arrivals(
        self, seconds: float, rate_factor: Callable[[float], float]
    ) -> list[tuple[float, Kind]]:
        for at, kind in super()._arrivals(seconds, rate_factor):
            spread = self._rng.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
            work_ms = self._work_ms[kind.name] * spread
            sized = attrs.evolve(kind, target=f"{kind.target}?work_ms={work_ms:.3f}")
            self.jobs.append(Job(at, sized, work_ms / 1000))
        return [(job.at, job.kind) for job in self.jobs]


class Bench:
    """One variant of a scenario on a running fleet."""

    def __init__(self, scenario: Scenario, variant: Variant) -> None:
        self.scenario = scenario
        self.variant = variant
        self.workload = json.loads((WORKLOADS / f"{scenario.workload}.json").read_text())
        self._slots_by_service = {
            one["name"]: one["servers"] * one["slots"] for one in self.workload["services"]
        }
        self._all_kinds = [*self.workload["kinds"], *scenario.extra_kinds, *variant.extra_kinds]

    def shape(self) -> Shape:
        """Return the fleet to start."""
        domains = tuple(self.workload["failure_domains"])
        services = []
        for one in self.workload["services"]:
            made = service(
                one["name"], one["servers"], one["slots"], domains, self.workload["routes"]
            )
            made["limits"] = {**self.scenario.limits, **self.variant.limits}
            made["routes"] = [{**route, **self.variant.routes} for route in made["routes"]]
            services.append(made)
        document: dict[str, Any] = {"format": 1, "services": services}
        if self.variant.measuring:
            document["measuring"] = self.variant.measuring
        behaviour = {
            "jitter": 0.0,
            "delay_ms": self.workload["delay_ms"],
            **self.scenario.behaviour,
        }
        return Shape(self.workload["entries"], document, 3, behaviour, self.variant.settings)

    async def run(self, seeds: int, seconds: float) -> list[dict[str, Any]]:
        """Run every seed, and return one result a seed."""
        async with Fleet(self.shape()) as fleet:
            await self._warm_up(fleet)
            return [await self._run_seed(fleet, seed, seconds) for seed in range(1, seeds + 1)]

    async def _warm_up(self, fleet: Fleet) -> None:
        await asyncio.sleep(1.5)
        await self._load(fleet, 1000).run(2.0)

    def _load(self, fleet: Fleet, seed: int) -> SizedLoad:
        urls = [fleet.url(index) for index in range(self.workload["entries"])]
        kinds = [self._kind(one) for one in self._all_kinds]
        work_ms = {one["path"]: one["work_ms"] for one in self._all_kinds}
        return SizedLoad(urls, kinds, seed, work_ms)

    def _kind(self, one: dict[str, Any]) -> Kind:
        rate = one.get("rate")
        if rate is None:
            load = one["load"] * self.scenario.load_factor
            rate = self._slots_by_service[one["service"]] * load / (one["work_ms"] / 1000)
        return Kind(one["path"], f"{one['service']}.test", "GET", one["path"], rate)

    async def _run_seed(self, fleet: Fleet, seed: int, seconds: float) -> dict[str, Any]:
        load = self._load(fleet, seed)
        before = await fleet.counted_by_backend()
        faults = asyncio.create_task(self._faults(fleet))
        started = time.monotonic()
        await load.run(seconds, self.scenario.rate_factor)
        took_s = time.monotonic() - started
        faulty = await faults
        after = await fleet.counted_by_backend()
        counts = _difference(before, after)
        return {
            "variant": self.variant.name,
            "seed": seed,
            "seconds": seconds,
            "took_s": round(took_s, 3),
            "late_ms": round(load.report.late_ms(), 2),
            "void": load.report.late_ms() > LATE_MS,
            "machine_load": round(os.getloadavg()[0], 1),
            "kinds": {kind: self._kind_result(load, kind) for kind in load.report.latency_by_kind},
            "outcomes": {f"{o} {s}".strip(): n for (o, s), n in load.report.outcomes.items()},
            "counts": dict(counts),
            "faulty": faulty,
        }

    def _kind_result(self, load: SizedLoad, name: str) -> dict[str, float]:
        report = load.report
        jobs = [(job.at, job.work_s) for job in load.jobs if job.kind.name == name]
        host = next(job.kind.host for job in load.jobs if job.kind.name == name)
        slots = self._slots_by_service[host.removesuffix(".test")]
        ideal = sorted(shared_queue(jobs, slots))
        return {
            "sent": len(jobs),
            "served": report.latency_by_kind[name].total_count,
            **{f"p{q}": report.quantile_ms(name, q) for q in (50, 99, 99.9)},
            "ideal_p99": round(ideal[int(len(ideal) * 0.99)] * 1000, 2),
            "capacity": round(slots * load.jobs[-1].at / statistics.mean(w for _, w in jobs)),
        }

    async def _faults(self, fleet: Fleet) -> dict[str, float]:
        """Turn one server faulty, and tell how much it was sent later than a second after."""
        fault = self.scenario.fault
        if not fault:
            return {}
        server_id = f"{self.workload['services'][0]['name']}-4"
        await asyncio.sleep(self.scenario.fault_at_s)
        await fleet.control_backend(server_id, **fault)
        taken = [await self._taken(fleet, server_id)]
        for wait_s in (1.0, 2.0):
            await asyncio.sleep(wait_s)
            taken.append(await self._taken(fleet, server_id))
        await fleet.control_backend(server_id, **{name: self._usual(name) for name in fault})
        return {"first_second": taken[1] - taken[0], "per_second_later": (taken[2] - taken[1]) / 2}

    @staticmethod
    def _usual(name: str) -> Any:
        return {"slow": 1.0, "fail": False, "frozen": False, "leaving": False}[name]

    @staticmethod
    async def _taken(fleet: Fleet, server_id: str) -> int:
        return (await fleet.counted_by_backend())[server_id]["counts"].get("taken", 0)


def _difference(before: dict[str, Any], after: dict[str, Any]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for server_id, counted in after.items():
        counts.update(counted["counts"])
        counts.subtract(before[server_id]["counts"])
    return counts


@click.group()
def main() -> None:
    """Measure the decisions."""


@main.command()
@click.argument("scenario", type=click.Choice(list(SCENARIOS_BY_NAME)))
@click.argument("variants", nargs=-1)
@click.option("--seeds", default=5)
@click.option("--seconds", default=5.0)
def run(scenario: str, variants: tuple[str, ...], seeds: int, seconds: float) -> None:
    """Run variants, all where none is named, and keep their results."""
    gc.disable()
    chosen = SCENARIOS_BY_NAME[scenario]
    for name in variants or [variant.name for variant in chosen.variants]:
        results = asyncio.run(Bench(chosen, chosen.variant(name)).run(seeds, seconds))
        RESULTS.mkdir(exist_ok=True)
        with (RESULTS / f"{scenario}.jsonl").open("a") as file:
            for result in results:
                file.write(json.dumps(result) + "\n")
                click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
