"""What the state machine of a caller's connection asks its owner to do."""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

import attrs

from sycamorebay.protocol.request_head import HeadFault


@attrs.define(eq=False)
class PipelinedRequest:
    """A whole request whose answer has not been written yet.

    The owner of the connection derives a class from it that also holds the request itself.

    Attributes
    ----------
    keep_alive : bool
        Whether the caller may send another request after it.
    holds_space : bool
        Whether buffer space is reserved for its body.
    is_started, is_answered, has_failed : bool
        Whether it was passed to the handler, and whether the handler has ended with an answer or
        without one.
    has_stream : bool
        Whether the body of its answer is passed on while it arrives.
    """

    keep_alive: bool
    holds_space: bool
    is_started: bool = False
    is_answered: bool = False
    has_failed: bool = False
    has_stream: bool = False


RequestT = TypeVar("RequestT", bound=PipelinedRequest)


class Simple(enum.Enum):
    """An action without parameters."""

    WRITE_CONTINUE = "write the interim answer that lets the caller send the body"
    OPEN_SPACE = "reserve space for a body of unknown length, which takes it as it arrives"
    RELEASE_BODY = "drop the body that is being received, and release its space"
    HOLD_BACK = "read and parse nothing more from the caller"
    GO_ON = "read and parse again"
    STOP_TIMER = "stop the timer"
    END_OUTPUT = "tell the caller that nothing follows"
    CLOSE = "close the connection once what was written is sent"
    ABORT = "close the connection at once"


@attrs.define
class Start(Generic[RequestT]):
    """Pass a request to the handler."""

    request: RequestT


@attrs.define
class Cancel(Generic[RequestT]):
    """Cancel a started request, or drop its answer."""

    request: RequestT


@attrs.define
class ReleaseSpace(Generic[RequestT]):
    """Release the space of a whole request's body."""

    request: RequestT


@attrs.define
class WriteAnswer(Generic[RequestT]):
    """Write the answer of a request; if it has a stream, begin to pass that on."""

    request: RequestT
    keep_alive: bool


@attrs.define
class WriteRefusal:
    """Write the refusal of the request that was being received; the connection closes after it."""

    fault: HeadFault


@attrs.define
class ReserveSpace:
    """Reserve space for a body of `size` bytes; the result is the machine's next event."""

    size: int


@attrs.define
class SetTimer:
    """Report a timeout after so many seconds, in place of the timer that is running."""

    seconds: float


Action = (
    Simple
    | Start[RequestT]
    | Cancel[RequestT]
    | ReleaseSpace[RequestT]
    | WriteAnswer[RequestT]
    | WriteRefusal
    | ReserveSpace
    | SetTimer
)
