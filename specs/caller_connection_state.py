"""States of the checker of callers' connections."""

from __future__ import annotations

import enum
from collections import deque
from typing import Any, NamedTuple

import attrs

from sycamorebay.protocol.caller_actions import PipelinedRequest
from sycamorebay.protocol.caller_connection import LINGER_S, ConnectionMachine
from sycamorebay.state.routing import RequestLimits

PROPERTIES = (
    "one response",
    "no start after the close",
    "no start for unread answers",
    "waits end",
    "space is released",
    "in order",
)
# Reached with three requests, where the product reads many more.
MAX_PIPELINED = 2
# Different from all other times, so that timers can be told apart.
WAIT_S = 0.25
LIMITS = RequestLimits()
# Times that nothing may extend while they run.
FIXED_S = (WAIT_S, LINGER_S, LIMITS.head_s)


class Shape(enum.Enum):
    """What kind of request it is: its route, its body, and whether the caller closes after it."""

    SAFE = "safe"
    LAST = "last"
    DOWNLOAD = "download"
    UPLOAD = "upload"
    UPLOAD_EXPECTING = "upload that expects 100"
    CHUNKED = "chunked"


BODILESS = (Shape.SAFE, Shape.LAST, Shape.DOWNLOAD)
OVERLAPPING = (Shape.SAFE, Shape.LAST)


@attrs.define(eq=False)
class CheckedRequest(PipelinedRequest):
    """A request in the state machine, by its place on the connection."""

    place: int = 0
    shape: Shape = Shape.SAFE


class Seen(NamedTuple):
    """What the surroundings know of a whole request."""

    shape: Shape
    holds_space: bool
    is_started: bool = False
    has_ended: bool = False
    is_written: bool = False


class Surroundings(NamedTuple):
    """All that is not the state machine.

    Attributes
    ----------
    requests : tuple of Seen
        The whole requests.
    stopping : bool
        Whether the gateway stops.
    segment : str
        What a segment that is being parsed has had of a request: empty outside a segment.
    receiving : Shape or None
        Shape of the request whose body is being received.
    is_in_head : bool
        Whether a head is being received.
    body_space : str
        ``none``, ``waiting`` or ``held``.
    timer_s : float
        What the timer was set to; 0 for none.
    is_held_back, has_unparsed : bool
        Whether nothing is read, and whether received bytes are not parsed yet.
    is_write_paused : bool
        Whether the caller leaves much of what was written unread.
    streamed : int
        Place of the request whose answer is being passed on; -1 for none.
    announced, is_over, is_lost : bool
        Whether the close was announced, the connection was closed here, and has ended.
    is_excused : bool
        Whether the connection ends for the caller's doing or a handler's failure.
    """

    requests: tuple[Seen, ...] = ()
    stopping: bool = False
    segment: str = ""
    receiving: Shape | None = None
    is_in_head: bool = False
    body_space: str = "none"
    timer_s: float = 0.0
    is_held_back: bool = False
    has_unparsed: bool = False
    is_write_paused: bool = False
    streamed: int = -1
    announced: bool = False
    is_over: bool = False
    is_lost: bool = False
    is_excused: bool = False


class State(NamedTuple):
    """The state machine, its surroundings, and the properties that are violated."""

    machine: tuple[Any, ...] = ()
    around: Surroundings = Surroundings()
    violations: tuple[str, ...] = ()


FIELDS = [field.name for field in attrs.fields(ConnectionMachine) if field.name not in ("_rules",)]


def freeze(value: Any) -> Any:
    """Return a value of the state machine in a form that can be hashed."""
    if isinstance(value, deque):
        return tuple(freeze(one) for one in value)
    if isinstance(value, CheckedRequest):
        return (CheckedRequest, *attrs.astuple(value, recurse=False))
    return value


def thaw(value: Any) -> Any:
    """Return the value that `freeze` was given."""
    if isinstance(value, tuple):
        if value and value[0] is CheckedRequest:
            return CheckedRequest(*value[1:])
        return deque(thaw(one) for one in value)
    return value
