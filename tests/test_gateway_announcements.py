"""Tests of what servers say of themselves in their answers: that they leave, or want a rest."""

from __future__ import annotations

import asyncio
import time

import testtools

from standins.scripted import ReceivedRequest, Script, ServerConnection
from standins.scripts import SHED_HEADERS
from tests.gateway_fleet import Fleet, eventually, fleet
from tests.support import asynchronous

# Requests that may reach a server in its rest, from half a second after it was named.
ALLOWED_IN_REST = 2
REST_GRACE_S = 0.5


def leaving(headers: dict[str, str] | None = None) -> Script:
    """Return a script that answers, and says that its server leaves."""

    async def answer(request: ReceivedRequest, connection: ServerConnection) -> None:
        connection.answer(request, headers=headers or {"Server-Leaving": "1"})

    return answer


def resting(rest: str) -> Script:
    """Return a script that turns requests away, and asks for a rest."""

    async def turn_away(request: ReceivedRequest, connection: ServerConnection) -> None:
        headers = {**SHED_HEADERS, "Retry-After": rest}
        connection.answer(request, 503, headers=headers, signed=False)

    return turn_away


async def ask_for(started: Fleet, seconds: float, callers: int = 3) -> list[int]:
    """Send requests over several connections for some seconds, and return their statuses."""
    found: list[int] = []
    until = time.monotonic() + seconds

    async def ask(number: int) -> None:
        caller = await started.caller(0)
        while time.monotonic() < until:
            found.append((await caller.ask(f"r{number}-{len(found)}")).status)
            await asyncio.sleep(0.01)
        caller.close()

    await asyncio.gather(*(ask(number) for number in range(callers)))
    return found


def health_checks_and_requests(started: Fleet, server_id: str, since: float) -> int:
    """Return how many requests and health checks have reached a server since a time."""
    server = started.servers_by_id[server_id]
    arrived_at = [request.at for request in server.requests] + server.health_checks_at
    return sum(at > since for at in arrived_at)


class LeavingServerTest(testtools.TestCase):
    @asynchronous
    async def test_a_server_whose_answers_say_it_leaves_gets_no_new_work(self):
        async with fleet(servers=3) as started:
            server = started.servers_by_id["s0"]
            server.script = leaving()
            await eventually_told(started)
            server.requests.clear()
            self.assertEqual({200}, set(await ask_for(started, 1.0)))
            self.assertEqual([], server.requests)

    @asynchronous
    async def test_an_entry_of_the_same_start_does_not_end_leaving_and_a_new_start_does(self):
        async with fleet(servers=2) as started:
            server = started.servers_by_id["s0"]
            server.script = leaving()
            await eventually_told(started)
            started.store.put("servers/s0", server.registration("desk", seq=90))
            await asyncio.sleep(0.3)
            started.store.delete("servers/s0")
            await asyncio.sleep(0.3)
            started.store.put("servers/s0", server.registration("desk", seq=91))
            await asyncio.sleep(0.3)
            server.requests.clear()
            await ask_for(started, 0.5)
            self.assertEqual([], server.requests)
            started.store.put("servers/s0", {**server.registration("desk"), "born": 7})
            await eventually_asked(started, "s0")

    @asynchronous
    async def test_the_last_server_that_leaves_leaves_an_honest_refusal_at_once(self):
        async with fleet(servers=1) as started:
            started.servers_by_id["s0"].script = leaving()
            await eventually_told(started)
            caller = await started.caller()
            began = time.monotonic()
            answer = await caller.ask("r")
            self.assertEqual(503, answer.status)
            self.assertLess(time.monotonic() - began, 0.2)

    @asynchronous
    async def test_other_values_of_the_header_say_nothing(self):
        for value in ("0", "", "yes", "11"):
            async with fleet(servers=1) as started:
                started.servers_by_id["s0"].script = leaving({"Server-Leaving": value})
                self.assertEqual({200}, set(await ask_for(started, 0.2, 1)))


class RestingServerTest(testtools.TestCase):
    @asynchronous
    async def test_a_server_that_asks_for_a_rest_gets_at_most_two_requests_in_it(self):
        async with fleet(servers=4) as started:
            server = started.servers_by_id["s0"]
            server.script = resting("1.5")
            await eventually_told(started)
            told_at = server.requests[0].at
            self.assertEqual({200}, set(await ask_for(started, 1.3, callers=6)))
            in_rest = health_checks_and_requests(started, "s0", told_at + REST_GRACE_S)
            self.assertLessEqual(in_rest, ALLOWED_IN_REST)

    @asynchronous
    async def test_a_server_is_used_again_by_steps_after_its_rest(self):
        async with fleet(servers=2) as started:
            server = started.servers_by_id["s0"]
            server.script = resting("0.6")
            await eventually_told(started)
            server.script = started.servers_by_id["s1"].script
            await ask_for(started, 2.0, callers=6)
            self.assertTrue(server.requests[1:])

    @asynchronous
    async def test_requests_are_refused_with_the_rest_of_all_servers_as_the_time_to_wait(self):
        async with fleet(servers=2) as started:
            for server in started.servers_by_id.values():
                server.script = resting("5")
            caller = await started.caller()
            await caller.ask("first")
            began = time.monotonic()
            waits = []
            for number in range(4):
                answer = await caller.ask(f"r{number}")
                self.assertEqual(503, answer.status)
                waits.append(float(answer.headers["retry-after"]))
            self.assertLess(time.monotonic() - began, 0.2)
            self.assertTrue(all(4.0 < wait < 7.0 for wait in waits), waits)
            self.assertEqual(4, len(set(waits)))

    @asynchronous
    async def test_a_rest_that_is_no_time_costs_nothing_but_itself(self):
        for value in ("-1", "x", "nan", "inf", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT", "0"):
            async with fleet(servers=1) as started:
                server = started.servers_by_id["s0"]
                healthy = server.script
                server.script = resting(value)
                await eventually_told(started)
                server.script = healthy
                await asyncio.sleep(0.3)
                self.assertEqual({200}, set(await ask_for(started, 0.2, 1)), value)


async def eventually_told(started: Fleet) -> None:
    """Send requests until the gateway has an answer by which a server leaves or wants a rest.

    A request that a hedge overtakes reaches a server too, but tells the gateway nothing.
    """
    counters = started.gateways[0]._counters
    before = counters.servers_leaving + counters.server_rests + counters.rests_unreadable

    async def told() -> bool:
        await ask_for(started, 0.02, 1)
        return counters.servers_leaving + counters.server_rests + counters.rests_unreadable > before

    await eventually(told)


async def eventually_asked(started: Fleet, server_id: str) -> None:
    """Send requests until one reaches a server."""
    server = started.servers_by_id[server_id]
    server.requests.clear()

    async def asked() -> bool:
        await ask_for(started, 0.02, 1)
        return bool(server.requests)

    await eventually(asked)
