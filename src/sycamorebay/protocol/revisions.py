"""Codecs of the revisions and the audit trail that the platform's service stores."""

from __future__ import annotations

import base64
import json
from typing import Any

import attrs

from sycamorebay.coordination.configuration import Revision
from sycamorebay.decoding import UndecodableError, check_integer, decoding, parse_json
from sycamorebay.errors import DocumentError, PlatformError
from sycamorebay.protocol.documents import compress_document, decompress_document
from sycamorebay.state.document import digest_of
from sycamorebay.state.faults import fault_at

MAX_VALUE_BYTES = 1_000_000
MAX_TRAIL_ENTRIES = 500
MAX_AUTHOR_CHARS = 100
MAX_REASON_CHARS = 500


@attrs.frozen
class AuditEntry:
    """Entry of the audit trail for one accepted change.

    Attributes
    ----------
    revision, from_revision : int
        Revision that the change created, and the one that it replaced; 0 if there was none.
    digest : str
        SHA-256 of the document, in hexadecimal.
    author, reason : str
        User who made the change, and the reason given.
    at : str
        Time of the change in UTC (RFC 3339), by the author's clock.
    action : str
        ``try``, ``promote``, ``rollback`` or ``apply``.
    nonce : str
        Id of the change, which makes it idempotent: a nonce is never applied twice.
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
    """Revision with the nonce of the change that created it.

    Attributes
    ----------
    revision : Revision
        Number and document.
    nonce : str
        Id of the change.
    """

    revision: Revision
    nonce: str


def encode_record(record: RevisionRecord) -> bytes:
    """Return a record as the JSON value to store, with the document compressed.

    Raises
    ------
    DocumentError
        If the value exceeds `MAX_VALUE_BYTES`, the limit of the platform's service.
    """
    data = {
        "revision": record.revision.number,
        "digest": record.revision.digest,
        "nonce": record.nonce,
        "document": base64.b64encode(compress_document(record.revision.text)).decode(),
    }
    value = json.dumps(data).encode()
    if len(value) > MAX_VALUE_BYTES:
        raise DocumentError(
            [fault_at("", len(value), f"at most {MAX_VALUE_BYTES} bytes once compressed")]
        )
    return value


def decode_record(value: bytes) -> RevisionRecord:
    """Return the record in a stored value.

    Raises
    ------
    PlatformError
        If the value is not the JSON of a record, or the digest does not match the document.
    """
    try:
        with decoding("revision"):
            data = parse_json(value)
            text = decompress_document(base64.b64decode(data["document"], validate=True))
            number = check_integer(data["revision"])
            record = RevisionRecord(Revision(number, text), str(data["nonce"]))
            digest = data["digest"]
    except UndecodableError as error:
        raise PlatformError(
            f"the stored value is not a valid revision: {error}", step="decode"
        ) from error
    if digest != digest_of(text):
        raise PlatformError(
            "the stored revision's digest does not match its document", step="decode"
        )
    return record


def encode_trail(trail: tuple[AuditEntry, ...]) -> bytes:
    """Return an audit trail as the JSON value to store."""
    return json.dumps({"trail": [attrs.asdict(entry) for entry in trail]}).encode()


def decode_trail(value: bytes) -> tuple[AuditEntry, ...]:
    """Return the audit trail in a stored value, oldest entry first.

    Raises
    ------
    PlatformError
        If the value is not the JSON of an audit trail.
    """
    try:
        with decoding("audit trail"):
            entries: list[dict[str, Any]] = parse_json(value)["trail"]
            return tuple(AuditEntry(**entry) for entry in entries)
    except UndecodableError as error:
        raise PlatformError(
            f"the stored value is not a valid audit trail: {error}", step="decode"
        ) from error
