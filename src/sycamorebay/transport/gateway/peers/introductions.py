"""Asks daemons that are no peers yet for an introduction."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorebay.coordination.fleet_view import Address, Contact, FleetView
from sycamorebay.transport.gateway.peers.peer_sender import PeerSender
from sycamorebay.transport.gateway.peers.peer_table import PeerTable

# A daemon that was asked and does not answer within this time is not there.
ANSWER_TIMEOUT_S = 0.8
# Seeds that are no peers are asked now and then, so that parts of a fleet find each other again.
SEED_INTERVAL_S = 2.0
# Senders of short heartbeats that are asked between two heartbeats of this daemon.
MAX_UNKNOWN_SENDERS = 40


class Introductions:
    """Finds the peers that this daemon lacks: relays that the view names, and seeds.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    seeds : iterable of (str, int)
        Addresses of daemons that may be running.
    view : FleetView
        Knows the relays, and the role of this daemon.
    table : PeerTable
        The peers.
    sender : PeerSender
        Sends heartbeats that ask for an introduction.
    """

    def __init__(
        self, seeds: Iterable[Address], view: FleetView, table: PeerTable, sender: PeerSender
    ) -> None:
        self._seeds = dict.fromkeys(seeds)
        self._view = view
        self._table = table
        self._sender = sender
        self._asked_at_by_name: dict[str, float] = {}
        self._seeds_asked_at = float("-inf")
        self._strangers: set[Address] = set()

    @property
    def has_seeds(self) -> bool:
        """Whether other daemons may be running."""
        return bool(self._seeds)

    def ask(self, now: float, contact: Contact, interval_s: float) -> None:
        """Ask a relay for an introduction.

        Parameters
        ----------
        now : float
            Current time in seconds.
        contact : Contact
            The relay.
        interval_s : float
            Longest time until the next heartbeat to it, in seconds.
        """
        self._asked_at_by_name.setdefault(contact.name, now)
        primary = self._sender.is_primary(contact.name)
        self._sender.ask([contact.address], interval_s, primary)

    def ask_unknown_sender(self, address: Address, interval_s: float) -> None:
        """Ask the sender of a short heartbeat that is not known, once between two heartbeats.

        A leaf knows the relays that it is attached to and asks nobody else.
        """
        if not self._view.is_relay or len(self._strangers) >= MAX_UNKNOWN_SENDERS:
            return
        if address not in self._strangers:
            self._strangers.add(address)
            self._sender.ask([address], interval_s)

    def ask_missing(self, now: float, interval_s: float) -> None:
        """Ask all relays that ought to be peers and are not; the parameters are those of `ask`."""
        contacts = self._view.relays() if self._view.is_relay else self._view.home_relays()
        missing = [contact for contact in contacts if contact.name not in self._table]
        for name in self._asked_at_by_name.keys() - {contact.name for contact in missing}:
            del self._asked_at_by_name[name]
        for contact in missing:
            self.ask(now, contact, interval_s)

    def ask_seeds(self, now: float, interval_s: float) -> None:
        """Ask the seeds that are no peers, if it is time to; `interval_s` is that of `ask`."""
        unsettled = not self._table.relays()
        if not unsettled and now - self._seeds_asked_at <= SEED_INTERVAL_S:
            return
        self._seeds_asked_at = now
        known = set(self._table.addresses())
        strangers = [seed for seed in self._seeds if seed not in known]
        if unsettled or self._view.is_relay:
            self._sender.ask(strangers, interval_s)

    def drop_seed(self, address: Address) -> None:
        """Remove a seed that is this daemon's own address."""
        self._seeds.pop(address, None)

    def on_found(self, name: str) -> None:
        """Record that a daemon has become a peer."""
        self._asked_at_by_name.pop(name, None)

    def forget_unanswered(self, now: float) -> None:
        """Tell the view of the daemons that have not answered in time."""
        self._strangers.clear()
        for name, asked_at in list(self._asked_at_by_name.items()):
            if now - asked_at > ANSWER_TIMEOUT_S:
                del self._asked_at_by_name[name]
                self._view.on_lost(now, name)
