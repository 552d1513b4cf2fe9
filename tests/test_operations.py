from __future__ import annotations

import testtools

from bench.load import new_key
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.operation_messages import (
    Ask,
    Inquire,
    Inquiry,
    InquiryReply,
    Operation,
    Reject,
    Replay,
    Run,
    Wait,
)
from sycamorebay.coordination.operations import Operations
from sycamorebay.coordination.ranges import EntryRange, OwnRange
from sycamorebay.settings import OperationSettings
from sycamorebay.state.operations import KeptAnswer, OperationKey, Phase, parse_key
from tests.support import member

NOW = 1_000_000.0
OWN, PEER, THIRD = member("entry-1"), member("entry-0", domain="b"), member("entry-2")
ANSWER = KeptAnswer(200, (("x-server", "desk-1"),), b"confirmed", ("a", "b"))
DENIAL = InquiryReply(Phase.TOMBSTONE)


def key_text_at(time: float, number: int = 0) -> str:
    return f"{int(time * 1000):012x}70008{number:015x}"


def key_at(time: float, number: int = 0) -> OperationKey:
    key = parse_key(key_text_at(time, number))
    assert key is not None
    return key


def send(
    time: float = NOW, number: int = 0, first: bool = True, fingerprint: bytes = b"p"
) -> Operation:
    return Operation(key_text_at(time, number), fingerprint, first)


def make_operations(**settings: object) -> Operations:
    operations = Operations(OperationSettings(**settings), OWN, Invariants(strict=True))  # type: ignore[arg-type]
    operations.range.on_confirmed(NOW - 100, NOW + 900)
    return operations


def ranges(*members: object) -> tuple[EntryRange, ...]:
    return tuple(EntryRange(one, NOW - 500, NOW + 500) for one in members)  # type: ignore[arg-type]


def start_inquiry(operations: Operations, *members: object) -> Inquire:
    """Start an inquiry by a second send and read the registered ranges."""
    inquire = operations.on_operation(NOW, send(first=False))
    assert isinstance(inquire, Inquire)
    outcome = operations.on_ranges(NOW, inquire.key, inquire.attempt, ranges(OWN, *members))
    assert outcome == Ask(tuple(members)) or (not members and outcome == Run(inquire.key))
    return inquire


class KeyTest(testtools.TestCase):
    def test_all_forms_of_a_uuid_are_the_same_key(self):
        text = "0198c5a0-0000-7abc-8def-0123456789ab"
        forms = [text, text.upper(), text.replace("-", ""), f'"{text}"']
        self.assertEqual({parse_key(text)}, {parse_key(form) for form in forms})
        self.assertEqual(0x0198C5A00000 / 1000, parse_key(text).time)

    def test_invalid_keys_are_refused_as_not_run(self):
        for invalid in ["", "abc", "0198c5a0-0000-4abc-8def-0123456789ab", "x" * 300, "é" * 32]:
            decision = make_operations().on_operation(NOW, Operation(invalid, b"p", True))
            self.assertEqual(("not-run", 400), (decision.refusal.tag, decision.refusal.status))

    def test_the_load_tool_makes_valid_keys(self):
        import random

        self.assertIsNotNone(parse_key(new_key(random.Random(1))))


class FirstSendTest(testtools.TestCase):
    def test_runs_at_once_and_its_answer_is_replayed(self):
        operations = make_operations()
        self.assertEqual(Run(key_at(NOW)), operations.on_operation(NOW, send()))
        self.assertEqual(Wait(key_at(NOW)), operations.on_operation(NOW, send(first=False)))
        operations.on_answer(NOW, key_at(NOW), ANSWER)
        for first in (True, False):
            self.assertEqual(Replay(ANSWER), operations.on_operation(NOW, send(first=first)))

    def test_a_key_for_another_request_is_refused(self):
        operations = make_operations()
        operations.on_operation(NOW, send())
        operations.on_answer(NOW, key_at(NOW), ANSWER)
        decision = operations.on_operation(NOW, send(fingerprint=b"other"))
        self.assertEqual(("not-run", 422), (decision.refusal.tag, decision.refusal.status))

    def test_an_operation_that_did_not_run_may_be_sent_again_as_first(self):
        operations = make_operations()
        operations.on_operation(NOW, send())
        operations.on_not_run(NOW, key_at(NOW))
        self.assertIsInstance(operations.on_operation(NOW, send()), Run)

    def test_an_operation_that_may_have_run_never_runs_again(self):
        operations = make_operations()
        operations.on_operation(NOW, send())
        operations.on_unknown_outcome(NOW, key_at(NOW))
        for first in (True, False):
            decision = operations.on_operation(NOW, send(first=first))
            self.assertEqual("unknown", decision.refusal.tag)

    def test_the_mark_is_not_trusted_if_operators_disable_it(self):
        operations = make_operations(trust_first_send=False)
        self.assertIsInstance(operations.on_operation(NOW, send()), Inquire)

    def test_keys_outside_the_range_are_refused(self):
        operations = Operations(OperationSettings(), OWN, Invariants(strict=True))
        decision = operations.on_operation(NOW, send())
        self.assertEqual("not-run", decision.refusal.tag)
        operations.range.on_confirmed(NOW, NOW + 900)
        for time, first, tag in [
            (NOW + 3.9, True, "not-run"),
            (NOW + 3.9, False, "unknown"),
            (NOW + 901, True, "not-run"),
        ]:
            decision = operations.on_operation(NOW + 10, send(time, first=first))
            self.assertEqual(tag, decision.refusal.tag)
        self.assertIsInstance(operations.on_operation(NOW + 10, send(NOW + 5)), Run)

    def test_keys_too_old_or_from_the_future_are_refused(self):
        for time in (NOW - 901, NOW + 3):
            self.assertIsInstance(make_operations().on_operation(NOW, send(time)), Reject)


class OwnRangeTest(testtools.TestCase):
    def test_an_expired_range_leaves_a_gap(self):
        own = OwnRange(2.0)
        own.on_confirmed(0.0, 10.0)
        own.on_confirmed(5.0, 15.0)
        self.assertEqual(4.0, own.first)
        own.on_confirmed(12.0, 22.0)
        self.assertEqual(16.0, own.first)
        self.assertFalse(own.holds(16.0, 15.5, 900.0))
        self.assertTrue(own.holds(17.0, 16.5, 900.0))

    def test_a_late_confirmation_never_shortens_the_range(self):
        own = OwnRange(1.0)
        own.on_confirmed(0.0, 10.0)
        own.on_confirmed(1.0, 5.0)
        self.assertEqual(10.0, own.until)


class InquiryTest(testtools.TestCase):
    def test_runs_after_every_entry_denied_the_key(self):
        operations = make_operations()
        inquire = start_inquiry(operations, PEER, THIRD)
        inquiry_id = (inquire.key, inquire.attempt)
        self.assertIsNone(operations.on_reply(NOW, *inquiry_id, PEER, DENIAL))
        self.assertEqual(Run(inquire.key), operations.on_reply(NOW, *inquiry_id, THIRD, DENIAL))

    def test_an_entry_that_denied_a_key_runs_no_marked_send_of_it(self):
        operations = make_operations()
        inquiry = Inquiry(key_at(NOW), 1, b"p", PEER)
        self.assertEqual(DENIAL, operations.on_inquiry(NOW, inquiry))
        self.assertIsInstance(operations.on_operation(NOW, send()), Inquire)

    def test_an_entry_that_does_not_reply_makes_the_outcome_unknown(self):
        operations = make_operations()
        inquire = start_inquiry(operations, PEER, THIRD)
        inquiry_id = (inquire.key, inquire.attempt)
        self.assertIsNone(operations.on_no_reply(NOW, *inquiry_id, PEER))
        decision = operations.on_reply(NOW, *inquiry_id, THIRD, DENIAL)
        self.assertEqual(("unknown", "entry-0"), (decision.refusal.tag, decision.refusal.peer))
        self.assertIsInstance(operations.on_operation(NOW, send(first=False)), Inquire)

    def test_without_ranges_only_an_entry_that_ran_the_key_decides(self):
        operations = make_operations()
        first = start_inquiry(operations, PEER)
        operations.on_reply(NOW, first.key, first.attempt, PEER, InquiryReply(Phase.ASKING))
        inquire = operations.on_operation(NOW, send(first=False))
        self.assertEqual((PEER,), inquire.known)
        inquiry_id = (inquire.key, inquire.attempt)
        self.assertIsNone(operations.on_ranges_unavailable(NOW, *inquiry_id))
        reply = InquiryReply(Phase.RAN, ANSWER)
        self.assertEqual(Replay(ANSWER), operations.on_reply(NOW, *inquiry_id, PEER, reply))
        inquire = operations.on_operation(NOW, send(first=False))
        inquiry_id = (inquire.key, inquire.attempt)
        operations.on_ranges_unavailable(NOW, *inquiry_id)
        decision = operations.on_reply(NOW, *inquiry_id, PEER, DENIAL)
        self.assertEqual("unknown", decision.refusal.tag)

    def test_a_late_reply_does_not_count_for_a_new_attempt(self):
        operations = make_operations()
        old = start_inquiry(operations, PEER)
        operations.on_no_reply(NOW, old.key, old.attempt, PEER)
        new = operations.on_operation(NOW, send(first=False))
        operations.on_ranges(NOW, new.key, new.attempt, ranges(OWN, PEER))
        self.assertIsInstance(operations.on_reply(NOW, old.key, old.attempt, PEER, DENIAL), Reject)
        self.assertIsInstance(operations.on_reply(NOW, new.key, new.attempt, PEER, DENIAL), Run)

    def test_of_two_concurrent_inquiries_the_lower_entry_continues(self):
        lower, higher = make_operations(), Operations(
            OperationSettings(), THIRD, Invariants(strict=True)
        )
        higher.range.on_confirmed(NOW - 100, NOW + 900)
        one, two = start_inquiry(lower, THIRD), start_inquiry(higher, OWN)
        busy = lower.on_inquiry(NOW, Inquiry(two.key, two.attempt, b"p", THIRD))
        self.assertEqual(Phase.ASKING, busy.phase)
        denied = higher.on_inquiry(NOW, Inquiry(one.key, one.attempt, b"p", OWN))
        self.assertEqual(DENIAL, denied)
        self.assertIsInstance(higher.on_reply(NOW, two.key, two.attempt, OWN, busy), Reject)
        self.assertIsInstance(lower.on_reply(NOW, one.key, one.attempt, THIRD, denied), Run)

    def test_an_entry_that_ran_the_key_replies_with_phase_and_answer(self):
        operations = make_operations()
        operations.on_operation(NOW, send())
        inquiry = Inquiry(key_at(NOW), 1, b"p", PEER)
        self.assertEqual(Phase.RUNNING, operations.on_inquiry(NOW, inquiry).phase)
        operations.on_answer(NOW, key_at(NOW), ANSWER)
        self.assertEqual(InquiryReply(Phase.RAN, ANSWER), operations.on_inquiry(NOW, inquiry))
        other = Inquiry(key_at(NOW), 1, b"other", PEER)
        self.assertTrue(operations.on_inquiry(NOW, other).mismatch)

    def test_answers_are_kept_only_in_failure_domains_of_their_service(self):
        only_b = KeptAnswer(200, (), b"confirmed", ("b",))
        operations = make_operations()
        operations.on_operation(NOW, send())
        operations.on_answer(NOW, key_at(NOW), only_b)
        self.assertEqual(0, operations.records.kept_bytes)
        decision = operations.on_operation(NOW, send(first=False))
        self.assertEqual("unknown", decision.refusal.tag)
        only_a = KeptAnswer(200, (), b"confirmed", ("a",))
        operations.on_operation(NOW, send(number=1))
        operations.on_answer(NOW, key_at(NOW, 1), only_a)
        inquiry = Inquiry(key_at(NOW, 1), 1, b"p", PEER)
        self.assertEqual(InquiryReply(Phase.RAN), operations.on_inquiry(NOW, inquiry))

    def test_a_process_that_ended_is_not_asked_about_later_keys(self):
        operations = make_operations()
        first = start_inquiry(operations, PEER)
        operations.on_no_reply(NOW, first.key, first.attempt, PEER, dead=True)
        self.assertIsInstance(operations.on_operation(NOW, send(first=False)), Inquire)
        later = NOW + 4.001
        inquire = operations.on_operation(later, send(later, first=False))
        self.assertEqual((), inquire.known)
        outcome = operations.on_ranges(later, inquire.key, inquire.attempt, ranges(OWN, PEER))
        self.assertEqual(Run(inquire.key), outcome)

    def test_not_run_after_an_inquiry_keeps_the_tombstone(self):
        operations = make_operations()
        inquire = start_inquiry(operations)
        operations.on_not_run(NOW, inquire.key)
        self.assertIsInstance(operations.on_operation(NOW, send()), Inquire)


class BoundsTest(testtools.TestCase):
    def test_dropped_records_leave_a_floor(self):
        operations = make_operations(max_records=100)
        for number in range(101):
            operations.on_operation(NOW, send(NOW - 50 + number / 10, number))
        self.assertEqual(100, len(operations.records))
        decision = operations.on_operation(NOW, send(NOW - 50, 0))
        self.assertEqual("unknown", decision.refusal.tag)
        reply = operations.on_inquiry(NOW, Inquiry(key_at(NOW - 50, 7), 1, b"p", PEER))
        self.assertEqual(Phase.FORGOTTEN, reply.phase)

    def test_kept_answers_stay_within_their_bytes(self):
        operations = make_operations(max_kept_bytes=100)
        large = KeptAnswer(200, (), b"x" * 60, ("a",))
        for number in range(3):
            operations.on_operation(NOW, send(number=number))
            operations.on_answer(NOW, key_at(NOW, number), large)
        self.assertEqual(60, operations.records.kept_bytes)
        self.assertIsInstance(operations.on_operation(NOW, send(number=2)), Replay)
        decision = operations.on_operation(NOW, send(number=0))
        self.assertEqual("unknown", decision.refusal.tag)

    def test_old_records_are_dropped_as_new_ones_are_added(self):
        operations = make_operations()
        operations.on_operation(NOW, send(number=1))
        operations.range.on_confirmed(NOW + 800, NOW + 2000)
        for number in range(2, 5):
            operations.on_operation(NOW + 950, send(NOW + 940, number))
        self.assertEqual(3, len(operations.records))
        decision = operations.on_operation(NOW + 950, send(number=1))
        self.assertEqual("unknown", decision.refusal.tag)
