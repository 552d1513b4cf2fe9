"""What the daemons tell each other over datagrams: who lives, and what changed in the store.

A beat goes to every peer at intervals and carries everything again, so a lost datagram costs no
more than one interval. Loads of backend servers travel beside it, see `load_exchange`.
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
from sycamorebay.protocol.load_rows import CHANGED, COMPLETE
from sycamorebay.protocol.store_items import items_to_rows, rows_to_items
from sycamorebay.state.stored import StoredItem
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.load_exchange import LoadExchange
from sycamorebay.transport.gateway.peer import Own, Peer, PeerCallbacks
from sycamorebay.transport.gateway.sockets import join_address, split_address

HEARTBEAT_S = 0.25
# A larger fleet beats less often, so that a daemon sends about this many datagrams a second.
HEARTBEATS_PER_S = 100.0
# Three beats in a row are lost only where something is wrong; the slack covers late timers.
SILENT_HEARTBEATS = 3.0
SILENT_SLACK_S = 0.4
# Up to this many peers every change of load is told at once; more would take too many datagrams.
MAX_EAGER_PEERS = 40
MAX_DATAGRAM_BYTES = 48_000
_COMPRESS_ABOVE_BYTES = 900
_ADDRESSES_TOLD = 2
# To a daemon that is new here, so that it meets all others in two messages and not by and by.
_ADDRESSES_TOLD_AT_FIRST = 64

_log = log.get_logger("peers")


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
    callbacks : PeerCallbacks
        Are told what peers say.
    counters : Counters
        Counts datagrams.
    """

    def __init__(
        self,
        own: Own,
        seeds: Iterable[tuple[str, int]],
        placer: Placer,
        callbacks: PeerCallbacks,
        counters: Counters,
    ) -> None:
        self.own = own
        self.reading = False
        self.loads = LoadExchange(
            own.incarnation,
            placer,
            self._send_to_peers,
            self._sends_immediately,
            callbacks.on_capacity,
        )
        self._seeds = set(seeds)
        self._placer = placer
        self._callbacks = callbacks
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._by_name: dict[str, Peer] = {}
        self._peers_by_address: dict[tuple[str, int], Peer] = {}
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
    def heartbeat_s(self) -> float:
        """Seconds between two beats; readers keep theirs, since all others rely on them."""
        return (
            HEARTBEAT_S if self.reading else max(HEARTBEAT_S, len(self._by_name) / HEARTBEATS_PER_S)
        )

    # Sending

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            self._forget_silent()
            self._send_heartbeat()
            await asyncio.sleep(self.heartbeat_s * self._rng.uniform(0.9, 1.1))

    def tell_changes(self, after: int, items: Iterable[StoredItem], version: int) -> None:
        """Tell every peer of changes in the store."""
        message = {
            "t": "changes",
            "after": after,
            "version": version,
            "items": items_to_rows(items),
        }
        self._send_all(message)
        self._send_heartbeat()

    def leave(self) -> None:
        """Tell every peer that this daemon stops."""
        self._send_all({"t": "leave"})

    def _sends_immediately(self) -> bool:
        return len(self._by_name) <= MAX_EAGER_PEERS

    def _send_heartbeat(self) -> None:
        heartbeat = self._own_heartbeat(_ADDRESSES_TOLD)
        self._send(heartbeat, self._peers_by_address.keys() | self._seeds)
        self._send_to_peers(self.loads.complete())

    def _greet(self, address: tuple[str, int]) -> None:
        self._send(self._own_heartbeat(_ADDRESSES_TOLD_AT_FIRST), [address])
        self._send_bytes(self.loads.complete(), [address])

    def _own_heartbeat(self, told: int) -> dict[str, Any]:
        own = self.own
        known = list(self._by_name.values())
        age_s = self._loop.time() - own.confirmed_at
        return {
            "t": "beat",
            "control": own.control,
            "domain": own.failure_domain,
            "version": own.version,
            "age": round(min(1e6, age_s), 3),
            "store": own.reaches_store,
            "next": self.heartbeat_s,
            "peers": [
                join_address(peer.address)
                for peer in self._rng.sample(known, min(told, len(known)))
            ],
        }

    def _send_all(self, message: dict[str, Any]) -> None:
        self._send(message, self._peers_by_address)

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

    def _send_to_peers(self, data: bytes) -> None:
        self._send_bytes(data, self._peers_by_address)

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
                peer = self._peers_by_address.get(addr)
                if peer is not None:
                    self.loads.take(data, peer)
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
            self._on_heartbeat(message, name, incarnation, addr)
        elif peer is None or peer.incarnation != incarnation:
            return
        elif kind == "changes":
            items = rows_to_items(message["items"])
            self._callbacks.on_changes(int(message["after"]), items, int(message["version"]), peer)
        elif kind == "leave":
            self._forget(peer, "it stops")

    def _on_heartbeat(
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
            self._peers_by_address[addr] = peer
            _log.info("peer found", peer=name, address=addr[0])
            self._greet(addr)
        self._move(peer, addr)
        peer.heard_at = now
        peer.version = int(message["version"])
        peer.confirmed_at = now - float(message["age"])
        peer.reaches_store = bool(message["store"])
        peer.silent_s = float(message["next"]) * SILENT_HEARTBEATS + SILENT_SLACK_S
        for text in message["peers"]:
            self._meet(split_address(str(text)))
        if peer.version > self.own.version:
            self._callbacks.on_behind(peer)
        else:
            self._callbacks.on_confirmed(peer.confirmed_at)

    def _move(self, peer: Peer, address: tuple[str, int]) -> None:
        if peer.address != address:
            self._drop_address(peer)
            self._peers_by_address[address] = peer
            peer.address = address

    def _drop_address(self, peer: Peer) -> None:
        # Another daemon may have the address by now.
        if self._peers_by_address.get(peer.address) is peer:
            del self._peers_by_address[peer.address]

    def _meet(self, address: tuple[str, int]) -> None:
        known = address in self._peers_by_address or address in self._seeds
        if not known and join_address(address) != self.own.address:
            self._greet(address)

    def _forget_silent(self) -> None:
        now = self._loop.time()
        for peer in list(self._by_name.values()):
            if now - peer.heard_at > peer.silent_s:
                self._forget(peer, "it is silent")

    def _forget(self, peer: Peer, reason: str) -> None:
        self._by_name.pop(peer.name, None)
        self._drop_address(peer)
        self._placer.on_peer_gone(peer.name)
        _log.info("peer lost", peer=peer.name, reason=reason)
