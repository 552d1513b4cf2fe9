"""Measures the dispatch policies: each variant over several seeds, on real processes.

``python -m bench.policy run SCENARIO [VARIANT ...]`` appends to ``bench/results/``;
``python -m bench.report SCENARIO`` makes the table and the plot of a scenario.
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
from bench.load import MAX_LATENESS_MS, Kind, LoadGenerator
from bench.scenarios import SCENARIOS_BY_NAME, Scenario, Variant

RESULTS = Path(__file__).parent / "results"
WORKLOADS = Path(__file__).parent / "workloads"
# Work varies uniformly by this share of its mean in either direction.
WORK_SPREAD = 0.5


@attrs.frozen
class Job:
    """One request of a run.

    Attributes
    ----------
    at : float
        Arrival in seconds from the start of the load.
    kind : Kind
        Kind of the request, with its work in the target.
    work_s : float
        Work at the backend server, in seconds.
    """

    at: float
    kind: Kind
    work_s: float


class SizedLoadGenerator(LoadGenerator):
    """A load generator whose requests state their own work, drawn from the seed.

    Parameters
    ----------
    urls : list of str
        Base URLs of the entries.
    kinds : list of Kind
        Kinds of request with their rates.
    seed : int
        Seed of arrivals and work.
    work_ms : dict of str to float
        Mean work of each kind, in milliseconds.

    Attributes
    ----------
    jobs : list of Job
        Requests in the order of arrival.
    """

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
    """Measures one variant of a scenario on a running fleet.

    Parameters
    ----------
    scenario : Scenario
        Workload and fault.
    variant : Variant
        Configuration under measurement.
    """

    def __init__(self, scenario: Scenario, variant: Variant) -> None:
        self.scenario = scenario
        self.variant = variant
        self.workload = json.loads((WORKLOADS / f"{scenario.workload}.json").read_text())
        self._slots_by_service = {
            spec["name"]: spec["servers"] * spec["slots"] for spec in self.workload["services"]
        }
        self._all_kinds = [*self.workload["kinds"], *scenario.extra_kinds, *variant.extra_kinds]

    def shape(self) -> Shape:
        """Return the shape of the fleet for the scenario and variant."""
        domains = tuple(self.workload["failure_domains"])
        services = []
        for spec in self.workload["services"]:
            built = service(
                spec["name"], spec["servers"], spec["slots"], domains, self.workload["routes"]
            )
            built["limits"] = {**self.scenario.limits, **self.variant.limits}
            built["routes"] = [{**route, **self.variant.routes} for route in built["routes"]]
            services.append(built)
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
        """Start the fleet, warm it up and run seeds 1 to `seeds`.

        Parameters
        ----------
        seeds : int
            Number of seeds.
        seconds : float
            Length of the load of each seed.

        Returns
        -------
        list of dict
            One result for each seed, as written to ``bench/results``.
        """
        async with Fleet(self.shape()) as fleet:
            await self._warm_up(fleet)
            return [await self._run_seed(fleet, seed, seconds) for seed in range(1, seeds + 1)]

    async def _warm_up(self, fleet: Fleet) -> None:
        await asyncio.sleep(1.5)
        await self._load_generator(fleet, 1000).run(2.0)

    def _load_generator(self, fleet: Fleet, seed: int) -> SizedLoadGenerator:
        urls = [fleet.url(index) for index in range(self.workload["entries"])]
        kinds = [self._build_kind(spec) for spec in self._all_kinds]
        work_ms = {spec["path"]: spec["work_ms"] for spec in self._all_kinds}
        return SizedLoadGenerator(urls, kinds, seed, work_ms)

    def _build_kind(self, spec: dict[str, Any]) -> Kind:
        rate = spec.get("rate")
        if rate is None:
            load = spec["load"] * self.scenario.load_factor
            rate = self._slots_by_service[spec["service"]] * load / (spec["work_ms"] / 1000)
        return Kind(spec["path"], f"{spec['service']}.test", "GET", spec["path"], rate)

    async def _run_seed(self, fleet: Fleet, seed: int, seconds: float) -> dict[str, Any]:
        generator = self._load_generator(fleet, seed)
        before = await fleet.counted_by_backend()
        fault_task = asyncio.create_task(self._inject_fault(fleet))
        started = time.monotonic()
        await generator.run(seconds, self.scenario.rate_factor)
        elapsed_s = time.monotonic() - started
        fault_counts = await fault_task
        after = await fleet.counted_by_backend()
        counts = _count_difference(before, after)
        return {
            "variant": self.variant.name,
            "seed": seed,
            "seconds": seconds,
            "took_s": round(elapsed_s, 3),
            "late_ms": round(generator.report.lateness_p99_ms(), 2),
            "void": generator.report.lateness_p99_ms() > MAX_LATENESS_MS,
            "machine_load": round(os.getloadavg()[0], 1),
            "kinds": {
                kind: self._kind_result(generator, kind)
                for kind in generator.report.latency_by_kind
            },
            "outcomes": {f"{o} {s}".strip(): n for (o, s), n in generator.report.outcomes.items()},
            "counts": dict(counts),
            "faulty": fault_counts,
        }

    def _kind_result(self, generator: SizedLoadGenerator, name: str) -> dict[str, float]:
        report = generator.report
        jobs = [(job.at, job.work_s) for job in generator.jobs if job.kind.name == name]
        host = next(job.kind.host for job in generator.jobs if job.kind.name == name)
        slots = self._slots_by_service[host.removesuffix(".test")]
        ideal = sorted(shared_queue(jobs, slots))
        return {
            "sent": len(jobs),
            "served": report.latency_by_kind[name].total_count,
            **{f"p{q}": report.quantile_ms(name, q) for q in (50, 99, 99.9)},
            "ideal_p99": round(ideal[int(len(ideal) * 0.99)] * 1000, 2),
            "capacity": round(slots * generator.jobs[-1].at / statistics.mean(w for _, w in jobs)),
        }

    async def _inject_fault(self, fleet: Fleet) -> dict[str, float]:
        """Make one server faulty for three seconds.

        Returns
        -------
        dict of str to float
            Requests that the server accepted in the first second and, as a mean, in each of the
            two seconds after it; empty without a fault.
        """
        fault = self.scenario.fault
        if not fault:
            return {}
        server_id = f"{self.workload['services'][0]['name']}-4"
        await asyncio.sleep(self.scenario.fault_at_s)
        await fleet.control_backend(server_id, **fault)
        accepted = [await self._accepted(fleet, server_id)]
        for wait_s in (1.0, 2.0):
            await asyncio.sleep(wait_s)
            accepted.append(await self._accepted(fleet, server_id))
        await fleet.control_backend(server_id, **{name: self._normal_value(name) for name in fault})
        return {
            "first_second": accepted[1] - accepted[0],
            "per_second_later": (accepted[2] - accepted[1]) / 2,
        }

    @staticmethod
    def _normal_value(name: str) -> Any:
        return {"slow": 1.0, "fail": False, "frozen": False, "leaving": False}[name]

    @staticmethod
    async def _accepted(fleet: Fleet, server_id: str) -> int:
        return (await fleet.counted_by_backend())[server_id]["counts"].get("taken", 0)


def _count_difference(before: dict[str, Any], after: dict[str, Any]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for server_id, counted in after.items():
        counts.update(counted["counts"])
        counts.subtract(before[server_id]["counts"])
    return counts


@click.group()
def main() -> None:
    """Measure the dispatch policies."""


@main.command()
@click.argument("scenario", type=click.Choice(list(SCENARIOS_BY_NAME)))
@click.argument("variants", nargs=-1)
@click.option("--seeds", default=5)
@click.option("--seconds", default=5.0)
def run(scenario: str, variants: tuple[str, ...], seeds: int, seconds: float) -> None:
    """Run variants of a scenario, all if none is named, and append their results."""
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
