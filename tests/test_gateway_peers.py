"""Tests of heartbeats, membership and the exchange of loads among gateways."""

from __future__ import annotations

import asyncio
import json
import random
import zlib

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import MeanSlowdown, ServerLoad, ServerReport
from sycamorebay.protocol.load_rows import LoadMessage, LoadRow, encode_loads, id_hash
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peer import OwnState, PeerCallbacks
from sycamorebay.transport.gateway.peers import HEARTBEATS_PER_S, Peers
from tests.support import asynchronous

SERVER = ServerEntry("s", "desk", "10.0.0.9:80", "a", 3)


class RecordingTransport:
    """Records datagrams in place of the datagram transport."""

    def __init__(self) -> None:
        self.messages: list[tuple[bytes, tuple[str, int]]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.messages.append((data, address))

    def heartbeats_to(self, address: tuple[str, int]) -> list[dict]:
        found = [data for data, to in self.messages if to == address and data[:1] not in b"LF"]
        plain = [data if data[:1] == b"{" else zlib.decompress(data) for data in found]
        return [json.loads(data) for data in plain]


def create_peers(
    placer: Placer, capacity_events: list[None] | None = None
) -> tuple[Peers, RecordingTransport]:
    own = OwnState("own", "10.0.0.1:9", "10.0.0.1:8", "a", 1)
    ignore = PeerCallbacks(
        lambda *_: None,
        lambda *_: None,
        lambda *_: None,
        lambda: capacity_events.append(None) if capacity_events is not None else None,
    )
    peers, sent = Peers(own, [], placer, ignore, Counters()), RecordingTransport()
    peers.connection_made(sent)
    return peers, sent


def heartbeat(name: str, incarnation: int = 1, addresses: tuple[str, ...] = ()) -> bytes:
    message = {
        "t": "beat",
        "n": name,
        "i": incarnation,
        "control": "",
        "domain": "b",
        "version": 0,
        "age": 1.0,
        "store": True,
        "next": 0.25,
        "peers": list(addresses),
    }
    return json.dumps(message).encode()


def loads(incarnation: int, complete: bool, *rows: LoadRow) -> bytes:
    return encode_loads(LoadMessage(incarnation, complete, rows))


def placer_with_server() -> Placer:
    placer = Placer("a", random.Random(1))
    placer.on_servers(0.0, [SERVER])
    return placer


class MembershipTest(testtools.TestCase):
    @asynchronous
    async def test_a_peer_learnt_by_gossip_receives_the_interval_of_the_whole_fleet(self):
        peers, sent = create_peers(Placer("a", random.Random(1)))
        for number in range(60):
            peers.datagram_received(heartbeat(f"p{number}"), ("10.1.0.1", number + 1))
        peers.datagram_received(heartbeat("p0", addresses=("10.9.9.9:5",)), ("10.1.0.1", 1))
        heartbeats = sent.heartbeats_to(("10.9.9.9", 5))
        self.assertEqual([60 / HEARTBEATS_PER_S], [message["next"] for message in heartbeats])

    @asynchronous
    async def test_a_new_peer_receives_all_addresses_in_one_message(self):
        peers, sent = create_peers(Placer("a", random.Random(1)))
        for number in range(12):
            peers.datagram_received(heartbeat(f"p{number}"), ("10.1.0.1", number + 1))
        sent.messages.clear()
        peers.datagram_received(heartbeat("new"), ("10.1.0.2", 9))
        self.assertEqual({("10.1.0.2", 9)}, {address for _, address in sent.messages})
        (message,) = sent.heartbeats_to(("10.1.0.2", 9))
        expected = {f"10.1.0.1:{number + 1}" for number in range(12)}
        self.assertLessEqual(expected, set(message["peers"]))

    @asynchronous
    async def test_an_address_taken_over_by_another_daemon_stays_assigned_to_it(self):
        placer = placer_with_server()
        peers, _ = create_peers(placer)
        peers.loads.on_servers()
        address = ("10.1.0.1", 1)
        peers.datagram_received(heartbeat("old"), address)
        peers.datagram_received(heartbeat("new", 7), address)
        peers.datagram_received(json.dumps({"t": "leave", "n": "old", "i": 1}).encode(), address)
        peers.datagram_received(loads(7, False, LoadRow(id_hash("s"), 2)), address)
        self.assertEqual({"new": 2}, placer.load("s").in_flight_by_peer)


class LoadExchangeTest(testtools.TestCase):
    @asynchronous
    async def test_loads_of_a_peer_apply_only_from_its_current_incarnation(self):
        placer, capacity_events = placer_with_server(), []
        peers, _ = create_peers(placer, capacity_events)
        peers.loads.on_servers()
        address, server = ("10.1.0.1", 1), id_hash("s")
        peers.datagram_received(loads(2, False, LoadRow(server, 3)), address)
        peers.datagram_received(heartbeat("p", 2), address)
        peers.datagram_received(loads(1, False, LoadRow(server, 3)), address)
        self.assertEqual({}, placer.load("s").in_flight_by_peer)
        report = ServerReport(2, 1, 4.0)
        peers.datagram_received(loads(2, False, LoadRow(server, 2, 0, report, 0.02)), address)
        self.assertEqual({"p": 2}, placer.load("s").in_flight_by_peer)
        self.assertEqual(report, placer.load("s").report)
        self.assertEqual(1, len(capacity_events))
        peers.datagram_received(loads(2, True), address)
        self.assertEqual({}, placer.load("s").in_flight_by_peer)

    @asynchronous
    async def test_changes_of_one_loop_iteration_are_sent_as_one_message(self):
        placer = placer_with_server()
        peers, sent = create_peers(placer)
        peers.loads.on_servers()
        peers.datagram_received(heartbeat("p"), ("10.1.0.1", 1))
        sent.messages.clear()
        placer.load("s").own_in_flight = 2
        peers.loads.on_load_changed("s", True)
        peers.loads.on_load_changed("s", True)
        await asyncio.sleep(0)
        expected = loads(1, False, LoadRow(id_hash("s"), 2, 2))
        self.assertEqual([(expected, ("10.1.0.1", 1))], sent.messages)


class PeerLoadTest(testtools.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("pqr"), st.integers(0, 4))))
    def test_in_flight_requests_of_peers_are_summed(self, updates):
        load = ServerLoad(SERVER, MeanSlowdown())
        for peer, in_flight in updates:
            load.on_peer(peer, in_flight)
        self.assertEqual(sum(dict(updates).values()), load.in_flight(0.0))
