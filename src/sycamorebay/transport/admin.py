"""Changes of an environment's document by operators."""

from __future__ import annotations

import uuid
from datetime import UTC, datetime

import attrs

from sycamorebay.coordination.configuration import Revision
from sycamorebay.errors import ConflictError, PlatformError
from sycamorebay.protocol.keys import document_key
from sycamorebay.protocol.revisions import (
    AuditEntry,
    RevisionRecord,
    decode_record,
    encode_record,
)
from sycamorebay.state.document import digest_of, load_document
from sycamorebay.transport.platform import Store

MAX_TRAIL_ENTRIES = 200


@attrs.frozen
class Change:
    """What an operator wants in force.

    Attributes
    ----------
    text : bytes
        The document.
    action, author, reason : str
        For the audit trail.
    """

    text: bytes
    action: str
    author: str
    reason: str


async def current(store: Store, environment: str) -> tuple[RevisionRecord | None, int]:
    """Return the record in the store and the key's version; None and 0 where there is none."""
    stored = await store.read(document_key(environment))
    if stored is None or stored.value is None:
        return None, 0
    return decode_record(stored.value), stored.version


async def apply(store: Store, environment: str, change: Change) -> RevisionRecord:
    """Make a change; return once it is accepted.

    Raises
    ------
    ConflictError
        Where another operator's change came first.
    DocumentError
        Where the document has faults.
    """
    load_document(change.text)
    record, version = await current(store, environment)
    new = _next(record, change)
    key = document_key(environment)
    try:
        accepted = await store.swap(key, encode_record(new), version)
    except PlatformError:
        latest, _ = await current(store, environment)
        accepted = latest is not None and latest.nonce == new.nonce
    if not accepted:
        raise ConflictError("another change came first", step="swap", peer=environment)
    return new


def _next(record: RevisionRecord | None, change: Change) -> RevisionRecord:
    number = record.revision.number + 1 if record else 1
    entry = AuditEntry(
        revision=number,
        digest=digest_of(change.text),
        author=change.author,
        reason=change.reason,
        at=datetime.now(UTC).isoformat(timespec="seconds"),
        action=change.action,
    )
    trail = (*(record.trail if record else ()), entry)[-MAX_TRAIL_ENTRIES:]
    return RevisionRecord(Revision(number, change.text), uuid.uuid4().hex, trail)
