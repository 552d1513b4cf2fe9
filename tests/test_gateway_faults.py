"""Tests of gateways under faults of the store, servers, clocks and processes."""

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

# Limits of the platform: for a new configuration to apply, for a resumed daemon to catch up and for
# restarted daemons to serve again.
APPLY_S = 2.0
RESUME_S = 3.0
RESTART_S = 12.0


def moved_config(version: int) -> dict:
    """Return a configuration that routes safe requests to another service."""
    return config(version, safe=route("safe", backend="dock"), unsafe=route("unsafe"))


async def request_reaches(caller: Caller, server: ScriptedServer) -> bool:
    """Return whether a request reaches a server."""
    before = len(server.requests)
    await caller.ask("r")
    return len(server.requests) > before


async def answer_body(started: Gateways, number: int) -> bytes:
    """Return the body of a gateway's answer on a new connection."""
    caller = await started.connect(number)
    answer = await caller.ask("r")
    caller.close()
    return answer.body


async def answer_with_port(request: ReceivedRequest, connection: ServerConnection) -> None:
    """Answer with the port of the server that ran the request."""
    connection.answer(request, body=str(connection.writer.get_extra_info("sockname")[1]).encode())


class StoreTest(testtools.TestCase):
    @asynchronous
    async def test_a_late_answer_of_the_store_restores_no_older_configuration(self):
        async with fleet(servers=1) as started:
            dock = await started.server("d0", "dock")
            caller = await started.caller()
            started.store.faults.late_s = 1.7
            await asyncio.sleep(0.3)
            started.store.put("op/config", moved_config(2))
            await asyncio.sleep(1.6)
            started.store.faults.late_s = 0.0

            await eventually(lambda: request_reaches(caller, dock), APPLY_S + 1.0)
            # The answers that the store has delayed arrive during these requests.
            for index in range(30):
                self.assertTrue(await request_reaches(caller, dock), index)
                await asyncio.sleep(0.1)

    async def status_counts(self, leases_pause: bool) -> Counter:
        """Count how requests end during an outage of the store longer than the servers' leases."""
        # A long timeout, since requests may be slow on a busy machine; the test is about whether
        # they have a server.
        long_timeout = config(1, safe=route("safe", timeout="8000ms"))
        async with fleet(servers=2, gateways=2, document=long_timeout) as started:
            for server_id in started.servers_by_id:
                started.keep_registered(server_id, ttl_s=1.0)
            await asyncio.sleep(0.5)
            caller, status_counts = await started.caller(), Counter()
            started.store.faults.leases_pause = leases_pause
            for silent in (True, False):
                started.store.faults.silent = silent
                for index in range(60):
                    answer = await caller.ask(f"r{silent}{index}", deadline_ms=8000)
                    status_counts[answer.status, answer.body if answer.status != 200 else b""] += 1
                    await asyncio.sleep(0.06)
            return status_counts

    @asynchronous
    async def test_leases_that_expire_in_an_outage_remove_no_server(self):
        self.assertEqual({(200, b""): 120}, await self.status_counts(leases_pause=False))

    @asynchronous
    async def test_leases_that_pause_in_an_outage_remove_no_server(self):
        self.assertEqual({(200, b""): 120}, await self.status_counts(leases_pause=True))

    @asynchronous
    async def test_lost_answers_of_the_store_lose_no_change(self):
        async with fleet(servers=1) as started:
            dock = await started.server("d0", "dock")
            started.store.faults.lose_answers = 3
            started.store.put("op/config", moved_config(2))
            caller = await started.caller()
            await eventually(lambda: request_reaches(caller, dock), APPLY_S + 1.0)
            self.assertEqual(0, started.store.faults.lose_answers)

    @asynchronous
    async def test_a_machine_refused_by_the_store_receives_changes_from_its_peers(self):
        async with gateways(3) as started:
            dock = await started.fleet.server("d0", "dock", script=answer_with_port)
            port = dock.address.rpartition(":")[2].encode()
            for refused in range(2):
                started.fleet.store.faults.refused_callers = {started.address(refused)}
                await asyncio.sleep(0.5)
                document = moved_config(2) if refused == 0 else config(3, safe=route("safe"))
                started.fleet.store.put("op/config", document)
                await asyncio.sleep(APPLY_S)
                self.assertEqual(refused == 0, await answer_body(started, refused) == port)

    @asynchronous
    async def test_daemons_that_start_together_stay_within_the_rate_of_the_store(self):
        async with fleet(servers=1) as started:
            started.store.faults.per_s = 30.0
            for _ in range(12):
                await started.gateway()
            await started.wait_until_ready()
            self.assertEqual(0, started.store.rejected_calls)


class UnresponsiveServerTest(testtools.TestCase):
    @asynchronous
    async def test_a_server_that_accepts_no_connection_delays_no_request_past_its_goal(self):
        async with fleet(servers=2) as started:
            silent = started.servers_by_id["s0"]
            with listener_with_full_backlog() as address:
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
    async def test_an_unresponsive_connection_fails_no_safe_request(self):
        async with fleet(servers=2) as started:

            caller = await started.caller()
            for index in range(20):
                await caller.ask(f"w{index}")
            started.servers_by_id["s0"].script = run_and_stay_silent
            for index in range(6):
                self.assertEqual(200, (await caller.ask(f"r{index}")).status)


@contextmanager
def listener_with_full_backlog() -> Iterator[str]:
    """Yield the address of a socket whose backlog is full, so that connecting to it hangs."""
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
    async def shares(self, requests: int, dock_ready: bool) -> tuple[Counter, Counter]:
        """Return how requests ended and which servers ran them, for a split of 7 to 3."""
        split = [{"backend": "desk", "weight": 7}, {"backend": "dock", "weight": 3}]
        safe = route("safe", split=split)
        del safe["backend"]
        async with fleet(servers=1, document=config(1, safe=safe)) as started:
            dock = await started.server("d0", "dock")
            if not dock_ready:
                started.store.put("servers/d0", dock.registration("dock", seq=2, state="draining"))
            await asyncio.sleep(0.3)
            caller = await started.caller()
            status_counts = Counter([(await caller.ask(f"r{n}")).status for n in range(requests)])
            ran = {name: len(one.requests) for name, one in started.servers_by_id.items()}
            return status_counts, Counter(ran)

    @asynchronous
    async def test_each_service_of_a_split_receives_its_weight(self):
        status_counts, ran = await self.shares(400, dock_ready=True)
        self.assertEqual({200: 400}, status_counts)
        self.assertLess(abs(ran["d0"] / 400 - 0.3), 0.05)

    @asynchronous
    async def test_the_share_of_a_service_without_servers_is_refused_and_not_moved(self):
        status_counts, ran = await self.shares(400, dock_ready=False)
        self.assertEqual({"s0": status_counts[200], "d0": 0}, dict(ran))
        self.assertEqual(400, status_counts[200] + status_counts[503])
        self.assertLess(abs(status_counts[503] / 400 - 0.3), 0.05)


class ClockTest(testtools.TestCase):
    @asynchronous
    async def test_a_daemon_restarted_with_an_earlier_wall_clock_is_accepted(self):
        async with fleet(servers=1, gateways=2) as started:
            stopped = started.gateways[1]
            started._tasks[1].cancel()
            await asyncio.gather(started._tasks[1], return_exceptions=True)
            stopped._peers._transport.close()
            an_hour_ago = time.time_ns() - 3600 * 10**9
            with mock.patch("time.time_ns", return_value=an_hour_ago):
                restarted = await started.gateway(name="gateway-1")
            peers = started.gateways[0]._peers
            incarnation = restarted._peers.own.incarnation
            await eventually(
                lambda: [peer.incarnation for peer in peers.alive()] == [incarnation], RESUME_S
            )

    @asynchronous
    async def test_a_jump_of_the_wall_clock_changes_nothing(self):
        async with fleet(servers=1) as started:
            dock = await started.server("d0", "dock")
            caller, true_time = await started.caller(), time.time
            for shift_s in (-7200.0, 7200.0):
                with mock.patch("time.time", lambda s=shift_s: true_time() + s):
                    for index in range(5):
                        answer = await caller.ask(f"r{index}", deadline_ms=400)
                        self.assertEqual(200, answer.status)
            with mock.patch("time.time", lambda s=-7200.0: true_time() + s):
                started.store.put("op/config", moved_config(2))
                await asyncio.sleep(APPLY_S)
                await caller.ask("moved")
            self.assertEqual(["moved"], [request.request_id for request in dock.requests])


def handles_sighup(process: Path) -> bool:
    """Return whether a process ignores or handles SIGHUP."""
    status = (process / "status").read_text()
    masks = [line.split() for line in status.splitlines()]
    taken = [int(fields[1], 16) for fields in masks if fields[0] in ("SigIgn:", "SigCgt:")]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in taken)


class ProcessTest(testtools.TestCase):
    @asynchronous
    async def test_a_suspended_daemon_catches_up_after_it_resumes(self):
        async with gateways(3) as started:
            dock = await started.fleet.server("d0", "dock", script=answer_with_port)
            port = dock.address.rpartition(":")[2].encode()
            started.signal(2, signal.SIGSTOP)
            await asyncio.sleep(1.0)
            started.fleet.store.put("op/config", moved_config(2))
            await asyncio.sleep(2.0)
            started.signal(2, signal.SIGCONT)
            await asyncio.sleep(RESUME_S)
            for number in range(3):
                self.assertEqual(port, await answer_body(started, number))

    @asynchronous
    async def test_a_configuration_acknowledged_as_all_are_killed_is_in_force_after_restart(self):
        async with gateways(3) as started:
            dock = await started.fleet.server("d0", "dock", script=answer_with_port)
            port = dock.address.rpartition(":")[2].encode()
            started.fleet.store.put("op/config", moved_config(2))
            for number in range(3):
                started.signal(number, signal.SIGKILL)
            for number in range(3):
                await started.processes[number].wait()
                await started.start(number)
            restarted = time.monotonic()
            for number in range(3):
                await started.wait_until_ready(number)
                self.assertEqual(port, await answer_body(started, number))
            self.assertLess(time.monotonic() - restarted, RESTART_S)

    @asynchronous
    async def test_sighup_while_the_program_loads_does_not_end_it(self):
        async with gateways(1) as started:
            await started.start(1)
            process = Path(f"/proc/{started.processes[1].pid}")
            await eventually(lambda: handles_sighup(process), 20.0)
            self.assertNotIn("uvloop", (process / "maps").read_text())
            started.signal(1, signal.SIGHUP)
            await started.wait_until_ready(1)

    @asynchronous
    async def test_repeated_signals_stop_the_daemon_gracefully_once(self):
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


class BackgroundTaskTest(testtools.TestCase):
    @asynchronous
    async def test_a_failed_background_task_is_restarted(self):
        async with fleet(servers=1) as started:
            gateway = started.gateways[0]
            peers = gateway._peers
            with mock.patch.object(peers, "_forget_silent", side_effect=ValueError("a fault")):
                await asyncio.sleep(0.5)
            await started.gateway()
            await eventually(lambda: len(peers.alive()) == 1)
            await eventually(lambda: len(started.gateways[1]._peers.alive()) == 1)
            # Both continue to send heartbeats.
            await asyncio.sleep(2.0)
            self.assertEqual([1, 1], [len(one._peers.alive()) for one in started.gateways])
