"""What the daemons tell each other over datagrams: who lives, what is placed, what changed.

A beat goes to every peer at intervals and carries everything again, so a lost datagram costs no
more than one interval. Between beats, changed loads go out within milliseconds.
"""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections.abc import Iterable
from typing import Any, cast

from sycamorebay import log
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.protocol.directories import value_bytes, value_text
from sycamorebay.protocol.load_rows import (
    CHANGED,
    COMPLETE,
    LoadMessage,
    LoadRow,
    read_loads,
    rows_in_flight,
    short_name,
    write_loads,
)
from sycamorebay.state.stored import Stored
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peer import Listeners, Own, Peer

BEAT_S = 0.25
# A larger fleet beats less often, so that a daemon sends about this many datagrams a second.
BEATS_PER_S = 100.0
# Four beats in a row are lost only where something is wrong.
SILENT_BEATS = 4.5
# Loads that change within this time go out together.
GATHER_S = 0.004
# Up to this many peers every change of load is told at once; more would take too many datagrams.
MAX_EAGER_PEERS = 40
MAX_DATAGRAM_BYTES = 48_000
_COMPRESS_ABOVE_BYTES = 900
# Of one message, so that a peer that fails altogether doesn't suspend a server for all.
MAX_FAILURES_TAKEN = 4
_ADDRESSES_TOLD = 2

_log = log.part("peers")


class Peers(asyncio.DatagramProtocol):
    """The other daemons, over datagrams.

    Parameters
    ----------
    own : Own
        What is told of this daemon.
    seeds : iterable of str
        Addresses of daemons that may be there.
    placer : Placer
        Gets and gives loads.
    listeners : Listeners
        Are told what peers say.
    counters : Counters
        Counts datagrams.
    """

    def __init__(
        self,
        own: Own,
        seeds: Iterable[tuple[str, int]],
        placer: Placer,
        listeners: Listeners,
        counters: Counters,
    ) -> None:
        self.own = own
        self.reading = False
        self._seeds = set(seeds)
        self._placer = placer
        self._listeners = listeners
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._by_name: dict[str, Peer] = {}
        self._changed: dict[str, int] = {}
        self._reported_at_by_server: dict[str, float] = {}
        self._gathering: asyncio.TimerHandle | None = None
        self._rng = random.Random()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # uvloop's transports only look like asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore what the network says of a peer: its silence counts."""

    def alive(self) -> list[Peer]:
        """Return the peers heard lately."""
        return list(self._by_name.values())

    @property
    def beat_s(self) -> float:
        """Seconds between two beats; readers keep theirs, since all others rely on them."""
        return BEAT_S if self.reading else max(BEAT_S, len(self._by_name) / BEATS_PER_S)

    # Sending

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            self._forget_silent()
            self._beat()
            await asyncio.sleep(self.beat_s * self._rng.uniform(0.9, 1.1))

    def on_seen(self, server_id: str, failed: bool) -> None:
        """Take a change of a server's load, to be told soon."""
        self._changed[server_id] = self._changed.get(server_id, 0) + failed
        if self._gathering is None and len(self._by_name) <= MAX_EAGER_PEERS:
            self._gathering = self._loop.call_later(GATHER_S, self._send_loads)

    def tell_changes(self, after: int, items: Iterable[Stored], version: int) -> None:
        """Tell every peer of changes in the store."""
        message = {
            "t": "changes",
            "after": after,
            "version": version,
            "items": [[item.key, value_text(item.value), item.version] for item in items],
        }
        self._send_all(message)
        self._beat()

    def leave(self) -> None:
        """Tell every peer that this daemon stops."""
        self._send_all({"t": "leave"})

    def _beat(self) -> None:
        now = self._loop.time()
        own = self.own
        told = self._rng.sample(
            list(self._by_name.values()), min(_ADDRESSES_TOLD, len(self._by_name))
        )
        message = {
            "t": "beat",
            "control": own.control,
            "domain": own.failure_domain,
            "version": own.version,
            "age": round(min(1e6, now - own.confirmed_at), 3),
            "store": own.reaches_store,
            "next": self.beat_s,
            "peers": [f"{peer.address[0]}:{peer.address[1]}" for peer in told],
        }
        addresses = {peer.address for peer in self._by_name.values()}
        self._send(message, addresses | self._seeds)
        loads = ((load.entry.id, load.own) for load in self._placer.loads())
        complete = LoadMessage(own.incarnation, True, rows_in_flight(loads))
        self._send_bytes(write_loads(complete), addresses)

    def _send_loads(self) -> None:
        self._gathering = None
        changed = [(self._placer.load(key), failures) for key, failures in self._changed.items()]
        self._changed.clear()
        rows = tuple(self._row(load, failures) for load, failures in changed if load is not None)
        data = write_loads(LoadMessage(self.own.incarnation, False, rows))
        self._send_bytes(data, {peer.address for peer in self._by_name.values()})

    def _row(self, load: ServerLoad, failures: int) -> LoadRow:
        server_id = load.entry.id
        server = short_name(server_id)
        if load.report is None or not self._is_news(server_id, load.reported_at):
            return LoadRow(server, load.own, failures)
        age_s = self._loop.time() - load.reported_at
        return LoadRow(server, load.own, failures, load.report, age_s)

    def _is_news(self, server_id: str, reported_at: float) -> bool:
        if self._reported_at_by_server.get(server_id) == reported_at:
            return False
        self._reported_at_by_server[server_id] = reported_at
        return True

    def _send_all(self, message: dict[str, Any]) -> None:
        self._send(message, {peer.address for peer in self._by_name.values()})

    def _send(self, message: dict[str, Any], addresses: Iterable[tuple[str, int]]) -> None:
        message["n"] = self.own.name
        message["i"] = self.own.incarnation
        data = json.dumps(message, separators=(",", ":")).encode()
        if len(data) > _COMPRESS_ABOVE_BYTES:
            data = zlib.compress(data, 1)
        if len(data) > MAX_DATAGRAM_BYTES:
            # The beat tells the version, and peers that are behind ask for the whole.
            _log.warning("message too large for a datagram", bytes=len(data), kind=message["t"])
            return
        self._send_bytes(data, addresses)

    def _send_bytes(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        if self._transport is not None:
            for address in addresses:
                self._transport.sendto(data, address)

    # Receiving

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's message; one that can't be read is dropped."""
        self._counters.peer_datagrams += 1
        try:
            if data[:1] in (CHANGED, COMPLETE):
                self._on_loads(read_loads(data), addr)
                return
            if data[:1] != b"{":
                data = zlib.decompress(data)
            message = json.loads(data)
            name, incarnation = str(message["n"]), int(message["i"])
            if name == self.own.name:
                self._seeds.discard(addr)
                return
            self._take(message, name, incarnation, addr)
        except (ValueError, KeyError, TypeError, IndexError, zlib.error) as error:
            _log.warning("a peer's message could not be read", peer=addr[0], error=repr(error))

    def _take(
        self, message: dict[str, Any], name: str, incarnation: int, addr: tuple[str, int]
    ) -> None:
        kind = message["t"]
        peer = self._by_name.get(name)
        if kind == "beat":
            self._on_beat(message, name, incarnation, addr)
        elif peer is None or peer.incarnation != incarnation:
            return
        elif kind == "changes":
            items = [Stored(key, value_bytes(value), int(v)) for key, value, v in message["items"]]
            self._listeners.on_changes(int(message["after"]), items, int(message["version"]), peer)
        elif kind == "leave":
            self._forget(peer, "it stops")

    def _on_beat(
        self, message: dict[str, Any], name: str, incarnation: int, addr: tuple[str, int]
    ) -> None:
        now = self._loop.time()
        peer = self._by_name.get(name)
        if peer is not None and peer.incarnation > incarnation:
            return
        if peer is None or peer.incarnation != incarnation:
            if peer is not None:
                self._forget(peer, "it started again")
            domain, control = str(message["domain"]), str(message["control"])
            peer = Peer(name, addr, control, domain, incarnation, now)
            self._by_name[name] = peer
            _log.info("peer found", peer=name, address=addr[0])
            self._beat()
        peer.address = addr
        peer.heard_at = now
        peer.version = int(message["version"])
        peer.confirmed_at = now - float(message["age"])
        peer.reaches_store = bool(message["store"])
        peer.silent_s = float(message["next"]) * SILENT_BEATS
        for text in message["peers"]:
            host, _, port = str(text).rpartition(":")
            self._meet((host, int(port)))
        if peer.version > self.own.version:
            self._listeners.on_behind(peer)
        else:
            self._listeners.on_confirmed(peer.confirmed_at)

    def _meet(self, address: tuple[str, int]) -> None:
        known = {peer.address for peer in self._by_name.values()} | self._seeds
        if address not in known and f"{address[0]}:{address[1]}" != self.own.address:
            self._beat_to(address)

    def _beat_to(self, address: tuple[str, int]) -> None:
        seeds, by_name = self._seeds, self._by_name
        self._seeds, self._by_name = {address}, {}
        try:
            self._beat()
        finally:
            self._seeds, self._by_name = seeds, by_name

    def _on_loads(self, message: LoadMessage, addr: tuple[str, int]) -> None:
        peer = self._peer_at(addr)
        if peer is None or peer.incarnation != message.incarnation:
            return
        now = self._loop.time()
        loads = {short_name(load.entry.id): load for load in self._placer.loads()}
        for row in message.rows:
            load = loads.get(row.server)
            if load is None:
                continue
            self._placer.on_peer_load(peer.name, load.entry.id, row.in_flight)
            for _ in range(min(row.failures, MAX_FAILURES_TAKEN)):
                load.on_failure(now)
            if row.report is not None:
                load.on_report(now - row.age_s, row.report)
        if message.complete:
            named = {row.server for row in message.rows}
            for server, load in loads.items():
                if server not in named:
                    self._placer.on_peer_load(peer.name, load.entry.id, 0)
        self._listeners.on_room()

    def _peer_at(self, addr: tuple[str, int]) -> Peer | None:
        for peer in self._by_name.values():
            if peer.address == addr:
                return peer
        return None

    def _forget_silent(self) -> None:
        now = self._loop.time()
        for peer in list(self._by_name.values()):
            if now - peer.heard_at > peer.silent_s:
                self._forget(peer, "it is silent")

    def _forget(self, peer: Peer, reason: str) -> None:
        self._by_name.pop(peer.name, None)
        self._placer.on_peer_gone(peer.name)
        _log.info("peer lost", peer=peer.name, reason=reason)
