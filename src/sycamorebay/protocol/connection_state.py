"""Parts of the state of a caller's connection, and what its state machine is told."""

from __future__ import annotations

import enum
from typing import Protocol, TypeVar

from sycamorebay.state.routing import RequestLimits

_Request = TypeVar("_Request", contravariant=True)


class ConnectionRules(Protocol[_Request]):
    """What holds for all connections of a listener; it may change at any time."""

    @property
    def request_limits(self) -> RequestLimits:
        """Limits of callers' requests."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether connections are closed after their open requests are answered."""
        ...

    def overlaps(self, request: _Request) -> bool:
        """Whether a request may start before those ahead of it are answered."""
        ...

    def may_end_early(self, request: _Request) -> bool:
        """Whether a request's answer may break off, and the connection end with it."""
        ...


class Receiving(enum.Enum):
    """What of a request is being received."""

    NOTHING = "nothing"
    HEAD = "head"
    BODY = "body"


class Space(enum.Enum):
    """Buffer space of the body that is being received."""

    NONE = "none"
    REQUESTED = "requested"
    WAITING = "waiting"
    HELD = "held"


class Timer(enum.Enum):
    """What the running timer bounds."""

    PROGRESS = "time for a head, time without progress in a body or without a request"
    SPACE = "time for which a body may wait for space"
    LINGER = "time for which input is discarded"
    READING = "time for which a caller may leave its answers unread while requests of it wait"
