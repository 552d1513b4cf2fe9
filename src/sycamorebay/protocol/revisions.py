"""The values under which the platform's service keeps an environment's revisions and trail."""

from __future__ import annotations

import base64
import json
from typing import Any

import attrs

from sycamorebay.coordination.configuration import Revision
from sycamorebay.errors import DocumentError, PeerError, PlatformError
from sycamorebay.protocol.documents import pack, unpack
from sycamorebay.state.document import digest_of
from sycamorebay.state.faults import fault_at

MAX_VALUE_BYTES = 1_000_000
MAX_TRAIL_ENTRIES = 500
MAX_AUTHOR_CHARS = 100
MAX_REASON_CHARS = 500


@attrs.frozen
class AuditEntry:
    """One accepted change.

    Attributes
    ----------
    revision, from_revision : int
        The revision that it made, and the one that it replaced; 0 for none.
    digest : str
        SHA-256 of the document.
    author, reason : str
        Who changed it and why.
    at : str
        When, in UTC (RFC 3339), by the author's clock.
    action : str
        ``try``, ``promote``, ``rollback`` or ``apply``.
    nonce : str
        Names the change; the same change is never applied twice.
    """

    revision: int
    from_revision: int
    digest: str
    author: str
    reason: str
    at: str
    action: str
    nonce: str


@attrs.frozen
class RevisionRecord:
    """A revision with its writer's nonce."""

    revision: Revision
    nonce: str


def encode_record(record: RevisionRecord) -> bytes:
    """Return the value to store.

    Raises
    ------
    DocumentError
        Where it is too long for the platform's service.
    """
    data = {
        "revision": record.revision.number,
        "digest": record.revision.digest,
        "nonce": record.nonce,
        "document": base64.b64encode(pack(record.revision.text)).decode(),
    }
    value = json.dumps(data).encode()
    if len(value) > MAX_VALUE_BYTES:
        raise DocumentError(
            [fault_at("", len(value), f"at most {MAX_VALUE_BYTES} bytes once compressed")]
        )
    return value


def decode_record(value: bytes) -> RevisionRecord:
    """Return the record of a stored value.

    Raises
    ------
    PlatformError
        Where the value is not a whole record.
    """
    try:
        data = json.loads(value)
        text = unpack(base64.b64decode(data["document"], validate=True))
        record = RevisionRecord(Revision(int(data["revision"]), text), str(data["nonce"]))
        digest = data["digest"]
    except (ValueError, KeyError, TypeError, AttributeError, PeerError) as error:
        raise PlatformError(f"a stored revision is damaged: {error}", step="decode") from error
    if digest != digest_of(text):
        raise PlatformError("a stored revision's digest does not match", step="decode")
    return record


def encode_trail(trail: tuple[AuditEntry, ...]) -> bytes:
    """Return the value to store."""
    return json.dumps({"trail": [attrs.asdict(entry) for entry in trail]}).encode()


def decode_trail(value: bytes) -> tuple[AuditEntry, ...]:
    """Return the audit trail of a stored value, oldest entry first.

    Raises
    ------
    PlatformError
        Where the value is not a whole trail.
    """
    try:
        entries: list[dict[str, Any]] = json.loads(value)["trail"]
        return tuple(AuditEntry(**entry) for entry in entries)
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformError(f"a stored trail is damaged: {error}", step="decode") from error
