"""The operators' commands against the stand-in, with two environments."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import testtools

from bench.fleet import Fleet
from tests.fast_fleet import FAST, changed
from tests.support import asynchronous, small_shape


class Commands:
    """Runs ``sycamorebay config`` against one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def __call__(self, command: str, *arguments: str, code: int = 0) -> str:
        words = [sys.executable, "-m", "sycamorebay", "config", command, *arguments]
        if command != "check":
            words += ["--platform", self.fleet.platform_url]
        done = subprocess.run(words, capture_output=True, text=True, timeout=30)
        if done.returncode != code:
            raise AssertionError(f"{command}: {done.returncode}\n{done.stdout}\n{done.stderr}")
        return done.stdout

    def write(self, name: str, document: dict) -> str:
        path = Path(self.fleet.directory / name)
        path.write_text(json.dumps(document))
        return str(path)


class ConfigCommandsTest(testtools.TestCase):
    @asynchronous
    async def test_a_change_goes_from_trial_to_production_and_back(self):
        async with Fleet(small_shape(2, **FAST, environment="trial")) as fleet:
            run = Commands(fleet)
            first = run.write("first.json", fleet.document)
            second = run.write("second.json", changed(fleet, "new.test"))
            run("promote", "feed", code=6)
            self.in_production(run, first, second)
            self.refusals(run, first, second)

    def in_production(self, run: Commands, first: str, second: str) -> None:
        run(
            "apply",
            first,
            "--untried",
            "--environment",
            "trial",
            "--reason",
            "start",
            "--wait",
            "9",
        )
        run("promote", "--reason", "first")
        self.assertIn("new.test", run("diff", second, code=1))
        tried = json.loads(run("try", second, "--wait", "9", "--json"))
        self.assertEqual(("accepted", []), (tried["outcome"], tried["lagging"]))
        promoted = json.loads(run("promote", tried["digest"], "--expect", "1", "--json"))
        self.assertEqual((2, tried["digest"]), (promoted["revision"], promoted["digest"]))
        self.assertEqual(Path(second).read_text(), run("show"))
        self.assertEqual(Path(first).read_text(), run("show", "1"))
        rolled = json.loads(run("rollback", "1", "--reason", "too early", "--json"))
        self.assertEqual((3, 2), (rolled["revision"], rolled["from_revision"]))
        self.assertEqual(Path(first).read_text(), run("show"))
        history = json.loads(run("history", "--json"))
        self.assertEqual(
            [("promote", "first"), ("promote", ""), ("rollback", "too early")],
            [(entry["action"], entry["reason"]) for entry in history],
        )

    def refusals(self, run: Commands, first: str, second: str) -> None:
        run("promote", "--expect", "1", code=3)
        run("check", run.write("faulty.json", {"format": 1}), code=2)
        run("rollback", "77", code=4)
        again = json.loads(run("promote", "--nonce", "one", "--json"))
        once_more = json.loads(run("promote", "--nonce", "one", "--json"))
        self.assertEqual(("accepted", 4), (again["outcome"], again["revision"]))
        self.assertEqual(("accepted before", 4), (once_more["outcome"], once_more["revision"]))
        members = json.loads(run("show", "--members", "--environment", "trial", "--json"))
        self.assertEqual({"entry-0", "entry-1"}, set(members))
