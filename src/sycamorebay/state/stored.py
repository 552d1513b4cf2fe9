"""Plain value types for items of the platform's key-value store."""

from __future__ import annotations

import attrs


@attrs.frozen
class StoredItem:
    """One key of the store with its value and version.

    Attributes
    ----------
    key : str
        Full key, including the prefix.
    value : bytes or None
        Value of the key; None if the key was deleted.
    version : int
        Revision of the store at the key's last change.
    """

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Listing:
    """All items under a prefix.

    Attributes
    ----------
    items : tuple of StoredItem
        Items that are not deleted.
    version : int
        Revision of the store up to which the listing is complete.
    """

    items: tuple[StoredItem, ...]
    version: int


@attrs.frozen
class Write:
    """Write of one key as part of a transaction.

    Attributes
    ----------
    key : str
        Full key, including the prefix.
    value : bytes or None
        Value to write; None deletes the key.
    lease : int
        Id of the lease that the key expires with; 0 for none.
    """

    key: str
    value: bytes | None
    lease: int = 0
