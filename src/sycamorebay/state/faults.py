"""Faults found while checking settings or a document."""

from __future__ import annotations

from typing import Any

import attrs

_SHOWN_VALUE_CHARS = 80


@attrs.frozen
class Fault:
    """One fault of a checked JSON value.

    Attributes
    ----------
    path : str
        Where the fault is, such as ``services/0/name``.
    value : str
        The value found there, shortened.
    allowed : str
        What is allowed there.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path or '(root)'}: {self.value}: {self.allowed}"


def fault_at(path: str, value: Any, allowed: str) -> Fault:
    """Return a fault whose value is shortened for display."""
    shown = repr(value)
    if len(shown) > _SHOWN_VALUE_CHARS:
        shown = shown[:_SHOWN_VALUE_CHARS] + "..."
    return Fault(path, shown, allowed)


def schema_faults(schema: dict[str, Any], data: Any) -> list[Fault]:
    """Return every fault of `data` against a JSON Schema, in path order."""
    # Costly to import, and daemons that take no document of their own need none of it.
    from jsonschema import Draft202012Validator

    errors = Draft202012Validator(schema).iter_errors(data)
    faults = [
        fault_at("/".join(str(part) for part in error.absolute_path), error.instance, error.message)
        for error in errors
    ]
    return sorted(faults, key=lambda fault: fault.path)
