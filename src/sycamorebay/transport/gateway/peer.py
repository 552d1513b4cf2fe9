"""One daemon as the others know it, and who is told of what it says."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from sycamorebay.coordination.readers import Candidate
from sycamorebay.state.stored import StoredItem

# Until a peer tells how often it beats.
FIRST_SILENT_S = 1.0


@attrs.define(eq=False)
class Peer:
    """Another daemon as it was last heard.

    Attributes
    ----------
    name, address, control, failure_domain : str
        `address` takes datagrams, `control` takes requests for the whole directory.
    incarnation : int
        Tells its starts apart.
    heard_at : float
        In seconds.
    version, confirmed_at
        What it knows of the store, and when a reader confirmed that.
    reaches_store : bool
        As it says.
    """

    name: str
    address: tuple[str, int]
    control: str
    failure_domain: str
    incarnation: int
    heard_at: float
    version: int = 0
    confirmed_at: float = float("-inf")
    reaches_store: bool = False
    silent_s: float = FIRST_SILENT_S

    def candidate(self) -> Candidate:
        """Return it as a reader of the store."""
        return Candidate(self.name, self.failure_domain, self.reaches_store)


@attrs.define
class Own:
    """What this daemon tells of itself; see `Peer`."""

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
    """Who is told of what peers say.

    Attributes
    ----------
    on_changes : callable
        Items of the store, the version before and after them, and the peer.
    on_behind : callable
        A peer knows a later version.
    on_confirmed : callable
        A reader confirmed what this daemon knows, at a time.
    on_capacity : callable
        A backend server may have room.
    """

    on_changes: Callable[[int, list[StoredItem], int, Peer], None]
    on_behind: Callable[[Peer], None]
    on_confirmed: Callable[[float], None]
    on_capacity: Callable[[], None]
