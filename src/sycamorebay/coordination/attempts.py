"""Requests under way and their attempts."""

from __future__ import annotations

from math import inf

import attrs

from sycamorebay.coordination.messages import Request
from sycamorebay.coordination.service import LONG, ServiceState, WorkState
from sycamorebay.state.backends import BackendState
from sycamorebay.state.document import Route


@attrs.define(eq=False)
class PendingRequest:
    """A request without its final answer.

    Attributes
    ----------
    request : Request
        What the caller sent.
    service, route : ServiceState, Route
        What it is for.
    deadline : float
        When its time is up, in seconds.
    tried : set of str
        Backend servers that it was sent to.
    in_flight : dict of int to Attempt
        Attempts whose slot is held, by their number.
    answered : bool
        Whether its final answer is decided.
    may_have_run : bool
        Whether an attempt that is over may have run.
    hedge_at : float
        When to send a hedge, in seconds.
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
        """Whether it is long work."""
        return self.route.work == LONG

    @property
    def work(self) -> WorkState:
        """The state of its service's class of work."""
        return self.service.long if self.is_long else self.service.short

    @property
    def is_hedgeable(self) -> bool:
        """Whether a second attempt beside the first one is allowed."""
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
        Number, unique in this entry.
    backend : BackendState
        Where to.
    pending : PendingRequest
        The request.
    sent_at : float
        In seconds.
    answered, served : bool
        Whether its answer's head came, and whether that is a success.
    """

    id: int
    backend: BackendState
    pending: PendingRequest
    sent_at: float
    answered: bool = False
    served: bool = False

    def count(self, change: int) -> int:
        """Add to the slots counted for it; return the smallest of these counts."""
        backend, work = self.backend, self.pending.work
        backend.in_flight += change
        work.in_flight += change
        if self.pending.is_long:
            backend.long_in_flight += change
        return min(backend.in_flight, backend.long_in_flight, work.in_flight)
