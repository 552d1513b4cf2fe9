"""Codec of store items, and of copies of the store cache that daemons fetch from each other."""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterable
from typing import Any

import attrs

from sycamorebay.state.stored import StoredItem

Row = list[str | int | None]


@attrs.frozen
class CacheCopy:
    """Items of a daemon's store cache.

    Attributes
    ----------
    items : tuple of StoredItem
        All items, or those that changed after a version, deleted ones included.
    version : int
        Version of the store up to which they are complete.
    after : int or None
        Version after which the items changed; None for a whole copy.
    """

    items: tuple[StoredItem, ...]
    version: int
    after: int | None = None


def items_to_rows(items: Iterable[StoredItem]) -> list[Row]:
    """Return items as rows for JSON: key, value or None, and version.

    A value that is not UTF-8 is written in Base64, which a fourth element of its row tells.
    """
    return [_row(item) for item in items]


def rows_to_items(rows: Iterable[Any]) -> list[StoredItem]:
    """Return the items of decoded JSON rows.

    Raises
    ------
    ValueError, TypeError, AttributeError
        If a row is malformed.
    """
    return [_item(row) for row in rows]


def encode_copy(copy: CacheCopy) -> bytes:
    """Return the compressed bytes of a copy."""
    document = {"version": copy.version, "after": copy.after, "items": items_to_rows(copy.items)}
    return zlib.compress(json.dumps(document).encode(), 1)


def decode_copy(data: bytes) -> CacheCopy:
    """Return the copy that was encoded as `data`.

    Raises
    ------
    ValueError
        If the data is not a copy of a store cache.
    """
    try:
        document = json.loads(zlib.decompress(data))
        after = document["after"]
        return CacheCopy(
            tuple(rows_to_items(document["items"])),
            int(document["version"]),
            None if after is None else int(after),
        )
    except (KeyError, TypeError, AttributeError, zlib.error) as error:
        raise ValueError(f"the data is not a copy of a store cache: {error!r}") from error


def _row(item: StoredItem) -> Row:
    if item.value is None:
        return [item.key, None, item.version]
    try:
        return [item.key, item.value.decode(), item.version]
    except UnicodeDecodeError:
        return [item.key, base64.b64encode(item.value).decode(), item.version, 1]


def _item(row: Any) -> StoredItem:
    key, value, version, *is_base64 = row
    if value is None:
        return StoredItem(str(key), None, int(version))
    data = base64.b64decode(value) if is_base64 else value.encode()
    return StoredItem(str(key), data, int(version))
