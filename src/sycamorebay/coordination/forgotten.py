"""What holds for a key after the store was restored from an older copy.

A restored store shows states from before. What its writers had said since is still true: a
configuration that was confirmed, a server that leaves or has gone. Each writer numbers its own
documents, and this order, unlike that of revisions, survives a restore.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from sycamorebay.state.store_versions import VersionedItem

WriterOrder = tuple[int, int]


class DocumentOrder(Protocol):
    """Knows the order in which their writers number documents of the store."""

    def writer_order(self, key: str, value: bytes) -> WriterOrder | None:
        """Return the place of a document among those of its writer; None if it has no number."""
        ...

    def outlives_restore(self, key: str) -> bool:
        """Return whether a key still holds that a restored store lacks."""
        ...


class NoDocumentOrder:
    """A `DocumentOrder` of documents without numbers."""

    def writer_order(self, key: str, value: bytes) -> WriterOrder | None:
        """Return None."""
        return None

    def outlives_restore(self, key: str) -> bool:
        """Return False."""
        return False


def merge_restored(
    known: VersionedItem, shown: VersionedItem, order: DocumentOrder
) -> VersionedItem:
    """Return what holds for a key when a restored store shows it.

    Parameters
    ----------
    known : VersionedItem
        The key's state before the restore, or another daemon's view of it.
    shown : VersionedItem
        Its state in the restored store.
    order : DocumentOrder
        Order of the documents' writers.
    """
    if known.value is None:
        return _merge_deleted(known, shown, order)
    if shown.value is None or not is_later(known, shown, order):
        return shown
    return attrs.evolve(known, version=shown.version, forgotten=True)


def missing_in_restored(missing: VersionedItem, at: VersionedItem) -> VersionedItem:
    """Return what holds for a known key that a restored store lacks.

    The place of its last document is left out: a later copy of the store may well show it again.
    """
    return attrs.evolve(at, key=missing.key, value=None, forgotten=True, last_order=None)


def is_later(known: VersionedItem, shown: VersionedItem, order: DocumentOrder) -> bool:
    """Return whether the writer wrote a known value after the one that the store shows."""
    if known.value is None or shown.value is None or known.value == shown.value:
        return False
    before = order.writer_order(known.key, known.value)
    after = order.writer_order(shown.key, shown.value)
    return before is not None and after is not None and before > after


def _merge_deleted(
    known: VersionedItem, shown: VersionedItem, order: DocumentOrder
) -> VersionedItem:
    """Keep a key deleted unless the store shows a document that is later than its last one."""
    if shown.value is None:
        return attrs.evolve(shown, last_order=known.last_order)
    if known.last_order is None:
        return shown
    after = order.writer_order(shown.key, shown.value)
    if after is None or after > known.last_order:
        return shown
    return attrs.evolve(known, version=shown.version, forgotten=True)
