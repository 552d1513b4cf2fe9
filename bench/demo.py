"""Demo: a fleet of the consortium's size under load and failures, within 50 seconds."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter

from bench.fleet import Fleet, Shape, service
from bench.load import Kind, LoadGenerator, Report, find_violations

SEED = 7
ENTRIES = 13
LOAD_DURATION_S = 20.0
# Share of the expected requests of each kind that has to be served for the demo to succeed.
MIN_SERVED_SHARE = 0.7
DOMAINS = ("scot-a", "scot-b", "scot-c")
ROUTES = [
    {"methods": ["GET"], "path": "/prices", "idempotent": True, "deadline_ms": 2000},
    {"methods": ["POST"], "path": "/bids", "deadline_ms": 3000},
    {
        "methods": ["GET"],
        "path": "/batch",
        "work": "long",
        "idempotent": True,
        "deadline_ms": 20000,
    },
]
KINDS = [
    Kind("price check", "lot-desk.test", "GET", "/prices/7", 200.0),
    Kind("bid confirmation", "lot-desk.test", "POST", "/bids", 40.0, keyed=True),
    Kind("ledger", "dock-ledger.test", "GET", "/prices/all", 40.0),
    Kind("batch run", "lot-desk.test", "GET", "/batch?work_ms=500", 1.0),
]


def shape() -> Shape:
    """Return a fleet of the consortium's size."""
    document = {
        "format": 1,
        "services": [
            service("lot-desk", 20, 3, DOMAINS, ROUTES),
            service("dock-ledger", 6, 3, DOMAINS, ROUTES),
        ],
    }
    return Shape(ENTRIES, document, behaviour={"work_ms": 20.0})


async def inject_failures(fleet: Fleet) -> None:
    """Kill an entry, freeze a backend server and make the platform unavailable for 4 s."""
    await asyncio.sleep(4)
    fleet.kill("entry-3")
    await asyncio.sleep(3)
    await fleet.control_backend("lot-desk-4", frozen=True)
    await asyncio.sleep(2)
    await fleet.control_platform(down=True)
    await asyncio.sleep(4)
    await fleet.control_platform(down=False)
    await fleet.control_backend("lot-desk-4", frozen=False)


def print_report(report: Report, runs_by_key: Counter[str]) -> None:
    """Print the outcomes from the callers' view as tables."""
    print(f"{'kind':<18}{'served':>8}{'p50 ms':>10}{'p99 ms':>10}{'p99.9 ms':>10}")
    for name, histogram in report.latency_by_kind.items():
        row = [report.quantile_ms(name, quantile) for quantile in (50, 99, 99.9)]
        print(f"{name:<18}{histogram.total_count:>8}" + "".join(f"{ms:>10.1f}" for ms in row))
    print("\noutcome by step")
    for (outcome, step), number in sorted(report.outcomes.items()):
        print(f"  {outcome:<10}{step:<16}{number:>8}")
    repeated = sum(1 for runs in runs_by_key.values() if runs > 1)
    print(f"\noperations run twice: {repeated}")
    print(f"load generator late (p99): {report.lateness_p99_ms():.1f} ms")


def find_underserved_kinds(report: Report) -> list[str]:
    """Return a line for each kind of request below `MIN_SERVED_SHARE`."""
    lines = []
    for kind in KINDS:
        histogram = report.latency_by_kind.get(kind.name)
        served = histogram.total_count if histogram else 0
        if served < MIN_SERVED_SHARE * kind.rate * LOAD_DURATION_S:
            lines.append(f"{kind.name}: {served} served of about {kind.rate * LOAD_DURATION_S:.0f}")
    return lines


async def run() -> int:
    """Run the demo, print its report and return the exit code."""
    async with Fleet(shape()) as fleet:
        print(f"{ENTRIES} entries ready; {LOAD_DURATION_S:.0f} s of load with failures", flush=True)
        generator = LoadGenerator([fleet.url(index) for index in range(ENTRIES)], KINDS, SEED)
        await asyncio.gather(generator.run(LOAD_DURATION_S), inject_failures(fleet))
        counters_by_server = await fleet.counted_by_backend()
        runs_by_key: Counter[str] = Counter()
        for counters in counters_by_server.values():
            runs_by_key.update(counters["runs_by_key"])
        print_report(generator.report, runs_by_key)
        violations = find_violations(generator.report, runs_by_key) + find_underserved_kinds(
            generator.report
        )
    for line in violations:
        print(f"VIOLATION: {line}")
    print("all guarantees held" if not violations else f"{len(violations)} guarantees violated")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
