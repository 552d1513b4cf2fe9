"""Revision of the document in force; its number never decreases."""

from __future__ import annotations

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.state.document import Document, digest_of, load_document

FETCH_TIMEOUT_S = 5.0


@attrs.frozen
class Revision:
    """One accepted revision of an environment's document.

    Attributes
    ----------
    number : int
        Increases by one with each accepted change.
    text : bytes
        Bytes of the document.
    """

    number: int
    text: bytes

    @property
    def digest(self) -> str:
        """SHA-256 of the document's bytes in hexadecimal."""
        return digest_of(self.text)


@attrs.frozen
class Fetch:
    """Fetch the document of a peer, whose revision is newer than `newer_than`."""

    peer_id: str
    newer_than: int


class Configuration:
    """Revision in force at one entry, and the fetch of a newer one from a peer.

    Parameters
    ----------
    invariants : Invariants, optional
        Counter of invariant violations.

    Attributes
    ----------
    revision : Revision or None
        Revision in force.
    digest : str
        SHA-256 of the document in force in hexadecimal; empty for none.
    """

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
        """Apply a revision from the store or a peer.

        Returns
        -------
        Document or None
            Document to put in force, or None if the revision is not newer.

        Raises
        ------
        DocumentError
            If the document has faults; the revision in force stays.
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
        """Compare the revision in force at a peer with that of this entry.

        Parameters
        ----------
        now : float
            Current time in seconds.
        peer_id : str
            Id of the peer.
        number : int
            Number of the peer's revision.
        digest : bytes
            Prefix of the SHA-256 of the peer's document.

        Returns
        -------
        Fetch or None
            Fetch to start, or None; only one fetch runs at a time, for up to `FETCH_TIMEOUT_S`.
        """
        if number == self.number and number > 0:
            same_document = bytes.fromhex(self.digest).startswith(digest)
            self._invariants.check(same_document, "one document for each revision")
        if number <= self.number or now < self._fetching_until:
            return None
        self._fetching_until = now + FETCH_TIMEOUT_S
        return Fetch(peer_id, self.number)

    def on_fetch_ended(self, now: float) -> None:
        """Record the end of a fetch, successful or not."""
        self._fetching_until = now
