"""Items of the platform's key-value store, as plain values."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoredItem:
    """A key's value in the store.

    Attributes
    ----------
    key : str
        The key.
    value : bytes or None
        Its value; None where it was deleted.
    version : int
        The store's revision of its last change.
    """

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Listing:
    """All keys under a prefix at one version of the store."""

    items: tuple[StoredItem, ...]
    version: int


@attrs.frozen
class Write:
    """A key to write along with another, or to delete where `value` is None."""

    key: str
    value: bytes | None
    lease: int = 0
