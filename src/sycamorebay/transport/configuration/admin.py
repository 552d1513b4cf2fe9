"""Operator commands that change an environment's document.

A change is one compare-and-swap on the document's key. Its transaction also writes the audit trail
and a copy of the document for later rollbacks.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from datetime import UTC, datetime

import attrs

from sycamorebay import log
from sycamorebay.coordination.configuration import Revision
from sycamorebay.coordination.rate_limit import Backoff
from sycamorebay.errors import (
    ConflictError,
    NotTriedError,
    PlatformError,
    UnknownOutcomeError,
)
from sycamorebay.protocol.documents import compress_document, decompress_document
from sycamorebay.protocol.keys import (
    document_key,
    members_prefix,
    reports_prefix,
    text_key,
    trail_key,
)
from sycamorebay.protocol.reports import EntryReport, decode_report
from sycamorebay.protocol.revisions import (
    MAX_AUTHOR_CHARS,
    MAX_REASON_CHARS,
    MAX_TRAIL_ENTRIES,
    AuditEntry,
    RevisionRecord,
    decode_record,
    decode_trail,
    encode_record,
    encode_trail,
)
from sycamorebay.state.document import digest_of
from sycamorebay.state.review import review_document
from sycamorebay.transport.configuration.platform import Store, Write

MAX_STORED_DOCUMENTS = 20  # of each environment, as targets of a rollback
MAX_SWAP_ATTEMPTS = 8
MAX_READ_ATTEMPTS = 8

_log = log.get_logger("audit")


@attrs.frozen
class Change:
    """A change that an operator requests.

    Attributes
    ----------
    text : bytes
        The document, as JSON.
    action, author, reason : str
        Command, operator and reason, as the audit trail records them.
    nonce : str
        Idempotency key: a change whose nonce is in the trail is not applied again.
    expected : int or None
        Number that the latest revision must have; None for any.
    """

    text: bytes
    action: str
    author: str
    reason: str
    nonce: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    expected: int | None = None


@attrs.frozen
class Accepted:
    """A change that is known to have taken effect.

    Attributes
    ----------
    entry : AuditEntry
        The entry that records it in the audit trail.
    changed : bool
        False if an earlier run had applied it, or the latest revision has the same document.
    """

    entry: AuditEntry
    changed: bool


@attrs.frozen
class History:
    """An environment's latest revision and its audit trail, as read from the store.

    Attributes
    ----------
    record : RevisionRecord or None
        The latest revision; None before the first one.
    version : int
        The store's version of the document's key; 0 if the key is absent.
    trail : tuple of AuditEntry
        Accepted changes, oldest first.
    """

    record: RevisionRecord | None
    version: int
    trail: tuple[AuditEntry, ...]

    @property
    def number(self) -> int:
        """Number of the latest revision; 0 before the first one."""
        return self.record.revision.number if self.record else 0

    def by_nonce(self, nonce: str) -> AuditEntry | None:
        """Return the accepted change with this nonce, or None."""
        return next((entry for entry in self.trail if entry.nonce == nonce), None)

    def by_number(self, number: int) -> AuditEntry | None:
        """Return the accepted change that made this revision, or None."""
        return next((entry for entry in self.trail if entry.revision == number), None)


@attrs.frozen
class RolloutStatus:
    """The registered members and the revision that each reports in force.

    Attributes
    ----------
    reports : tuple of EntryReport
        The latest report of each member.
    members : tuple of str
        Ids of all registered members.
    """

    reports: tuple[EntryReport, ...]
    members: tuple[str, ...]

    def lagging(self, number: int) -> list[str]:
        """Return the sorted ids of members that do not report this revision or a later one."""
        up_to_date = {report.member_id for report in self.reports if report.revision >= number}
        return sorted(set(self.members) - up_to_date)


async def read_history(store: Store, environment: str) -> History:
    """Return an environment's latest revision and its audit trail, read consistently.

    The two keys are read one after the other, and again after a backoff while the trail does not
    end with the document's revision.

    Raises
    ------
    PlatformError
        If the store fails, or if the two still differ after `MAX_READ_ATTEMPTS` reads.
    """
    backoff = Backoff(random.Random())
    for _ in range(MAX_READ_ATTEMPTS):
        stored = await store.read(document_key(environment))
        stored_trail = await store.read(trail_key(environment))
        record = decode_record(stored.value) if stored and stored.value is not None else None
        trail = (
            decode_trail(stored_trail.value)
            if stored_trail and stored_trail.value is not None
            else ()
        )
        history = History(record, stored.version if stored and record else 0, trail)
        if history.number == (trail[-1].revision if trail else 0):
            return history
        await asyncio.sleep(backoff.on_failure())
    raise PlatformError(
        f"document and trail still differ in revision after {MAX_READ_ATTEMPTS} reads",
        step="read",
        peer=environment,
    )


async def read_text(store: Store, environment: str, number: int) -> bytes:
    """Return the document of a revision, as JSON.

    Raises
    ------
    PlatformError
        If the store fails, or if the document is not among the last `MAX_STORED_DOCUMENTS`.
    """
    stored = await store.read(text_key(environment, number))
    if stored is None or stored.value is None:
        raise PlatformError(
            f"no document of revision {number} in the store", step="read", peer=environment
        )
    return decompress_document(stored.value)


async def read_rollout(store: Store, environment: str) -> RolloutStatus:
    """Return which members are registered and the revision that each reports.

    Raises
    ------
    PlatformError
        If the store fails.
    """
    prefix = members_prefix(environment)
    members = await store.read_prefix(prefix)
    reports = await store.read_prefix(reports_prefix(environment))
    return RolloutStatus(
        tuple(decode_report(item.value) for item in reports.items if item.value is not None),
        tuple(item.key.removeprefix(prefix) for item in members.items),
    )


async def apply(store: Store, environment: str, change: Change) -> Accepted:
    """Write a change, and return once it is known to have taken effect.

    The call is idempotent by the change's nonce.

    Raises
    ------
    ConflictError
        If another change made the next revision first, or `change.expected` does not match.
    DocumentError
        If the document has faults; nothing is written.
    PlatformError
        If the store failed before anything was written.
    UnknownOutcomeError
        If the store gave no usable answer, so that the change may or may not have taken effect.
    """
    review_document(change.text)
    history = await read_history(store, environment)
    applied = _find_applied(history, change)
    if applied is not None:
        return Accepted(applied, changed=False)
    if change.expected not in (None, history.number):
        raise _conflict(environment, history)
    entry = _audit_entry(history, change)
    await _write(store, environment, history, change, entry)
    return Accepted(entry, changed=True)


async def rollback(store: Store, environment: str, number: int, change: Change) -> Accepted:
    """Make a new revision with the document of revision `number`; `change.text` is ignored.

    Raises
    ------
    SycamorebayError
        The errors of `apply` and `read_text`.
    """
    text = await read_text(store, environment, number)
    return await apply(store, environment, attrs.evolve(change, text=text))


async def text_from_trial(store: Store, trial: str, digest: str) -> bytes:
    """Return the document that a trial environment has, or had, in force.

    Parameters
    ----------
    store : Store
        The platform's service.
    trial : str
        The trial environment.
    digest : str
        SHA-256 of the document in hexadecimal, or its first digits; the latest revision that
        matches is used, so an empty text selects the latest one.

    Raises
    ------
    NotTriedError
        If no revision of the trial environment has the digest, or if no member reports that
        revision or a later one in force.
    PlatformError
        If the store fails or no longer has the document.
    """
    history = await read_history(store, trial)
    found = [entry for entry in history.trail if entry.digest.startswith(digest)]
    if not found:
        raise NotTriedError(
            f"no revision of {trial!r} has a digest that begins with {digest!r}", step="promote"
        )
    entry = found[-1]
    rollout = await read_rollout(store, trial)
    if not any(report.revision >= entry.revision for report in rollout.reports):
        raise NotTriedError(
            f"no member of {trial!r} reports revision {entry.revision} in force", step="promote"
        )
    return await read_text(store, trial, entry.revision)


def _find_applied(history: History, change: Change) -> AuditEntry | None:
    by_nonce = history.by_nonce(change.nonce)
    if by_nonce is not None:
        return by_nonce
    latest = history.trail[-1] if history.trail else None
    if latest is not None and latest.digest == digest_of(change.text):
        return latest
    return None


def _audit_entry(history: History, change: Change) -> AuditEntry:
    return AuditEntry(
        revision=history.number + 1,
        from_revision=history.number,
        digest=digest_of(change.text),
        author=change.author[:MAX_AUTHOR_CHARS],
        reason=change.reason[:MAX_REASON_CHARS],
        at=datetime.now(UTC).isoformat(timespec="seconds"),
        action=change.action,
        nonce=change.nonce,
    )


async def _write(
    store: Store, environment: str, history: History, change: Change, entry: AuditEntry
) -> None:
    """Swap the document until it is known which change made the next revision.

    Sending a swap from the same version again is safe: at most one of them can take effect.
    """
    record = RevisionRecord(Revision(entry.revision, change.text), change.nonce)
    value = encode_record(record)
    extra_writes = _accompanying_writes(environment, history, change, entry)
    backoff = Backoff(random.Random())
    for _ in range(MAX_SWAP_ATTEMPTS):
        try:
            if await store.swap(document_key(environment), value, history.version, extra_writes):
                return
            if await _took_effect(store, environment, entry):
                return
            raise _conflict(environment, await read_history(store, environment))
        except PlatformError as error:
            _log.warning("outcome of swap unknown", step=error.step, reason=str(error))
        await asyncio.sleep(backoff.on_failure())
    raise UnknownOutcomeError(
        f"no usable answer from the store in {MAX_SWAP_ATTEMPTS} attempts, so the change may have "
        f"taken effect; run it again with --nonce {entry.nonce}",
        step="swap",
        peer=environment,
    )


async def _took_effect(store: Store, environment: str, entry: AuditEntry) -> bool:
    """Return whether the change made its revision, by the nonce in the audit trail.

    A stale read does not reach the swap's revision and proves nothing, so it raises
    `PlatformError` and the caller tries again.
    """
    history = await read_history(store, environment)
    winner = history.by_number(entry.revision)
    if winner is None:
        raise PlatformError(
            f"stale read: latest revision {history.number}, expected at least {entry.revision}",
            step="settle",
            peer=environment,
        )
    return winner.nonce == entry.nonce


def _accompanying_writes(
    environment: str, history: History, change: Change, entry: AuditEntry
) -> list[Write]:
    trail = (*history.trail, entry)[-MAX_TRAIL_ENTRIES:]
    for dropped in history.trail[: max(0, len(history.trail) + 1 - MAX_TRAIL_ENTRIES)]:
        _log.warning("audit entry aged out", environment=environment, **attrs.asdict(dropped))
    writes = [
        Write(trail_key(environment), encode_trail(trail)),
        Write(text_key(environment, entry.revision), compress_document(change.text)),
    ]
    if entry.revision > MAX_STORED_DOCUMENTS:
        writes.append(Write(text_key(environment, entry.revision - MAX_STORED_DOCUMENTS), None))
    return writes


def _conflict(environment: str, history: History) -> ConflictError:
    last = history.trail[-1] if history.trail else None
    by = f" by {last.author} ({last.action}: {last.reason or 'no reason given'})" if last else ""
    return ConflictError(
        f"found revision {history.number}{by}, expected the revision this change is based on",
        step="swap",
        peer=environment,
    )
