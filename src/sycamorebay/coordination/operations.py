"""At-most-once execution of non-idempotent operations that carry an idempotency key.

A send that the caller marks as the first runs at the entry that received it. For any other send,
the entry inquires at every entry that may have run the key. An entry that has not seen the key
denies it and records a tombstone. See docs/design/at-most-once.md and specs/operations.py. All
times are UTC in seconds since 1970.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.coordination.operation_messages import (
    Ask,
    Decision,
    FinalDecision,
    Inquire,
    Inquiry,
    InquiryReply,
    Operation,
    Reject,
    Replay,
    Run,
    Wait,
)
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
_MAX_DEAD_MEMBERS = 1000
_EXECUTION_PHASES = (Phase.RUNNING, Phase.RAN, Phase.IN_DOUBT, Phase.FORGOTTEN)


@attrs.define
class _InquiryState:
    """State of one inquiry.

    Attributes
    ----------
    attempt : int
        Number of the inquiry, see `Inquire`.
    asked : set of Member
        Peers that the inquiry was sent to.
    members : frozenset of Member or None
        Peers that may have run the key; None until the registered ranges are read.
    ranges_unavailable : bool
        Whether the registered ranges could not be read.
    denied, unresponsive : set of Member
        Peers that denied the key, and peers that did not reply.
    """

    attempt: int
    asked: set[Member]
    members: frozenset[Member] | None = None
    ranges_unavailable: bool = False
    denied: set[Member] = attrs.field(factory=set)
    unresponsive: set[Member] = attrs.field(factory=set)

    def awaits_replies(self) -> bool:
        """Return whether an outstanding reply could still decide the operation."""
        if self.members is None and not self.ranges_unavailable:
            return True
        relevant = self.asked if self.members is None else self.members
        return bool(relevant - self.denied - self.unresponsive)

    def all_denied(self) -> bool:
        return self.members is not None and self.members <= self.denied


class Operations:
    """Decides which keyed operations run at one entry.

    Parameters
    ----------
    settings : OperationSettings
        Bounds on records, and whether a caller's first-send mark is trusted.
    own : Member
        This entry.
    invariants : Invariants, optional
        Counter of invariant violations.
    membership : Membership, optional
        Known peers; they may have joined since the registered ranges were last read.

    Attributes
    ----------
    range : OwnRange
        Key times that this entry may run.
    records : Records
        Records of the keys that this entry has seen.
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
        self._inquiries_by_key: dict[str, _InquiryState] = {}
        self._known_ranges: tuple[EntryRange, ...] = ()
        self._dead_since: dict[Member, float] = {}
        self.range = OwnRange(settings.clock_skew_s)
        self.records = Records(
            settings.max_records, settings.max_kept_bytes, settings.max_key_age_s
        )

    def on_operation(self, now: float, operation: Operation) -> Decision:
        """Decide whether a send runs, waits, is replayed, starts an inquiry or is rejected."""
        key = parse_key(operation.key)
        if key is None:
            return Reject(NotRun(STEP, "", "the key must be a UUID of version 7", 400))
        record = self.records.get(key)
        if record is not None and record.phase != Phase.TOMBSTONE:
            return self._decide_by_record(key, record, operation)
        within_range = self.range.holds(now, key.time, self._settings.max_key_age_s)
        marked = operation.first_send and self._settings.trust_first_send
        if marked and record is None:
            return (
                self._run_marked(now, key, operation)
                if within_range
                else Reject(_outside_range_refusal())
            )
        if not within_range:
            return Reject(_unknown_outcome("this entry may not run a key of this time"))
        return self._inquire(now, key, operation)

    def on_last_known_ranges(self, now: float, ranges: Iterable[EntryRange]) -> None:
        """Record the registered ranges as last read; inquiries start with these peers."""
        self._known_ranges = tuple(ranges)

    def on_ranges(
        self, now: float, key: OperationKey, attempt: int, ranges: Iterable[EntryRange]
    ) -> FinalDecision | Ask | None:
        """Continue an inquiry with the registered ranges, read after the inquiry began.

        Returns
        -------
        Run, Replay, Reject, Ask or None
            `Ask` if more peers must be asked; None while replies are outstanding.
        """
        self.on_last_known_ranges(now, ranges)
        state = self._current_inquiry(key, attempt)
        if state is None:
            return Reject(_concurrent_send_refusal())
        state.members = frozenset(self._possible_executors(key))
        not_asked = state.members - state.asked
        state.asked |= not_asked
        if not_asked:
            return Ask(tuple(sorted(not_asked, key=_order)))
        return self._conclude(key, state)

    def on_ranges_unavailable(
        self, now: float, key: OperationKey, attempt: int
    ) -> FinalDecision | None:
        """Record that the registered ranges could not be read.

        The inquiry can then only find an entry that ran the key; it cannot permit a new run.

        Returns
        -------
        Run, Replay, Reject or None
            None while replies are outstanding.
        """
        state = self._current_inquiry(key, attempt)
        if state is None:
            return Reject(_concurrent_send_refusal())
        state.ranges_unavailable = True
        return self._conclude(key, state)

    def on_reply(
        self, now: float, key: OperationKey, attempt: int, peer: Member, reply: InquiryReply
    ) -> FinalDecision | None:
        """Evaluate a peer's reply to an inquiry.

        Returns
        -------
        Run, Replay, Reject or None
            None while further replies are outstanding.
        """
        state = self._current_inquiry(key, attempt)
        if state is None:
            return Reject(_concurrent_send_refusal())
        if reply.phase == Phase.TOMBSTONE:
            state.denied.add(peer)
            return self._conclude(key, state)
        self._abandon(key)
        if reply.mismatch:
            return Reject(_mismatch_refusal())
        if reply.answer is not None:
            return Replay(reply.answer)
        return Reject(_phase_refusal(reply.phase, peer.id))

    def on_no_reply(
        self, now: float, key: OperationKey, attempt: int, peer: Member, *, dead: bool = False
    ) -> FinalDecision | None:
        """Record that a peer did not reply to an inquiry.

        Parameters
        ----------
        now : float
            Current time in seconds since 1970.
        key : OperationKey
            Key of the operation.
        attempt : int
            Number of the inquiry, see `Inquire`.
        peer : Member
            The peer.
        dead : bool
            Whether the peer's process is known to have ended.

        Returns
        -------
        Run, Replay, Reject or None
            None while replies of other peers are outstanding.
        """
        if dead:
            self._record_dead(now, peer)
        state = self._current_inquiry(key, attempt)
        if state is None:
            return Reject(_concurrent_send_refusal())
        state.unresponsive.add(peer)
        return self._conclude(key, state)

    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        """Reply to a peer's inquiry.

        After a denial, this entry no longer runs a send of the key on the caller's mark alone. If
        both entries inquire about the same key, the one with the lower id (or the earlier start)
        goes on and the other one gives up.
        """
        record = self.records.get(inquiry.key)
        if record is None:
            self.records.add(now, inquiry.key, Record(inquiry.key.time, Phase.TOMBSTONE))
            return InquiryReply(Phase.TOMBSTONE)
        if record.phase in _EXECUTION_PHASES:
            return self._reply_from_record(record, inquiry)
        if record.phase == Phase.ASKING:
            if _order(self._own) < _order(inquiry.asker):
                return InquiryReply(Phase.ASKING)
            self._abandon(inquiry.key)
        return InquiryReply(Phase.TOMBSTONE)

    def on_answer(self, now: float, key: OperationKey, answer: KeptAnswer | None) -> None:
        """Record the complete answer of an operation that ran; None if it cannot be kept."""
        record = self._end(key, Phase.RAN)
        if record is None or answer is None:
            return
        if self._own.failure_domain in answer.failure_domains:
            self.records.keep(key, record, answer)

    def on_unknown_outcome(self, now: float, key: OperationKey) -> None:
        """Record that an operation may have run."""
        self._end(key, Phase.IN_DOUBT)

    def on_not_run(self, now: float, key: OperationKey) -> None:
        """Record that an operation which was allowed to run did not run; it may be sent again."""
        record = self.records.get(key)
        if record is None or record.phase != Phase.RUNNING:
            return
        if record.marked:
            self.records.remove(key)
        else:
            record.phase = Phase.TOMBSTONE

    def _run_marked(self, now: float, key: OperationKey, operation: Operation) -> Run:
        record = Record(key.time, Phase.RUNNING, operation.fingerprint, marked=True)
        self.records.add(now, key, record)
        return Run(key)

    def _decide_by_record(
        self, key: OperationKey, record: Record, operation: Operation
    ) -> Decision:
        if record.fingerprint and record.fingerprint != operation.fingerprint:
            return Reject(_mismatch_refusal())
        if record.phase in (Phase.RUNNING, Phase.ASKING):
            return Wait(key)
        if record.answer is not None:
            return Replay(record.answer)
        return Reject(_phase_refusal(record.phase, self._own.id))

    def _inquire(self, now: float, key: OperationKey, operation: Operation) -> Inquire:
        attempt = next(self._attempts)
        record = Record(key.time, Phase.ASKING, operation.fingerprint)
        self.records.add(now, key, record)
        known_peers = self._membership.peers() if self._membership is not None else []
        known = tuple(sorted(self._possible_executors(key) | set(known_peers), key=_order))
        self._inquiries_by_key[key.text] = _InquiryState(attempt, set(known))
        return Inquire(key, attempt, operation.fingerprint, known)

    def _possible_executors(self, key: OperationKey) -> set[Member]:
        """Return the other entries that may have run a key."""
        own = _order(self._own)
        return {
            entry.member
            for entry in self._known_ranges
            if entry.holds(key.time)
            and _order(entry.member) != own
            and self._was_possibly_alive(entry, key)
        }

    def _was_possibly_alive(self, entry: EntryRange, key: OperationKey) -> bool:
        """Return whether an entry may have been alive when a key of this time was sent."""
        dead_since = self._dead_since.get(entry.member)
        return dead_since is None or key.time <= dead_since + 2 * self._settings.clock_skew_s

    def _record_dead(self, now: float, peer: Member) -> None:
        self._dead_since.setdefault(peer, now)
        while len(self._dead_since) > _MAX_DEAD_MEMBERS:
            del self._dead_since[next(iter(self._dead_since))]

    def _current_inquiry(self, key: OperationKey, attempt: int) -> _InquiryState | None:
        state = self._inquiries_by_key.get(key.text)
        if state is None or state.attempt != attempt:
            return None
        record = self.records.get(key)
        if record is None or record.phase != Phase.ASKING:
            del self._inquiries_by_key[key.text]
            return None
        return state

    def _conclude(self, key: OperationKey, state: _InquiryState) -> FinalDecision | None:
        if state.all_denied():
            record = self.records.get(key)
            del self._inquiries_by_key[key.text]
            assert record is not None
            record.phase = Phase.RUNNING
            return Run(key)
        if state.awaits_replies():
            return None
        self._abandon(key)
        return Reject(_missing_reply_refusal(state))

    def _abandon(self, key: OperationKey) -> None:
        self._inquiries_by_key.pop(key.text, None)
        record = self.records.get(key)
        if record is not None and record.phase == Phase.ASKING:
            record.phase = Phase.TOMBSTONE
            record.fingerprint = b""

    def _reply_from_record(self, record: Record, inquiry: Inquiry) -> InquiryReply:
        if record.fingerprint and record.fingerprint != inquiry.fingerprint:
            return InquiryReply(record.phase, mismatch=True)
        answer = record.answer
        if answer is not None and inquiry.asker.failure_domain not in answer.failure_domains:
            answer = None
        return InquiryReply(record.phase, answer)

    def _end(self, key: OperationKey, phase: Phase) -> Record | None:
        record = self.records.get(key)
        if record is None or record.phase == Phase.FORGOTTEN:
            return None
        self._invariants.check(record.phase == Phase.RUNNING, "operations end once")
        record.phase = phase
        return record


def _order(member: Member) -> tuple[str, int]:
    return member.id, member.incarnation


def _outside_range_refusal() -> Refusal:
    return NotRun(STEP, "", "this entry may not run a key of this time", 503)


def _unknown_outcome(reason: str, peer: str = "") -> Refusal:
    return Unknown(STEP, peer, reason, 409)


def _concurrent_send_refusal() -> Refusal:
    return _unknown_outcome("another send of this operation is being decided")


def _mismatch_refusal() -> Refusal:
    return NotRun(STEP, "", "this key stands for another request", 422)


def _missing_reply_refusal(state: _InquiryState) -> Refusal:
    missing = (state.members or frozenset()) - state.denied
    if not missing:
        return _unknown_outcome("the entries that may have run it could not be listed")
    peer = min(missing, key=_order)
    return _unknown_outcome("an entry that may have run it did not answer", peer.id)


def _phase_refusal(phase: Phase, peer: str) -> Refusal:
    if phase == Phase.RUNNING:
        return _unknown_outcome("this operation is running", peer)
    if phase == Phase.RAN:
        return _unknown_outcome("this operation has run; its answer is not kept", peer)
    if phase == Phase.ASKING:
        return _concurrent_send_refusal()
    return _unknown_outcome("this operation may have run", peer)
