"""A request that needs a backend server, and what a placer decides for it."""

from __future__ import annotations

import attrs

from sycamorebay.state.server_entries import ServerEntry


@attrs.define(eq=False)
class PlacementRequest:
    """A request that needs a backend server.

    Attributes
    ----------
    id : int
        Unique on this daemon; of two requests with the same priority, the lower id goes first.
    service : str
        Name of the service that serves the request.
    route : str
        Name of the route; processing times are estimated per route.
    priority : int
        0 is the most urgent.
    goal_at : float
        Time until which an answer has its full value, in seconds on the caller's clock.
    deadline : float
        Time after which an answer has no value, in seconds on the same clock.
    account : str
        Name of the client account that the request belongs to; empty without one.
    weight : float
        Share of the account in the servers' work, relative to other accounts; above 0.
    tried : set of str
        Ids of the backend servers that the request was already sent to.
    held_for_cold : bool
        Whether a cold server did not get the request, as its limit was used up.
    fair_tag : float or None
        Virtual time that orders it in the queue, see `FairQueue`; None until it is queued.
    fair_finish : float
        Virtual time until which it would keep the turn of its account.
    """

    id: int
    service: str
    route: str
    priority: int
    goal_at: float
    deadline: float
    account: str = ""
    weight: float = 1.0
    tried: set[str] = attrs.field(factory=set)
    held_for_cold: bool = False
    fair_tag: float | None = None
    fair_finish: float = 0.0


@attrs.frozen
class Place:
    """Send the request to a backend server; its slot is held until `Placer.on_end`."""

    request_id: int
    server: ServerEntry


@attrs.frozen
class Wait:
    """Hold the request until a later event returns a `Place` or `Refuse` for it."""

    request_id: int


@attrs.frozen
class Refuse:
    """Refuse the request; the caller may retry after `retry_after_s` seconds."""

    request_id: int
    reason: str
    retry_after_s: float


Decision = Place | Wait | Refuse
