"""Sends requests to backend servers over connections pooled by aiohttp.

aiohttp's connector, response parser and streams are used without its session. A session decides
itself when to write the first byte, and it retries some requests after a lost connection; the entry
has to make both decisions.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import re
import select
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Protocol

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError, RawResponseMessage, StreamWriter
from aiohttp.streams import StreamReader
from yarl import URL

from sycamorebay.coordination.messages import Failure
from sycamorebay.protocol import header_names
from sycamorebay.protocol.header_names import BODILESS_STATUSES, Headers

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_TIMEOUT_S = 15.0
READ_BUFFER_BYTES = 65_536
MAX_HEADER_LINE_BYTES = 32_768
MAX_INTERIM_ANSWERS = 16
# The parser makes objects of all answers in what it is given at a time.
PARSED_SLICE_BYTES = 16 * 1024
# An attempt fails after drawing this many pooled connections that can no longer be used.
_MAX_STALE_CONNECTIONS = 3
_MAX_CACHED_DESTINATIONS = 4096
# aiohttp takes a timeout of zero or less as no timeout.
_MIN_CONNECT_TIMEOUT_S = 0.001
_CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
_CONTROL_CHARACTER = re.compile("[\x00-\x08\x0a-\x1f\x7f]")


class _DeadlineError(Exception):
    """The deadline passed before the head of the answer arrived."""


_CONNECTION_ERRORS = (aiohttp.ClientError, HttpProcessingError, OSError, _DeadlineError)


@attrs.frozen
class OutgoingRequest:
    """A request to a backend server.

    Attributes
    ----------
    address : str
        ``IP:port``.
    method : str
        HTTP method.
    target : str
        Path with query as the caller wrote them.
    headers : list of (str, str)
        End-to-end headers, without those for the length and the deadline.
    body : bytes or async iterator of bytes or None
        The body; an iterator if it is streamed and cannot be sent again.
    length : int or None
        Length of the body in bytes; None if it is unknown, or if there is no body.
    deadline : float
        When the answer's head must have arrived, in seconds on the upstream's clock.
    """

    address: str
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes] | None
    length: int | None
    deadline: float


class AttemptError(Exception):
    """An attempt ended without a usable answer.

    Attributes
    ----------
    failure : Failure
        The step that failed, whether anything may have been written, and the reason.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class CallerBodyError(Exception):
    """The caller's body ended early, was malformed or took too long."""


class TruncatedAnswerError(Exception):
    """The connection was lost before the complete body of an answer had arrived."""


class BackendAnswer(Protocol):
    """The head of a backend server's answer, and access to its body.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Header fields in the order received, names in lower case.
    """

    status: int
    headers: Headers

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        TruncatedAnswerError
            If the connection is lost before the body is complete.
        """
        ...

    def is_complete(self) -> bool:
        """Return whether the body has been read completely."""
        ...

    def read_buffered(self) -> bytes | None:
        """Return the complete body, or None if some of it is still to come."""
        ...

    def abort(self) -> None:
        """Stop sending the request's body and close the connection."""
        ...

    def release(self) -> None:
        """Return the connection to the pool if both bodies are complete, else close it."""
        ...


class Upstream(Protocol):
    """Sends requests to backend servers."""

    async def send(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> BackendAnswer:
        """Send a request and return its answer once the head has arrived.

        Parameters
        ----------
        request : OutgoingRequest
            The request.
        may_send : callable
            Called right before the first byte is written. If it returns False, nothing is written.

        Returns
        -------
        BackendAnswer
            The answer. The caller must release or abort it.

        Raises
        ------
        AttemptError
            If no usable answer arrived before the deadline.
        CallerBodyError
            If the caller's body ended early, was malformed or took too long.
        """
        ...


class BoundedResponseHandler(ResponseHandler):
    """aiohttp's protocol, which closes a connection with more answers than anybody asked for."""

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless too many answers wait to be read."""
        for start in range(0, len(data), PARSED_SLICE_BYTES):
            super().data_received(data[start : start + PARSED_SLICE_BYTES])
            if len(self) > MAX_INTERIM_ANSWERS:
                self.abort()
                return


class AiohttpAnswer:
    """A `BackendAnswer` on an aiohttp connection.

    Parameters
    ----------
    connection : aiohttp.connector.Connection
        The connection that the answer arrives on.
    message : aiohttp.http.RawResponseMessage
        The parsed head.
    payload : aiohttp.streams.StreamReader
        The body.
    body_writer : asyncio.Task or None
        The task that sends the request's body; None if the body was written at once.
    """

    def __init__(
        self,
        connection: Connection,
        message: RawResponseMessage,
        payload: StreamReader,
        body_writer: asyncio.Task[None] | None,
    ) -> None:
        self._connection = connection
        self._payload = payload
        self._body_writer = body_writer
        self.status: int = message.code
        self.headers: Headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in message.raw_headers
        ]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        TruncatedAnswerError
            If the connection is lost before the body is complete, or a chunk is malformed.
        """
        payload = self._payload
        with _fail_payload_on_disconnect(self._connection, payload):
            while not payload.at_eof():
                try:
                    chunk = await payload.readany()
                except _CONNECTION_ERRORS as error:
                    raise TruncatedAnswerError(_failure_reason(error)) from error
                if chunk:
                    yield chunk

    def is_complete(self) -> bool:
        """Return whether the body has been read completely."""
        return self._payload.at_eof()

    def read_buffered(self) -> bytes | None:
        """Return the complete body, or None if some of it is still to come."""
        payload = self._payload
        if not payload.is_eof() or payload.exception() is not None:
            return None
        return payload.read_nowait()

    def abort(self) -> None:
        """Stop sending the request's body and close the connection."""
        if self._body_writer is not None:
            self._body_writer.cancel()
        _abort(self._connection)

    def release(self) -> None:
        """Return the connection to the pool if both bodies are complete, else close it."""
        sent = self._body_writer is None or self._body_writer.done()
        if sent and self._payload.is_eof() and self._payload.exception() is None:
            self._connection.release()
        else:
            self.abort()


class AiohttpUpstream:
    """An `Upstream` over an aiohttp connector.

    Parameters
    ----------
    connector : aiohttp.BaseConnector
        The connection pool.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self, connector: aiohttp.BaseConnector, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._destination_by_address: dict[str, ClientRequest] = {}

    async def send(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> AiohttpAnswer:
        """Send a request and return its answer once the head has arrived.

        See `Upstream.send` for the parameters.

        Raises
        ------
        AttemptError
            If no usable answer arrived before the deadline.
        CallerBodyError
            If the caller's body ended early, was malformed or took too long.
        """
        connection = await self._connect(request)
        with _abort_on_error(connection):
            self._check_before_write(request, may_send)
            body_writer = self._write(connection, request)
            return await self._read_answer(connection, request, body_writer)

    async def _connect(self, request: OutgoingRequest) -> Connection:
        destination = self._destination(request.address)
        for _ in range(_MAX_STALE_CONNECTIONS):
            timeout = _connect_timeout(request.deadline - self._clock())
            try:
                connection = await self._connector.connect(destination, [], timeout)
            except TimeoutError as error:
                raise AttemptError(Failure("connect", False, "connecting timed out")) from error
            except (aiohttp.ClientError, OSError) as error:
                raise AttemptError(Failure("connect", False, _failure_reason(error))) from error
            if _is_idle(connection):
                return connection
            _abort(connection)
        reason = "the backend server closes its connections"
        raise AttemptError(Failure("connect", False, reason))

    def _destination(self, address: str) -> ClientRequest:
        destination = self._destination_by_address.get(address)
        if destination is None:
            if len(self._destination_by_address) >= _MAX_CACHED_DESTINATIONS:
                self._destination_by_address.clear()
            destination = ClientRequest("GET", URL(f"http://{address}/"))
            self._destination_by_address[address] = destination
        return destination

    def _check_before_write(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> None:
        if request.deadline <= self._clock():
            raise AttemptError(Failure("deadline", False, "no time is left"))
        if not may_send():
            raise AttemptError(Failure("place", False, "the place is no longer allowed"))

    def _write(self, connection: Connection, request: OutgoingRequest) -> asyncio.Task[None] | None:
        """Write the head and a body held in memory; return the task that sends a streamed body.

        This is no coroutine, so nothing can change between the last check and the first byte.
        """
        protocol = connection.protocol
        assert protocol is not None
        assert protocol.transport is not None
        protocol.set_response_params(
            skip_payload=request.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )
        try:
            head = _encode_head(request, request.deadline - self._clock())
        except ValueError as error:
            raise AttemptError(Failure("write", False, str(error))) from error
        if request.body is None:
            protocol.transport.write(head)
            return None
        if isinstance(request.body, bytes):
            protocol.transport.write(head + request.body)
            return None
        protocol.transport.write(head)
        return asyncio.create_task(_write_body(protocol, request.body, request.length is None))

    async def _read_answer(
        self,
        connection: Connection,
        request: OutgoingRequest,
        body_writer: asyncio.Task[None] | None,
    ) -> AiohttpAnswer:
        protocol = connection.protocol
        assert protocol is not None
        # A timer that fails the pending read costs less than asyncio.timeout, which cancels the
        # task.
        timer = asyncio.get_running_loop().call_later(
            request.deadline - self._clock(), protocol.set_exception, _DeadlineError()
        )
        try:
            message, payload = await _read_final(protocol)
            answer = AiohttpAnswer(connection, message, payload, body_writer)
            fault = _answer_fault(answer, request.method, message.chunked)
            if fault is not None:
                raise AttemptError(Failure("answer", True, fault))
            return answer
        except BaseException as error:
            if body_writer is not None:
                body_writer.cancel()
            if isinstance(error, _CONNECTION_ERRORS):
                raise AttemptError(Failure("answer", True, _failure_reason(error))) from error
            raise
        finally:
            timer.cancel()


@asynccontextmanager
async def open_upstream() -> AsyncIterator[AiohttpUpstream]:
    """Open an `AiohttpUpstream`, and close its connections on exit."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_S, use_dns_cache=False
    )
    handler: Callable[..., ResponseHandler] = BoundedResponseHandler
    connector._factory = functools.partial(handler, loop=asyncio.get_running_loop())
    async with connector:
        yield AiohttpUpstream(connector)


async def _read_final(protocol: ResponseHandler) -> tuple[RawResponseMessage, StreamReader]:
    """Return the first answer that isn't an interim one."""
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        message, payload = await protocol.read()
        if message.code >= 200 or message.code == 101:
            return message, payload
    raise AttemptError(Failure("answer", True, "too many interim answers"))


async def _write_body(protocol: ResponseHandler, body: AsyncIterator[bytes], chunked: bool) -> None:
    writer = StreamWriter(protocol, asyncio.get_running_loop())
    if chunked:
        writer.enable_chunking()
    try:
        # If the backend server stops reading, the outcome depends on whether it still answers,
        # which the reading side finds out.
        with contextlib.suppress(*_CONNECTION_ERRORS):
            async for chunk in body:
                await writer.write(chunk)
            await writer.write_eof()
    except CallerBodyError as error:
        protocol.set_exception(error)
        protocol.abort()


def _encode_head(request: OutgoingRequest, time_left_s: float) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{header_names.DEADLINE}: {int(time_left_s * 1000)}")
    if request.length is not None:
        lines.append(f"content-length: {request.length}")
    elif request.body is not None:
        lines.append("transfer-encoding: chunked")
    text = "\r\n".join(lines)
    line_breaks = len(lines) - 1
    if text.count("\r") != line_breaks or text.count("\n") != line_breaks or "\0" in text:
        raise ValueError("a header holds a control character")
    return (text + "\r\n\r\n").encode("latin-1")


def _answer_fault(answer: AiohttpAnswer, method: str, chunked: bool) -> str | None:
    """Return why an answer is invalid or its end could not be detected, or None."""
    if not 200 <= answer.status <= 599:
        return f"the answer's status {answer.status} is not usable"
    if _CONTROL_CHARACTER.search(" ".join([value for _, value in answer.headers])):
        return "a header of the answer holds a control character"
    has_length = any(name == "content-length" for name, _ in answer.headers)
    if chunked and has_length:
        return "the answer has two lengths"
    bodiless = method == "HEAD" or answer.status in BODILESS_STATUSES
    if not (bodiless or chunked or has_length):
        return "the answer's end can't be told from a lost connection"
    return None


def _is_idle(connection: Connection) -> bool:
    """Return whether a connection is open and holds no unread input.

    Input on an unused connection is either its end or an answer that belongs to no request.
    """
    protocol = connection.protocol
    if protocol is None or protocol.should_close or not protocol.is_connected():
        return False
    assert protocol.transport is not None
    poll = select.poll()
    poll.register(protocol.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)


@contextmanager
def _abort_on_error(connection: Connection) -> Iterator[None]:
    try:
        yield
    except BaseException:
        _abort(connection)
        raise


def _abort(connection: Connection) -> None:
    protocol = connection.protocol
    if protocol is not None:
        protocol.abort()
    connection.close()


@contextmanager
def _fail_payload_on_disconnect(connection: Connection, payload: StreamReader) -> Iterator[None]:
    """Fail a body whose connection is lost.

    Without this, reading the body waits forever after a malformed chunk: aiohttp closes the
    connection then, but does not fail the stream.
    """
    protocol = connection.protocol
    closed = protocol.closed if protocol is not None else None

    def on_closed(_: object = None) -> None:
        if not payload.is_eof() and payload.exception() is None:
            payload.set_exception(aiohttp.ClientPayloadError("the answer is malformed"))

    if closed is None:
        on_closed()
        yield
        return
    closed.add_done_callback(on_closed)
    try:
        yield
    finally:
        closed.remove_done_callback(on_closed)


def _connect_timeout(time_left_s: float) -> aiohttp.ClientTimeout:
    if time_left_s >= CONNECT_TIMEOUT_S:
        return _CONNECT_TIMEOUT
    return aiohttp.ClientTimeout(total=None, connect=max(_MIN_CONNECT_TIMEOUT_S, time_left_s))


def _failure_reason(error: BaseException) -> str:
    if isinstance(error, _DeadlineError):
        return "the deadline passed"
    if isinstance(error, HttpProcessingError):
        return "the answer is malformed"
    return str(error) or type(error).__name__
