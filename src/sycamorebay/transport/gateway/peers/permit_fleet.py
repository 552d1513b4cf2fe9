"""What limits of client accounts need to know of the other daemons."""

from __future__ import annotations

import asyncio

from sycamorebay.coordination.fleet_view import Address, FleetView
from sycamorebay.transport.gateway.counters import TrafficKind
from sycamorebay.transport.gateway.peers.introductions import Introductions
from sycamorebay.transport.gateway.peers.peer import OwnState
from sycamorebay.transport.gateway.peers.peer_sender import PeerSender
from sycamorebay.transport.gateway.peers.peer_table import PeerTable


class PermitFleetView:
    """The fleet as `permit_exchange.PermitFleet` describes it.

    Parameters
    ----------
    own : OwnState
        State of this daemon.
    view : FleetView
        Knows the relays, and the role of this daemon.
    table : PeerTable
        The peers.
    sender : PeerSender
        Sends messages.
    introductions : Introductions
        Knows whether other daemons are to be expected.

    Attributes
    ----------
    has_met_peer : bool
        Whether any daemon has been met since the start.
    """

    def __init__(
        self,
        own: OwnState,
        view: FleetView,
        table: PeerTable,
        sender: PeerSender,
        introductions: Introductions,
    ) -> None:
        self._own = own
        self._view = view
        self._table = table
        self._sender = sender
        self._introductions = introductions
        self._loop = asyncio.get_running_loop()
        self.has_met_peer = False

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is a relay."""
        return self._view.is_relay

    @property
    def knows_fleet(self) -> bool:
        """Whether any daemon has been met since the start, or none is to be expected."""
        return self.has_met_peer or not self._introductions.has_seeds

    def fleet_size(self) -> int:
        """Return the number of daemons in the fleet, rather too many than too few."""
        return self._view.size(self._loop.time())

    def present_size(self) -> int:
        """Return the number of daemons that are alive, as known here now."""
        return self._view.present_size()

    def relay_starts(self) -> dict[str, int]:
        """Return the starts of the relays that are alive by name, this daemon included."""
        own = {self._own.name: self._own.incarnation} if self._view.is_relay else {}
        return own | {peer.name: peer.incarnation for peer in self._table.relays()}

    def relay_address(self, name: str) -> Address | None:
        """Return the address of a peer, or None if it is unknown."""
        peer = self._table.get(name)
        return peer.contact.address if peer is not None else None

    def forwarder_addresses(self) -> list[Address]:
        """Return the addresses of relays that forward requests, the best one first."""
        if not self._view.is_relay:
            return [contact.address for contact in self._view.home_relays()]
        # The seeds were met first, and have mostly been running for long.
        return [peer.contact.address for peer in self._table.relays()]

    def send_permits(self, data: bytes, address: Address) -> None:
        """Send a message."""
        self._sender.send_bytes(data, [address], TrafficKind.PERMITS)
