"""Composes the messages of this daemon to its peers and sends them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

from sycamorebay.coordination.fleet_view import Address, Contact, FleetView
from sycamorebay.protocol.peer_messages import (
    Changes,
    CrashReport,
    Heartbeat,
    Leave,
    PeerMessage,
    encode_message,
)
from sycamorebay.protocol.short_heartbeats import encode_short
from sycamorebay.transport.gateway.counters import Counters, TrafficKind
from sycamorebay.transport.gateway.peers.peer import OwnState, Peer
from sycamorebay.transport.gateway.peers.peer_table import PeerTable

# Relays named in each complete heartbeat, so that the view of its receiver stays complete.
GOSSIP_CONTACTS = 2
# Short heartbeats to a relay between two complete ones. Complete ones name relays and make up for
# lost datagrams; the draw spreads those to different relays over time.
SHORT_HEARTBEATS = (9, 11)
# Stated as the age of a copy that was never confirmed.
_NEVER_CONFIRMED_S = 1e6
_KINDS_BY_TYPE = {
    Changes: TrafficKind.CHANGES,
    CrashReport: TrafficKind.CRASHES,
    Heartbeat: TrafficKind.HEARTBEATS,
    Leave: TrafficKind.LEAVES,
}


class PeerSender:
    """Sends heartbeats and other messages.

    Parameters
    ----------
    own : OwnState
        State of this daemon that heartbeats carry.
    view : FleetView
        Knows the relays, and the role of this daemon.
    table : PeerTable
        Knows the failure domains of the peers.
    counters : Counters
        Metrics of this daemon.
    rng : random.Random
        Seeded random source.

    Attributes
    ----------
    transport : asyncio.DatagramTransport or None
        Sends datagrams; nothing is sent until it is set.
    """

    def __init__(
        self, own: OwnState, view: FleetView, table: PeerTable, counters: Counters, rng: Random
    ) -> None:
        self.transport: asyncio.DatagramTransport | None = None
        self._own = own
        self._view = view
        self._table = table
        self._counters = counters
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    def send_heartbeat(self, peers: Iterable[Peer], interval_s: float) -> None:
        """Send a heartbeat to peers; most of those to relays are short.

        Leaves hear of relays in their own failure domain only.

        Parameters
        ----------
        peers : iterable of Peer
            The receivers.
        interval_s : float
            Longest time until the next heartbeat to them, in seconds.
        """
        receivers = list(peers)
        relays = [peer for peer in receivers if peer.is_relay]
        leaves = [peer.contact.address for peer in receivers if not peer.is_relay]
        if not self._view.is_relay:
            for relay in relays:
                self._send_as_leaf(relay.contact, interval_s)
            return
        if relays:
            self._send_to_relays(relays, interval_s)
        if leaves:
            contacts = self._gossip(self._own.contact.failure_domain)
            self.send(self._heartbeat(interval_s, contacts=contacts), leaves)

    def ask(self, addresses: Iterable[Address], interval_s: float, primary: bool = False) -> None:
        """Send a heartbeat that asks its receivers for an introduction."""
        self.send(self._heartbeat(interval_s, asks=True, primary=primary), addresses)

    def introduce(self, contact: Contact, is_relay: bool, interval_s: float) -> None:
        """Send a heartbeat with the relays that a daemon has to know.

        Parameters
        ----------
        contact : Contact
            The receiver.
        is_relay : bool
            Whether the receiver takes itself for a relay.
        interval_s : float
            Longest time until the next heartbeat to it, in seconds.
        """
        knows_all_domains = is_relay and self._view.admits(contact)
        relays = self._view.heard_relays(None if knows_all_domains else contact.failure_domain)
        self.send(self._heartbeat(interval_s, contacts=relays), [contact.address])

    def is_primary(self, relay: str) -> bool:
        """Return whether a relay is the primary one of this daemon, a leaf."""
        if self._view.is_relay:
            return False
        return relay in [contact.name for contact in self._view.home_relays()[:1]]

    def send(self, message: PeerMessage, addresses: Iterable[Address]) -> None:
        """Send a message."""
        self.send_bytes(encode_message(message), addresses, _KINDS_BY_TYPE[type(message)])

    def send_bytes(
        self,
        data: bytes,
        addresses: Iterable[Address],
        kind: TrafficKind,
    ) -> None:
        """Send the bytes of a message, and count them by kind."""
        if self.transport is None:
            return
        for address in addresses:
            self._counters.datagrams_sent += 1
            self._counters.datagram_bytes_sent += len(data)
            self._counters.on_traffic(kind, self._is_near(address), len(data))
            self.transport.sendto(data, address)

    def _is_near(self, address: Address) -> bool:
        """Return whether a daemon is in the own failure domain; one that is no peer is not."""
        peer = self._table.at(address)
        return peer is not None and peer.contact.failure_domain == self._own.contact.failure_domain

    def _send_to_relays(self, relays: Iterable[Peer], interval_s: float) -> None:
        heartbeat = self._heartbeat(interval_s, contacts=self._gossip(None))
        short = encode_short(heartbeat)
        complete_to, short_to = [], []
        for peer in relays:
            if short is None or peer.short_heartbeats_left <= 0:
                peer.short_heartbeats_left = self._rng.randint(*SHORT_HEARTBEATS)
                complete_to.append(peer.contact.address)
            else:
                peer.short_heartbeats_left -= 1
                short_to.append(peer.contact.address)
        if complete_to:
            self.send(heartbeat, complete_to)
        if short is not None:
            self.send_bytes(short, short_to, TrafficKind.HEARTBEATS)

    def _send_as_leaf(self, relay: Contact, interval_s: float) -> None:
        heartbeat = self._heartbeat(interval_s, primary=self.is_primary(relay.name))
        self.send(heartbeat, [relay.address])

    def _gossip(self, failure_domain: str | None) -> list[Contact]:
        known = self._view.heard_relays(failure_domain)
        return self._rng.sample(known, min(GOSSIP_CONTACTS, len(known)))

    def _heartbeat(
        self,
        interval_s: float,
        *,
        asks: bool = False,
        primary: bool = False,
        contacts: Iterable[Contact] = (),
    ) -> Heartbeat:
        own, view = self._own, self._view
        now = self._loop.time()
        return Heartbeat(
            name=own.name,
            incarnation=own.incarnation,
            control=own.control,
            failure_domain=own.contact.failure_domain,
            link_mbps=own.contact.link_mbps,
            is_relay=view.is_relay,
            asks=asks,
            primary=primary,
            version=own.version,
            confirmed_age_s=min(_NEVER_CONFIRMED_S, now - own.confirmed_at),
            reaches_store=own.reaches_store,
            interval_s=interval_s,
            leaves=view.own_leaf_count(),
            relays=view.relay_count(),
            fleet_size=view.size(now),
            contacts=tuple(contacts),
            kept=own.kept,
        )
