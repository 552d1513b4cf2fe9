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


def serve(made: Dispatcher, now: float, request: Request) -> str:
    """Send a request, answer it, and return the backend server's id."""
    (send,) = made.on_request(now, request)
    made.on_answer(now, send.attempt_id, Answer(200))
    made.on_end(now, send.attempt_id)
    return send.backend_server.id


def fail(made: Dispatcher, request: Request, fault: Answer | Failure) -> int:
    """Let every attempt of a request fail, and return how many there were."""
    sends = 0
    actions = made.on_request(0.0, request)
    while isinstance(actions[0], Send):
        sends += 1
        event = made.on_answer if isinstance(fault, Answer) else made.on_failure
        actions = event(0.0, actions[0].attempt_id, fault)
    return sends


class DispatchTest(testtools.TestCase):
    def test_sends_to_an_allowed_server_and_delivers(self):
        made = dispatcher()
        (send,) = made.on_request(0.0, price())
        self.assertIsInstance(send, Send)
        self.assertEqual(2.0, send.deadline)
        actions = made.on_answer(0.1, send.attempt_id, Answer(200))
        self.assertEqual([Deliver(1, send.attempt_id)], actions)
        made.on_end(0.2, send.attempt_id)
        self.assertEqual(0, made.backends.get(send.backend_server.id).in_flight)

    def test_refuses_unknown_hosts_and_routes(self):
        made = dispatcher()
        (refuse,) = made.on_request(0.0, Request(1, "other.test", "GET", "/"))
        self.assertEqual(("not-run", 404), (refuse.refusal.tag, refuse.refusal.status))
        (refuse,) = made.on_request(0.0, Request(2, "desk.test", "GET", "/nothing"))
        self.assertEqual(("not-run", 404), (refuse.refusal.tag, refuse.refusal.status))

    def test_a_shed_request_moves_to_another_server(self):
        made = dispatcher()
        (first,) = made.on_request(0.0, bid())
        (second,) = made.on_answer(0.1, first.attempt_id, Answer(503, shed=True))
        self.assertIsInstance(second, Send)
        self.assertNotEqual(first.backend_server.id, second.backend_server.id)

    def test_a_written_bid_is_never_sent_twice(self):
        made = dispatcher()
        (send,) = made.on_request(0.0, bid())
        (refuse,) = made.on_failure(0.1, send.attempt_id, Failure("answer", True, "lost"))
        self.assertEqual("unknown", refuse.refusal.tag)

    def test_not_run_is_never_said_once_an_attempt_may_have_run(self):
        for last in (Answer(503, shed=True), Failure("connect", False, "refused")):
            made = dispatcher()
            (send,) = made.on_request(0.0, price())
            (send,) = made.on_failure(0.1, send.attempt_id, Failure("answer", True, "lost"))
            event = made.on_answer if isinstance(last, Answer) else made.on_failure
            (refuse,) = event(0.2, send.attempt_id, last)
            self.assertEqual("unknown", refuse.refusal.tag)

    def test_retries_stay_within_their_budget(self):
        made = dispatcher()
        sends = 0
        for number in range(100):
            actions = made.on_request(0.0, price(number))
            while isinstance(actions[0], Send):
                sends += 1
                failure = Failure("connect", False, "refused")
                actions = made.on_failure(0.0, actions[0].attempt_id, failure)
            self.assertIsInstance(actions[0], Refuse)
            self.assertEqual("not-run", actions[0].refusal.tag)
        self.assertLessEqual(sends, 111)

    def test_a_total_failure_after_good_times_is_not_amplified(self):
        made = dispatcher(servers=20)
        for number in range(1000):
            serve(made, 0.0, price(number))
        for fault in (Answer(503, shed=True), Failure("connect", False, "refused")):
            sends = sum(fail(made, price(number), fault) for number in range(1000))
            self.assertLessEqual(sends, 1100)

    def test_a_leaving_server_gets_no_new_work(self):
        made = dispatcher(servers=2)
        made.on_report(0.0, "desk-0", LoadReport(0, leaving=True))
        servers = {serve(made, 0.0, price(n)) for n in range(20)}
        self.assertEqual({"desk-1"}, servers)

    def test_a_gone_caller_frees_its_slot(self):
        made = dispatcher()
        (send,) = made.on_request(0.0, price())
        self.assertEqual([Cancel(1, send.attempt_id)], made.on_caller_gone(0.1, 1))
        self.assertEqual(0, made.backends.get(send.backend_server.id).in_flight)
        self.assertEqual([], made.on_answer(0.2, send.attempt_id, Answer(200)))
