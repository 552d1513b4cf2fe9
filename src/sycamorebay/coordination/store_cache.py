"""Versioned cache of the store's items, merged from reads and from peers."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorebay.state.stored import Listing, StoredItem

# Deleted keys are kept as tombstones, so that an older write cannot restore them. The oldest
# tombstones are dropped when there are more than this.
MAX_TOMBSTONES = 4096


class StoreCache:
    """Items of the store that this daemon knows.

    Merging is monotone: of two items with the same key, the later version is kept, regardless of
    their order and source.

    Attributes
    ----------
    version : int
        Version of the store up to which the items are complete.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, StoredItem] = {}
        self._tombstone_count = 0
        self._complete_after = 0
        self.version = 0

    def on_listing(self, listing: Listing) -> list[StoredItem]:
        """Merge a complete listing and return the items that changed.

        Items may be later than the listing's version, because the pages of a listing are not read
        from one snapshot. A listing older than this cache is ignored, as it may hold keys whose
        tombstones were dropped.
        """
        if listing.version < self.version:
            return []
        changed = self._merge(listing.items)
        listed = {item.key for item in listing.items}
        deleted = [
            StoredItem(item.key, None, listing.version)
            for item in self._by_key.values()
            if item.value is not None and item.key not in listed and item.version <= listing.version
        ]
        changed += self._merge(deleted)
        self.version = max(self.version, listing.version)
        return changed

    def on_changes(
        self, after: int, items: Iterable[StoredItem], version: int
    ) -> list[StoredItem] | None:
        """Merge the changes between two versions and return the items that changed.

        Returns
        -------
        list of StoredItem or None
            None if changes before `after` are missing; nothing is merged then.
        """
        if after > self.version:
            return None
        changed = self._merge(items)
        self.version = max(self.version, version)
        return changed

    def changes_after(self, version: int) -> tuple[StoredItem, ...] | None:
        """Return the items that changed after a version, deleted ones included.

        Returns
        -------
        tuple of StoredItem or None
            None if tombstones of changes after that version were dropped.
        """
        if version < self._complete_after:
            return None
        return tuple(item for item in self._by_key.values() if item.version > version)

    def items(self) -> tuple[StoredItem, ...]:
        """Return all items except deleted ones."""
        return tuple(item for item in self._by_key.values() if item.value is not None)

    def _merge(self, items: Iterable[StoredItem]) -> list[StoredItem]:
        changed = []
        for item in items:
            known = self._by_key.get(item.key)
            if known is not None and known.version >= item.version:
                continue
            was_deleted = known is not None and known.value is None
            self._tombstone_count += (item.value is None) - was_deleted
            self._by_key[item.key] = item
            if item.value is not None or (known is not None and known.value is not None):
                changed.append(item)
        if self._tombstone_count > MAX_TOMBSTONES:
            self._drop_old_tombstones()
        return changed

    def _drop_old_tombstones(self) -> None:
        tombstones = [item for item in self._by_key.values() if item.value is None]
        tombstones.sort(key=lambda item: item.version)
        for item in tombstones[: len(tombstones) - MAX_TOMBSTONES]:
            del self._by_key[item.key]
            self._tombstone_count -= 1
            self._complete_after = max(self._complete_after, item.version)
