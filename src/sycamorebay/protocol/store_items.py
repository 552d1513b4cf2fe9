"""Codec of store items, and of copies of the store cache that daemons fetch from each other."""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterable
from typing import Any

import attrs

from sycamorebay.decoding import UndecodableError, check_integer, check_text, decoding, parse_json
from sycamorebay.state.store_versions import StoreVersion, VersionedItem

# A copy that decompresses to more than this does not fit into a daemon's memory.
MAX_COPY_BYTES = 64 * 1024 * 1024
Row = list[str | int | list[int] | None]
# Flags of a row, its fourth element.
_IS_BASE64 = 1
_IS_FORGOTTEN = 2


@attrs.frozen
class CacheCopy:
    """Items of a daemon's store cache.

    Attributes
    ----------
    items : tuple of VersionedItem
        All items, or those that changed after a version, deleted ones included.
    version : StoreVersion
        Version of the store up to which they are complete; all items are of its era.
    after : StoreVersion or None
        Version after which the items changed; None for a whole copy.
    """

    items: tuple[VersionedItem, ...]
    version: StoreVersion
    after: StoreVersion | None = None


def version_to_row(version: StoreVersion) -> list[int]:
    """Return a version for JSON: its era and revision."""
    return [version.era, version.revision]


def row_to_version(row: Any) -> StoreVersion:
    """Return the version of a decoded JSON row.

    Raises
    ------
    UndecodableError
        If the row is malformed.
    """
    with decoding("version"):
        era, revision = row
    return StoreVersion(check_integer(era), check_integer(revision))


def items_to_rows(items: Iterable[VersionedItem]) -> list[Row]:
    """Return items of one era as rows for JSON: key, value or None, and revision.

    A fourth element holds flags if there are any: whether the value is in Base64, since it is not
    UTF-8, and whether a restored store has forgotten it. A fifth one, of a deleted key, is the
    place of its last document among those of its writer.
    """
    return [_row(item) for item in items]


def rows_to_items(rows: Iterable[Any], era: int) -> list[VersionedItem]:
    """Return the items of decoded JSON rows, which are of an era.

    Raises
    ------
    UndecodableError
        If a row is malformed.
    """
    with decoding("items"):
        return [_item(row, era) for row in rows]


def encode_copy(copy: CacheCopy) -> bytes:
    """Return the compressed bytes of a copy."""
    document = {
        "version": version_to_row(copy.version),
        "after": None if copy.after is None else version_to_row(copy.after),
        "items": items_to_rows(copy.items),
    }
    return zlib.compress(json.dumps(document).encode(), 1)


def decode_copy(data: bytes) -> CacheCopy:
    """Return the copy that was encoded as `data`.

    Raises
    ------
    UndecodableError
        If the data is not a copy of a store cache.
    """
    with decoding("copy of a store cache"):
        document = parse_json(decompress(data, MAX_COPY_BYTES))
        after = document["after"]
        version = row_to_version(document["version"])
        return CacheCopy(
            tuple(rows_to_items(document["items"], version.era)),
            version,
            None if after is None else row_to_version(after),
        )


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return data decompressed.

    Raises
    ------
    UndecodableError
        If it is damaged, cut short, or decompresses to more than `max_bytes` bytes.
    """
    decompressor = zlib.decompressobj()
    with decoding("compressed data"):
        plain = decompressor.decompress(data, max_bytes)
    if not decompressor.eof:
        raise UndecodableError("the compressed data is cut short or too long")
    return plain


def _row(item: VersionedItem) -> Row:
    value, flags = _encode_value(item.value)
    row: Row = [item.key, value, item.version.revision]
    if item.forgotten:
        flags |= _IS_FORGOTTEN
    if flags or item.last_order is not None:
        row.append(flags)
    if item.last_order is not None:
        row.append(list(item.last_order))
    return row


def _encode_value(value: bytes | None) -> tuple[str | None, int]:
    """Return a value as text, and the flags that tell how."""
    if value is None:
        return None, 0
    try:
        return value.decode(), 0
    except UnicodeDecodeError:
        return base64.b64encode(value).decode(), _IS_BASE64


def _item(row: Any, era: int) -> VersionedItem:
    key, text, revision, *rest = row
    flags = int(rest[0]) if rest else 0
    value = None
    if text is not None:
        value = base64.b64decode(text) if flags & _IS_BASE64 else text.encode()
    last_order = _order(*rest[1]) if len(rest) > 1 else None
    is_forgotten = bool(flags & _IS_FORGOTTEN)
    version = StoreVersion(era, check_integer(revision))
    return VersionedItem(check_text(key), value, version, is_forgotten, last_order)


def _order(first: int, second: int) -> tuple[int, int]:
    return check_integer(first), check_integer(second)
