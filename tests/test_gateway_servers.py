"""Tests of gateways with servers that answer early, fill up or fail."""

from __future__ import annotations

import asyncio
from collections import Counter

import testtools

from standins.scripts import (
    SHED_HEADERS,
    SlotLimitedScript,
    after,
    answer_malformed,
    run_and_reset,
    shed,
)
from tests.gateway_fleet import Answer, Fleet, config, fleet, route
from tests.support import asynchronous

LARGE_BODY = bytes(range(256)) * 16_384


def large_body_config() -> dict:
    """Return a configuration that allows large bodies."""
    document = config()
    document["limits"]["max_body_bytes"] = 2 * len(LARGE_BODY)
    return document


async def ask_concurrently(started: Fleet, count: int, path: str) -> list[Answer]:
    """Return the answers to concurrent requests, each on its own connection."""

    async def ask(number: int) -> Answer:
        caller = await started.caller()
        answer = await caller.ask(f"{path[1:3]}{number}", path, "POST", b"x")
        caller.close()
        return answer

    return await asyncio.gather(*(ask(number) for number in range(count)))


class EarlyAnswerTest(testtools.TestCase):
    @asynchronous
    async def test_after_an_early_answer_the_rest_of_the_body_is_not_sent_as_another_request(self):
        async with fleet(servers=1, document=large_body_config()) as started:
            server = started.servers_by_id["s0"]
            server.answers_early = True
            caller = await started.caller()
            bodies = [LARGE_BODY, b"second", LARGE_BODY[::-1]]
            for number, body in enumerate(bodies):
                answer = await caller.ask(f"u{number}", "/unsafe/x", "POST", body)
                self.assertEqual(200, answer.status)
            await asyncio.sleep(1.0)
            received_bodies = [request.body for request in server.requests]
            # The gateway closes the connection with the unfinished body, so the server may miss a
            # body but never reads the rest of it as another request.
            self.assertTrue(
                set(received_bodies) <= set(bodies), [len(body) for body in received_bodies]
            )
            self.assertEqual(
                len(received_bodies), len({request.request_id for request in server.requests})
            )


class SlotsTest(testtools.TestCase):
    async def run_burst(
        self, path: str, requests: int
    ) -> tuple[Counter, list[SlotLimitedScript], Counter]:
        """Return statuses, slots and runs of a burst at three servers with two slots each."""
        async with fleet(servers=3) as started:
            slots = [SlotLimitedScript(slots=2, queue=1, work_s=0.15) for _ in range(3)]
            for server, one in zip(started.servers_by_id.values(), slots, strict=True):
                server.script, server.load, server.slots = one, one.load, 2
                started.store.put(f"servers/{server.id}", server.registration("desk", seq=2))
            await asyncio.sleep(0.5)
            answers = await ask_concurrently(started, requests, path)
            runs = Counter(
                request.request_id
                for one in started.servers_by_id.values()
                for request in one.requests
            )
            return Counter(answer.status for answer in answers), slots, runs

    @asynchronous
    async def test_a_burst_is_queued_at_the_gateway_and_not_in_the_servers(self):
        status_counts, slots, _ = await self.run_burst("/unsafe/x", 6)
        self.assertEqual({200: 6}, status_counts)
        self.assertEqual([0, 0, 0], [one.shed for one in slots])

    @asynchronous
    async def test_excess_requests_are_refused_and_no_unsafe_request_runs_twice(self):
        status_counts, slots, runs = await self.run_burst("/unsafe/x", 40)
        self.assertEqual(40, status_counts[200] + status_counts[503])
        self.assertGreater(status_counts[503], 0)
        # A server doesn't run the requests that it sheds.
        ran = sum(runs.values()) - sum(one.shed for one in slots)
        self.assertEqual(status_counts[200], ran)


class FailingServersTest(testtools.TestCase):
    @asynchronous
    async def test_one_healthy_server_among_failing_ones_serves_safe_requests(self):
        # One attempt more than there are failing servers.
        document = config(1, safe=route("safe", attempts=4))
        async with fleet(servers=4, document=document) as started:
            for server_id, script in (
                ("s0", shed),
                ("s1", run_and_reset),
                ("s2", answer_malformed),
            ):
                started.servers_by_id[server_id].script = script
            caller = await started.caller()
            status_counts = Counter(
                [(await caller.ask(f"r{number}")).status for number in range(40)]
            )
            self.assertEqual({200: 40}, status_counts)

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


class LargeBodiesTest(testtools.TestCase):
    @asynchronous
    async def test_uploads_stay_in_the_failure_domain_where_that_costs_little_time(self):
        document = large_body_config()
        document["routes"] = {"upload": route("upload")}
        async with fleet(servers=2, document=document) as started:
            near, far = started.servers_by_id["s0"], started.servers_by_id["s1"]
            near.load = lambda: "0,0,4,130"
            near.script = far.script = after(0.1)
            elsewhere = far.registration("desk", seq=2)
            elsewhere["info"]["zone"] = "b"
            started.store.put("servers/s1", elsewhere)
            await asyncio.sleep(0.5)
            caller = await started.caller()
            for number in range(8):
                answer = await caller.ask(f"u{number}", "/upload/x", "POST", bytes(60_000))
                self.assertEqual(200, answer.status)
            # Before the first answer, the size of a body on this route is not known.
            self.assertLessEqual(len(far.requests), 1)
