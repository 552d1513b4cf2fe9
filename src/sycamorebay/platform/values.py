"""Strict decoding of fields in the platform's JSON."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from sycamorebay.decoding import MAX_NUMBER, UndecodableError, check_text

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)\Z")


class ValueFault(UndecodableError):
    """A field is missing or its value is not what the platform documents."""


def table(document: Any, name: str) -> Mapping[str, Any]:
    """Return a field that is a JSON object.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    value = _field(document, name)
    if not isinstance(value, dict):
        raise ValueFault(f"{name}: expected a JSON object")
    return value


def text(document: Any, name: str) -> str:
    """Return a field that is a non-empty string.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    value = _field(document, name)
    if not isinstance(value, str) or not value:
        raise ValueFault(f"{name}: expected a non-empty string")
    return check_text(value)


def integer(document: Any, name: str, minimum: int = 0) -> int:
    """Return a field that is an integer from `minimum` to `MAX_NUMBER`.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    value = _field(document, name)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueFault(f"{name}: expected an integer")
    if not minimum <= value <= MAX_NUMBER:
        raise ValueFault(f"{name}: expected an integer from {minimum} to {MAX_NUMBER}")
    return value


def number(document: Any, name: str) -> float:
    """Return a field that is a number from 0 to `MAX_NUMBER`.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    value = _field(document, name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueFault(f"{name}: expected a number")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueFault(f"{name}: expected a number from 0 to {MAX_NUMBER}")
    return float(value)


def boolean(document: Any, name: str) -> bool:
    """Return an optional field that is true or false; False if it is missing.

    Raises
    ------
    ValueFault
        If the field has another value.
    """
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise ValueFault(f"{name}: expected true or false")
    return value


def seconds(document: Any, name: str) -> float:
    """Return a field with a duration such as ``1500ms`` or ``2s``, converted to seconds.

    It is at most `MAX_NUMBER` seconds.

    Raises
    ------
    ValueFault
        If the field is missing or has another value.
    """
    matched = _TIME.match(text(document, name))
    if matched is None:
        raise ValueFault(f"{name}: expected a duration such as 1500ms or 2s")
    duration_s = float(matched[1]) / (1000.0 if matched[2] == "ms" else 1.0)
    if duration_s > MAX_NUMBER:
        raise ValueFault(f"{name}: expected at most {MAX_NUMBER} s")
    return duration_s


def _field(document: Any, name: str) -> Any:
    if not isinstance(document, dict):
        raise ValueFault(f"{name}: expected a JSON object that contains this field")
    if name not in document:
        raise ValueFault(f"{name}: required field is missing")
    return document[name]
