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
    made = Dispatcher(Random(1), invariants=Invariants(strict=True))
    made.on_document(0.0, load_document(json.dumps(data).encode()))
    return made


def fill(made: Dispatcher) -> list[Send]:
    return [made.on_request(0.0, price(number))[0] for number in range(SLOTS)]


class AdmissionTest(testtools.TestCase):
    def test_a_request_waits_for_room_and_goes_out_when_a_slot_is_free(self):
        made = dispatcher(servers=2)
        sends = fill(made)
        (enqueue,) = made.on_request(0.0, price(9))
        self.assertIsInstance(enqueue, Enqueue)
        made.on_answer(0.1, sends[0].attempt_id, Answer(200))
        (send,) = made.on_end(0.2, sends[0].attempt_id)
        self.assertEqual((9, Send), (send.request_id, type(send)))

    def test_a_full_queue_refuses_at_once_with_a_time_from_the_backlog(self):
        made = dispatcher(servers=2)
        serve_slowly(made, seconds=0.9)
        fill(made)
        waiting = [made.on_request(4.0, price(100 + n))[0] for n in range(20)]
        refusal = waiting[-1].refusal
        self.assertEqual(("not-run", "admit"), (refusal.tag, refusal.step))
        self.assertGreater(refusal.retry_after_s, 1)

    def test_a_request_that_can_no_longer_make_its_deadline_is_refused_then(self):
        made = dispatcher(servers=2)
        fill(made)
        (enqueue,) = made.on_request(0.0, price(9))
        self.assertLessEqual(made.next_timer(), enqueue.until)
        self.assertEqual([], made.on_timer(enqueue.until - 0.1))
        (refuse,) = made.on_timer(enqueue.until)
        self.assertEqual((9, Refuse), (refuse.request_id, type(refuse)))

    def test_a_caller_that_leaves_the_queue_is_not_sent(self):
        made = dispatcher(servers=2)
        sends = fill(made)
        made.on_request(0.0, price(9))
        self.assertEqual([], made.on_caller_gone(0.1, 9))
        self.assertEqual([], made.on_failure(0.2, sends[0].attempt_id, lost())[1:])

    def test_waiting_requests_of_a_service_that_is_dropped_are_refused(self):
        made = dispatcher(servers=2)
        fill(made)
        made.on_request(0.0, price(9))
        other = json.dumps({"format": 1, "services": []}).encode()
        (refuse,) = made.on_document(0.1, load_document(other))
        self.assertEqual((9, "place"), (refuse.request_id, refuse.refusal.step))

    def test_a_caller_gone_during_its_answer_frees_the_slot(self):
        made = dispatcher(servers=2)
        send = fill(made)[0]
        self.assertIsInstance(made.on_answer(0.1, send.attempt_id, Answer(200))[0], Deliver)
        self.assertEqual([Cancel(0, send.attempt_id)], made.on_caller_gone(0.2, 0))
        self.assertEqual(SLOTS - 1, sum(state.in_flight for state in made.backends))


def lost() -> Failure:
    return Failure("answer", True, "lost")


def serve_slowly(made: Dispatcher, seconds: float) -> None:
    for number in range(40):
        (send,) = made.on_request(0.0, price(number))
        made.on_answer(seconds, send.attempt_id, Answer(200))
        made.on_end(seconds * (number + 1), send.attempt_id)


class LongWorkTest(testtools.TestCase):
    def test_long_work_leaves_slots_to_short_work(self):
        made = with_long_work()
        actions = [made.on_request(0.0, batch(number))[0] for number in range(5)]
        self.assertEqual([Send] * 2 + [Enqueue] * 3, [type(action) for action in actions])
        self.assertEqual({1}, {state.long_in_flight for state in made.backends})
        self.assertIsInstance(made.on_request(0.0, price(9))[0], Send)

    def test_entries_together_keep_to_the_long_slots_of_each_server(self):
        dealt = [own_slots(f"entry-{i}", slots=2, entries=13) for i in range(13)]
        for number in range(8):
            self.assertEqual(2, sum(own[f"desk-{number}"] for own in dealt))

    def test_an_entry_without_a_long_slot_of_its_own_still_gets_one(self):
        everyone = [Entry(f"entry-{n}") for n in range(13)]
        for entry in everyone:
            made = with_long_work(servers=6)
            made.on_entries(0.0, entry, everyone)
            actions = [made.on_request(0.0, batch(number))[0] for number in range(4)]
            sent = sum(isinstance(action, Send) for action in actions)
            self.assertEqual(1, sent)

    def test_long_work_moves_though_the_server_of_its_slot_is_leaving(self):
        made = with_long_work(servers=6)
        everyone = [Entry(f"entry-{n}") for n in range(6)]
        made.on_entries(0.0, everyone[0], everyone)
        (first,) = made.on_request(0.0, batch(1))
        made.on_leaving(0.0, first.backend_server.id)
        made.on_answer(0.1, first.attempt_id, Answer(200))
        made.on_end(0.1, first.attempt_id)
        self.assertIsInstance(made.on_request(0.2, batch(2))[0], Send)

    def test_waiting_work_goes_out_when_an_ejected_server_is_back(self):
        made = with_long_work(servers=2)
        sends = [made.on_request(0.0, batch(number))[0] for number in range(3)]
        self.assertIsInstance(sends[2], Enqueue)
        made.on_caller_gone(0.1, 0)
        made.on_caller_gone(0.1, 1)
        self.assertEqual(1, made.in_flight)

    def test_slots_go_to_entries_of_their_failure_domain(self):
        dealt = [own_slots(f"entry-{n}", slots=2, entries=4) for n in (0, 2)]
        self.assertEqual({"desk-0", "desk-2", "desk-4", "desk-6"}, set(dealt[0] + dealt[1]))


def own_slots(entry_id: str, slots: int, entries: int) -> Counter[str]:
    servers = [BackendServer(f"desk-{n}", "", "ab"[n % 2], slots) for n in range(8)]
    everyone = [Entry(f"entry-{n}", "ab"[n % 2]) for n in range(entries)]
    own = next(entry for entry in everyone if entry.id == entry_id)
    known = Entries.of(own, everyone)
    return assigned_slots(servers, known, lambda s: s.slots)


class LimitTest(testtools.TestCase):
    def test_falls_while_servers_are_overloaded_and_rises_again(self):
        limit = AdaptiveLimit(60, entries=13)
        for _ in range(200):
            limit.on_answer(int(limit.limit), overloaded=True)
        self.assertEqual(5.0, limit.limit)
        for _ in range(200):
            limit.on_answer(int(limit.limit), overloaded=False)
        self.assertGreater(limit.limit, 10.0)

    def test_does_not_rise_while_it_does_not_bind(self):
        limit = AdaptiveLimit(10)
        limit.on_answer(3, overloaded=False)
        self.assertEqual(10.0, limit.limit)


class QueueTest(testtools.TestCase):
    def test_does_not_admit_what_the_backlog_makes_late(self):
        queue = AdmissionQueue()
        for number in range(100):
            queue.throughput.on_end(number * 0.1, 0.1)
        self.assertTrue(queue.admits(10.0, 10.5, max_length=8))
        self.assertFalse(queue.admits(10.0, 10.25, max_length=8))


class LeavingTest(testtools.TestCase):
    def test_a_peer_s_word_stops_new_work_and_is_not_passed_on(self):
        made = dispatcher(servers=2)
        made.on_leaving(1.0, "desk-0")
        self.assertEqual("desk-1", made.on_request(1.0, price(1))[0].backend_server.id)
        self.assertEqual([], made.leaving(1.0))

    def test_a_server_s_own_word_is_for_peers(self):
        made = dispatcher(servers=2)
        made.on_report(1.0, "desk-0", LoadReport(0, leaving=True))
        self.assertEqual(["desk-0"], made.leaving(1.0))
        made.on_report(2.0, "desk-0", LoadReport(0))
        self.assertEqual(["desk-0"], made.leaving(2.0))
        self.assertEqual([], made.leaving(1.0 + LEAVING_HOLD_S))
