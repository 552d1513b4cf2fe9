from __future__ import annotations

import json
from collections import Counter
from random import Random

import testtools

from sycamorebay.coordination.admit import AdmissionQueue
from sycamorebay.coordination.assignment import Entries, Entry, assigned_slots
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.limit import AdaptiveLimit
from sycamorebay.coordination.messages import (
    Answer,
    Cancel,
    Deliver,
    Enqueue,
    Failure,
    Refuse,
    Request,
    Send,
)
from sycamorebay.state.backends import LEAVING_HOLD_S, LoadReport
from sycamorebay.state.document import BackendServer, load_document
from tests.support import dispatcher, raw_document

SLOTS = 4


def price(number: int) -> Request:
    return Request(number, "desk.test", "GET", "/prices/7")


def batch(number: int) -> Request:
    return Request(number, "desk.test", "GET", "/batch")


def with_long_work(servers: int = 2) -> Dispatcher:
    data = raw_document(servers)
    route = {"methods": ["GET"], "path": "/batch", "work": "long", "deadline_ms": 20000}
    data["services"][0]["routes"].append(route)
    for index, server in enumerate(data["services"][0]["backend_servers"]):
        server["address"] = f"127.0.0.1:{10000 + index}"
    subject = Dispatcher(Random(1), invariants=Invariants(strict=True))
    subject.on_document(0.0, load_document(json.dumps(data).encode()))
    return subject


def fill(subject: Dispatcher) -> list[Send]:
    return [subject.on_request(0.0, price(number))[0] for number in range(SLOTS)]


class AdmissionTest(testtools.TestCase):
    def test_a_request_waits_for_capacity_and_is_sent_when_a_slot_is_free(self):
        subject = dispatcher(servers=2)
        sends = fill(subject)
        (enqueue,) = subject.on_request(0.0, price(9))
        self.assertIsInstance(enqueue, Enqueue)
        subject.on_answer(0.1, sends[0].attempt_id, Answer(200))
        (send,) = subject.on_end(0.2, sends[0].attempt_id)
        self.assertEqual((9, Send), (send.request_id, type(send)))

    def test_a_full_queue_refuses_at_once_with_a_time_from_the_backlog(self):
        subject = dispatcher(servers=2)
        serve_slowly(subject, seconds=0.9)
        fill(subject)
        waiting = [subject.on_request(4.0, price(100 + n))[0] for n in range(20)]
        refusal = waiting[-1].refusal
        self.assertEqual(("not-run", "admit"), (refusal.tag, refusal.step))
        self.assertGreater(refusal.retry_after_s, 1)

    def test_a_request_that_can_no_longer_be_served_by_its_deadline_is_refused(self):
        subject = dispatcher(servers=2)
        fill(subject)
        (enqueue,) = subject.on_request(0.0, price(9))
        self.assertLessEqual(subject.next_timer(), enqueue.until)
        self.assertEqual([], subject.on_timer(enqueue.until - 0.1))
        (refuse,) = subject.on_timer(enqueue.until)
        self.assertEqual((9, Refuse), (refuse.request_id, type(refuse)))

    def test_a_queued_request_whose_caller_disconnected_is_not_sent(self):
        subject = dispatcher(servers=2)
        sends = fill(subject)
        subject.on_request(0.0, price(9))
        self.assertEqual([], subject.on_caller_gone(0.1, 9))
        self.assertEqual([], subject.on_failure(0.2, sends[0].attempt_id, lost_answer())[1:])

    def test_waiting_requests_of_a_service_that_is_dropped_are_refused(self):
        subject = dispatcher(servers=2)
        fill(subject)
        subject.on_request(0.0, price(9))
        other = json.dumps({"format": 1, "services": []}).encode()
        (refuse,) = subject.on_document(0.1, load_document(other))
        self.assertEqual((9, "place"), (refuse.request_id, refuse.refusal.step))

    def test_a_caller_that_disconnects_during_its_answer_frees_the_slot(self):
        subject = dispatcher(servers=2)
        send = fill(subject)[0]
        self.assertIsInstance(subject.on_answer(0.1, send.attempt_id, Answer(200))[0], Deliver)
        self.assertEqual([Cancel(0, send.attempt_id)], subject.on_caller_gone(0.2, 0))
        self.assertEqual(SLOTS - 1, sum(state.in_flight for state in subject.backends))


def lost_answer() -> Failure:
    return Failure("answer", True, "lost")


def serve_slowly(subject: Dispatcher, seconds: float) -> None:
    for number in range(40):
        (send,) = subject.on_request(0.0, price(number))
        subject.on_answer(seconds, send.attempt_id, Answer(200))
        subject.on_end(seconds * (number + 1), send.attempt_id)


class LongWorkTest(testtools.TestCase):
    def test_long_work_leaves_slots_to_short_work(self):
        subject = with_long_work()
        actions = [subject.on_request(0.0, batch(number))[0] for number in range(5)]
        self.assertEqual([Send] * 2 + [Enqueue] * 3, [type(action) for action in actions])
        self.assertEqual({1}, {state.long_in_flight for state in subject.backends})
        self.assertIsInstance(subject.on_request(0.0, price(9))[0], Send)

    def test_entries_together_keep_to_the_long_slots_of_each_server(self):
        assigned = [own_slots(f"entry-{i}", slots=2, entries=13) for i in range(13)]
        for number in range(8):
            self.assertEqual(2, sum(own[f"desk-{number}"] for own in assigned))

    def test_an_entry_without_an_assigned_long_slot_may_use_one(self):
        all_entries = [Entry(f"entry-{n}") for n in range(13)]
        for entry in all_entries:
            subject = with_long_work(servers=6)
            subject.on_entries(0.0, entry, all_entries)
            actions = [subject.on_request(0.0, batch(number))[0] for number in range(4)]
            sent = sum(isinstance(action, Send) for action in actions)
            self.assertEqual(1, sent)

    def test_long_work_is_sent_elsewhere_when_the_server_of_its_slot_is_leaving(self):
        subject = with_long_work(servers=6)
        all_entries = [Entry(f"entry-{n}") for n in range(6)]
        subject.on_entries(0.0, all_entries[0], all_entries)
        (first,) = subject.on_request(0.0, batch(1))
        subject.on_leaving(0.0, first.backend_server.id)
        subject.on_answer(0.1, first.attempt_id, Answer(200))
        subject.on_end(0.1, first.attempt_id)
        self.assertIsInstance(subject.on_request(0.2, batch(2))[0], Send)

    def test_waiting_long_work_is_sent_when_slots_are_freed(self):
        subject = with_long_work(servers=2)
        sends = [subject.on_request(0.0, batch(number))[0] for number in range(3)]
        self.assertIsInstance(sends[2], Enqueue)
        subject.on_caller_gone(0.1, 0)
        subject.on_caller_gone(0.1, 1)
        self.assertEqual(1, subject.in_flight)

    def test_slots_are_assigned_to_entries_in_their_failure_domain(self):
        assigned = [own_slots(f"entry-{n}", slots=2, entries=4) for n in (0, 2)]
        self.assertEqual({"desk-0", "desk-2", "desk-4", "desk-6"}, set(assigned[0] + assigned[1]))


def own_slots(entry_id: str, slots: int, entries: int) -> Counter[str]:
    servers = [BackendServer(f"desk-{n}", "", "ab"[n % 2], slots) for n in range(8)]
    all_entries = [Entry(f"entry-{n}", "ab"[n % 2]) for n in range(entries)]
    own = next(entry for entry in all_entries if entry.id == entry_id)
    known = Entries.of(own, all_entries)
    return assigned_slots(servers, known, lambda s: s.slots)


class LimitTest(testtools.TestCase):
    def test_decreases_while_servers_are_overloaded_and_increases_again(self):
        limit = AdaptiveLimit(60, entries=13)
        for _ in range(200):
            limit.on_answer(int(limit.limit), overloaded=True)
        self.assertEqual(5.0, limit.limit)
        for _ in range(200):
            limit.on_answer(int(limit.limit), overloaded=False)
        self.assertGreater(limit.limit, 10.0)

    def test_does_not_increase_while_it_does_not_bind(self):
        limit = AdaptiveLimit(10)
        limit.on_answer(3, overloaded=False)
        self.assertEqual(10.0, limit.limit)


class QueueTest(testtools.TestCase):
    def test_does_not_admit_requests_that_the_backlog_would_make_late(self):
        queue = AdmissionQueue()
        for number in range(100):
            queue.throughput.on_end(number * 0.1, 0.1)
        self.assertTrue(queue.admits(10.0, 10.5, max_length=8))
        self.assertFalse(queue.admits(10.0, 10.25, max_length=8))


class LeavingTest(testtools.TestCase):
    def test_a_notice_from_a_peer_stops_new_work_and_is_not_passed_on(self):
        subject = dispatcher(servers=2)
        subject.on_leaving(1.0, "desk-0")
        self.assertEqual("desk-1", subject.on_request(1.0, price(1))[0].backend_server.id)
        self.assertEqual([], subject.leaving(1.0))

    def test_an_announcement_by_the_server_is_passed_on_to_peers(self):
        subject = dispatcher(servers=2)
        subject.on_report(1.0, "desk-0", LoadReport(0, leaving=True))
        self.assertEqual(["desk-0"], subject.leaving(1.0))
        subject.on_report(2.0, "desk-0", LoadReport(0))
        self.assertEqual(["desk-0"], subject.leaving(2.0))
        self.assertEqual([], subject.leaving(1.0 + LEAVING_HOLD_S))
