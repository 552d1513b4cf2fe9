"""Items of the store, and whole directories of them, as daemons send them to each other."""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterable
from typing import Any

from sycamorebay.state.stored import StoredItem

Row = list[str | int | None]


def items_to_rows(items: Iterable[StoredItem]) -> list[Row]:
    """Return items as JSON takes them."""
    return [[item.key, _text(item.value), item.version] for item in items]


def rows_to_items(rows: Iterable[Any]) -> list[StoredItem]:
    """Return the items of their rows; raises `ValueError` or `TypeError` where they are none."""
    return [StoredItem(str(key), _bytes(value), int(version)) for key, value, version in rows]


def encode_snapshot(items: Iterable[StoredItem], version: int) -> bytes:
    """Return a whole directory for a peer that asks for it."""
    found = {"version": version, "items": items_to_rows(items)}
    return zlib.compress(json.dumps(found).encode(), 1)


def decode_snapshot(data: bytes) -> tuple[list[StoredItem], int]:
    """Return the items and the version of a peer's directory.

    Raises
    ------
    ValueError
        Where the text is not one.
    """
    try:
        found = json.loads(zlib.decompress(data))
        return rows_to_items(found["items"]), int(found["version"])
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"not a directory: {error!r}") from error


def _text(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _bytes(text: str | None) -> bytes | None:
    return None if text is None else base64.b64decode(text)
