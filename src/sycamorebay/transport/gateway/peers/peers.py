"""Heartbeats and changes of the store among the daemons, over datagrams.

Relays exchange heartbeats with each other and with their leaves, see `fleet_view`. A heartbeat
carries all that changes of its sender's state, so the loss of a datagram is made up for within one
interval. Most of those between relays are short, see `short_heartbeats`. In a fleet without
leaves, the loads of backend servers are sent as well, see `load_exchange`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from typing import cast

from sycamorebay import log
from sycamorebay.coordination.account_limit import AccountLimitBound
from sycamorebay.coordination.fleet_view import RELAY_LIMIT, Address, Contact, FleetView
from sycamorebay.coordination.placing import Placer
from sycamorebay.protocol.cold_rows import COLD_TIMES
from sycamorebay.protocol.limit_rows import LIMITS
from sycamorebay.protocol.load_rows import CHANGED_LOADS, COMPLETE_LOADS
from sycamorebay.protocol.peer_messages import (
    Changes,
    CrashNews,
    CrashReport,
    Heartbeat,
    Leave,
    OtherVersionError,
    decode_message,
    encode_message,
)
from sycamorebay.protocol.permit_rows import FORWARDED_REQUEST, PERMIT_GRANT, PERMIT_REQUEST
from sycamorebay.protocol.short_heartbeats import (
    SHORT_HEARTBEAT,
    ShortHeartbeat,
    decode_short,
)
from sycamorebay.state.store_versions import StoreVersion, VersionedItem
from sycamorebay.transport.gateway.counters import Counters, TrafficKind
from sycamorebay.transport.gateway.peers.cold_exchange import ColdExchange
from sycamorebay.transport.gateway.peers.introductions import Introductions
from sycamorebay.transport.gateway.peers.limit_exchange import LimitExchange
from sycamorebay.transport.gateway.peers.load_exchange import LoadExchange
from sycamorebay.transport.gateway.peers.peer import OwnState, Peer, PeerCallbacks
from sycamorebay.transport.gateway.peers.peer_sender import PeerSender
from sycamorebay.transport.gateway.peers.peer_table import PeerTable
from sycamorebay.transport.gateway.peers.permit_exchange import PermitExchange
from sycamorebay.transport.gateway.peers.permit_fleet import PermitFleetView

HEARTBEAT_INTERVAL_S = 0.25
# With more relays the interval grows, so that a daemon sends about this many heartbeats per second.
HEARTBEATS_PER_S = 100.0
# A leaf has nothing to tell but that it lives.
LEAF_HEARTBEAT_INTERVAL_S = 1.0
_INTERVAL_JITTER = 0.1
# Three lost heartbeats in a row indicate a failure; the slack covers late timers.
TIMEOUT_HEARTBEATS = 3.0
TIMEOUT_SLACK_S = 0.4
# New confirmations are passed on at once, but not more often than this.
MIN_PUSH_INTERVAL_S = 0.15
# Longer changes are fetched by their receivers, since bursts of large datagrams overflow a link.
MAX_INLINE_BYTES = 8_000

_log = log.get_logger("peers")


class Peers(asyncio.DatagramProtocol):
    """The daemons that this daemon exchanges heartbeats with.

    Parameters
    ----------
    own : OwnState
        State of this daemon that heartbeats carry.
    seeds : iterable of (str, int)
        Addresses of daemons that may be running.
    view : FleetView
        Knows the relays, and the role of this daemon.
    placer : Placer
        Provides the loads of this daemon, and receives those of peers.
    callbacks : PeerCallbacks
        Called for messages from peers.
    counters : Counters
        Metrics of this daemon.
    rng : random.Random
        Seeded random source.
    quota : AccountLimitBound
        Bound on the requests of a client account.

    Attributes
    ----------
    own : OwnState
        State of this daemon that heartbeats carry.
    reading : bool
        Whether this daemon reads the store; readers keep the shortest heartbeat interval.
    loads : LoadExchange
        Sends and receives the loads of backend servers.
    permits : PermitExchange
        Decides on requests under the limits of their client accounts.
    """

    def __init__(
        self,
        own: OwnState,
        seeds: Iterable[Address],
        view: FleetView,
        placer: Placer,
        callbacks: PeerCallbacks,
        counters: Counters,
        rng: random.Random,
        quota: AccountLimitBound | None = None,
    ) -> None:
        self.own = own
        self.reading = False
        self.loads = LoadExchange(
            own.incarnation,
            placer,
            lambda data: self._send_to_peers(data, TrafficKind.LOADS),
            lambda: not self._had_leaves,
            callbacks.on_capacity,
        )
        self._limits = LimitExchange(own.incarnation, placer, self.loads.load_by_hash, self)
        self.cold_times = ColdExchange(own.incarnation, placer, self.loads.load_by_hash, self)
        self._view = view
        self._placer = placer
        self._callbacks = callbacks
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._table = PeerTable()
        self._pushed_at = float("-inf")
        self._had_leaves = False
        self._was_relay = True
        self._rng = rng
        self._sender = PeerSender(own, view, self._table, counters, self._rng)
        self._introductions = Introductions(seeds, view, self._table, self._sender)
        self._permit_fleet = PermitFleetView(
            own, view, self._table, self._sender, self._introductions
        )
        self.permits = PermitExchange(
            own.name,
            own.incarnation,
            quota or AccountLimitBound(),
            self._permit_fleet,
            counters,
            random.Random(rng.random()),
        )
        self.permits.on_relays()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        # uvloop's transports have the methods of asyncio's but do not inherit from them.
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._sender.transport = self._transport

    def error_received(self, exc: Exception) -> None:
        """Ignore network errors; a peer is removed only when its heartbeats cease."""

    def alive(self) -> list[Peer]:
        """Return the peers whose heartbeats have arrived in time."""
        return list(self._table)

    def relays(self) -> list[Peer]:
        """Return the peers that are relays."""
        return self._table.relays()

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is a relay."""
        return self._view.is_relay

    @property
    def in_large_fleet(self) -> bool:
        """Whether the fleet has leaves, so that loads are not exchanged."""
        return self._had_leaves

    @property
    def reads_store(self) -> bool:
        """Whether this daemon reads the store for all, and reaches it."""
        return self.reading and self.own.reaches_store

    def fleet_size(self) -> int:
        """Return the number of daemons in the fleet, rather too many than too few."""
        return self._view.size(self._loop.time())

    @property
    def heartbeat_s(self) -> float:
        """Interval between two heartbeats, in seconds.

        Readers use the shortest one, since all other daemons depend on them for changes.
        """
        if not self._view.is_relay:
            return LEAF_HEARTBEAT_INTERVAL_S if len(self._table) else HEARTBEAT_INTERVAL_S
        if self.reading:
            return HEARTBEAT_INTERVAL_S
        relays = min(RELAY_LIMIT, len(self._table))
        return max(HEARTBEAT_INTERVAL_S, relays / HEARTBEATS_PER_S)

    def on_limit_changed(self, server_id: str) -> None:
        """Tell the peers of the changed limit of a server."""
        self._limits.on_changed(server_id)

    def send_limits(self, data: bytes, *, to_relays: bool) -> None:
        """Send a message of server limits to the leaves, and to the relays if requested."""
        receivers = self.alive() if to_relays else self._table.leaves()
        addresses = [peer.contact.address for peer in receivers]
        self._sender.send_bytes(data, addresses, TrafficKind.LIMITS)

    async def run(self) -> None:
        """Send heartbeats and remove silent peers, until cancelled."""
        while True:
            now = self._loop.time()
            self._forget_silent(now)
            self._view.on_tick(now)
            self._update_role(now)
            self.permits.on_tick()
            interval_s = self.heartbeat_s * self._rng.uniform(1 - _INTERVAL_JITTER, 1.0)
            self._send_heartbeats(now, interval_s)
            await asyncio.sleep(interval_s)

    def send_changes(
        self, after: StoreVersion, items: Iterable[VersionedItem], version: StoreVersion
    ) -> None:
        """Send changes of the store to every peer.

        Parameters
        ----------
        after : StoreVersion
            Version before the changes.
        items : iterable of VersionedItem
            The changed items.
        version : StoreVersion
            Version after the changes.
        """
        self._send_changes(after, tuple(items), version, self._table)

    def forward_changes(
        self, after: StoreVersion, items: Iterable[VersionedItem], version: StoreVersion
    ) -> None:
        """Pass on changes of the store that another daemon sent, to the own leaves."""
        if leaves := self._table.leaves():
            self._send_changes(after, tuple(items), version, leaves)

    def push(self, to_relays: bool) -> None:
        """Pass on a new confirmation to the leaves, and to the relays if it is first-hand."""
        now = self._loop.time()
        if not self._had_leaves or now - self._pushed_at < MIN_PUSH_INTERVAL_S:
            return
        receivers = self.alive() if to_relays else self._table.leaves()
        if receivers:
            self._pushed_at = now
            self._sender.send_heartbeat(receivers, self.heartbeat_s)

    def send_crashes(self, news: CrashNews, *, to_relays: bool) -> None:
        """Send a report of crashed servers to the leaves, and to the relays if requested."""
        report = CrashReport(self.own.name, self.own.incarnation, news)
        receivers = self.alive() if to_relays else self._table.leaves()
        self._sender.send(report, [peer.contact.address for peer in receivers])

    def announce(self) -> None:
        """Tell every peer of a new version of the store, which they then fetch."""
        self._sender.send_heartbeat(self._table, self.heartbeat_s)

    def leave(self) -> None:
        """Notify every peer that this daemon stops."""
        self._sender.send(Leave(self.own.name, self.own.incarnation), self._table.addresses())

    def _send_to_peers(self, data: bytes, kind: TrafficKind) -> None:
        self._sender.send_bytes(data, self._table.addresses(), kind)

    def _send_changes(
        self,
        after: StoreVersion,
        items: tuple[VersionedItem, ...],
        version: StoreVersion,
        peers: Iterable[Peer],
    ) -> None:
        receivers = list(peers)
        message = Changes(self.own.name, self.own.incarnation, after, version, items)
        data = encode_message(message)
        if len(data) <= MAX_INLINE_BYTES:
            # If it is lost, the next heartbeat tells of the later version.
            addresses = [peer.contact.address for peer in receivers]
            self._sender.send_bytes(data, addresses, TrafficKind.CHANGES)
        else:
            self._sender.send_heartbeat(receivers, self.heartbeat_s)

    def _send_heartbeats(self, now: float, interval_s: float) -> None:
        """Send the regular heartbeats: to peers, to wanted relays and to seeds."""
        self._sender.send_heartbeat(self._table, interval_s)
        self._introductions.ask_missing(now, self.heartbeat_s)
        self._introductions.ask_seeds(now, interval_s)
        if not self._had_leaves:
            self._send_to_peers(self.loads.complete_message(), TrafficKind.LOADS)
            if limits := self._limits.complete_message():
                self._send_to_peers(limits, TrafficKind.LIMITS)
            if cold_times := self.cold_times.complete_message():
                self._send_to_peers(cold_times, TrafficKind.LIMITS)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a message from a peer; a message that cannot be decoded is counted and dropped."""
        self._counters.peer_datagrams += 1
        try:
            if data[:1] in (CHANGED_LOADS, COMPLETE_LOADS, LIMITS, COLD_TIMES):
                self._on_loads(data, addr)
                return
            if data[:1] in (PERMIT_REQUEST, FORWARDED_REQUEST, PERMIT_GRANT):
                self._on_permits(data, addr)
                return
            if data[:1] == SHORT_HEARTBEAT:
                self._on_short_heartbeat(decode_short(data), addr)
                return
            message = decode_message(data)
        except OtherVersionError as error:
            self._counters.other_version_datagrams += 1
            _log.info("message of another version dropped", peer=addr[0], reason=str(error))
            return
        except ValueError as error:
            self._counters.undecodable_datagrams += 1
            _log.info("could not decode a message from a peer", peer=addr[0], error=repr(error))
            return
        if message.name == self.own.name:
            self._introductions.drop_seed(addr)
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(message, addr)
        else:
            self._on_message(message)

    def _on_loads(self, data: bytes, addr: Address) -> None:
        peer = self._table.at(addr)
        if peer is None:
            return
        if data[:1] == LIMITS:
            self._limits.on_message(data, peer)
        elif data[:1] == COLD_TIMES:
            self.cold_times.on_message(data, peer)
        elif not self._had_leaves:
            self.loads.on_message(data, peer)

    def _on_permits(self, data: bytes, addr: Address) -> None:
        # A grant may come from a relay that is no peer of this leaf.
        if data[:1] == PERMIT_GRANT or self._table.at(addr) is not None:
            self.permits.on_message(data, addr)

    def _on_message(self, message: Changes | Leave | CrashReport) -> None:
        peer = self._table.get(message.name)
        if peer is None or peer.incarnation != message.incarnation:
            return
        if isinstance(message, Leave):
            self._remove_peer(peer, "it stops")
        elif isinstance(message, CrashReport):
            self._callbacks.on_crashes(message, peer)
        else:
            events = self._callbacks.events
            events.on_peer_changes(message.after, message.items, message.version, peer)

    def _on_short_heartbeat(self, short: ShortHeartbeat, addr: Address) -> None:
        peer = self._table.at(addr)
        if peer is None or not peer.is_relay or not short.is_of(peer.incarnation):
            self._introductions.ask_unknown_sender(addr, self.heartbeat_s)
            return
        contact = peer.contact
        heartbeat = Heartbeat(
            name=peer.name,
            incarnation=peer.incarnation,
            control=peer.control,
            failure_domain=contact.failure_domain,
            link_mbps=contact.link_mbps,
            is_relay=True,
            asks=False,
            primary=False,
            version=short.version,
            confirmed_age_s=short.confirmed_age_s,
            reaches_store=short.reaches_store,
            interval_s=short.interval_s,
            leaves=short.leaves,
            relays=short.relays,
            fleet_size=short.fleet_size,
            kept=short.kept,
        )
        self._on_heartbeat(heartbeat, addr)

    def _on_heartbeat(self, heartbeat: Heartbeat, addr: Address) -> None:
        now = self._loop.time()
        peer = self._table.get(heartbeat.name)
        if peer is not None and peer.incarnation > heartbeat.incarnation:
            return
        if peer is not None and peer.incarnation != heartbeat.incarnation:
            self._remove_peer(peer, "it started again")
            peer = None
        contact = Contact(heartbeat.name, addr, heartbeat.failure_domain, heartbeat.link_mbps)
        belongs = self._admit(now, contact, heartbeat)
        self._update_role(now)
        for listed in heartbeat.contacts:
            if self._view.on_listed(now, listed) and self._view.is_relay:
                self._introductions.ask(now, listed, self.heartbeat_s)
        if not belongs:
            if peer is not None:
                self._remove_peer(peer, "it is no peer of this daemon")
            if heartbeat.asks or (heartbeat.is_relay and self._view.is_relay):
                self._introduce(contact, heartbeat.is_relay)
            return
        known = peer is not None
        peer = self._update_peer(now, peer, contact, heartbeat)
        if heartbeat.asks or not known:
            self._introduce(contact, heartbeat.is_relay)
        self._report(peer)

    def _admit(self, now: float, contact: Contact, heartbeat: Heartbeat) -> bool:
        """Update the view with a heartbeat, and return whether its sender is a peer."""
        view = self._view
        if heartbeat.is_relay:
            known = view.on_relay(now, contact, heartbeat.leaves)
            if view.is_relay:
                return known
            if contact.name not in [home.name for home in view.home_relays()]:
                return False
            view.on_told(now, contact.name, heartbeat.relays, heartbeat.fleet_size)
            return True
        if not view.is_relay:
            # The sender is a leaf too, so it cannot be a relay of this one.
            view.on_lost(now, contact.name)
            return False
        return view.on_leaf(contact, heartbeat.primary)

    def _introduce(self, contact: Contact, is_relay: bool) -> None:
        self._sender.introduce(contact, is_relay, self.heartbeat_s)
        if (news := self._callbacks.crash_news()) is not None:
            report = CrashReport(self.own.name, self.own.incarnation, news)
            self._sender.send(report, [contact.address])
        if not self._had_leaves:
            loads = self.loads.complete_message()
            self._sender.send_bytes(loads, [contact.address], TrafficKind.LOADS)
            if limits := self._limits.complete_message():
                self._sender.send_bytes(limits, [contact.address], TrafficKind.LIMITS)
            if cold_times := self.cold_times.complete_message():
                self._sender.send_bytes(cold_times, [contact.address], TrafficKind.LIMITS)

    def _update_peer(
        self, now: float, peer: Peer | None, contact: Contact, heartbeat: Heartbeat
    ) -> Peer:
        known = peer is not None
        if peer is None:
            peer = Peer(contact, heartbeat.control, heartbeat.incarnation, heartbeat.is_relay, now)
            self._introductions.on_found(contact.name)
            _log.info("peer found", peer=contact.name, address=contact.address[0])
            self._permit_fleet.has_met_peer = True
        self._table.put(peer, contact)
        if not known or peer.is_relay != heartbeat.is_relay:
            peer.is_relay = heartbeat.is_relay
            self.permits.on_relays()
        peer.last_seen_at = now
        peer.version = heartbeat.version
        peer.kept = heartbeat.kept
        peer.confirmed_at = now - heartbeat.confirmed_age_s
        peer.reaches_store = heartbeat.reaches_store
        peer.timeout_s = heartbeat.interval_s * TIMEOUT_HEARTBEATS + TIMEOUT_SLACK_S
        return peer

    def _report(self, peer: Peer) -> None:
        """Report what a peer's heartbeat tells about the store."""
        own = self.own
        if peer.is_ahead_of(own.version, own.kept):
            self._callbacks.events.on_newer_peer(peer)
        # A peer that has not heard of a restore confirms nothing of what the store has now.
        if peer.version.era == own.version.era and peer.version <= own.version:
            self._callbacks.events.on_confirmed(peer.confirmed_at)

    def _update_role(self, now: float) -> None:
        """Apply a changed role of this daemon, and a changed size of the fleet."""
        view = self._view
        if view.is_relay != self._was_relay:
            self._was_relay = view.is_relay
            for peer in self._table:
                peer.short_heartbeats_left = 0
            _log.info("role changed", relay=view.is_relay, fleet=view.size(now))
            if not view.is_relay:
                self._keep_home_relays()
            self.permits.on_relays()
            self._introductions.ask_missing(now, self.heartbeat_s)
        has_leaves = view.has_leaves(now)
        if has_leaves and not self._had_leaves:
            for peer in self._table:
                self._placer.on_peer_lost(peer.name)
        self._had_leaves = has_leaves

    def _keep_home_relays(self) -> None:
        """Take leave of the peers that are not needed as a leaf."""
        home = {contact.name for contact in self._view.home_relays()}
        others = [peer for peer in self._table if peer.name not in home]
        notice = Leave(self.own.name, self.own.incarnation)
        self._sender.send(notice, [peer.contact.address for peer in others])
        for peer in others:
            self._drop_peer(peer)

    def _forget_silent(self, now: float) -> None:
        for peer in self.alive():
            if now - peer.last_seen_at > peer.timeout_s:
                self._remove_peer(peer, "it is silent")
        self._introductions.forget_unanswered(now)

    def _remove_peer(self, peer: Peer, reason: str) -> None:
        self._drop_peer(peer)
        self._view.on_lost(self._loop.time(), peer.name)
        _log.info("peer lost", peer=peer.name, reason=reason)

    def _drop_peer(self, peer: Peer) -> None:
        self._table.drop(peer)
        self.permits.on_relays()
        self._placer.on_peer_lost(peer.name)
