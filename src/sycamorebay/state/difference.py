"""What differs between two documents, by the names of their parts."""

from __future__ import annotations

from typing import Any

import attrs

_NAME_FIELDS = ("name", "id")


@attrs.frozen
class Difference:
    """One part that differs.

    Attributes
    ----------
    path : str
        Where, such as ``services/lot-desk/backend_servers/lot-desk-4/slots``.
    before, after : object
        The values; None where the part is missing on that side.
    """

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {_shown(self.after)}"
        if self.after is None:
            return f"- {self.path}: {_shown(self.before)}"
        return f"~ {self.path}: {_shown(self.before)} -> {_shown(self.after)}"


def differences(before: Any, after: Any, path: str = "") -> list[Difference]:
    """Return the differences of two parsed documents, in path order."""
    if before == after:
        return []
    before_by_name, after_by_name = _named(before), _named(after)
    if before_by_name is None or after_by_name is None:
        return [Difference(path, before, after)]
    found = _order(before, after, path)
    for name in sorted(before_by_name.keys() | after_by_name.keys()):
        there = f"{path}/{name}" if path else name
        found += differences(before_by_name.get(name), after_by_name.get(name), there)
    return found


def _order(before: Any, after: Any, path: str) -> list[Difference]:
    """Return a change of order among parts that are on both sides, since the first route wins."""
    if not isinstance(before, list) or not isinstance(after, list):
        return []
    names_before = [_name(item) for item in before]
    names_after = [_name(item) for item in after]
    common = set(names_before) & set(names_after)
    old = [name for name in names_before if name in common]
    new = [name for name in names_after if name in common]
    return [] if old == new else [Difference(f"{path} (order)", old, new)]


def _named(value: Any) -> dict[str, Any] | None:
    """Return the parts of a value by name, or None where it has none."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return None
    names = [_name(item) for item in value]
    if len(set(names)) != len(names):
        return None
    return dict(zip(names, value, strict=True))


def _name(item: Any) -> str:
    if not isinstance(item, dict):
        return str(item)
    for field in _NAME_FIELDS:
        if field in item:
            return str(item[field])
    return f"{','.join(item.get('methods', ()))} {item.get('path', '')}"


def _shown(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key}: {_shown(one)}" for key, one in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(_shown(one) for one in value) + "]"
    return str(value)
