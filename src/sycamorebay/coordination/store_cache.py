"""What the fleet knows of the store: items by version, merged from reads and from peers."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorebay.state.stored import Listing, StoredItem

# Deleted keys are remembered so that an older write can't bring them back.
MAX_DELETED = 4096


class StoreCache:
    """The items that this daemon knows, and the version up to which it knows all of them.

    Merging is monotone: of two items of a key the later version stays, in whichever order and by
    whichever way they come.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, StoredItem] = {}
        self.version = 0

    def on_listing(self, listing: Listing) -> list[StoredItem]:
        """Take all items as of a version; return what changed by it.

        Items may be later than the listing's version, since pages are no snapshot.
        """
        changed = self._merge(listing.items)
        listed = {item.key for item in listing.items}
        gone = [
            StoredItem(item.key, None, listing.version)
            for item in self._by_key.values()
            if item.value is not None and item.key not in listed and item.version <= listing.version
        ]
        changed += self._merge(gone)
        self.version = max(self.version, listing.version)
        return changed

    def on_changes(
        self, after: int, items: Iterable[StoredItem], version: int
    ) -> list[StoredItem] | None:
        """Take the changes between two versions; None where earlier ones are missing here."""
        if after > self.version:
            return None
        changed = self._merge(items)
        self.version = max(self.version, version)
        return changed

    def items(self) -> tuple[StoredItem, ...]:
        """Return all items that are not deleted."""
        return tuple(item for item in self._by_key.values() if item.value is not None)

    def _merge(self, items: Iterable[StoredItem]) -> list[StoredItem]:
        changed = []
        for item in items:
            known = self._by_key.get(item.key)
            if known is not None and known.version >= item.version:
                continue
            self._by_key[item.key] = item
            if item.value is not None or (known is not None and known.value is not None):
                changed.append(item)
        self._forget_deleted()
        return changed

    def _forget_deleted(self) -> None:
        if len(self._by_key) <= MAX_DELETED:
            return
        deleted = [item for item in self._by_key.values() if item.value is None]
        deleted.sort(key=lambda item: item.version)
        for item in deleted[: len(self._by_key) - MAX_DELETED]:
            del self._by_key[item.key]
