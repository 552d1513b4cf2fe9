"""Structural differences between two documents, addressed by the names of their parts."""

from __future__ import annotations

from typing import Any

import attrs

_NAME_FIELDS = ("name", "id")


@attrs.frozen
class Difference:
    """One part that differs between two documents.

    Attributes
    ----------
    path : str
        Path of the part, such as ``services/lot-desk/backend_servers/lot-desk-4/slots``.
    before, after : object
        Old and new value; None if the part is missing in that document.
    """

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {_format_value(self.after)}"
        if self.after is None:
            return f"- {self.path}: {_format_value(self.before)}"
        return f"~ {self.path}: {_format_value(self.before)} -> {_format_value(self.after)}"


def differences(before: Any, after: Any, path: str = "") -> list[Difference]:
    """Return the differences between two parsed documents, sorted by name at each level.

    Parameters
    ----------
    before, after : object
        Old and new value, as parsed from JSON.
    path : str
        Path of the values in the document; empty for whole documents.
    """
    if before == after:
        return []
    before_by_name, after_by_name = _parts_by_name(before), _parts_by_name(after)
    if before_by_name is None or after_by_name is None:
        return [Difference(path, before, after)]
    found = _order_differences(before, after, path)
    for name in sorted(before_by_name.keys() | after_by_name.keys()):
        part_path = f"{path}/{name}" if path else name
        found += differences(before_by_name.get(name), after_by_name.get(name), part_path)
    return found


def _order_differences(before: Any, after: Any, path: str) -> list[Difference]:
    """Return a change in the order of the parts that both lists contain.

    The order matters because the first matching route is used.
    """
    if not isinstance(before, list) or not isinstance(after, list):
        return []
    names_before = [_name_of(item) for item in before]
    names_after = [_name_of(item) for item in after]
    common = set(names_before) & set(names_after)
    old_order = [name for name in names_before if name in common]
    new_order = [name for name in names_after if name in common]
    return [] if old_order == new_order else [Difference(f"{path} (order)", old_order, new_order)]


def _parts_by_name(value: Any) -> dict[str, Any] | None:
    """Return the parts of a value by name, or None if they have no unique names."""
    if isinstance(value, dict):
        return value
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return None
    names = [_name_of(item) for item in value]
    if len(set(names)) != len(names):
        return None
    return dict(zip(names, value, strict=True))


def _name_of(item: Any) -> str:
    if not isinstance(item, dict):
        return str(item)
    for field in _NAME_FIELDS:
        if field in item:
            return str(item[field])
    return f"{','.join(item.get('methods', ()))} {item.get('path', '')}"


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key}: {_format_value(part)}" for key, part in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(_format_value(part) for part in value) + "]"
    return str(value)
