"""Membership and store changes among the daemons, over datagrams.

Each daemon sends a heartbeat with its whole state to every peer at intervals, so the loss of a
datagram is made up for within one interval. The loads of backend servers are sent along with it,
see `load_exchange`.
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
from sycamorebay.protocol.load_rows import CHANGED_LOADS, COMPLETE_LOADS
from sycamorebay.protocol.store_items import items_to_rows, rows_to_items
from sycamorebay.state.stored import StoredItem
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.load_exchange import LoadExchange
from sycamorebay.transport.gateway.peer import OwnState, Peer, PeerCallbacks
from sycamorebay.transport.gateway.sockets import join_address, split_address

HEARTBEAT_INTERVAL_S = 0.25
# In a larger fleet the interval grows, so that a daemon sends about this many heartbeats per
# second.
HEARTBEATS_PER_S = 100.0
# Three lost heartbeats in a row indicate a failure; the slack covers late timers.
TIMEOUT_HEARTBEATS = 3.0
TIMEOUT_SLACK_S = 0.4
# Up to this many peers, each change of load is sent immediately; for more peers that would take
# too many datagrams.
MAX_IMMEDIATE_PEERS = 40
MAX_DATAGRAM_BYTES = 48_000
_COMPRESS_ABOVE_BYTES = 900
# Addresses of other peers in each heartbeat.
_GOSSIP_ADDRESSES = 2
# Addresses in the heartbeat to a new peer, so that it knows the whole fleet after two messages.
_GOSSIP_ADDRESSES_TO_NEW_PEER = 64

_log = log.get_logger("peers")


class Peers(asyncio.DatagramProtocol):
    """The other daemons of the fleet, reached over datagrams.

    Parameters
    ----------
    own : OwnState
        State of this daemon that heartbeats carry.
    seeds : iterable of (str, int)
        Addresses of daemons that may be running.
    placer : Placer
        Provides the loads of this daemon, and receives those of peers.
    callbacks : PeerCallbacks
        Called for messages from peers.
    counters : Counters
        Metrics of this daemon.

    Attributes
    ----------
    own : OwnState
        State of this daemon that heartbeats carry.
    reading : bool
        Whether this daemon reads the store; readers keep the shortest heartbeat interval.
    loads : LoadExchange
        Sends and receives the loads of backend servers.
    """

    def __init__(
        self,
        own: OwnState,
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
        """Keep the transport for sending."""
        # uvloop's transports have the methods of asyncio's but do not inherit from them.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore network errors; a peer is removed only when its heartbeats cease."""

    def alive(self) -> list[Peer]:
        """Return the peers whose heartbeats have arrived in time."""
        return list(self._by_name.values())

    @property
    def heartbeat_s(self) -> float:
        """Interval between two heartbeats, in seconds.

        Readers use the shortest one, since all other daemons depend on them for changes.
        """
        return (
            HEARTBEAT_INTERVAL_S
            if self.reading
            else max(HEARTBEAT_INTERVAL_S, len(self._by_name) / HEARTBEATS_PER_S)
        )

    async def run(self) -> None:
        """Send heartbeats and remove silent peers, until cancelled."""
        while True:
            self._forget_silent()
            self._send_heartbeat()
            await asyncio.sleep(self.heartbeat_s * self._rng.uniform(0.9, 1.1))

    def send_changes(self, after: int, items: Iterable[StoredItem], version: int) -> None:
        """Send changes of the store to every peer, followed by a heartbeat.

        Parameters
        ----------
        after : int
            Version before the changes.
        items : iterable of StoredItem
            The changed items.
        version : int
            Version after the changes.
        """
        message = {
            "t": "changes",
            "after": after,
            "version": version,
            "items": items_to_rows(items),
        }
        self._send_all(message)
        self._send_heartbeat()

    def leave(self) -> None:
        """Notify every peer that this daemon stops."""
        self._send_all({"t": "leave"})

    def _sends_immediately(self) -> bool:
        return len(self._by_name) <= MAX_IMMEDIATE_PEERS

    def _send_heartbeat(self) -> None:
        heartbeat = self._own_heartbeat(_GOSSIP_ADDRESSES)
        self._send(heartbeat, self._peers_by_address.keys() | self._seeds)
        self._send_to_peers(self.loads.complete_message())

    def _send_introduction(self, address: tuple[str, int]) -> None:
        self._send(self._own_heartbeat(_GOSSIP_ADDRESSES_TO_NEW_PEER), [address])
        self._send_bytes(self.loads.complete_message(), [address])

    def _own_heartbeat(self, address_count: int) -> dict[str, Any]:
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
                for peer in self._rng.sample(known, min(address_count, len(known)))
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
            # Peers see the later version in the next heartbeat and fetch a whole copy.
            _log.warning("message too large for a datagram", bytes=len(data), kind=message["t"])
            return
        self._send_bytes(data, addresses)

    def _send_to_peers(self, data: bytes) -> None:
        self._send_bytes(data, self._peers_by_address)

    def _send_bytes(self, data: bytes, addresses: Iterable[tuple[str, int]]) -> None:
        if self._transport is not None:
            for address in addresses:
                self._transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a message from a peer; a message that cannot be decoded is logged and dropped."""
        self._counters.peer_datagrams += 1
        try:
            if data[:1] in (CHANGED_LOADS, COMPLETE_LOADS):
                peer = self._peers_by_address.get(addr)
                if peer is not None:
                    self.loads.on_message(data, peer)
                return
            if data[:1] != b"{":
                data = zlib.decompress(data)
            message = json.loads(data)
            name, incarnation = str(message["n"]), int(message["i"])
            if name == self.own.name:
                self._seeds.discard(addr)
                return
            self._on_message(message, name, incarnation, addr)
        except (ValueError, KeyError, TypeError, IndexError, zlib.error) as error:
            _log.warning("could not decode a message from a peer", peer=addr[0], error=repr(error))

    def _on_message(
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
            self._remove_peer(peer, "it stops")

    def _on_heartbeat(
        self, message: dict[str, Any], name: str, incarnation: int, addr: tuple[str, int]
    ) -> None:
        now = self._loop.time()
        peer = self._by_name.get(name)
        if peer is not None and peer.incarnation > incarnation:
            return
        if peer is None or peer.incarnation != incarnation:
            if peer is not None:
                self._remove_peer(peer, "it started again")
            domain, control = str(message["domain"]), str(message["control"])
            peer = Peer(name, addr, control, domain, incarnation, now)
            self._by_name[name] = peer
            self._peers_by_address[addr] = peer
            _log.info("peer found", peer=name, address=addr[0])
            self._send_introduction(addr)
        self._update_address(peer, addr)
        peer.last_seen_at = now
        peer.version = int(message["version"])
        peer.confirmed_at = now - float(message["age"])
        peer.reaches_store = bool(message["store"])
        peer.timeout_s = float(message["next"]) * TIMEOUT_HEARTBEATS + TIMEOUT_SLACK_S
        for text in message["peers"]:
            self._introduce_if_unknown(split_address(str(text)))
        if peer.version > self.own.version:
            self._callbacks.on_newer_peer(peer)
        else:
            self._callbacks.on_confirmed(peer.confirmed_at)

    def _update_address(self, peer: Peer, address: tuple[str, int]) -> None:
        if peer.address != address:
            self._drop_address(peer)
            self._peers_by_address[address] = peer
            peer.address = address

    def _drop_address(self, peer: Peer) -> None:
        # Another daemon may have taken over the address.
        if self._peers_by_address.get(peer.address) is peer:
            del self._peers_by_address[peer.address]

    def _introduce_if_unknown(self, address: tuple[str, int]) -> None:
        known = address in self._peers_by_address or address in self._seeds
        if not known and join_address(address) != self.own.address:
            self._send_introduction(address)

    def _forget_silent(self) -> None:
        now = self._loop.time()
        for peer in list(self._by_name.values()):
            if now - peer.last_seen_at > peer.timeout_s:
                self._remove_peer(peer, "it is silent")

    def _remove_peer(self, peer: Peer, reason: str) -> None:
        self._by_name.pop(peer.name, None)
        self._drop_address(peer)
        self._placer.on_peer_lost(peer.name)
        _log.info("peer lost", peer=peer.name, reason=reason)
