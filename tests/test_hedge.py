from __future__ import annotations

import asyncio
from random import Random

import testtools

from bench.fleet import Fleet
from bench.random_driver import RandomDriver
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.messages import (
    Action,
    Answer,
    Cancel,
    Deliver,
    Enqueue,
    Failure,
    Refuse,
    Request,
    Send,
)
from sycamorebay.transport.forwarding.hedging import Race
from tests.support import asynchronous, dispatcher, small_shape

REQUEST_AT_S = 1.0


def serve_requests(subject: Dispatcher, requests: int = 100) -> None:
    for number in range(requests):
        send, *_ = subject.on_request(0.0, price(number))
        subject.on_answer(0.02, send.attempt_id, Answer(200))
        subject.on_end(0.02, send.attempt_id)


def price(number: int) -> Request:
    return Request(number, "desk.test", "GET", "/prices/7")


def send_and_hedge(subject: Dispatcher, number: int = 1000) -> tuple[Send, Send]:
    (first,) = subject.on_request(REQUEST_AT_S, price(number))
    (second,) = subject.on_timer(REQUEST_AT_S + 0.5)
    return first, second


class HedgeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.subject = dispatcher(servers=10)
        serve_requests(self.subject)

    def test_a_slow_request_is_hedged_on_another_server(self):
        first, second = send_and_hedge(self.subject)
        self.assertEqual((first.request_id, True), (second.request_id, second.hedge))
        self.assertNotEqual(first.backend_server.id, second.backend_server.id)

    def test_the_slower_attempt_is_cancelled_and_its_slot_released(self):
        for winner in (0, 1):
            sends = send_and_hedge(self.subject, 2000 + winner)
            won, lost = sends[winner], sends[1 - winner]
            actions = self.subject.on_answer(REQUEST_AT_S + 0.6, won.attempt_id, Answer(200))
            request_id = won.request_id
            expected = [Deliver(request_id, won.attempt_id), Cancel(request_id, lost.attempt_id)]
            self.assertEqual(expected, actions)
            self.assertEqual(
                [], self.subject.on_answer(REQUEST_AT_S + 0.7, lost.attempt_id, Answer(200))
            )
            self.subject.on_end(REQUEST_AT_S + 0.7, won.attempt_id)
            self.assertTrue(self.subject.is_idle())

    def test_a_server_that_loses_races_is_ejected(self):
        state = self.subject.backends.get("desk-3")
        for number in range(2):
            self.lose_race(5000 + number * 100)
        self.assertTrue(state.health.is_ejected(REQUEST_AT_S + 0.6))

    def lose_race(self, number: int) -> None:
        while True:
            number += 1
            (first,) = self.subject.on_request(REQUEST_AT_S, price(number))
            if first.backend_server.id == "desk-3":
                break
            self.subject.on_answer(REQUEST_AT_S, first.attempt_id, Answer(200))
            self.subject.on_end(REQUEST_AT_S, first.attempt_id)
        (second,) = self.subject.on_timer(REQUEST_AT_S + 0.1)
        self.subject.on_answer(REQUEST_AT_S + 0.1, second.attempt_id, Answer(200))
        self.subject.on_end(REQUEST_AT_S + 0.1, second.attempt_id)

    def test_one_failure_of_two_waits_for_the_other(self):
        first, second = send_and_hedge(self.subject)
        lost = Failure("answer", True, "lost")
        (enqueue,) = self.subject.on_failure(REQUEST_AT_S + 0.6, first.attempt_id, lost)
        self.assertIsInstance(enqueue, Enqueue)
        (deliver,) = self.subject.on_answer(REQUEST_AT_S + 0.7, second.attempt_id, Answer(200))
        self.assertEqual(Deliver(second.request_id, second.attempt_id), deliver)

    def test_two_failures_end_the_request(self):
        subject = dispatcher(servers=2)
        serve_requests(subject)
        lost = Failure("answer", True, "lost")
        first, second = send_and_hedge(subject)
        subject.on_failure(REQUEST_AT_S + 0.6, first.attempt_id, lost)
        (refuse,) = subject.on_failure(REQUEST_AT_S + 0.6, second.attempt_id, lost)
        self.assertEqual((Refuse, "unknown"), (type(refuse), refuse.refusal.tag))

    def test_the_queue_timeout_does_not_hedge_a_request_that_was_sent(self):
        sends = []
        while True:
            (action,) = self.subject.on_request(REQUEST_AT_S, price(3000 + len(sends)))
            if isinstance(action, Enqueue):
                break
            sends.append(action)
        sent_at = action.until - 0.001
        sent = []
        for one in sends:
            self.subject.on_answer(sent_at, one.attempt_id, Answer(200))
            sent += self.subject.on_end(sent_at, one.attempt_id)
        self.assertEqual([action.request_id], [one.request_id for one in sent])
        self.assertEqual([], self.subject.on_timer(action.until))

    def test_only_idempotent_short_replayable_requests_are_hedged(self):
        for request in (
            Request(1000, "desk.test", "POST", "/bids"),
            Request(1001, "desk.test", "GET", "/prices", replayable=False),
        ):
            self.subject.on_request(REQUEST_AT_S, request)
        self.assertEqual([], self.subject.on_timer(REQUEST_AT_S + 0.5))

    def test_hedges_stay_within_their_budget(self):
        hedges = 0
        for number in range(1000, 1400):
            (first,) = self.subject.on_request(REQUEST_AT_S, price(number))
            sent = self.subject.on_timer(REQUEST_AT_S + 0.5)
            hedges += len(sent)
            self.subject.on_answer(REQUEST_AT_S + 0.5, first.attempt_id, Answer(200))
            self.subject.on_end(REQUEST_AT_S + 0.5, first.attempt_id)
        self.assertGreater(hedges, 5)
        self.assertLessEqual(hedges, 0.05 * 500 + 1)

    def test_random_runs_send_hedges(self):
        hedges = 0
        for seed in range(1, 30):
            driver = CountingDriver(seed)
            rng = Random(seed)
            for _ in range(300):
                driver.step(rng)
            hedges += driver.hedges
        self.assertGreater(hedges, 0)


class CountingDriver(RandomDriver):
    hedges = 0

    def _apply_action(self, action: Action) -> None:
        self.hedges += isinstance(action, Send) and action.hedge
        super()._apply_action(action)


class FakeAttempts:
    """Attempts whose results the test sets."""

    def __init__(self) -> None:
        self.by_id: dict[int, asyncio.Future] = {}
        self.discarded: list[str] = []
        self.carried_out: list[Action] = []
        self.race: Race[str] = Race(self.attempt, self.carried_out.extend, self.discarded.append)

    async def attempt(self, send: Send) -> tuple[str | None, list[Action]]:
        self.by_id[send.attempt_id] = asyncio.get_running_loop().create_future()
        return await self.by_id[send.attempt_id]

    async def start(self) -> asyncio.Task:
        task = asyncio.create_task(self.race.run(send(1)))
        await asyncio.sleep(0)
        self.race.on_send(send(2))
        await asyncio.sleep(0)
        return task


def send(attempt_id: int) -> Send:
    return Send(1, attempt_id, None, 9.0)


class RaceTest(testtools.TestCase):
    @asynchronous
    async def test_a_hedge_sent_before_the_first_attempt_starts_is_not_lost(self):
        fake = FakeAttempts()
        fake.race.on_send(send(2))
        task = asyncio.create_task(fake.race.run(send(1)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        fake.by_id[1].set_result((None, [Enqueue(1, 9.0)]))
        await asyncio.sleep(0)
        fake.by_id[2].set_result(("hedge", [Deliver(1, 2)]))
        self.assertEqual("hedge", (await task)[0])

    @asynchronous
    async def test_the_hedge_wins_and_the_first_attempt_is_interrupted(self):
        fake = FakeAttempts()
        task = await fake.start()
        fake.by_id[2].set_result(("hedge", [Deliver(1, 2), Cancel(1, 1)]))
        self.assertEqual("hedge", (await task)[0])
        self.assertTrue(fake.by_id[1].cancelled())

    @asynchronous
    async def test_the_first_attempt_wins_and_the_hedge_is_cancelled(self):
        fake = FakeAttempts()
        task = await fake.start()
        fake.by_id[1].set_result(("first", [Deliver(1, 1), Cancel(1, 2)]))
        self.assertEqual("first", (await task)[0])
        await asyncio.sleep(0)
        self.assertTrue(fake.by_id[2].cancelled())

    @asynchronous
    async def test_of_two_simultaneous_results_the_delivered_one_is_returned(self):
        fake = FakeAttempts()
        task = await fake.start()
        fake.by_id[2].set_result(("hedge", [Deliver(1, 2), Cancel(1, 1)]))
        fake.by_id[1].set_result((None, []))
        self.assertEqual("hedge", (await task)[0])

    @asynchronous
    async def test_a_failed_first_attempt_waits_for_the_hedge(self):
        fake = FakeAttempts()
        task = await fake.start()
        other = Send(7, 70, None, 9.0)
        fake.by_id[1].set_result((None, [Enqueue(1, 9.0), other]))
        await asyncio.sleep(0)
        self.assertEqual([other], fake.carried_out)
        fake.by_id[2].set_result(("hedge", [Deliver(1, 2)]))
        self.assertEqual("hedge", (await task)[0])

    @asynchronous
    async def test_a_failed_hedge_leaves_the_first_attempt_alone(self):
        fake = FakeAttempts()
        task = await fake.start()
        fake.by_id[2].set_result((None, [Enqueue(1, 9.0)]))
        await asyncio.sleep(0)
        fake.by_id[1].set_result(("first", [Deliver(1, 1)]))
        self.assertEqual("first", (await task)[0])

    @asynchronous
    async def test_a_caller_that_disconnects_ends_both_attempts(self):
        fake = FakeAttempts()
        task = await fake.start()
        task.cancel()
        with testtools.ExpectedException(asyncio.CancelledError):
            await task
        await asyncio.sleep(0)
        self.assertTrue(fake.by_id[1].cancelled())
        self.assertTrue(fake.by_id[2].cancelled())

    @asynchronous
    async def test_an_answer_for_a_disconnected_caller_is_discarded(self):
        fake = FakeAttempts()
        task = await fake.start()
        fake.by_id[1].set_result((None, [Enqueue(1, 9.0)]))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        fake.by_id[2].set_result(("hedge", [Deliver(1, 2)]))
        await asyncio.sleep(0)
        task.cancel()
        with testtools.ExpectedException(asyncio.CancelledError):
            await task
        self.assertEqual(["hedge"], fake.discarded)


class HedgeOnTheWireTest(testtools.TestCase):
    @asynchronous
    async def test_a_frozen_server_fails_no_price_check(self):
        shape = small_shape(1)
        shape.document["services"][0]["limits"] = {"hedge_ratio": 1.0}
        async with Fleet(shape) as fleet:
            url, headers = fleet.url(0) + "/prices/7", {"host": "desk.test"}
            for _ in range(60):
                async with fleet.http.get(url, headers=headers) as response:
                    await response.read()
            await fleet.control_backend("desk-0", frozen=True)
            hedges = 0.0
            for number in range(200):
                async with fleet.http.get(url, headers=headers) as response:
                    body = await response.json()
                self.assertEqual(200, response.status)
                self.assertNotEqual("desk-0", body["server"])
                hedges = await self.hedges(fleet)
                if hedges and number >= 20:
                    break
            self.assertGreaterEqual(hedges, 1.0)

    async def hedges(self, fleet: Fleet) -> float:
        _, text = await fleet.operator(0, "/metrics")
        (line,) = [one for one in text.splitlines() if one.startswith("sycamorebay_hedges_t")]
        return float(line.split()[1])
