"""Test runner: runs each test module in its own process, several at a time but for some.

Failures of tests listed in KNOWN-RED.txt are printed but not counted. The last line of the output
is ``N passed, N failed``.
"""

from __future__ import annotations

import io
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
# These bound the memory and the descriptors of a process under a flood; they run one at a time,
# after all others.
SEPARATE_MODULES = frozenset(
    {
        "tests.test_entry_untrusted_callers",
        "tests.test_entry_untrusted_servers",
        "tests.test_gateway_untrusted_callers",
    }
)


@attrs.frozen
class Outcome:
    """Result of a test module: number of passed tests, and a text for each other test by its id."""

    passed: int
    failures_by_id: dict[str, str]


def known_red() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt, the first word of each entry."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def run_module(name: str) -> Outcome:
    """Run a test module; skips, expected failures and unexpected successes count as failures."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    output = io.StringIO()
    result = unittest.TextTestRunner(stream=output, verbosity=0).run(suite)
    failures = [(test.id(), text) for test, text in result.failures + result.errors]
    failures += [(test.id(), "an expected failure") for test, _ in result.expectedFailures]
    failures += [(test.id(), "succeeded unexpectedly") for test in result.unexpectedSuccesses]
    failures += [(test.id(), f"skipped: {reason}") for test, reason in result.skipped]
    return Outcome(result.testsRun - len({test for test, _ in failures}), dict(failures))


def run_modules(names: list[str], workers: int) -> list[Outcome]:
    """Run test modules, each in a process of its own, so many at a time."""
    with ProcessPoolExecutor(workers, max_tasks_per_child=1) as pool:
        return list(pool.map(run_module, names))


def main(pattern: str = "") -> int:
    """Run the matching test modules, print failures and totals, and return the exit status.

    The status is 1 if a test failed that isn't listed in KNOWN-RED.txt, or if no module matches.
    """
    paths = sorted((ROOT / "tests").glob("test_*.py"))
    names = [f"tests.{path.stem}" for path in paths if pattern in path.stem]
    together = [name for name in names if name not in SEPARATE_MODULES]
    separate = [name for name in names if name in SEPARATE_MODULES]
    outcomes = [*run_modules(together, WORKERS), *run_modules(separate, 1)]
    known_red_ids = known_red()
    failures_by_id = {k: v for outcome in outcomes for k, v in outcome.failures_by_id.items()}
    for test, text in failures_by_id.items():
        print(f"{'KNOWN RED' if test in known_red_ids else 'FAILED'}: {test}\n{text}")
    failed = len(set(failures_by_id) - known_red_ids)
    print(f"{sum(outcome.passed for outcome in outcomes)} passed, {failed} failed")
    return 1 if failed or not names else 0
