"""An HTTP/1.1 server with pipelining: requests may run concurrently, answers keep their order."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.state.routing import RequestLimits
from sycamorebay.transport.gateway.callers.body_reservations import (
    DEFAULT_WAIT_S,
    BodyReservations,
)
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer, CallerRequest
from sycamorebay.transport.gateway.callers.connection import CallerConnection
from sycamorebay.transport.gateway.callers.open_request import OpenRequest
from sycamorebay.transport.gateway.callers.slow_callers import SlowCallers
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.http.caller_guard import CallerGuard
from sycamorebay.transport.http.turns import Turns

Handler = Callable[[CallerRequest], Coroutine[Any, Any, CallerAnswer]]


@attrs.define
class Listener:
    """State shared by all connections of one listening socket.

    Attributes
    ----------
    handler : callable
        Coroutine function that answers a request; cancelled when the caller disconnects.
    request_limits : RequestLimits
        Limits of callers' requests; replaced with each new routing table.
    may_overlap : callable
        Returns whether a pipelined request may start before the requests ahead of it are answered.
    may_be_large : callable
        Returns whether a request's answer may be passed on while it arrives. If such an answer ends
        early, the connection ends with it.
    stopping : bool
        Whether connections are closed after their open requests are answered.
    connections : set of CallerConnection
        The open connections.
    counters : Counters
        Metrics of this daemon.
    slow_callers : SlowCallers
        Bounds the bytes of answers that wait for callers.
    bodies : BodyReservations
        Bounds the bytes of requests.
    guard : CallerGuard
        Bounds the connections, and what they hold beside bodies and unsent answers.
    turns : Turns
        Shares the work of parsing among connections.
    body_wait_s : callable
        Given the headers of a request, returns how long its body may wait for room, in seconds.
    """

    handler: Handler
    request_limits: RequestLimits = attrs.field(factory=RequestLimits)
    may_overlap: Callable[[CallerRequest], bool] = lambda _: False
    may_be_large: Callable[[CallerRequest], bool] = lambda _: False
    stopping: bool = False
    connections: set[CallerConnection] = attrs.field(factory=set)
    counters: Counters = attrs.field(factory=Counters)
    slow_callers: SlowCallers = attrs.field(factory=lambda: SlowCallers(Counters()))
    bodies: BodyReservations = attrs.field(factory=BodyReservations)
    guard: CallerGuard = attrs.field(factory=CallerGuard)
    turns: Turns = attrs.field(factory=Turns)
    body_wait_s: Callable[[RawHeaders], float] = lambda _: DEFAULT_WAIT_S

    def create_connection(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def overlaps(self, request: OpenRequest) -> bool:
        """Whether a request may start before those ahead of it are answered."""
        return self.may_overlap(request.request)

    def may_end_early(self, request: OpenRequest) -> bool:
        """Whether a request's answer may break off, and the connection end with it."""
        return self.may_be_large(request.request)

    def close_idle(self) -> None:
        """Close the connections without open requests."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def busy_count(self) -> int:
        """Number of connections with an open request."""
        return sum(1 for connection in self.connections if connection.busy)
