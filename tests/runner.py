"""Runs test modules, each in a process of its own.

Test modules run side by side in a few processes. Failures listed in KNOWN-RED.txt are printed and
do not count. The last line is ``N passed, N failed``.
"""

from __future__ import annotations

import io
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4


@attrs.frozen
class Outcome:
    passed: int
    failures_by_id: dict[str, str]


def known_red() -> set[str]:
    """Return the ids listed in KNOWN-RED.txt, the first word of each entry."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def run_module(name: str) -> Outcome:
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    output = io.StringIO()
    result = unittest.TextTestRunner(stream=output, verbosity=0).run(suite)
    bad = [(test.id(), text) for test, text in result.failures + result.errors]
    bad += [(test.id(), "an expected failure") for test, _ in result.expectedFailures]
    bad += [(test.id(), "succeeded unexpectedly") for test in result.unexpectedSuccesses]
    bad += [(test.id(), f"skipped: {why}") for test, why in result.skipped]
    return Outcome(result.testsRun - len({test for test, _ in bad}), dict(bad))


def main(pattern: str = "") -> int:
    paths = sorted((ROOT / "tests").glob("test_*.py"))
    names = [f"tests.{path.stem}" for path in paths if pattern in path.stem]
    with ProcessPoolExecutor(WORKERS, max_tasks_per_child=1) as pool:
        outcomes = list(pool.map(run_module, names))
    red = known_red()
    failures_by_id = {k: v for outcome in outcomes for k, v in outcome.failures_by_id.items()}
    for test, text in failures_by_id.items():
        print(f"{'KNOWN RED' if test in red else 'FAILED'}: {test}\n{text}")
    failed = len(set(failures_by_id) - red)
    print(f"{sum(outcome.passed for outcome in outcomes)} passed, {failed} failed")
    return 1 if failed or not names else 0
