from __future__ import annotations

import json

import testtools

from sycamorebay.coordination.attempt_monitor import CHECK_INTERVAL_S
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.messages import Answer, Failure, Request, Send
from sycamorebay.coordination.outliers import AnswerTimes, max_ejected
from sycamorebay.state.backends import LoadReport
from sycamorebay.state.document import load_document
from sycamorebay.state.health import FIRST_EJECTION_S, RAMP_S
from tests.support import dispatcher, raw_document

WORK_S = 0.02
FAULTY = "desk-3"


class Driver:
    """Sends requests one after the other; the server `FAULTY` answers with a given fault."""

    def __init__(self, subject: Dispatcher, now: float = 0.0) -> None:
        self.subject = subject
        self.now = now
        self.number = 0

    def request(self, fault: Answer | Failure | None = None) -> Send:
        self.number += 1
        request = Request(self.number, "desk.test", "GET", "/prices/7")
        send, *_ = self.subject.on_request(self.now, request)
        self.now += WORK_S
        self.finish(send, fault)
        self.subject.on_timer(self.now)
        return send

    def finish(self, send: Send, fault: Answer | Failure | None) -> None:
        answer = Answer(200)
        if fault is not None and send.backend_server.id == FAULTY:
            answer = fault
        event = self.subject.on_answer if isinstance(answer, Answer) else self.subject.on_failure
        actions = event(self.now, send.attempt_id, answer)
        self.subject.on_end(self.now, send.attempt_id)
        if isinstance(actions[0], Send):
            self.finish(actions[0], fault)

    def share_of_faulty(self, number: int, fault: Answer | Failure | None = None) -> float:
        servers = [self.request(fault).backend_server.id for _ in range(number)]
        return servers.count(FAULTY) / number


class EjectionTest(testtools.TestCase):
    def test_a_server_that_fails_fast_loses_its_work(self):
        for fault in (
            Answer(500, report=LoadReport(0)),
            Answer(503, shed=True, report=LoadReport(0)),
            Failure("connect", False, "refused"),
        ):
            driver = Driver(dispatcher(servers=10))
            driver.share_of_faulty(100)
            driver.share_of_faulty(60, fault)
            self.assertLess(driver.share_of_faulty(100, fault), 0.04)

    def test_a_server_that_holds_requests_loses_new_work_within_a_second(self):
        subject = dispatcher(servers=10)
        driver = Driver(subject)
        driver.share_of_faulty(100)
        held_send = self.hold_one(driver)
        until = driver.now + 1.0
        while driver.now < until:
            driver.request()
        self.assertEqual(0.0, driver.share_of_faulty(20))
        subject.on_caller_gone(driver.now, held_send.request_id)

    def hold_one(self, driver: Driver) -> Send:
        while True:
            driver.number += 1
            request = Request(driver.number, "desk.test", "GET", "/prices/7")
            (send,) = driver.subject.on_request(driver.now, request)
            if send.backend_server.id == FAULTY:
                return send
            driver.finish(send, None)

    def test_recovery_starts_with_one_request_and_then_ramps_up(self):
        subject = dispatcher(servers=10)
        driver = Driver(subject)
        driver.share_of_faulty(100)
        state = subject.backends.get(FAULTY)
        subject.services["desk"].on_overdue(driver.now, state)
        self.assertEqual(0.0, driver.share_of_faulty(20))
        driver.now += FIRST_EJECTION_S
        early = driver.share_of_faulty(50)
        driver.now += RAMP_S
        self.assertLess(early, 0.1)
        self.assertGreater(driver.share_of_faulty(200), 0.05)
        self.assertFalse(state.restricted)

    def test_ejection_is_limited_to_a_share_of_servers(self):
        subject = dispatcher(servers=10)
        service = subject.services["desk"]
        for state in subject.backends:
            service.on_overdue(1.0, state)
        ejected = [state for state in subject.backends if state.health.is_ejected(1.0)]
        self.assertEqual(3, len(ejected))
        self.assertEqual([0, 1, 1, 3], [max_ejected(n, 0.3) for n in (1, 2, 3, 10)])

    def test_no_server_is_an_outlier_when_all_servers_fail(self):
        subject = dispatcher(servers=10)
        driver = Driver(subject)
        for _ in range(200):
            send = driver.request()
            for state in subject.backends:
                subject.services["desk"].on_failed_request(driver.now, state)
            self.assertIsNotNone(send)
        ejected = sum(state.health.is_ejected(driver.now) for state in subject.backends)
        self.assertLessEqual(ejected, 3)

    def test_a_pause_of_the_entry_ejects_no_server(self):
        subject = dispatcher(servers=10)
        driver = Driver(subject)
        driver.share_of_faulty(100)
        self.hold_one(driver)
        subject.on_timer(driver.now + CHECK_INTERVAL_S * 50)
        self.assertFalse(subject.backends.get(FAULTY).health.is_ejected(driver.now + 5.0))

    def test_a_new_server_ramps_up(self):
        subject = dispatcher(servers=10)
        driver = Driver(subject)
        driver.share_of_faulty(50)
        data = raw_document(11)
        for index, server in enumerate(data["services"][0]["backend_servers"]):
            server["address"] = f"127.0.0.1:{10000 + index}"
        subject.on_document(driver.now, load_document(json.dumps(data).encode()))
        servers = [driver.request().backend_server.id for _ in range(30)]
        self.assertLess(servers.count("desk-10"), 3)


class AnswerTimesTest(testtools.TestCase):
    def test_slow_answers_do_not_raise_the_mean(self):
        times = AnswerTimes()
        for number in range(1000):
            times.on_answer(0.2 if number % 20 == 0 else 0.02)
        self.assertLess(times.overdue_s(), 0.2)

    def test_nothing_is_overdue_before_the_first_answer(self):
        self.assertEqual(float("inf"), AnswerTimes().overdue_s())
