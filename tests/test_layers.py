from __future__ import annotations

import ast
import re
from pathlib import Path

import testtools

PACKAGE = Path(__file__).resolve().parent.parent / "src" / "sycamorebay"
ORDER = ["state", "coordination", "protocol", "transport"]
IMPURE = {"asyncio", "socket", "time", "threading", "os", "aiohttp", "uvicorn", "falcon", "secrets"}


def imports(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
    return found


WIRE_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|op/config|(?<![a-z_])servers/|target-instance|SYCAMOREBAY_BOOT"
    r"|not-executed|server-sig|warmup_time|max_conns",
    re.IGNORECASE,
)
MAX_ADAPTER_SHARE = 0.1


class AdapterTest(testtools.TestCase):
    """The users' platform is named in one small folder only."""

    def test_no_wire_name_stands_outside_the_adapter(self):
        adapter = PACKAGE / "platform"
        paths = [path for path in PACKAGE.rglob("*.py") if adapter not in path.parents]
        self.assertGreater(len(paths), 50)
        wrong = [path.name for path in paths if WIRE_NAMES.search(path.read_text())]
        self.assertEqual([], wrong)

    def test_the_adapter_has_them_and_stays_small(self):
        inside = [path.read_text() for path in (PACKAGE / "platform").glob("*.py")]
        self.assertTrue(any(WIRE_NAMES.search(text) for text in inside))
        all_lines = sum(
            len(path.read_text().splitlines())
            for path in PACKAGE.rglob("*.py")
            if "generated" not in path.parts
        )
        lines = sum(len(text.splitlines()) for text in inside)
        self.assertLess(lines, MAX_ADAPTER_SHARE * all_lines)


class LayersTest(testtools.TestCase):
    def modules(self, layer: str) -> list[Path]:
        paths = sorted((PACKAGE / layer).rglob("*.py"))
        self.assertGreater(len(paths), 1)
        return [path for path in paths if "generated" not in path.parts]

    def test_imports_point_one_way(self):
        wrong = []
        for rank, layer in enumerate(ORDER):
            above = tuple(f"sycamorebay.{name}" for name in ORDER[rank + 1 :])
            for path in self.modules(layer):
                wrong += [(path.name, name) for name in imports(path) if name.startswith(above)]
        self.assertEqual([], wrong)

    def test_decisions_and_state_have_no_clock_socket_or_task(self):
        wrong = []
        for layer in ORDER[:2]:
            for path in self.modules(layer):
                tops = {name.partition(".")[0] for name in imports(path)}
                wrong += [(path.name, name) for name in tops & IMPURE]
        self.assertEqual([], wrong)
