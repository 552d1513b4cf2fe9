from __future__ import annotations

import ast
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
