from __future__ import annotations

import asyncio
from collections import Counter

import testtools

from standins.scripts import SHED_HEADERS, SlotLimitedScript, answer_malformed, run_and_reset, shed
from tests.gateway_fleet import Answer, Fleet, config, fleet, route
from tests.support import asynchronous

LARGE_BODY = bytes(range(256)) * 16_384


def roomy() -> dict:
    """Return a configuration that allows large bodies."""
    document = config()
    document["limits"]["max_body_bytes"] = 2 * len(LARGE_BODY)
    return document


async def ask_at_once(started: Fleet, count: int, path: str) -> list[Answer]:
    """Return the answers of requests that come at the same time, each on its own connection."""

    async def ask(number: int) -> Answer:
        caller = await started.caller()
        answer = await caller.ask(f"{path[1:3]}{number}", path, "POST", b"x")
        caller.close()
        return answer

    return await asyncio.gather(*(ask(number) for number in range(count)))


class EarlyAnswerTest(testtools.TestCase):
    @asynchronous
    async def test_the_rest_of_a_body_is_its_own_after_an_early_answer(self):
        async with fleet(servers=1, document=roomy()) as started:
            server = started.servers_by_id["s0"]
            server.answers_early = True
            caller = await started.caller()
            bodies = [LARGE_BODY, b"second", LARGE_BODY[::-1]]
            for number, body in enumerate(bodies):
                answer = await caller.ask(f"u{number}", "/unsafe/x", "POST", body)
                self.assertEqual(200, answer.status)
            await asyncio.sleep(1.0)
            whole = [request.body for request in server.requests]
            # A connection that is closed before its server has read on is no other request's.
            self.assertTrue(set(whole) <= set(bodies), [len(body) for body in whole])
            self.assertEqual(len(whole), len({request.request_id for request in server.requests}))


class SlotsTest(testtools.TestCase):
    async def play(
        self, path: str, requests: int
    ) -> tuple[Counter, list[SlotLimitedScript], Counter]:
        """Return how requests ended at three servers of two slots, and how often each ran."""
        async with fleet(servers=3) as started:
            slots = [SlotLimitedScript(slots=2, queue=1, work_s=0.15) for _ in range(3)]
            for server, one in zip(started.servers_by_id.values(), slots, strict=True):
                server.script, server.load, server.slots = one, one.load, 2
                started.store.put(f"servers/{server.id}", server.registration("desk", seq=2))
            await asyncio.sleep(0.5)
            answers = await ask_at_once(started, requests, path)
            runs = Counter(
                request.request_id
                for one in started.servers_by_id.values()
                for request in one.requests
            )
            return Counter(answer.status for answer in answers), slots, runs

    @asynchronous
    async def test_a_rush_waits_at_the_gateway_and_not_in_the_servers(self):
        ended, slots, _ = await self.play("/unsafe/x", 6)
        self.assertEqual({200: 6}, ended)
        self.assertEqual([0, 0, 0], [one.shed for one in slots])

    @asynchronous
    async def test_more_than_fits_is_refused_and_nothing_unsafe_runs_twice(self):
        ended, slots, runs = await self.play("/unsafe/x", 40)
        self.assertEqual(40, ended[200] + ended[503])
        self.assertGreater(ended[503], 0)
        # A server that shed a request didn't run it.
        ran = sum(runs.values()) - sum(one.shed for one in slots)
        self.assertEqual(ended[200], ran)


class FailingServersTest(testtools.TestCase):
    @asynchronous
    async def test_one_good_server_among_failing_ones_serves_what_is_safe(self):
        # One send more than there are failing servers.
        document = config(1, safe=route("safe", attempts=4))
        async with fleet(servers=4, document=document) as started:
            for server_id, script in (
                ("s0", shed),
                ("s1", run_and_reset),
                ("s2", answer_malformed),
            ):
                started.servers_by_id[server_id].script = script
            caller = await started.caller()
            ended = Counter([(await caller.ask(f"r{number}")).status for number in range(40)])
            self.assertEqual({200: 40}, ended)

    @asynchronous
    async def test_a_shed_request_is_refused_as_not_run(self):
        async with fleet(servers=1) as started:
            started.servers_by_id["s0"].script = shed
            caller = await started.caller()
            answer = await caller.ask("u", "/unsafe/x", "POST", b"x")
            self.assertEqual(
                (503, "not-run"), (answer.status, answer.headers["sycamorebay-outcome"])
            )
            self.assertNotIn(next(iter(SHED_HEADERS)).lower(), answer.headers)
