"""Renders the tables of ``docs/CAPACITY.md`` between their marker comments."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from pathlib import Path

import attrs

from bench.capacity import rows_calls, rows_control, rows_platform
from bench.capacity.rows import Row
from bench.capacity.size import ASSUMED, DESIGN, PLATFORM
from bench.capacity.slopes import Figure, Results, Slope, load_results

PAGE_PATH = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
_TABLE = re.compile(r"<!-- table: (?P<name>[a-z-]+) -->\n.*?<!-- end -->", re.DOTALL)


def all_rows(results: Results) -> list[Row]:
    """Return the rows of all parts, computed from the results."""
    parts = (rows_calls, rows_control, rows_platform)
    return [row for part in parts for row in part.rows(results)]


def render_page(path: Path = PAGE_PATH) -> None:
    """Rewrite the tables of a page from the committed results; the text around them stays."""
    path.write_text(render(path.read_text(), load_results()))


def render(text: str, results: Results) -> str:
    """Return the text of a page with its tables rendered from results.

    Raises
    ------
    KeyError
        If a marker names an unknown table.
    """

    def replace_table(match: re.Match[str]) -> str:
        name = match["name"]
        return f"<!-- table: {name} -->\n{_TABLES_BY_NAME[name](results)}<!-- end -->"

    return _TABLE.sub(replace_table, text)


def _table(head: tuple[str, ...], body: Iterable[tuple[str, ...]]) -> str:
    lines = [head, ("---",) * len(head), *body]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)


def _not_fitting(results: Results) -> str:
    head = ("role", "need", "at design size", "bound", "how known", "what would make it fit")
    body = [
        (
            row.role,
            row.quantity,
            _quantity(row.value, row.unit),
            _quantity(row.bound, row.unit) if row.bound is not None else "-",
            f"{row.evidence}: {row.basis}" + ("" if row.mechanism else "; **no mechanism yet**"),
            row.remedy,
        )
        for row in all_rows(results)
        if not row.fits()
    ]
    return _table(head, body)


def _roles(results: Results) -> str:
    head = ("role", "kind", "need", "at design size", "bound", "how known", "carried by")
    body = [
        (
            row.role,
            row.kind,
            row.quantity,
            _quantity(row.value, row.unit),
            _quantity(row.bound, row.unit) if row.bound is not None else "-",
            f"{row.evidence}: {row.basis}",
            f"`{row.mechanism}`",
        )
        for row in all_rows(results)
        if row.fits()
    ]
    return _table(head, body)


def _slopes(results: Results) -> str:
    head = ("slope", "per", "slope (least to most)", "at zero", "costs at sizes", "load")
    by_name = sorted(results.slopes_by_name.items())
    return _table(head, [_slope_line(slope) for _, slope in by_name])


def _slope_line(slope: Slope) -> tuple[str, ...]:
    each = slope.slopes()
    costs = ", ".join(f"{size:g}: {_number(slope.cost_at(size))}" for size in slope.sizes)
    return (
        f"`{slope.name}`, {slope.unit}",
        slope.per,
        f"{_number(slope.slope())} ({_number(min(each))} to {_number(max(each))}, n={len(each)})",
        _number(slope.intercept()),
        costs,
        f"{slope.load_average:g}",
    )


def _figures(results: Results) -> str:
    head = ("figure", "median (least to most)", "load")
    by_name = sorted(results.figures_by_name.items())
    return _table(head, [_figure_line(figure) for _, figure in by_name])


def _figure_line(figure: Figure) -> tuple[str, ...]:
    values = figure.values
    spread = f"({_number(min(values))} to {_number(max(values))}, n={len(values)})"
    return (
        f"`{figure.name}`, {figure.unit}",
        f"{_number(figure.median())} {spread}",
        f"{figure.load_average:g}",
    )


def _assumptions(_results: Results) -> str:
    named = [
        (f"`{kind}.{name}`", f"{value:g}")
        for kind, settings in (("size", DESIGN), ("platform", PLATFORM), ("assumed", ASSUMED))
        for name, value in attrs.asdict(settings).items()
    ]
    return _table(("constant of `bench/capacity/size.py`", "value"), named)


def _measured_at(results: Results) -> str:
    runs = sorted(results.runs_by_group.items())
    return _table(
        ("group, `python -m bench.capacity GROUP`", "commit measured", "seconds"),
        [
            *((f"`{group}`", f"`{run.commit}`", f"{run.seconds:g}") for group, run in runs),
            ("all", "", f"{sum(run.seconds for _, run in runs):.0f}"),
        ],
    )


def _quantity(value: float, unit: str) -> str:
    return f"{_number(value)} {unit}"


def _number(value: float) -> str:
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


_TABLES_BY_NAME: dict[str, Callable[[Results], str]] = {
    "does-not-fit": _not_fitting,
    "roles": _roles,
    "slopes": _slopes,
    "figures": _figures,
    "constants": _assumptions,
    "measured-at": _measured_at,
}
