"""Non-idempotent operations that run at most once, by their key.

A send that its caller marks as the first runs at the entry that got it. Any other send asks every
entry that may have run the key; each that has not seen it answers so and leaves a tombstone. See
docs/design/at-most-once.md and specs/operations.py. All times are UTC in seconds since 1970.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.coordination.ranges import EntryRange, OwnRange
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.settings import OperationSettings
from sycamorebay.state.operations import (
    KeptAnswer,
    OperationKey,
    Phase,
    Record,
    Records,
    parse_key,
)

STEP = "operation"
_MAX_DEAD = 1000
_HAS = (Phase.RUNNING, Phase.RAN, Phase.IN_DOUBT, Phase.FORGOTTEN)


@attrs.frozen
class Operation:
    """One send of a keyed operation.

    Attributes
    ----------
    key : str
        The caller's ``Idempotency-Key``.
    fingerprint : bytes
        Hash of the request that the key stands for.
    first_send : bool
        Whether the caller says that every earlier send of this key, if any, got ``not-run``.
    """

    key: str
    fingerprint: bytes
    first_send: bool


@attrs.frozen
class Run:
    """Run the operation."""

    key: OperationKey


@attrs.frozen
class Wait:
    """Wait for the send of this key that is in flight here."""

    key: OperationKey


@attrs.frozen
class Replay:
    """Give the kept answer."""

    answer: KeptAnswer


@attrs.frozen
class Inquire:
    """Read the registered ranges, and meanwhile ask the peers that are known."""

    key: OperationKey
    attempt: int
    fingerprint: bytes
    known: tuple[Member, ...]


@attrs.frozen
class Ask:
    """Ask more peers."""

    peers: tuple[Member, ...]


@attrs.frozen
class Reject:
    """Refuse this send."""

    refusal: Refusal


Decision = Run | Wait | Replay | Inquire | Reject
Settled = Run | Replay | Reject


@attrs.frozen
class Inquiry:
    """A peer's question whether this entry has seen a key."""

    key: OperationKey
    attempt: int
    fingerprint: bytes
    asker: Member


@attrs.frozen
class InquiryReply:
    """What an entry answers.

    Attributes
    ----------
    phase : Phase
        ``TOMBSTONE`` for a key that it has not seen.
    answer : KeptAnswer or None
        Only where it is kept and the asker's failure domain may have it.
    mismatch : bool
        Whether the key stands for another request.
    """

    phase: Phase
    answer: KeptAnswer | None = None
    mismatch: bool = False


@attrs.define
class _Asking:
    attempt: int
    asked: set[Member]
    members: frozenset[Member] | None = None
    list_failed: bool = False
    yielded: set[Member] = attrs.field(factory=set)
    silent: set[Member] = attrs.field(factory=set)

    def waits(self) -> bool:
        """Whether an answer may come still that would settle it."""
        if self.members is None and not self.list_failed:
            return True
        heeded = self.asked if self.members is None else self.members
        return bool(heeded - self.yielded - self.silent)

    def all_yielded(self) -> bool:
        return self.members is not None and self.members <= self.yielded


class Operations:
    """Decides on the keyed operations of one entry.

    Parameters
    ----------
    settings : OperationSettings
        Bounds, and whether marks are trusted.
    own : Member
        This entry.
    invariants : Invariants, optional
        Where violations are counted.
    membership : Membership, optional
        Names peers that may have joined since the ranges were read.
    """

    def __init__(
        self,
        settings: OperationSettings,
        own: Member,
        invariants: Invariants | None = None,
        membership: Membership | None = None,
    ) -> None:
        self._settings = settings
        self._own = own
        self._invariants = invariants or Invariants()
        self._membership = membership
        self._attempts = count(1)
        self._asking_by_key: dict[str, _Asking] = {}
        self._known: tuple[EntryRange, ...] = ()
        self._dead_since: dict[Member, float] = {}
        self.range = OwnRange(settings.clock_skew_s)
        self.records = Records(
            settings.max_records, settings.max_kept_bytes, settings.max_key_age_s
        )

    def on_operation(self, now: float, operation: Operation) -> Decision:
        """Decide on one send of an operation."""
        key = parse_key(operation.key)
        if key is None:
            return Reject(NotRun(STEP, "", "the key must be a UUID of version 7", 400))
        record = self.records.get(key)
        if record is not None and record.phase != Phase.TOMBSTONE:
            return self._seen(key, record, operation)
        in_range = self.range.holds(now, key.time, self._settings.max_key_age_s)
        marked = operation.first_send and self._settings.trust_first_send
        if marked and record is None:
            return self._first(now, key, operation) if in_range else Reject(_not_here())
        if not in_range:
            return Reject(_unknown("this entry may not run a key of this time"))
        return self._inquire(now, key, operation)

    def on_known(self, now: float, ranges: Iterable[EntryRange]) -> None:
        """Take the registered ranges as they were lately; these peers are asked first."""
        self._known = tuple(ranges)

    def on_ranges(
        self, now: float, key: OperationKey, attempt: int, ranges: Iterable[EntryRange]
    ) -> Settled | Ask | None:
        """Take the registered ranges, read after the attempt began."""
        self.on_known(now, ranges)
        asking = self._current(key, attempt)
        if asking is None:
            return Reject(_busy())
        asking.members = frozenset(self._cover(key))
        more = asking.members - asking.asked
        asking.asked |= more
        if more:
            return Ask(tuple(sorted(more, key=_order)))
        return self._settle(key, asking)

    def on_no_ranges(self, now: float, key: OperationKey, attempt: int) -> Settled | None:
        """Take that the registered ranges could not be read."""
        asking = self._current(key, attempt)
        if asking is None:
            return Reject(_busy())
        asking.list_failed = True
        return self._settle(key, asking)

    def on_reply(
        self, now: float, key: OperationKey, attempt: int, peer: Member, reply: InquiryReply
    ) -> Settled | None:
        """Take a peer's answer to an attempt."""
        asking = self._current(key, attempt)
        if asking is None:
            return Reject(_busy())
        if reply.phase == Phase.TOMBSTONE:
            asking.yielded.add(peer)
            return self._settle(key, asking)
        self._give_up(key)
        if reply.mismatch:
            return Reject(_mismatch())
        if reply.answer is not None:
            return Replay(reply.answer)
        return Reject(_has(reply.phase, peer.id))

    def on_silence(
        self, now: float, key: OperationKey, attempt: int, peer: Member, *, dead: bool = False
    ) -> Settled | None:
        """Take that a peer did not answer; `dead` where its process is known to have ended."""
        if dead:
            self._on_dead(now, peer)
        asking = self._current(key, attempt)
        if asking is None:
            return Reject(_busy())
        asking.silent.add(peer)
        return self._settle(key, asking)

    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        """Answer a peer; from here on this entry runs no marked send of a key it denies."""
        record = self.records.get(inquiry.key)
        if record is None:
            self.records.add(now, inquiry.key, Record(inquiry.key.time, Phase.TOMBSTONE))
            return InquiryReply(Phase.TOMBSTONE)
        if record.phase in _HAS:
            return self._told(record, inquiry)
        if record.phase == Phase.ASKING:
            if _order(self._own) < _order(inquiry.asker):
                return InquiryReply(Phase.ASKING)
            self._give_up(inquiry.key)
        return InquiryReply(Phase.TOMBSTONE)

    def on_answer(self, now: float, key: OperationKey, answer: KeptAnswer | None) -> None:
        """Take the whole answer of an operation that ran; None where it can't be kept."""
        record = self._ended(key, Phase.RAN)
        if record is None or answer is None:
            return
        if self._own.failure_domain in answer.failure_domains:
            self.records.keep(key, record, answer)

    def on_in_doubt(self, now: float, key: OperationKey) -> None:
        """Take that an operation may have run."""
        self._ended(key, Phase.IN_DOUBT)

    def on_not_run(self, now: float, key: OperationKey) -> None:
        """Take that an operation with the right to run did not; it may be sent again."""
        record = self.records.get(key)
        if record is None or record.phase != Phase.RUNNING:
            return
        if record.marked:
            self.records.remove(key)
        else:
            record.phase = Phase.TOMBSTONE

    def _first(self, now: float, key: OperationKey, operation: Operation) -> Run:
        record = Record(key.time, Phase.RUNNING, operation.fingerprint, marked=True)
        self.records.add(now, key, record)
        return Run(key)

    def _seen(self, key: OperationKey, record: Record, operation: Operation) -> Decision:
        if record.fingerprint and record.fingerprint != operation.fingerprint:
            return Reject(_mismatch())
        if record.phase in (Phase.RUNNING, Phase.ASKING):
            return Wait(key)
        if record.answer is not None:
            return Replay(record.answer)
        return Reject(_has(record.phase, self._own.id))

    def _inquire(self, now: float, key: OperationKey, operation: Operation) -> Inquire:
        attempt = next(self._attempts)
        record = Record(key.time, Phase.ASKING, operation.fingerprint)
        self.records.add(now, key, record)
        heard = self._membership.peers() if self._membership is not None else []
        known = tuple(sorted(self._cover(key) | set(heard), key=_order))
        self._asking_by_key[key.text] = _Asking(attempt, set(known))
        return Inquire(key, attempt, operation.fingerprint, known)

    def _cover(self, key: OperationKey) -> set[Member]:
        """Return the other entries that may have run a key."""
        own = _order(self._own)
        return {
            one.member
            for one in self._known
            if one.holds(key.time) and _order(one.member) != own and self._may_live(one, key)
        }

    def _may_live(self, one: EntryRange, key: OperationKey) -> bool:
        dead_since = self._dead_since.get(one.member)
        return dead_since is None or key.time <= dead_since + 2 * self._settings.clock_skew_s

    def _on_dead(self, now: float, peer: Member) -> None:
        self._dead_since.setdefault(peer, now)
        while len(self._dead_since) > _MAX_DEAD:
            del self._dead_since[next(iter(self._dead_since))]

    def _current(self, key: OperationKey, attempt: int) -> _Asking | None:
        asking = self._asking_by_key.get(key.text)
        if asking is None or asking.attempt != attempt:
            return None
        record = self.records.get(key)
        if record is None or record.phase != Phase.ASKING:
            del self._asking_by_key[key.text]
            return None
        return asking

    def _settle(self, key: OperationKey, asking: _Asking) -> Settled | None:
        if asking.all_yielded():
            record = self.records.get(key)
            del self._asking_by_key[key.text]
            assert record is not None
            record.phase = Phase.RUNNING
            return Run(key)
        if asking.waits():
            return None
        self._give_up(key)
        return Reject(_silent(asking))

    def _give_up(self, key: OperationKey) -> None:
        self._asking_by_key.pop(key.text, None)
        record = self.records.get(key)
        if record is not None and record.phase == Phase.ASKING:
            record.phase = Phase.TOMBSTONE
            record.fingerprint = b""

    def _told(self, record: Record, inquiry: Inquiry) -> InquiryReply:
        if record.fingerprint and record.fingerprint != inquiry.fingerprint:
            return InquiryReply(record.phase, mismatch=True)
        answer = record.answer
        if answer is not None and inquiry.asker.failure_domain not in answer.failure_domains:
            answer = None
        return InquiryReply(record.phase, answer)

    def _ended(self, key: OperationKey, phase: Phase) -> Record | None:
        record = self.records.get(key)
        if record is None or record.phase == Phase.FORGOTTEN:
            return None
        self._invariants.check(record.phase == Phase.RUNNING, "operations end once")
        record.phase = phase
        return record


def _order(member: Member) -> tuple[str, int]:
    return member.id, member.incarnation


def _not_here() -> Refusal:
    return NotRun(STEP, "", "this entry may not run a key of this time", 503)


def _unknown(reason: str, peer: str = "") -> Refusal:
    return Unknown(STEP, peer, reason, 409)


def _busy() -> Refusal:
    return _unknown("another send of this operation is being decided")


def _mismatch() -> Refusal:
    return NotRun(STEP, "", "this key stands for another request", 422)


def _silent(asking: _Asking) -> Refusal:
    missing = (asking.members or frozenset()) - asking.yielded
    if not missing:
        return _unknown("the entries that may have run it could not be listed")
    peer = min(missing, key=_order)
    return _unknown("an entry that may have run it did not answer", peer.id)


def _has(phase: Phase, peer: str) -> Refusal:
    if phase == Phase.RUNNING:
        return _unknown("this operation is running", peer)
    if phase == Phase.RAN:
        return _unknown("this operation has run; its answer is not kept", peer)
    if phase == Phase.ASKING:
        return _busy()
    return _unknown("this operation may have run", peer)
