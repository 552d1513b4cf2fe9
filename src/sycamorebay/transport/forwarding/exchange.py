"""The state of one request in the entry, and the answer that its caller gets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.messages import Action, Request
from sycamorebay.protocol.headers import Headers
from sycamorebay.transport.forwarding.hedging import Race
from sycamorebay.transport.forwarding.upstream import BackendAnswer, TruncatedAnswerError

_log = log.get_logger("forward")


class IncomingRequest(Protocol):
    """A caller's request as the listener parsed it.

    Attributes
    ----------
    method : str
        HTTP method.
    host : str
        ``Host`` without its port, in lower case.
    path : str
        Decoded path without the query.
    target : str
        Path with query as the caller wrote them.
    headers : list of (str, str)
        Header fields in the order received, names in lower case.
    caller : str
        The caller's IP address; empty if it is unknown.
    content_length : int or None
        ``Content-Length`` in bytes; None without that header.
    """

    method: str
    host: str
    path: str
    target: str
    headers: Headers
    caller: str
    content_length: int | None

    def has_body(self) -> bool:
        """Return whether the request has a body."""
        ...

    async def read(self) -> bytes:
        """Read and return the complete body.

        Raises
        ------
        CallerBodyError
            If the body ends early or takes too long.
        """
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        CallerBodyError
            If the body ends early or its next part takes too long.
        """
        ...


@attrs.frozen
class OutgoingAnswer:
    """The answer that is written to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        End-to-end headers.
    body : bytes or ForwardedBody or PartiallyReadBody
        The complete body, or a stream. If the stream raises, the caller's connection is reset.
    """

    status: int
    headers: Headers
    body: bytes | ForwardedBody | PartiallyReadBody

    def discard(self) -> None:
        """Release the connection and slot of an answer that no caller will receive."""
        if isinstance(self.body, ForwardedBody):
            self.body.close()


@attrs.define
class Exchange:
    """State of one request in flight.

    Times are in seconds on the forwarder's monotonic clock.

    Attributes
    ----------
    incoming : IncomingRequest
        The caller's request.
    request : Request
        Its description for the dispatcher.
    log_id : str
        Request id in log lines and headers: the caller's, or a generated one.
    arrived_at : float
        When the request arrived.
    body : bytes or async iterator of bytes or None
        The caller's body; an iterator if it is too long to be sent again.
    next_action : asyncio.Future or None
        Resolved with the action that ends the wait in the queue; None while not queued.
    backend_s : float
        Seconds in which any attempt was with a backend server so far.
    sent : bool
        Whether the dispatcher has let any attempt write to a backend server.
    race : Race or None
        Runs the attempts and their hedges; None only while the exchange is being created.
    attempt_started_at : float
        When the latest attempt began; a hedge counts from the start of the attempt beside it.
    """

    incoming: IncomingRequest
    request: Request
    log_id: str
    arrived_at: float
    body: bytes | AsyncIterator[bytes] | None
    next_action: asyncio.Future[Action] | None = None
    backend_s: float = 0.0
    sent: bool = False
    race: Race[OutgoingAnswer] | None = None
    attempt_started_at: float = 0.0
    _backend_until: float = float("-inf")

    def on_attempt_end(self, started_at: float, now: float) -> None:
        """Count the time of an attempt, without what another one has covered already."""
        self.backend_s += now - max(started_at, self._backend_until)
        self._backend_until = now


class ForwardedBody:
    """The body of a backend server's answer, streamed to the caller.

    Iterate over it for the chunks; a truncated answer is logged and raises `TruncatedAnswerError`.

    Parameters
    ----------
    answer : BackendAnswer
        The answer.
    deadline : float
        When the complete answer must have reached the caller, in monotonic seconds.
    log_id : str
        Request id for log lines.
    peer : str
        Backend server id for log lines.
    on_end : callable
        Called once, when the body has been read completely or is abandoned.
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
                if self._answer.is_complete():
                    self.close()
                yield chunk
        except TruncatedAnswerError as error:
            self.on_truncated(str(error))
            raise
        finally:
            self.close()

    def is_complete(self) -> bool:
        """Return whether the body has been read completely."""
        return self._answer.is_complete()

    def read_buffered(self) -> bytes | None:
        """Return the complete body and free its slot, or None if some of it is still to come."""
        body = self._answer.read_buffered()
        if body is not None:
            self.close()
        return body

    def on_truncated(self, reason: str) -> None:
        """Log that the body ended early."""
        _log.warning(
            "answer truncated",
            request_id=self._log_id,
            step="body",
            peer=self._peer,
            reason=reason,
        )

    def close(self) -> None:
        """Free the slot and release the connection. Calling it again has no effect."""
        if self._closed:
            return
        self._closed = True
        self._answer.release()
        self._on_end()


class PartiallyReadBody:
    """A body whose start has already been read, streamed again from its first byte.

    Parameters
    ----------
    start : bytes
        The part that has been read.
    chunks : async iterator of bytes
        The remaining chunks.
    body : ForwardedBody or PartiallyReadBody
        The body that both come from; it provides the deadline and is closed with this one.
    """

    def __init__(
        self, start: bytes, chunks: AsyncIterator[bytes], body: ForwardedBody | PartiallyReadBody
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

    def is_complete(self) -> bool:
        """Return whether the body has been read completely."""
        return self._started and self._body.is_complete()

    def read_buffered(self) -> bytes | None:
        """Return None, as a body that was partly read can only be streamed."""
        return None

    def on_truncated(self, reason: str) -> None:
        """Log that the body ended early."""
        self._body.on_truncated(reason)

    def close(self) -> None:
        """Free the slot and release the connection. Calling it again has no effect."""
        self._body.close()
