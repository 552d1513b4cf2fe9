"""Items of the store, and whole directories of them, as daemons send them to each other."""

from __future__ import annotations

import base64
import json
import zlib
from collections.abc import Iterable

from sycamorebay.state.stored import Stored


def value_text(value: bytes | None) -> str | None:
    """Return an item's value as JSON takes it."""
    return None if value is None else base64.b64encode(value).decode()


def value_bytes(value: str | None) -> bytes | None:
    """Return an item's value of its text."""
    return None if value is None else base64.b64decode(value)


def directory_text(items: Iterable[Stored], version: int) -> bytes:
    """Return a whole directory for a peer that asks for it."""
    rows = [[item.key, value_text(item.value), item.version] for item in items]
    return zlib.compress(json.dumps({"version": version, "items": rows}).encode(), 1)


def read_directory(data: bytes) -> tuple[list[Stored], int]:
    """Return the items and the version of a peer's directory.

    Raises
    ------
    ValueError
        Where the text is not one.
    """
    try:
        found = json.loads(zlib.decompress(data))
        items = [Stored(str(k), value_bytes(value), int(v)) for k, value, v in found["items"]]
        return items, int(found["version"])
    except (KeyError, TypeError, zlib.error) as error:
        raise ValueError(f"not a directory: {error!r}") from error
