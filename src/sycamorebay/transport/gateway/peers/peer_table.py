"""The daemons that this daemon exchanges heartbeats with, by name and by address."""

from __future__ import annotations

from collections.abc import Iterator

from sycamorebay.coordination.fleet_view import Address, Contact
from sycamorebay.transport.gateway.peers.peer import Peer


class PeerTable:
    """Live peers by name and by address."""

    def __init__(self) -> None:
        self._by_name: dict[str, Peer] = {}
        self._by_address: dict[Address, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._by_name.values()))

    def __len__(self) -> int:
        return len(self._by_name)

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def get(self, name: str) -> Peer | None:
        """Return the peer with a name, or None."""
        return self._by_name.get(name)

    def at(self, address: Address) -> Peer | None:
        """Return the peer at an address, or None."""
        return self._by_address.get(address)

    def addresses(self) -> list[Address]:
        """Return the addresses of all peers."""
        return list(self._by_address)

    def relays(self) -> list[Peer]:
        """Return the peers that are relays."""
        return [peer for peer in self._by_name.values() if peer.is_relay]

    def leaves(self) -> list[Peer]:
        """Return the peers that are leaves."""
        return [peer for peer in self._by_name.values() if not peer.is_relay]

    def put(self, peer: Peer, contact: Contact) -> None:
        """Add a peer, or record its present contact."""
        if peer.contact.address != contact.address:
            self._drop_address(peer)
        peer.contact = contact
        self._by_name[peer.name] = peer
        self._by_address[contact.address] = peer

    def drop(self, peer: Peer) -> None:
        """Remove a peer."""
        self._by_name.pop(peer.name, None)
        self._drop_address(peer)

    def _drop_address(self, peer: Peer) -> None:
        # Another daemon may have taken over the address.
        if self._by_address.get(peer.contact.address) is peer:
            del self._by_address[peer.contact.address]
