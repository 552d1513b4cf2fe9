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

LATE = 1.0


def warm(made: Dispatcher, requests: int = 100) -> None:
    for number in range(requests):
        send, *_ = made.on_request(0.0, price(number))
        made.on_answer(0.02, send.attempt_id, Answer(200))
        made.on_end(0.02, send.attempt_id)


def price(number: int) -> Request:
    return Request(number, "desk.test", "GET", "/prices/7")


def hedged(made: Dispatcher, number: int = 1000) -> tuple[Send, Send]:
    (first,) = made.on_request(LATE, price(number))
    (second,) = made.on_timer(LATE + 0.5)
    return first, second


class HedgeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.made = dispatcher(servers=10)
        warm(self.made)

    def test_a_slow_request_is_hedged_on_another_server(self):
        first, second = hedged(self.made)
        self.assertEqual((first.request_id, True), (second.request_id, second.hedge))
        self.assertNotEqual(first.backend_server.id, second.backend_server.id)

    def test_the_loser_is_cancelled_and_its_slot_counted_back(self):
        for winner in (0, 1):
            sends = hedged(self.made, 2000 + winner)
            won, lost = sends[winner], sends[1 - winner]
            actions = self.made.on_answer(LATE + 0.6, won.attempt_id, Answer(200))
            request_id = won.request_id
            expected = [Deliver(request_id, won.attempt_id), Cancel(request_id, lost.attempt_id)]
            self.assertEqual(expected, actions)
            self.assertEqual([], self.made.on_answer(LATE + 0.7, lost.attempt_id, Answer(200)))
            self.made.on_end(LATE + 0.7, won.attempt_id)
            self.assertTrue(self.made.is_idle())

    def test_a_server_that_loses_races_is_ejected(self):
        state = self.made.backends.get("desk-3")
        for number in range(2):
            self.lose_race(5000 + number * 100)
        self.assertTrue(state.health.is_ejected(LATE + 0.6))

    def lose_race(self, number: int) -> None:
        while True:
            number += 1
            (first,) = self.made.on_request(LATE, price(number))
            if first.backend_server.id == "desk-3":
                break
            self.made.on_answer(LATE, first.attempt_id, Answer(200))
            self.made.on_end(LATE, first.attempt_id)
        (second,) = self.made.on_timer(LATE + 0.1)
        self.made.on_answer(LATE + 0.1, second.attempt_id, Answer(200))
        self.made.on_end(LATE + 0.1, second.attempt_id)

    def test_one_failure_of_two_waits_for_the_other(self):
        first, second = hedged(self.made)
        lost = Failure("answer", True, "lost")
        (enqueue,) = self.made.on_failure(LATE + 0.6, first.attempt_id, lost)
        self.assertIsInstance(enqueue, Enqueue)
        (deliver,) = self.made.on_answer(LATE + 0.7, second.attempt_id, Answer(200))
        self.assertEqual(Deliver(second.request_id, second.attempt_id), deliver)

    def test_two_failures_end_the_request(self):
        made = dispatcher(servers=2)
        warm(made)
        lost = Failure("answer", True, "lost")
        first, second = hedged(made)
        made.on_failure(LATE + 0.6, first.attempt_id, lost)
        (refuse,) = made.on_failure(LATE + 0.6, second.attempt_id, lost)
        self.assertEqual((Refuse, "unknown"), (type(refuse), refuse.refusal.tag))

    def test_the_end_of_its_wait_hedges_no_request_that_was_sent(self):
        sends = []
        while True:
            (action,) = self.made.on_request(LATE, price(3000 + len(sends)))
            if isinstance(action, Enqueue):
                break
            sends.append(action)
        sent_at = action.until - 0.001
        sent = []
        for one in sends:
            self.made.on_answer(sent_at, one.attempt_id, Answer(200))
            sent += self.made.on_end(sent_at, one.attempt_id)
        self.assertEqual([action.request_id], [one.request_id for one in sent])
        self.assertEqual([], self.made.on_timer(action.until))

    def test_only_idempotent_short_replayable_requests_are_hedged(self):
        for request in (
            Request(1000, "desk.test", "POST", "/bids"),
            Request(1001, "desk.test", "GET", "/prices", replayable=False),
        ):
            self.made.on_request(LATE, request)
        self.assertEqual([], self.made.on_timer(LATE + 0.5))

    def test_hedges_stay_within_their_budget(self):
        hedges = 0
        for number in range(1000, 1400):
            (first,) = self.made.on_request(LATE, price(number))
            sent = self.made.on_timer(LATE + 0.5)
            hedges += len(sent)
            self.made.on_answer(LATE + 0.5, first.attempt_id, Answer(200))
            self.made.on_end(LATE + 0.5, first.attempt_id)
        self.assertGreater(hedges, 5)
        self.assertLessEqual(hedges, 0.05 * 500 + 1)

    def test_random_runs_do_hedge(self):
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
    """Attempts that end when the test says so."""

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
    async def test_a_hedge_that_comes_before_the_first_attempt_starts_is_not_lost(self):
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
    async def test_both_at_the_same_moment_give_the_one_that_was_delivered(self):
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
    async def test_a_caller_that_goes_ends_both(self):
        fake = FakeAttempts()
        task = await fake.start()
        task.cancel()
        with testtools.ExpectedException(asyncio.CancelledError):
            await task
        await asyncio.sleep(0)
        self.assertTrue(fake.by_id[1].cancelled())
        self.assertTrue(fake.by_id[2].cancelled())

    @asynchronous
    async def test_an_answer_that_won_for_a_caller_that_is_gone_is_dropped(self):
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
