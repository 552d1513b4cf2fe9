"""Versions of the platform's store, and its items and listings with them.

The store counts its changes by revisions. After it was restored from an older copy it gives
revisions out again, for other changes, so a revision alone is no order of time. The store also
counts its restores, as eras: a version is a revision in its era.
"""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class StoreVersion:
    """A revision of the store in one era; later eras come after all revisions of earlier ones.

    Attributes
    ----------
    era : int
        Number of the era; it rises with each restore of the store.
    revision : int
        Revision within the era.
    """

    era: int
    revision: int

    def in_era(self, era: int, limit: int) -> StoreVersion:
        """Return the version of the same state in another era, at most the revision `limit`."""
        return StoreVersion(era, min(self.revision, limit))

    def __str__(self) -> str:
        """Return the form of log lines and addresses, such as ``2.31``."""
        return f"{self.era}.{self.revision}"


# Version of a daemon that knows nothing of the store yet.
NO_VERSION = StoreVersion(0, 0)


def parse_version(text: str) -> StoreVersion:
    """Return the version that a text such as ``2.31`` stands for.

    Raises
    ------
    ValueError
        If it is no version.
    """
    era, _, revision = text.partition(".")
    if not (era.isdecimal() and revision.isdecimal()):
        raise ValueError(f"expected ERA.REVISION, found {text!r}")
    return StoreVersion(int(era), int(revision))


@attrs.frozen
class VersionedItem:
    """One key of the store with its value and version.

    Attributes
    ----------
    key : str
        Full key, including the prefix.
    value : bytes or None
        Value of the key; None if the key was deleted.
    version : StoreVersion
        Version of the store at the key's last change.
    forgotten : bool
        Whether a restored store does not have this state: the value is known from before the
        restore, or, of a deleted key, the restored store lacks it and nobody deleted it.
    last_order : tuple of (int, int) or None
        Of a deleted key, the place of its last document among those of its writer, if known.
    """

    key: str
    value: bytes | None
    version: StoreVersion
    forgotten: bool = False
    last_order: tuple[int, int] | None = attrs.field(default=None, eq=False)


@attrs.frozen
class VersionedListing:
    """All items of the store.

    Attributes
    ----------
    items : tuple of VersionedItem
        Items that are not deleted; of a peer's copy also deleted ones that it keeps so.
    version : StoreVersion
        Version up to which the listing is complete.
    """

    items: tuple[VersionedItem, ...]
    version: StoreVersion
