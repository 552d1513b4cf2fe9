"""Which revision of the document is in force; revisions only go up."""

from __future__ import annotations

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.state.document import Document, digest_of, load_document

FETCH_LIMIT_S = 5.0


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


@attrs.frozen
class Fetch:
    """Ask a peer for its document, which is newer than `newer_than`."""

    peer_id: str
    newer_than: int


class Configuration:
    """The revision in force at one entry, and the fetch of a newer one from a peer."""

    def __init__(self, invariants: Invariants | None = None) -> None:
        self._invariants = invariants or Invariants()
        self._fetching_until = 0.0
        self.revision: Revision | None = None
        self.digest = ""

    @property
    def number(self) -> int:
        """Number of the revision in force; 0 for none."""
        return self.revision.number if self.revision else 0

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
        if revision.number <= self.number:
            return None
        document = load_document(revision.text)
        self.revision = revision
        self.digest = revision.digest
        return document

    def on_peer_revision(
        self, now: float, peer_id: str, number: int, digest: bytes
    ) -> Fetch | None:
        """Take the revision that a peer has in force.

        Returns
        -------
        Fetch or None
            What to ask the peer for; at most one fetch is under way.
        """
        if number == self.number and number > 0:
            same = bytes.fromhex(self.digest).startswith(digest)
            self._invariants.check(same, "one document for each revision")
        if number <= self.number or now < self._fetching_until:
            return None
        self._fetching_until = now + FETCH_LIMIT_S
        return Fetch(peer_id, self.number)

    def on_fetch_ended(self, now: float) -> None:
        """Take the end of a fetch, whatever it brought."""
        self._fetching_until = now
