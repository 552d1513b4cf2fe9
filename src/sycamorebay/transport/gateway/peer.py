"""State of the daemons, and the callbacks for their messages."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from sycamorebay.coordination.readers import Candidate
from sycamorebay.state.stored import StoredItem

# Applies until the first heartbeat of a peer names its interval.
INITIAL_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Peer:
    """Another daemon, as of its last heartbeat.

    Times are in seconds on this daemon's event loop clock.

    Attributes
    ----------
    name : str
        Unique in the fleet.
    address : tuple of (str, int)
        Receives datagrams.
    control : str
        ``IP:port`` that serves the whole copy of the store.
    failure_domain : str
        Failure domain that the daemon runs in.
    incarnation : int
        Distinguishes its restarts; a larger number is a later start.
    last_seen_at : float
        When its last heartbeat arrived.
    version : int
        Version of its copy of the store.
    confirmed_at : float
        When a reader last confirmed that its copy was up to date.
    reaches_store : bool
        False after a failed call to the store, until a later call succeeds or
        `store_sync.READER_COOLDOWN_S` has passed.
    timeout_s : float
        Silence after which the peer is removed, in seconds.
    """

    name: str
    address: tuple[str, int]
    control: str
    failure_domain: str
    incarnation: int
    last_seen_at: float
    version: int = 0
    confirmed_at: float = float("-inf")
    reaches_store: bool = False
    timeout_s: float = INITIAL_TIMEOUT_S

    def candidate(self) -> Candidate:
        """Return the peer as a candidate for a reader of the store."""
        return Candidate(self.name, self.failure_domain, self.reaches_store)


@attrs.define
class OwnState:
    """State of this daemon that its heartbeats carry.

    The attributes have the same meaning as those of `Peer`, but `address` is ``IP:port``.
    """

    name: str
    address: str
    control: str
    failure_domain: str
    incarnation: int
    version: int = 0
    confirmed_at: float = float("-inf")
    reaches_store: bool = False


@attrs.frozen
class PeerCallbacks:
    """Functions called for messages from peers.

    Attributes
    ----------
    on_changes : callable
        Called with the version before the changes, the changed items, the version after them, and
        the peer.
    on_newer_peer : callable
        Called with a peer that has a later version of the store.
    on_confirmed : callable
        Called with the time at which a reader confirmed that the copy here is up to date, in
        seconds on the event loop's clock.
    on_capacity : callable
        Called when a backend server may have free slots.
    """

    on_changes: Callable[[int, list[StoredItem], int, Peer], None]
    on_newer_peer: Callable[[Peer], None]
    on_confirmed: Callable[[float], None]
    on_capacity: Callable[[], None]
