"""``sycamorebay config`` against the stand-in of the platform, with two environments."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import testtools
from click.testing import CliRunner

from bench.fleet import Fleet
from sycamorebay.cli import main
from tests.fast_fleet import FAST, with_extra_host
from tests.support import asynchronous, small_shape


class ConfigCommand:
    """Runs ``sycamorebay config`` against the platform stand-in of one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def __call__(self, command: str, *arguments: str, code: int = 0) -> str:
        command_line = ["config", command, *arguments]
        if command != "check":
            command_line += ["--platform", self.fleet.platform_url]
        with ThreadPoolExecutor(1) as pool:
            completed = pool.submit(CliRunner().invoke, main, command_line).result()
        if completed.exit_code != code:
            raise AssertionError(
                f"{command}: {completed.exit_code}\n{completed.output}\n{completed.exception}"
            )
        return completed.stdout

    def write(self, name: str, document: dict) -> str:
        path = Path(self.fleet.directory / name)
        path.write_text(json.dumps(document))
        return str(path)


class ConfigCommandsTest(testtools.TestCase):
    @asynchronous
    async def test_a_change_is_promoted_to_production_and_rolled_back(self):
        async with Fleet(small_shape(2, **FAST, environment="trial")) as fleet:
            run = ConfigCommand(fleet)
            first = run.write("first.json", fleet.document)
            second = run.write("second.json", with_extra_host(fleet, "new.test"))
            run("promote", "feed", code=6)
            self.check_promotion_and_rollback(run, first, second)
            self.check_refusals_and_repeats(run, first, second)

    def check_promotion_and_rollback(self, run: ConfigCommand, first: str, second: str) -> None:
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

    def check_refusals_and_repeats(self, run: ConfigCommand, first: str, second: str) -> None:
        run("promote", "--expect", "1", code=3)
        run("check", run.write("faulty.json", {"format": 1}), code=2)
        run("rollback", "77", code=4)
        first_promotion = json.loads(run("promote", "--nonce", "one", "--json"))
        repeated_promotion = json.loads(run("promote", "--nonce", "one", "--json"))
        self.assertEqual(("accepted", 4), (first_promotion["outcome"], first_promotion["revision"]))
        self.assertEqual(
            ("accepted before", 4), (repeated_promotion["outcome"], repeated_promotion["revision"])
        )
        members = json.loads(run("show", "--members", "--environment", "trial", "--json"))
        self.assertEqual({"entry-0", "entry-1"}, set(members))
