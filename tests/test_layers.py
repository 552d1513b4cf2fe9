from __future__ import annotations

import ast
import re
from pathlib import Path

import testtools

PACKAGE = Path(__file__).resolve().parent.parent / "src" / "sycamorebay"
LAYERS = ["state", "coordination", "protocol", "transport"]
FORBIDDEN_IMPORTS = {
    "asyncio",
    "socket",
    "time",
    "threading",
    "os",
    "aiohttp",
    "uvicorn",
    "falcon",
    "secrets",
}


def imports(path: Path) -> set[str]:
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
    return modules


WIRE_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|op/config|(?<![a-z_])servers/|target-instance|SYCAMOREBAY_BOOT"
    r"|not-executed|server-sig|warmup_time|max_conns",
    re.IGNORECASE,
)
MAX_ADAPTER_LINE_SHARE = 0.1


class AdapterTest(testtools.TestCase):
    """Wire names of the users' platform appear only in the small package of its adapter."""

    def test_no_wire_name_appears_outside_the_adapter(self):
        adapter = PACKAGE / "platform"
        paths = [path for path in PACKAGE.rglob("*.py") if adapter not in path.parents]
        self.assertGreater(len(paths), 50)
        violations = [path.name for path in paths if WIRE_NAMES.search(path.read_text())]
        self.assertEqual([], violations)

    def test_the_adapter_has_wire_names_and_is_small(self):
        inside = [path.read_text() for path in (PACKAGE / "platform").glob("*.py")]
        self.assertTrue(any(WIRE_NAMES.search(text) for text in inside))
        all_lines = sum(
            len(path.read_text().splitlines())
            for path in PACKAGE.rglob("*.py")
            if "generated" not in path.parts
        )
        lines = sum(len(text.splitlines()) for text in inside)
        self.assertLess(lines, MAX_ADAPTER_LINE_SHARE * all_lines)


class LayersTest(testtools.TestCase):
    def modules(self, layer: str) -> list[Path]:
        paths = sorted((PACKAGE / layer).rglob("*.py"))
        self.assertGreater(len(paths), 1)
        return [path for path in paths if "generated" not in path.parts]

    def test_no_layer_imports_one_above_it(self):
        violations = []
        for rank, layer in enumerate(LAYERS):
            above = tuple(f"sycamorebay.{name}" for name in LAYERS[rank + 1 :])
            for path in self.modules(layer):
                violations += [
                    (path.name, name) for name in imports(path) if name.startswith(above)
                ]
        self.assertEqual([], violations)

    def test_coordination_and_state_use_no_clock_socket_or_task(self):
        violations = []
        for layer in LAYERS[:2]:
            for path in self.modules(layer):
                packages = {name.partition(".")[0] for name in imports(path)}
                violations += [(path.name, name) for name in packages & FORBIDDEN_IMPORTS]
        self.assertEqual([], violations)
