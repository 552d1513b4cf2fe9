"""Faults found by the validation of settings or a document."""

from __future__ import annotations

from typing import Any

import attrs

_MAX_VALUE_CHARS = 80


@attrs.frozen
class Fault:
    """One fault of a JSON value.

    Attributes
    ----------
    path : str
        Path of the fault, such as ``services/0/name``; empty for the whole value.
    value : str
        Value that was found, shortened for display.
    allowed : str
        Description of the values that are allowed.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path or '(root)'}: {self.value}: {self.allowed}"


def fault_at(path: str, value: Any, allowed: str) -> Fault:
    """Return a fault, with its value shortened for display."""
    displayed = repr(value)
    if len(displayed) > _MAX_VALUE_CHARS:
        displayed = displayed[:_MAX_VALUE_CHARS] + "..."
    return Fault(path, displayed, allowed)


def schema_faults(schema: dict[str, Any], data: Any) -> list[Fault]:
    """Validate `data` against a JSON Schema and return every fault, sorted by path."""
    # The import is slow, and daemons that do not read a document never need it.
    from jsonschema import Draft202012Validator

    errors = Draft202012Validator(schema).iter_errors(data)
    faults = [
        fault_at("/".join(str(part) for part in error.absolute_path), error.instance, error.message)
        for error in errors
    ]
    return sorted(faults, key=lambda fault: fault.path)
