"""The capacity page matches the committed results, and its rows name existing modules."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path

import attrs
import testtools

from bench.capacity.documents import document
from bench.capacity.page import PAGE_PATH, all_rows, render
from bench.capacity.rows import COMPUTED, Row
from bench.capacity.slopes import MIN_SIZES, Results, Slope, load_results

ROOT = Path(__file__).resolve().parent.parent
TABLES = ("does-not-fit", "roles", "slopes", "figures", "constants", "measured-at")


class SlopesTest(testtools.TestCase):
    def test_least_squares_gives_slope_and_intercept(self):
        slope = Slope("a.b", "s", "call", (1, 2, 3), ((5, 7, 9), (5, 7, 9)), "command", 0.0)
        self.assertAlmostEqual(slope.slope(), 2.0)
        self.assertAlmostEqual(slope.intercept(), 3.0)
        self.assertAlmostEqual(slope.predict(10), 23.0)

    def test_a_negative_slope_is_not_extrapolated(self):
        slope = Slope("a.b", "s", "call", (1, 2, 3), ((5, 4, 3),), "command", 0.0)
        self.assertEqual(4, slope.predict(100))

    def test_two_sizes_make_no_slope(self):
        with self.assertRaisesRegex(ValueError, "at least 3"):
            Results().add_slope("a.b", "s", "call", [1, 2], [[1, 2]])

    def test_removing_a_group_keeps_those_whose_name_it_begins(self):
        results = Results()
        results.add_slope("peer.cost", "s", "peer", [1, 2, 3], [[1, 2, 3]])
        results.add_slope("peers.cost", "s", "peer", [1, 2, 3], [[1, 2, 3]])
        results.remove_group("peer")
        self.assertEqual(list(results.slopes_by_name), ["peers.cost"])


class RowTest(testtools.TestCase):
    def test_fits_with_a_mechanism_within_its_bound(self):
        row = Row("role", "state", "need", 2.0, "B", COMPUTED, "basis", "cli", bound=2.0)
        self.assertTrue(row.fits())
        self.assertTrue(attrs.evolve(row, bound=None).fits())
        self.assertFalse(attrs.evolve(row, value=2.1).fits())
        self.assertFalse(attrs.evolve(row, mechanism="").fits())


class DocumentsTest(testtools.TestCase):
    def test_instances_are_spread_over_services(self):
        design = document(630, 82)
        sizes = [len(service.backend_servers) for service in design.services]
        self.assertEqual((len(sizes), sum(sizes), min(sizes), max(sizes)), (82, 630, 7, 8))


class PageTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.results = load_results()
        self.page = PAGE_PATH.read_text()

    def test_tables_come_from_the_committed_results(self):
        self.assertEqual(self.page, render(self.page, self.results))

    def test_every_table_is_on_the_page(self):
        for name in TABLES:
            self.assertEqual(self.page.count(f"<!-- table: {name} -->"), 1, name)

    def test_every_row_names_a_module_or_does_not_fit(self):
        for row in all_rows(self.results):
            if row.mechanism:
                spec = importlib.util.find_spec(f"sycamorebay.{row.mechanism}")
                self.assertIsNotNone(spec, row.mechanism)
            else:
                self.assertFalse(row.fits(), row.quantity)

    def test_a_row_that_does_not_fit_names_a_remedy(self):
        for row in all_rows(self.results):
            if not row.fits():
                self.assertTrue(row.remedy, row.quantity)

    def test_what_does_not_fit_stands_first(self):
        first = self.page.index("## ")
        self.assertTrue(self.page[first:].startswith("## Does not fit yet"))

    def test_each_slope_has_enough_sizes(self):
        for slope in self.results.slopes_by_name.values():
            self.assertGreaterEqual(len(slope.sizes), MIN_SIZES, slope.name)
            for costs in slope.costs:
                self.assertEqual(len(costs), len(slope.sizes), slope.name)

    def test_tests_that_the_page_names_exist(self):
        named = re.findall(r"`(test_\w+)\.(\w+)`", self.page)
        self.assertTrue(named)
        for module, test in named:
            path = ROOT / "tests" / f"{module}.py"
            self.assertTrue(path.exists(), module)
            self.assertIn(f"def {test}(", path.read_text())
