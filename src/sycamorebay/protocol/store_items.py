"""Codec of store items and of whole cache snapshots that daemons send to each other."""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterable
from typing import Any

from sycamorebay.state.stored import StoredItem

Row = list[str | int | None]


def items_to_rows(items: Iterable[StoredItem]) -> list[Row]:
    """Return items as rows for JSON: key, value in Base64 or None, and version."""
    return [[item.key, _encode_value(item.value), item.version] for item in items]


def rows_to_items(rows: Iterable[Any]) -> list[StoredItem]:
    """Return the items of decoded JSON rows.

    Raises
    ------
    ValueError, TypeError
        If a row is not a key, a value in Base64 or None, and a version.
    """
    return [
        StoredItem(str(key), _decode_value(value), int(version)) for key, value, version in rows
    ]


def encode_snapshot(items: Iterable[StoredItem], version: int) -> bytes:
    """Return a compressed snapshot of the store cache, for a peer that fetches it.

    Parameters
    ----------
    items : iterable of StoredItem
        All items of the cache.
    version : int
        Version of the store up to which they are complete.
    """
    snapshot = {"version": version, "items": items_to_rows(items)}
    return zlib.compress(json.dumps(snapshot).encode(), 1)


def decode_snapshot(data: bytes) -> tuple[list[StoredItem], int]:
    """Return the items and the version of a peer's snapshot.

    Raises
    ------
    ValueError
        If the data is not a snapshot.
    """
    try:
        snapshot = json.loads(zlib.decompress(data))
        return rows_to_items(snapshot["items"]), int(snapshot["version"])
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"the data is not a snapshot of the store cache: {error!r}") from error


def _encode_value(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _decode_value(text: str | None) -> bytes | None:
    return None if text is None else base64.b64decode(text)
