from __future__ import annotations

import json

import testtools

from sycamorebay.coordination.configuration import Configuration, Revision
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.errors import DocumentError
from sycamorebay.state.document import document_faults, load_document
from tests.support import document, raw_document


def document_with_addresses() -> dict:
    data = raw_document()
    for index, server in enumerate(data["services"][0]["backend_servers"]):
        server["address"] = f"127.0.0.1:{10000 + index}"
    return data


class DocumentFaultsTest(testtools.TestCase):
    def test_names_every_fault_with_its_path(self):
        data = document_with_addresses()
        data["services"][0]["backend_servers"][1]["slots"] = 0
        data["services"][0]["routes"][0]["path"] = "prices"
        data["extra"] = 1
        paths = [fault.path for fault in document_faults(data)]
        self.assertEqual(
            ["", "services/0/backend_servers/1/slots", "services/0/routes/0/path"], paths
        )

    def test_finds_repeated_names_hosts_and_ids(self):
        data = document_with_addresses()
        data["services"].append(data["services"][0])
        paths = {fault.path for fault in document_faults(data)}
        self.assertEqual(
            {"services/1/name", "services/1/hosts", "services/1/backend_servers"}, paths
        )

    def test_refuses_text_that_is_not_json(self):
        self.assertRaises(DocumentError, load_document, b"{")

    def test_finds_the_service_and_its_first_route(self):
        service = document().service_for("desk.test")
        self.assertEqual("/bids", service.route_for("POST", "/bids/1").path)
        self.assertIsNone(service.route_for("DELETE", "/bids/1"))


class ConfigurationTest(testtools.TestCase):
    def test_an_older_revision_is_ignored(self):
        configuration = Configuration(Invariants(strict=True))
        text = json.dumps(document_with_addresses()).encode()
        self.assertIsNotNone(configuration.on_revision(0.0, Revision(5, text)))
        self.assertIsNone(configuration.on_revision(1.0, Revision(4, text)))
        self.assertEqual(5, configuration.revision.number)

    def test_a_faulty_revision_leaves_the_old_one_in_force(self):
        configuration = Configuration(Invariants(strict=True))
        configuration.on_revision(0.0, Revision(5, json.dumps(document_with_addresses()).encode()))
        self.assertRaises(DocumentError, configuration.on_revision, 1.0, Revision(6, b"{}"))
        self.assertEqual(5, configuration.revision.number)
