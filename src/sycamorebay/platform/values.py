"""Strict decoding of fields in the platform's JSON."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from typing import Any

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)\Z")


class ValueFault(ValueError):
    """A field is missing or its value is not what the platform documents."""


def table(source: Any, name: str) -> Mapping[str, Any]:
    """Return a field that is a JSON object.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    found = _field(source, name)
    if not isinstance(found, dict):
        raise ValueFault(f"{name}: expected a JSON object")
    return found


def text(source: Any, name: str) -> str:
    """Return a field that is a non-empty string.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    found = _field(source, name)
    if not isinstance(found, str) or not found:
        raise ValueFault(f"{name}: expected a non-empty string")
    return found


def integer(source: Any, name: str, minimum: int = 0) -> int:
    """Return a field that is an integer of at least `minimum`.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    found = _field(source, name)
    if isinstance(found, bool) or not isinstance(found, int) or found < minimum:
        raise ValueFault(f"{name}: expected an integer of at least {minimum}")
    return found


def number(source: Any, name: str) -> float:
    """Return a field that is a finite number of at least 0.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    found = _field(source, name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise ValueFault(f"{name}: expected a number")
    if not math.isfinite(found) or found < 0:
        raise ValueFault(f"{name}: expected a finite number of at least 0")
    return float(found)


def seconds(source: Any, name: str) -> float:
    """Return a field with a duration such as ``1500ms`` or ``2s``, converted to seconds.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    found = _TIME.match(text(source, name))
    if found is None:
        raise ValueFault(f"{name}: expected a duration such as 1500ms or 2s")
    return float(found[1]) / (1000.0 if found[2] == "ms" else 1.0)


def _field(source: Any, name: str) -> Any:
    if not isinstance(source, dict):
        raise ValueFault(f"{name}: expected a JSON object that contains this field")
    if name not in source:
        raise ValueFault(f"{name}: required field is missing")
    return source[name]
