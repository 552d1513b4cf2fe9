"""Changes of an environment's document by operators."""

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
from sycamorebay.protocol.documents import pack, unpack
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

MAX_TEXTS = 20
SETTLE_TRIES = 8
READ_TRIES = 8

_log = log.get_logger("audit")


@attrs.frozen
class Change:
    """What an operator wants in force.

    Attributes
    ----------
    text : bytes
        The document.
    action, author, reason : str
        For the audit trail.
    nonce : str
        Names the change; given again, it is not applied again.
    expected : int or None
        Revision that must be in force before; None for any.
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
        Its place in the audit trail.
    changed : bool
        False where it was in the history already.
    """

    entry: AuditEntry
    changed: bool


@attrs.frozen
class History:
    """An environment as the store holds it.

    Attributes
    ----------
    record : RevisionRecord or None
        The latest revision; None where there is none.
    version : int
        The store's version of its key; 0 for absent.
    trail : tuple of AuditEntry
        Accepted changes, oldest first.
    """

    record: RevisionRecord | None
    version: int
    trail: tuple[AuditEntry, ...]

    @property
    def number(self) -> int:
        """Number of the latest revision; 0 for none."""
        return self.record.revision.number if self.record else 0

    def by_nonce(self, nonce: str) -> AuditEntry | None:
        """Return the change that a nonce names, or None."""
        return next((entry for entry in self.trail if entry.nonce == nonce), None)

    def by_number(self, number: int) -> AuditEntry | None:
        """Return the change that made a revision, or None."""
        return next((entry for entry in self.trail if entry.revision == number), None)


@attrs.frozen
class RolloutStatus:
    """Which members have a revision in force.

    Attributes
    ----------
    reports : tuple of EntryReport
        What each member reported last.
    members : tuple of str
        Ids of all registered members.
    """

    reports: tuple[EntryReport, ...]
    members: tuple[str, ...]

    def lagging(self, number: int) -> list[str]:
        """Return the members that don't report a revision or a later one."""
        there = {report.member_id for report in self.reports if report.revision >= number}
        return sorted(set(self.members) - there)


async def read_history(store: Store, environment: str) -> History:
    """Return an environment's latest revision and its trail, which belong together.

    Raises
    ------
    PlatformError
        Where the store fails, or shows parts of different times again and again.
    """
    backoff = Backoff(random.Random())
    for _ in range(READ_TRIES):
        stored = await store.read(document_key(environment))
        kept = await store.read(trail_key(environment))
        record = decode_record(stored.value) if stored and stored.value is not None else None
        trail = decode_trail(kept.value) if kept and kept.value is not None else ()
        history = History(record, stored.version if stored and record else 0, trail)
        if history.number == (trail[-1].revision if trail else 0):
            return history
        await asyncio.sleep(backoff.on_failure())
    raise PlatformError("the document and its trail don't match", step="read", peer=environment)


async def read_text(store: Store, environment: str, number: int) -> bytes:
    """Return the document of a revision.

    Raises
    ------
    PlatformError
        Where the store fails or does not keep it any more.
    """
    stored = await store.read(text_key(environment, number))
    if stored is None or stored.value is None:
        raise PlatformError(
            f"the document of revision {number} is not kept", step="read", peer=environment
        )
    return unpack(stored.value)


async def read_rollout(store: Store, environment: str) -> RolloutStatus:
    """Return which members are registered and what each reported."""
    prefix = members_prefix(environment)
    members = await store.read_prefix(prefix)
    reports = await store.read_prefix(reports_prefix(environment))
    return RolloutStatus(
        tuple(decode_report(item.value) for item in reports.items if item.value is not None),
        tuple(item.key.removeprefix(prefix) for item in members.items),
    )


async def apply(store: Store, environment: str, change: Change) -> Accepted:
    """Make a change; return once it is known to have taken effect.

    Raises
    ------
    ConflictError
        Where another operator's change came first.
    DocumentError
        Where the document has faults.
    PlatformError
        Where the store failed before anything was written.
    UnknownOutcomeError
        Where it can't be told whether the change took effect.
    """
    review_document(change.text)
    history = await read_history(store, environment)
    known = _known(history, change)
    if known is not None:
        return Accepted(known, changed=False)
    if change.expected not in (None, history.number):
        raise _conflict(environment, history)
    entry = _entry(history, change)
    await _write(store, environment, history, change, entry)
    return Accepted(entry, changed=True)


async def rollback(store: Store, environment: str, number: int, change: Change) -> Accepted:
    """Make a new revision with the document of an older one; `change.text` is ignored.

    Raises
    ------
    SycamorebayError
        As `apply` and `read_text` do.
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
        The document's digest, or its start; empty for the trial's latest.

    Raises
    ------
    NotTriedError
        Where no member of the trial environment reported it, or a later one, in force.
    """
    history = await read_history(store, trial)
    found = [entry for entry in history.trail if entry.digest.startswith(digest)]
    if not found:
        raise NotTriedError("the trial environment never had this digest", step="promote")
    entry = found[-1]
    rollout = await read_rollout(store, trial)
    if not any(report.revision >= entry.revision for report in rollout.reports):
        raise NotTriedError("no member of the trial environment has it in force", step="promote")
    return await read_text(store, trial, entry.revision)


def _known(history: History, change: Change) -> AuditEntry | None:
    by_nonce = history.by_nonce(change.nonce)
    if by_nonce is not None:
        return by_nonce
    current = history.trail[-1] if history.trail else None
    if current is not None and current.digest == digest_of(change.text):
        return current
    return None


def _entry(history: History, change: Change) -> AuditEntry:
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
    """Write until it is known which change made the next revision.

    A swap from the same version may be sent again: at most one of them can take effect.
    """
    record = RevisionRecord(Revision(entry.revision, change.text), change.nonce)
    value = encode_record(record)
    also = _also(environment, history, change, entry)
    backoff = Backoff(random.Random())
    for _ in range(SETTLE_TRIES):
        try:
            if await store.swap(document_key(environment), value, history.version, also):
                return
            if await _won(store, environment, entry):
                return
            raise _conflict(environment, await read_history(store, environment))
        except PlatformError as error:
            _log.warning("swap not settled", step=error.step, reason=str(error))
        await asyncio.sleep(backoff.on_failure())
    raise UnknownOutcomeError(
        f"whether the change took effect is not known; run it again with --nonce {entry.nonce}",
        step="swap",
        peer=environment,
    )


async def _won(store: Store, environment: str, entry: AuditEntry) -> bool:
    """Whether the change made its revision, once the store shows which change did."""
    history = await read_history(store, environment)
    winner = history.by_number(entry.revision)
    if winner is None:
        raise PlatformError("the store shows the past", step="settle", peer=environment)
    return winner.nonce == entry.nonce


def _also(environment: str, history: History, change: Change, entry: AuditEntry) -> list[Write]:
    trail = (*history.trail, entry)[-MAX_TRAIL_ENTRIES:]
    for aged in history.trail[: max(0, len(history.trail) + 1 - MAX_TRAIL_ENTRIES)]:
        _log.warning("audit entry aged out", environment=environment, **attrs.asdict(aged))
    writes = [
        Write(trail_key(environment), encode_trail(trail)),
        Write(text_key(environment, entry.revision), pack(change.text)),
    ]
    if entry.revision > MAX_TEXTS:
        writes.append(Write(text_key(environment, entry.revision - MAX_TEXTS), None))
    return writes


def _conflict(environment: str, history: History) -> ConflictError:
    last = history.trail[-1] if history.trail else None
    by = f" by {last.author} ({last.action}: {last.reason or 'no reason given'})" if last else ""
    return ConflictError(f"revision {history.number} came first{by}", step="swap", peer=environment)
