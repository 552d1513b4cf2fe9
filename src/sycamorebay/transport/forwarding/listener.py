"""What the connections of one listener of an entry share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from sycamorebay.outcomes import Refusal
from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.protocol.request_head import HeadFault, find_head_fault
from sycamorebay.settings import CallerLimits
from sycamorebay.transport.http.caller_guard import CallerGuard
from sycamorebay.transport.http.turns import Turns


@attrs.define
class Listener:
    """State shared by all connections of one listener.

    Attributes
    ----------
    limits : CallerLimits
        Size limits and timeouts for callers.
    on_refusal : callable
        Called with each refusal that a connection writes itself, as for bad input.
    guard : CallerGuard
        Bounds the connections and what they hold.
    turns : Turns
        Shares the work of parsing among connections.
    sender : str
        Who sends the requests; refusals name it.
    find_fault : callable
        Returns the fault of a request's method, target, HTTP version and headers, or None.
    draining : bool
        Whether connections are closed after their next answer, so that callers reconnect to another
        entry.
    """

    limits: CallerLimits
    on_refusal: Callable[[Refusal], None]
    guard: CallerGuard = attrs.field(factory=CallerGuard)
    turns: Turns = attrs.field(factory=Turns)
    sender: str = "caller"
    find_fault: Callable[[bytes, bytes, str, RawHeaders], HeadFault | None] = find_head_fault
    draining: bool = False
