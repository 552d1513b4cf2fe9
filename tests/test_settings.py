from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

from sycamorebay.errors import SettingsError
from sycamorebay.settings import load_settings


def minimal_settings() -> dict:
    return {
        "id": "entry-0",
        "failure_domain": "a",
        "callers": {"address": "127.0.0.1", "port": 8000},
        "operators": {"address": "127.0.0.1", "port": 9000},
        "peers": {"address": "127.0.0.1", "port": 7000},
        "platform": {"url": "http://127.0.0.1:2379"},
    }


class SettingsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "settings.json"

    def write(self, data: dict) -> str:
        self.path.write_text(json.dumps(data))
        return str(self.path)

    def test_defaults_replace_missing_settings(self):
        loaded = load_settings(self.write(minimal_settings()))
        self.assertEqual(10, loaded.platform.lease_s)
        self.assertEqual("127.0.0.1:8000", str(loaded.callers))

    def test_the_error_lists_every_fault(self):
        data = minimal_settings()
        data["callers"]["port"] = 0
        data["platform"]["url"] = "ftp://x"
        data["secret_file"] = str(self.path.parent / "missing")
        error = self.assertRaises(SettingsError, load_settings, self.write(data))
        paths = [fault.path for fault in error.faults]
        self.assertEqual(["callers/port", "platform/url", "secret_file"], paths)

    def test_serve_exits_with_2_for_faulty_settings(self):
        data = minimal_settings()
        del data["id"]
        command = [sys.executable, "-m", "sycamorebay", "serve", "--settings", self.write(data)]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
        self.assertEqual(2, completed.returncode)
        self.assertIn("'id' is a required property", completed.stderr)
