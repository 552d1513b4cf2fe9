"""Requests that wait, are in flight or are being answered, and their attempts."""

from __future__ import annotations

from math import inf

import attrs

from sycamorebay.coordination.messages import Request
from sycamorebay.coordination.service import LONG, ServiceState, WorkState
from sycamorebay.state.backends import BackendState
from sycamorebay.state.document import Route


@attrs.define(eq=False)
class PendingRequest:
    """A caller's request that waits, is in flight or is being answered.

    Attributes
    ----------
    request : Request
        The caller's request.
    service, route : ServiceState, Route
        Service and route that match the request.
    deadline : float
        Time in seconds after which the request is no longer sent.
    tried : set of str
        Ids of the backend servers that the request was sent to.
    in_flight : dict of int to Attempt
        Attempts that hold a slot, by id.
    answered : bool
        Whether the final answer is decided.
    may_have_run : bool
        Whether a backend server may have run the request in an attempt that has ended.
    hedge_at : float
        Time in seconds at which to send a hedge; infinite for never.
    """

    request: Request
    service: ServiceState
    route: Route
    deadline: float
    tried: set[str] = attrs.field(factory=set)
    in_flight: dict[int, Attempt] = attrs.field(factory=dict)
    answered: bool = False
    may_have_run: bool = False
    hedge_at: float = inf

    @property
    def is_long(self) -> bool:
        """Whether the route is configured as long work."""
        return self.route.work == LONG

    @property
    def work(self) -> WorkState:
        """Queue and in-flight count of the request's class of work."""
        return self.service.long if self.is_long else self.service.short

    @property
    def is_hedgeable(self) -> bool:
        """Whether a hedge may be sent while the first attempt is in flight."""
        return (
            self.route.idempotent
            and not self.is_long
            and len(self.tried) == 1
            and self.request.replayable
            and self.service.hedges.ratio > 0
        )


@attrs.define(eq=False)
class Attempt:
    """One send of a request to one backend server.

    Attributes
    ----------
    id : int
        Unique in this entry.
    backend : BackendState
        Backend server that the attempt was sent to.
    pending : PendingRequest
        Request that the attempt belongs to.
    sent_at : float
        Time of the send in seconds.
    answered : bool
        Whether the head of the answer has arrived.
    served : bool
        Whether that answer is a success.
    """

    id: int
    backend: BackendState
    pending: PendingRequest
    sent_at: float
    answered: bool = False
    served: bool = False

    def count(self, change: int) -> int:
        """Add `change` to the in-flight counts and return the smallest count.

        A negative result means that a slot was released twice.
        """
        backend, work = self.backend, self.pending.work
        backend.in_flight += change
        work.in_flight += change
        if self.pending.is_long:
            backend.long_in_flight += change
        return min(backend.in_flight, backend.long_in_flight, work.in_flight)
