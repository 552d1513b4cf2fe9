from __future__ import annotations

import re
from pathlib import Path

import testtools

import sycamorebay

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"


class ExamplesTest(testtools.TestCase):
    def test_settings_have_no_faults(self):
        self.assertEqual("entry-0", sycamorebay.load_settings(EXAMPLES / "entry.json").id)

    def test_the_first_example_places_a_request(self):
        code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)[1]
        printed = []
        namespace = {"print": printed.append}
        exec(code.replace("examples/", f"{EXAMPLES}/"), namespace)
        self.assertIn(printed[0], ("127.0.0.1:10000", "127.0.0.1:10001"))


class LinksTest(testtools.TestCase):
    def test_links_between_pages_resolve(self):
        broken = []
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
        for page in pages:
            for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
                if not (page.parent / target).exists():
                    broken.append((page.name, target))
        self.assertEqual([], broken)
