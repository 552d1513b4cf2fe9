"""The Python examples in docs/embedding.md must run as written."""

from __future__ import annotations

import contextlib
import io
import json
import re
import tempfile
import time
from pathlib import Path

import testtools

from sycamorebay.coordination.messages import Send
from tests.support import document, raw_document

ROOT = Path(__file__).resolve().parent.parent


def embedded_examples() -> list[str]:
    text = (ROOT / "docs" / "embedding.md").read_text()
    return re.findall(r"```python\n(.*?)```", text, re.DOTALL)


def document_text() -> str:
    data = raw_document()
    data["services"][0]["hosts"] = ["lot-desk.test"]
    servers = document().services[0].backend_servers
    for raw_server, server in zip(data["services"][0]["backend_servers"], servers, strict=True):
        raw_server["address"] = server.address
    return json.dumps(data)


class EmbeddingTest(testtools.TestCase):
    def test_the_session_example_places_a_request(self):
        called_addresses = []
        with tempfile.TemporaryDirectory() as directory, contextlib.chdir(directory):
            Path("document.json").write_text(document_text())
            with contextlib.redirect_stdout(io.StringIO()) as output:
                exec(
                    embedded_examples()[0],
                    {"call": lambda address, until: called_addresses.append(address)},
                )
        self.assertEqual(("", 1), (output.getvalue(), len(called_addresses)))

    def test_the_dispatcher_example_sends(self):
        names = {"now": time.monotonic, "text": document_text().encode()}
        exec(embedded_examples()[1], names)
        self.assertIsInstance(names["own"], Send)
        self.assertEqual([], names["others"])
