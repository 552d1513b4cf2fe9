"""A caller's request and its answer on their way through the entry."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.messages import Action, Request
from sycamorebay.protocol.headers import Headers
from sycamorebay.transport.forwarding.hedging import Race
from sycamorebay.transport.forwarding.upstream import BackendAnswer, CutOffError

_log = log.get_logger("forward")


class IncomingRequest(Protocol):
    """A caller's request as its listener read it; names of headers are in lower case."""

    method: str
    host: str
    path: str
    target: str
    headers: Headers
    caller: str
    content_length: int | None

    def has_body(self) -> bool:
        """Whether a body follows."""
        ...

    async def read(self) -> bytes:
        """Return the whole body; raises `CallerBodyError` where it ends early."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `CallerBodyError` where it ends early."""
        ...


@attrs.frozen
class OutgoingAnswer:
    """What the caller gets.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        End-to-end headers.
    body : bytes or ForwardedBody
        Whole, or streamed; a stream that raises aborts the caller's connection.
    """

    status: int
    headers: Headers
    body: bytes | ForwardedBody | StartedBody

    def discard(self) -> None:
        """Drop an answer that no caller gets."""
        if isinstance(self.body, ForwardedBody):
            self.body.close()


@attrs.define
class Exchange:
    """State of one request in flight."""

    incoming: IncomingRequest
    request: Request
    log_id: str
    arrived: float
    body: bytes | AsyncIterator[bytes] | None
    mailbox: asyncio.Future[Action] | None = None
    backend_s: float = 0.0
    sent: bool = False
    race: Race[OutgoingAnswer] | None = None
    first_sent: float = 0.0


class ForwardedBody:
    """The body of a backend server's answer on its way to the caller.

    Parameters
    ----------
    answer : BackendAnswer
        The answer.
    deadline : float
        When the answer must have reached the caller, in seconds on the entry's clock.
    log_id, peer : str
        The request and the backend server, for logs.
    on_end : callable
        Called once, when the body was read whole or given up.
    """

    def __init__(
        self,
        answer: BackendAnswer,
        deadline: float,
        log_id: str,
        peer: str,
        on_end: Callable[[], None],
    ) -> None:
        self.deadline = deadline
        self._answer = answer
        self._log_id = log_id
        self._peer = peer
        self._on_end = on_end
        self._closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._answer.chunks():
                if self._answer.ended():
                    self.close()
                yield chunk
        except CutOffError as error:
            self.on_cut_off(str(error))
            raise
        finally:
            self.close()

    def ended(self) -> bool:
        """Whether the body was read whole."""
        return self._answer.ended()

    def whole(self) -> bytes | None:
        """Return the whole body and free its slot, or None where not all of it has come."""
        body = self._answer.whole()
        if body is not None:
            self.close()
        return body

    def on_cut_off(self, reason: str) -> None:
        """Take the early end of the body."""
        _log.warning(
            "answer cut off",
            request_id=self._log_id,
            step="body",
            peer=self._peer,
            reason=reason,
        )

    def close(self) -> None:
        """Free the slot and the connection; more than once does no harm."""
        if self._closed:
            return
        self._closed = True
        self._answer.release()
        self._on_end()


class StartedBody:
    """A `ForwardedBody` whose start has been read.

    Parameters
    ----------
    start : bytes
        What was read.
    chunks : async iterator of bytes
        The rest.
    body : ForwardedBody
        Whose rest it is.
    """

    def __init__(
        self, start: bytes, chunks: AsyncIterator[bytes], body: ForwardedBody | StartedBody
    ) -> None:
        self.deadline: float = body.deadline
        self._start = start
        self._chunks = chunks
        self._body = body
        self._started = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        self._started = True
        yield self._start
        async for chunk in self._chunks:
            yield chunk

    def ended(self) -> bool:
        """Whether the body was read whole."""
        return self._started and self._body.ended()

    def whole(self) -> bytes | None:
        """Return None: a started body is read to its end."""
        return None

    def on_cut_off(self, reason: str) -> None:
        """Take the early end of the body."""
        self._body.on_cut_off(reason)

    def close(self) -> None:
        """Free the slot and the connection; more than once does no harm."""
        self._body.close()
