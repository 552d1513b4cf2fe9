"""Versioned cache of the store's items, merged from reads and from peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from sycamorebay.coordination.forgotten import (
    DocumentOrder,
    NoDocumentOrder,
    is_later,
    merge_restored,
    missing_in_restored,
)
from sycamorebay.state.store_versions import (
    NO_VERSION,
    StoreVersion,
    VersionedItem,
    VersionedListing,
)

# Deleted keys are kept as tombstones, so that an older write cannot restore them. The oldest
# tombstones are dropped when there are more than this.
MAX_TOMBSTONES = 4096
# A writer that writes its documents again after a restore gets to the last one within this time. An
# earlier number that still stands then is what the writer wants.
REWRITE_S = 1.0


class StoreCache:
    """Items of the store that this daemon knows.

    Merging is monotone: of two items with the same key, the later version is kept, regardless of
    their order and source. When the store was restored from an older copy, what its writers had
    said before still holds, see `forgotten`.

    Parameters
    ----------
    order : DocumentOrder
        Order of the documents' writers.
    clock : callable
        Returns seconds on a monotonic clock.

    Attributes
    ----------
    version : StoreVersion
        Version of the store up to which the items are complete.
    """

    def __init__(
        self, order: DocumentOrder | None = None, clock: Callable[[], float] = lambda: 0.0
    ) -> None:
        self._order = order or NoDocumentOrder()
        self._clock = clock
        self._by_key: dict[str, VersionedItem] = {}
        self._tombstone_count = 0
        self._complete_after = NO_VERSION
        self._kept_keys: set[str] = set()
        self._overruled_by_key: dict[str, tuple[VersionedItem, float]] = {}
        self._released_by_key: dict[str, StoreVersion] = {}
        self.version = NO_VERSION

    @property
    def kept_count(self) -> int:
        """Number of keys whose state is known from before a restore, and not from the store."""
        return len(self._kept_keys)

    @property
    def overruled_count(self) -> int:
        """Number of documents that have an earlier number than those known, for now."""
        return len(self._overruled_by_key)

    def on_listing(self, listing: VersionedListing) -> list[VersionedItem]:
        """Merge a complete listing and return the items that changed.

        Items may be later than the listing's version, because the pages of a listing are not read
        from one snapshot. A listing older than this cache is ignored, as it may hold keys whose
        tombstones were dropped.
        """
        if listing.version < self.version:
            return []
        entering = listing.version.era > self.version.era
        listed = {item.key for item in listing.items}
        missing = [
            self._missing(item, listing.version)
            for item in self._by_key.values()
            if item.value is not None and item.key not in listed and item.version <= listing.version
        ]
        changed = self._merge([*listing.items, *missing])
        self.version = max(self.version, listing.version)
        if entering:
            self._enter_era(listing.version)
        return changed

    def on_changes(
        self, after: StoreVersion, items: Iterable[VersionedItem], version: StoreVersion
    ) -> list[VersionedItem] | None:
        """Merge the changes between two versions and return the items that changed.

        Changes into a new era apply to the very version that they start from, since a later
        revision of the earlier era was forgotten as well.

        Returns
        -------
        list of VersionedItem or None
            None if changes before `after` are missing; nothing is merged then.
        """
        if version.era < self.version.era:
            return []
        entering = version.era > self.version.era and self.version != NO_VERSION
        if entering and after != self.version:
            return None
        if not entering and after.era < self.version.era:
            return [] if version <= self.version else None
        is_from_start = self.version == NO_VERSION and after.revision == 0
        if after > self.version and not is_from_start:
            return None
        changed = self._merge(items)
        self.version = max(self.version, version)
        if entering:
            self._enter_era(version)
        return changed

    def changes_after(self, version: StoreVersion) -> tuple[VersionedItem, ...] | None:
        """Return the items that changed after a version, deleted ones included.

        Returns
        -------
        tuple of VersionedItem or None
            None if the version is of another era, or tombstones of changes after it were dropped.
        """
        if version.era != self.version.era or version < self._complete_after:
            return None
        return tuple(item for item in self._by_key.values() if item.version > version)

    def items(self) -> tuple[VersionedItem, ...]:
        """Return all items except deleted ones."""
        return tuple(item for item in self._by_key.values() if item.value is not None)

    def known_items(self) -> tuple[VersionedItem, ...]:
        """Return all items, and the deleted keys that are known."""
        return tuple(self._by_key.values())

    def kept_items(self) -> tuple[VersionedItem, ...]:
        """Return the keys whose state is known from before a restore, deleted ones included."""
        return tuple(self._by_key[key] for key in self._kept_keys)

    def release_overruled(self) -> list[VersionedItem]:
        """Accept documents with an earlier number that their writers have let stand.

        Returns
        -------
        list of VersionedItem
            The items that changed by that.
        """
        now = self._clock()
        released = []
        for key, (item, since) in list(self._overruled_by_key.items()):
            if now - since >= REWRITE_S:
                del self._overruled_by_key[key]
                self._released_by_key[key] = item.version
                self._store(item)
                released.append(item)
        return released

    def _merge(self, items: Iterable[VersionedItem]) -> list[VersionedItem]:
        changed = []
        for item in items:
            known = self._by_key.get(item.key)
            merged = item if known is None else self._resolve(known, item)
            if merged is None:
                continue
            self._store(merged)
            if _is_change(known, merged):
                changed.append(merged)
        if self._tombstone_count > MAX_TOMBSTONES:
            self._drop_old_tombstones()
        return changed

    def _resolve(self, known: VersionedItem, item: VersionedItem) -> VersionedItem | None:
        """Return what holds for a known key of which an item has come; None if nothing changes."""
        if item.version < known.version:
            return None
        if item.version == known.version:
            return self._resolve_kept(known, item)
        if item.version.era > known.version.era:
            self._overruled_by_key.pop(item.key, None)
            return merge_restored(known, item, self._order)
        if known.forgotten and is_later(known, item, self._order) and not item.forgotten:
            self._overruled_by_key[item.key] = (item, self._clock())
            return attrs.evolve(known, version=item.version)
        self._overruled_by_key.pop(item.key, None)
        if item.value is not None or item.forgotten:
            return item
        last_order = known.last_order
        if known.value is not None:
            last_order = self._order.writer_order(known.key, known.value)
        return attrs.evolve(item, last_order=last_order)

    def _resolve_kept(self, known: VersionedItem, item: VersionedItem) -> VersionedItem | None:
        """Take over what another daemon knows from before a restore and this one does not."""
        if not item.forgotten or self._released_by_key.get(item.key) == item.version:
            return None
        if item.value is None:
            return item if known.value is not None else None
        return item if is_later(item, known, self._order) else None

    def _missing(self, item: VersionedItem, version: StoreVersion) -> VersionedItem:
        """Return what holds for a known key that a listing of a version lacks."""
        restored = version.era > item.version.era
        if self._order.outlives_restore(item.key) and (restored or item.forgotten):
            return attrs.evolve(item, version=version, forgotten=True)
        deleted = VersionedItem(item.key, None, version)
        return missing_in_restored(item, deleted) if restored else deleted

    def _enter_era(self, version: StoreVersion) -> None:
        """Give every item a version of the new era, as none of the earlier one is left."""
        era, limit = version.era, version.revision
        for item in list(self._by_key.values()):
            if item.version.era < era:
                self._store(attrs.evolve(item, version=item.version.in_era(era, limit)))
        self._complete_after = self._complete_after.in_era(era, limit)
        self._released_by_key.clear()

    def _store(self, item: VersionedItem) -> None:
        known = self._by_key.get(item.key)
        was_deleted = known is not None and known.value is None
        self._tombstone_count += (item.value is None) - was_deleted
        self._by_key[item.key] = item
        if item.forgotten and (item.value is not None or item.last_order is not None):
            self._kept_keys.add(item.key)
        else:
            self._kept_keys.discard(item.key)

    def _drop_old_tombstones(self) -> None:
        tombstones = [item for item in self._by_key.values() if item.value is None]
        tombstones.sort(key=lambda item: item.version)
        for item in tombstones[: len(tombstones) - MAX_TOMBSTONES]:
            del self._by_key[item.key]
            self._kept_keys.discard(item.key)
            self._tombstone_count -= 1
            self._complete_after = max(self._complete_after, item.version)


def _is_change(known: VersionedItem | None, merged: VersionedItem) -> bool:
    """Return whether an item differs from what was known, or was written anew in the same era."""
    if known is None:
        return merged.value is not None
    is_written_anew = merged.version.era == known.version.era and not merged.forgotten
    return merged.value != known.value or (merged.value is not None and is_written_anew)
