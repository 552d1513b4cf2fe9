"""The value under which the platform's service keeps an environment's revision."""

from __future__ import annotations

import json

import attrs

from sycamorebay.coordination.configuration import Revision
from sycamorebay.errors import PlatformError
from sycamorebay.state.document import digest_of

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class AuditEntry:
    """One accepted change.

    Attributes
    ----------
    revision : int
        The revision that it made.
    digest : str
        SHA-256 of the document.
    author, reason : str
        Who changed it and why.
    at : str
        When, in UTC (RFC 3339), by the author's clock.
    action : str
        ``try``, ``promote`` or ``rollback``.
    """

    revision: int
    digest: str
    author: str
    reason: str
    at: str
    action: str


@attrs.frozen
class RevisionRecord:
    """A revision with its writer's nonce and the audit trail."""

    revision: Revision
    nonce: str
    trail: tuple[AuditEntry, ...]


def encode_record(record: RevisionRecord) -> bytes:
    """Return the value to store."""
    return json.dumps(
        {
            "revision": record.revision.number,
            "digest": record.revision.digest,
            "nonce": record.nonce,
            "trail": [attrs.asdict(entry) for entry in record.trail],
            "document": record.revision.text.decode(),
        }
    ).encode()


def decode_record(value: bytes) -> RevisionRecord:
    """Return the record of a stored value.

    Raises
    ------
    PlatformError
        Where the value is not a whole record.
    """
    try:
        data = json.loads(value)
        revision = Revision(int(data["revision"]), data["document"].encode())
        trail = tuple(AuditEntry(**entry) for entry in data["trail"])
        record = RevisionRecord(revision, str(data["nonce"]), trail)
        digest = data["digest"]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise PlatformError(f"a stored revision is damaged: {error}", step="decode") from error
    if digest != digest_of(revision.text):
        raise PlatformError("a stored revision's digest does not match", step="decode")
    return record
