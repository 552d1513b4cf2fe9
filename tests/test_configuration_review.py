from __future__ import annotations

import json

import testtools

from sycamorebay.errors import DocumentError
from sycamorebay.state.difference import differences
from sycamorebay.state.document import load_document
from sycamorebay.state.review import review_document
from tests.support import document_text


class ReviewTest(testtools.TestCase):
    def test_all_faults_are_reported_and_entries_still_load_the_document(self):
        data = json.loads(document_text())
        service = data["services"][0]
        service["failure_domains"] = ["elsewhere"]
        service["hosts"] = ["Desk.test", "desk.test:80"]
        service["backend_servers"][2]["address"] = "127.0.0.1:70000"
        service["routes"].append({"methods": ["GET"], "path": "/prices/old"})
        text = json.dumps(data).encode()
        error = self.assertRaises(DocumentError, review_document, text)
        self.assertEqual(
            [
                "services/0/failure_domains",
                "services/0/hosts/0",
                "services/0/hosts/1",
                "services/0/backend_servers/2/address",
                "services/0/routes/3",
            ],
            [fault.path for fault in error.faults],
        )
        self.assertEqual(data["services"][0]["name"], load_document(text).services[0].name)

    def test_a_route_that_only_shares_some_methods_is_not_hidden(self):
        data = json.loads(document_text())
        data["services"][0]["routes"].append({"methods": ["GET", "POST"], "path": "/prices/old"})
        review_document(json.dumps(data).encode())


class DifferenceTest(testtools.TestCase):
    def test_differences_name_their_parts_and_include_the_order_of_routes(self):
        before = json.loads(document_text())
        after = json.loads(document_text())
        service = after["services"][0]
        service["backend_servers"][1]["slots"] = 9
        del service["backend_servers"][0]
        service["routes"].reverse()
        shown = [str(one) for one in differences(before, after)]
        self.assertEqual(3, len(shown))
        self.assertIn("~ services/desk/backend_servers/desk-1/slots: 2 -> 9", shown)
        self.assertTrue(
            any(line.startswith("- services/desk/backend_servers/desk-0") for line in shown)
        )
        self.assertTrue(any("routes (order)" in line for line in shown))
        self.assertEqual([], differences(before, before))
