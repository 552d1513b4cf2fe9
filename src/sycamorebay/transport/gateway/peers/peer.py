"""State of the daemons, and the callbacks for their messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from sycamorebay.coordination.fleet_view import Contact
from sycamorebay.coordination.readers import Candidate
from sycamorebay.protocol.peer_messages import CrashNews, CrashReport
from sycamorebay.state.store_versions import NO_VERSION, StoreVersion, VersionedItem

# Applies until the first heartbeat of a peer names its interval.
INITIAL_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Peer:
    """Another daemon, as of its last heartbeat.

    Times are in seconds on this daemon's event loop clock.

    Attributes
    ----------
    contact : Contact
        Its name, address and failure domain.
    control : str
        ``IP:port`` that serves copies of the store.
    incarnation : int
        Distinguishes its restarts; a larger number is a later start.
    is_relay : bool
        Whether it is a relay.
    last_seen_at : float
        When its last heartbeat arrived.
    version : StoreVersion
        Version of its copy of the store.
    kept : int
        Keys whose state it knows from before a restore, and not from the store.
    confirmed_at : float
        When a reader last confirmed that its copy was up to date.
    reaches_store : bool
        False after a failed call to the store, until a later call succeeds or
        `store_sync.READER_COOLDOWN_S` has passed.
    timeout_s : float
        Silence after which the peer is removed, in seconds.
    short_heartbeats_left : int
        Short heartbeats to it until the next complete one.
    """

    contact: Contact
    control: str
    incarnation: int
    is_relay: bool
    last_seen_at: float
    version: StoreVersion = NO_VERSION
    kept: int = 0
    confirmed_at: float = float("-inf")
    reaches_store: bool = False
    timeout_s: float = INITIAL_TIMEOUT_S
    short_heartbeats_left: int = 0

    @property
    def name(self) -> str:
        """Name of the daemon, unique in the fleet."""
        return self.contact.name

    def is_ahead_of(self, version: StoreVersion, kept: int) -> bool:
        """Return whether the peer knows more of the store than a daemon that has these two."""
        is_same_era = self.version.era == version.era
        return self.version > version or (is_same_era and self.kept > kept)

    def candidate(self) -> Candidate:
        """Return the peer as a candidate for a reader of the store."""
        return Candidate(self.contact, self.reaches_store)


@attrs.define
class OwnState:
    """State of this daemon that its heartbeats carry; the attributes are as in `Peer`."""

    contact: Contact
    control: str
    incarnation: int
    version: StoreVersion = NO_VERSION
    kept: int = 0
    confirmed_at: float = float("-inf")
    reaches_store: bool = False

    @property
    def name(self) -> str:
        """Name of this daemon, unique in the fleet."""
        return self.contact.name


class PeerEvents(Protocol):
    """Receives what peers report about the store."""

    def on_peer_changes(
        self,
        after: StoreVersion,
        items: tuple[VersionedItem, ...],
        version: StoreVersion,
        peer: Peer,
    ) -> None:
        """Apply changes between two versions that a peer sent."""
        ...

    def on_newer_peer(self, peer: Peer) -> None:
        """Handle a peer that has a later version of the store, or knows what it has forgotten."""
        ...

    def on_confirmed(self, at: float) -> None:
        """Record that the copy here was up to date at a time, in seconds."""
        ...


@attrs.frozen
class PeerCallbacks:
    """What is called for messages from peers.

    Attributes
    ----------
    events : PeerEvents
        Receives what peers report about the store.
    on_capacity : callable
        Called when a backend server may have free slots.
    on_crashes : callable
        Called with a peer's report of crashed servers and the peer.
    crash_news : callable
        Returns what a new peer has to know of crashes, or None.
    """

    events: PeerEvents
    on_capacity: Callable[[], None]
    on_crashes: Callable[[CrashReport, Peer], None] = lambda _report, _peer: None
    crash_news: Callable[[], CrashNews | None] = lambda: None
