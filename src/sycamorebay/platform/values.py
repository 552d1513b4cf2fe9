"""Strict reading of the platform's JSON values."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from typing import Any

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)\Z")


class ValueFault(ValueError):
    """A field is missing or has another type than the platform's pages say."""


def table(source: Any, name: str) -> Mapping[str, Any]:
    """Return a table by its name."""
    found = _field(source, name)
    if not isinstance(found, dict):
        raise ValueFault(f"{name}: a table was expected")
    return found


def text(source: Any, name: str) -> str:
    """Return a string that isn't empty."""
    found = _field(source, name)
    if not isinstance(found, str) or not found:
        raise ValueFault(f"{name}: text was expected")
    return found


def whole(source: Any, name: str, least: int = 0) -> int:
    """Return a whole number."""
    found = _field(source, name)
    if isinstance(found, bool) or not isinstance(found, int) or found < least:
        raise ValueFault(f"{name}: a whole number from {least} was expected")
    return found


def number(source: Any, name: str) -> float:
    """Return a number that is finite and not negative."""
    found = _field(source, name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise ValueFault(f"{name}: a number was expected")
    if not math.isfinite(found) or found < 0:
        raise ValueFault(f"{name}: a number from 0 was expected")
    return float(found)


def seconds(source: Any, name: str) -> float:
    """Return a time, written as a number and its unit, in seconds."""
    found = _TIME.match(text(source, name))
    if found is None:
        raise ValueFault(f"{name}: a time such as 1500ms was expected")
    return float(found[1]) / (1000.0 if found[2] == "ms" else 1.0)


def _field(source: Any, name: str) -> Any:
    if not isinstance(source, dict):
        raise ValueFault(f"{name}: its table is missing")
    if name not in source:
        raise ValueFault(f"{name}: missing")
    return source[name]
