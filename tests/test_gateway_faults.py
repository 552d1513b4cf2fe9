from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

import testtools

from standins.scripted import ReceivedRequest, ScriptedServer, ServerConnection
from standins.scripts import run_and_stay_silent
from tests.gateway_fleet import Caller, config, eventually, fleet, free_port, route
from tests.gateway_processes import Gateways, gateways
from tests.support import asynchronous

# What the platform's pages allow a configuration to take, and a daemon after it was away.
APPLY_S = 2.0
SETTLE_S = 3.0
RECOVER_S = 12.0


def moved(version: int) -> dict:
    """Return a configuration whose safe requests go to another service."""
    return config(version, safe=route("safe", backend="dock"), unsafe=route("unsafe"))


async def reaches(caller: Caller, server: ScriptedServer) -> bool:
    """Return whether a request goes to a server."""
    before = len(server.requests)
    await caller.ask("r")
    return len(server.requests) > before


async def body(started: Gateways, number: int) -> bytes:
    """Return the body that a gateway answers on a new connection."""
    caller = await started.connect(number)
    answer = await caller.ask("r")
    caller.close()
    return answer.body


async def who(request: ReceivedRequest, connection: ServerConnection) -> None:
    """Answer with the port of the server that ran the request."""
    connection.answer(request, body=str(connection.writer.get_extra_info("sockname")[1]).encode())


class StoreTest(testtools.TestCase):
    @asynchronous
    async def test_an_answer_that_comes_late_brings_nothing_old_back(self):
        async with fleet(servers=1) as started:
            dock = await started.server("d0", "dock")
            caller = await started.caller()
            started.store.faults.late_s = 1.7
            await asyncio.sleep(0.3)
            started.store.put("op/config", moved(2))
            await asyncio.sleep(1.6)
            started.store.faults.late_s = 0.0

            await eventually(lambda: reaches(caller, dock), APPLY_S + 1.0)
            # Answers that the store still holds come now.
            for index in range(30):
                self.assertTrue(await reaches(caller, dock), index)
                await asyncio.sleep(0.1)

    async def endings(self, leases_pause: bool) -> Counter:
        """Return how requests end over an outage that outlasts the servers' leases."""
        # A request may take long on a busy machine; what counts is that it has a server.
        patient = config(1, safe=route("safe", timeout="8000ms"))
        async with fleet(servers=2, gateways=2, document=patient) as started:
            for server_id in started.servers_by_id:
                started.keep_registered(server_id, ttl_s=1.0)
            await asyncio.sleep(0.5)
            caller, endings = await started.caller(), Counter()
            started.store.faults.leases_pause = leases_pause
            for silent in (True, False):
                started.store.faults.silent = silent
                for index in range(60):
                    answer = await caller.ask(f"r{silent}{index}", deadline_ms=8000)
                    endings[answer.status, answer.body if answer.status != 200 else b""] += 1
                    await asyncio.sleep(0.06)
            return endings

    @asynchronous
    async def test_leases_that_end_in_an_outage_take_no_server_away(self):
        self.assertEqual({(200, b""): 120}, await self.endings(leases_pause=False))

    @asynchronous
    async def test_leases_that_pause_in_an_outage_take_no_server_away(self):
        self.assertEqual({(200, b""): 120}, await self.endings(leases_pause=True))

    @asynchronous
    async def test_answers_of_the_store_that_are_lost_lose_no_change(self):
        async with fleet(servers=1) as started:
            dock = await started.server("d0", "dock")
            started.store.faults.lose_answers = 3
            started.store.put("op/config", moved(2))
            caller = await started.caller()
            await eventually(lambda: reaches(caller, dock), APPLY_S + 1.0)
            self.assertEqual(0, started.store.faults.lose_answers)

    @asynchronous
    async def test_a_machine_that_the_store_refuses_hears_changes_from_its_peers(self):
        async with gateways(3) as started:
            dock = await started.fleet.server("d0", "dock", script=who)
            port = dock.address.rpartition(":")[2].encode()
            for refused in range(2):
                started.fleet.store.faults.refused_callers = {started.address(refused)}
                await asyncio.sleep(0.5)
                document = moved(2) if refused == 0 else config(3, safe=route("safe"))
                started.fleet.store.put("op/config", document)
                await asyncio.sleep(APPLY_S)
                self.assertEqual(refused == 0, await body(started, refused) == port)

    @asynchronous
    async def test_daemons_that_start_together_stay_within_the_rate_of_the_store(self):
        async with fleet(servers=1) as started:
            started.store.faults.per_s = 30.0
            for _ in range(12):
                await started.gateway()
            await started.wait_until_ready()
            self.assertEqual(0, started.store.rejected_calls)


class SilenceTest(testtools.TestCase):
    @asynchronous
    async def test_a_server_that_takes_no_connection_delays_no_request_past_its_goal(self):
        async with fleet(servers=2) as started:
            silent = started.servers_by_id["s0"]
            with full_listener() as address:
                entry = {**silent.registration("desk", seq=2), "addr": address}
                started.store.put("servers/s0", entry)
                await asyncio.sleep(0.5)
                caller = await started.caller()
                for index in range(6):
                    asked = time.monotonic()
                    answer = await caller.ask(f"u{index}", "/unsafe/x", "POST", b"x")
                    self.assertEqual(200, answer.status)
                    self.assertLess(time.monotonic() - asked, 0.5)

    @asynchronous
    async def test_a_connection_that_goes_silent_costs_no_safe_request_its_answer(self):
        async with fleet(servers=2) as started:

            caller = await started.caller()
            for index in range(20):
                await caller.ask(f"w{index}")
            started.servers_by_id["s0"].script = run_and_stay_silent
            for index in range(6):
                self.assertEqual(200, (await caller.ask(f"r{index}")).status)


@contextmanager
def full_listener() -> Iterator[str]:
    """Yield the address of a listening socket with a full backlog: connecting to it hangs."""
    address = ("127.0.0.1", free_port())
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(address)
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        yield f"{address[0]}:{address[1]}"


class SplitTest(testtools.TestCase):
    async def shares(self, requests: int, dock_answers: bool) -> tuple[Counter, Counter]:
        """Return how requests ended, and where they ran, of a split of 7 to 3."""
        split = [{"backend": "desk", "weight": 7}, {"backend": "dock", "weight": 3}]
        safe = route("safe", split=split)
        del safe["backend"]
        async with fleet(servers=1, document=config(1, safe=safe)) as started:
            dock = await started.server("d0", "dock")
            if not dock_answers:
                started.store.put("servers/d0", dock.registration("dock", seq=2, state="draining"))
            await asyncio.sleep(0.3)
            caller = await started.caller()
            ended = Counter([(await caller.ask(f"r{n}")).status for n in range(requests)])
            ran = {name: len(one.requests) for name, one in started.servers_by_id.items()}
            return ended, Counter(ran)

    @asynchronous
    async def test_each_part_gets_its_weight(self):
        ended, ran = await self.shares(400, dock_answers=True)
        self.assertEqual({200: 400}, ended)
        self.assertLess(abs(ran["d0"] / 400 - 0.3), 0.05)

    @asynchronous
    async def test_what_a_missing_part_is_due_is_refused_and_not_moved(self):
        ended, ran = await self.shares(400, dock_answers=False)
        self.assertEqual({"s0": ended[200], "d0": 0}, dict(ran))
        self.assertEqual(400, ended[200] + ended[503])
        self.assertLess(abs(ended[503] / 400 - 0.3), 0.05)


class ClockTest(testtools.TestCase):
    @asynchronous
    async def test_a_daemon_whose_time_of_day_went_back_is_heard_again(self):
        async with fleet(servers=1, gateways=2) as started:
            gone = started.gateways[1]
            started._tasks[1].cancel()
            await asyncio.gather(started._tasks[1], return_exceptions=True)
            gone._peers._transport.close()
            an_hour_ago = time.time_ns() - 3600 * 10**9
            with mock.patch("time.time_ns", return_value=an_hour_ago):
                again = await started.gateway(name="gateway-1")
            peers = started.gateways[0]._peers
            incarnation = again._peers.own.incarnation
            await eventually(
                lambda: [peer.incarnation for peer in peers.alive()] == [incarnation], SETTLE_S
            )

    @asynchronous
    async def test_a_jump_of_the_time_of_day_changes_nothing(self):
        async with fleet(servers=1) as started:
            dock = await started.server("d0", "dock")
            caller, true_time = await started.caller(), time.time
            for shift_s in (-7200.0, 7200.0):
                with mock.patch("time.time", lambda s=shift_s: true_time() + s):
                    for index in range(5):
                        answer = await caller.ask(f"r{index}", deadline_ms=400)
                        self.assertEqual(200, answer.status)
            with mock.patch("time.time", lambda s=-7200.0: true_time() + s):
                started.store.put("op/config", moved(2))
                await asyncio.sleep(APPLY_S)
                await caller.ask("moved")
            self.assertEqual(["moved"], [request.request_id for request in dock.requests])


def takes_hang_up(process: Path) -> bool:
    """Return whether a process ignores or handles SIGHUP."""
    status = (process / "status").read_text()
    masks = [line.split() for line in status.splitlines()]
    taken = [int(fields[1], 16) for fields in masks if fields[0] in ("SigIgn:", "SigCgt:")]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in taken)


class ProcessTest(testtools.TestCase):
    @asynchronous
    async def test_a_suspended_daemon_takes_up_what_it_missed(self):
        async with gateways(3) as started:
            dock = await started.fleet.server("d0", "dock", script=who)
            port = dock.address.rpartition(":")[2].encode()
            started.signal(2, signal.SIGSTOP)
            await asyncio.sleep(1.0)
            started.fleet.store.put("op/config", moved(2))
            await asyncio.sleep(2.0)
            started.signal(2, signal.SIGCONT)
            await asyncio.sleep(SETTLE_S)
            for number in range(3):
                self.assertEqual(port, await body(started, number))

    @asynchronous
    async def test_a_configuration_acknowledged_as_all_are_killed_is_in_force_after(self):
        async with gateways(3) as started:
            dock = await started.fleet.server("d0", "dock", script=who)
            port = dock.address.rpartition(":")[2].encode()
            started.fleet.store.put("op/config", moved(2))
            for number in range(3):
                started.signal(number, signal.SIGKILL)
            for number in range(3):
                await started.processes[number].wait()
                await started.start(number)
            restarted = time.monotonic()
            for number in range(3):
                await started.wait_until_ready(number)
                self.assertEqual(port, await body(started, number))
            self.assertLess(time.monotonic() - restarted, RECOVER_S)

    @asynchronous
    async def test_a_hang_up_while_the_program_loads_does_not_end_it(self):
        async with gateways(1) as started:
            await started.start(1)
            process = Path(f"/proc/{started.processes[1].pid}")
            await eventually(lambda: takes_hang_up(process), 20.0)
            self.assertNotIn("uvloop", (process / "maps").read_text())
            started.signal(1, signal.SIGHUP)
            await started.wait_until_ready(1)

    @asynchronous
    async def test_signals_in_a_row_end_it_once_and_well(self):
        async with gateways(1) as started:
            caller = await started.connect(0)
            for which in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                started.signal(0, which)
            await asyncio.sleep(0.2)
            answer = await caller.ask("r")
            self.assertEqual((200, "close"), (answer.status, answer.headers["connection"]))
            self.assertEqual(0, await started.processes[0].wait())
            events = [line["event"] for line in started.read_log(0)]
            self.assertEqual(1, events.count("gateway: stopping"))
            self.assertEqual(1, events.count("gateway: stopped"))


class PartsTest(testtools.TestCase):
    @asynchronous
    async def test_a_part_that_fails_is_taken_up_again(self):
        async with fleet(servers=1) as started:
            gateway = started.gateways[0]
            peers = gateway._peers
            with mock.patch.object(peers, "_forget_silent", side_effect=ValueError("a fault")):
                await asyncio.sleep(0.5)
            await started.gateway()
            await eventually(lambda: len(peers.alive()) == 1)
            await eventually(lambda: len(started.gateways[1]._peers.alive()) == 1)
            # Beats of both go on.
            await asyncio.sleep(2.0)
            self.assertEqual([1, 1], [len(one._peers.alive()) for one in started.gateways])
