from __future__ import annotations

import testtools

from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.messages import (
    Answer,
    Cancel,
    Deliver,
    Failure,
    Refuse,
    Request,
    Send,
)
from sycamorebay.state.backends import LoadReport
from tests.support import dispatcher


def price(number: int = 1) -> Request:
    return Request(number, "desk.test", "GET", "/prices/7")


def bid(number: int = 1) -> Request:
    return Request(number, "desk.test", "POST", "/bids")


def serve_request(subject: Dispatcher, now: float, request: Request) -> str:
    """Send a request, answer it and return the id of its backend server."""
    (send,) = subject.on_request(now, request)
    subject.on_answer(now, send.attempt_id, Answer(200))
    subject.on_end(now, send.attempt_id)
    return send.backend_server.id


def count_failing_sends(subject: Dispatcher, request: Request, fault: Answer | Failure) -> int:
    """Fail every attempt of a request and return the number of attempts."""
    sends = 0
    actions = subject.on_request(0.0, request)
    while isinstance(actions[0], Send):
        sends += 1
        event = subject.on_answer if isinstance(fault, Answer) else subject.on_failure
        actions = event(0.0, actions[0].attempt_id, fault)
    return sends


class DispatchTest(testtools.TestCase):
    def test_sends_to_an_allowed_server_and_delivers(self):
        subject = dispatcher()
        (send,) = subject.on_request(0.0, price())
        self.assertIsInstance(send, Send)
        self.assertEqual(2.0, send.deadline)
        actions = subject.on_answer(0.1, send.attempt_id, Answer(200))
        self.assertEqual([Deliver(1, send.attempt_id)], actions)
        subject.on_end(0.2, send.attempt_id)
        self.assertEqual(0, subject.backends.get(send.backend_server.id).in_flight)

    def test_refuses_unknown_hosts_and_routes(self):
        subject = dispatcher()
        (refuse,) = subject.on_request(0.0, Request(1, "other.test", "GET", "/"))
        self.assertEqual(("not-run", 404), (refuse.refusal.tag, refuse.refusal.status))
        (refuse,) = subject.on_request(0.0, Request(2, "desk.test", "GET", "/nothing"))
        self.assertEqual(("not-run", 404), (refuse.refusal.tag, refuse.refusal.status))

    def test_a_shed_request_moves_to_another_server(self):
        subject = dispatcher()
        (first,) = subject.on_request(0.0, bid())
        (second,) = subject.on_answer(0.1, first.attempt_id, Answer(503, shed=True))
        self.assertIsInstance(second, Send)
        self.assertNotEqual(first.backend_server.id, second.backend_server.id)

    def test_a_written_bid_is_never_sent_twice(self):
        subject = dispatcher()
        (send,) = subject.on_request(0.0, bid())
        (refuse,) = subject.on_failure(0.1, send.attempt_id, Failure("answer", True, "lost"))
        self.assertEqual("unknown", refuse.refusal.tag)

    def test_not_run_is_never_returned_after_an_attempt_may_have_run(self):
        for last in (Answer(503, shed=True), Failure("connect", False, "refused")):
            subject = dispatcher()
            (send,) = subject.on_request(0.0, price())
            (send,) = subject.on_failure(0.1, send.attempt_id, Failure("answer", True, "lost"))
            event = subject.on_answer if isinstance(last, Answer) else subject.on_failure
            (refuse,) = event(0.2, send.attempt_id, last)
            self.assertEqual("unknown", refuse.refusal.tag)

    def test_retries_stay_within_their_budget(self):
        subject = dispatcher()
        sends = 0
        for number in range(100):
            actions = subject.on_request(0.0, price(number))
            while isinstance(actions[0], Send):
                sends += 1
                failure = Failure("connect", False, "refused")
                actions = subject.on_failure(0.0, actions[0].attempt_id, failure)
            self.assertIsInstance(actions[0], Refuse)
            self.assertEqual("not-run", actions[0].refusal.tag)
        self.assertLessEqual(sends, 111)

    def test_a_total_failure_after_successful_traffic_is_not_amplified(self):
        subject = dispatcher(servers=20)
        for number in range(1000):
            serve_request(subject, 0.0, price(number))
        for fault in (Answer(503, shed=True), Failure("connect", False, "refused")):
            sends = sum(
                count_failing_sends(subject, price(number), fault) for number in range(1000)
            )
            self.assertLessEqual(sends, 1100)

    def test_a_leaving_server_gets_no_new_work(self):
        subject = dispatcher(servers=2)
        subject.on_report(0.0, "desk-0", LoadReport(0, leaving=True))
        servers = {serve_request(subject, 0.0, price(n)) for n in range(20)}
        self.assertEqual({"desk-1"}, servers)

    def test_a_disconnected_caller_frees_its_slot(self):
        subject = dispatcher()
        (send,) = subject.on_request(0.0, price())
        self.assertEqual([Cancel(1, send.attempt_id)], subject.on_caller_gone(0.1, 1))
        self.assertEqual(0, subject.backends.get(send.backend_server.id).in_flight)
        self.assertEqual([], subject.on_answer(0.2, send.attempt_id, Answer(200)))
