"""Which revision of the document is in force; revisions only go up."""

from __future__ import annotations

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.state.document import Document, digest_of, load_document


@attrs.frozen
class Revision:
    """One accepted revision of an environment's document.

    Attributes
    ----------
    number : int
        Goes up by one with each accepted change.
    text : bytes
        The document's bytes.
    """

    number: int
    text: bytes

    @property
    def digest(self) -> str:
        """SHA-256 of the document's bytes."""
        return digest_of(self.text)


class Configuration:
    """The revision in force at one entry."""

    def __init__(self, invariants: Invariants | None = None) -> None:
        self._invariants = invariants or Invariants()
        self.revision: Revision | None = None

    def on_revision(self, now: float, revision: Revision) -> Document | None:
        """Take a revision from the store or a peer.

        Returns
        -------
        Document or None
            The document to put in force, or None where the revision is not newer.

        Raises
        ------
        DocumentError
            Where the text has faults; the revision in force stays.
        """
        current = self.revision
        if current is not None and revision.number <= current.number:
            return None
        document = load_document(revision.text)
        self.revision = revision
        return document
