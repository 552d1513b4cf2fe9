"""Requests to backend servers over aiohttp's connections.

aiohttp's connector, response parser and streams are used without its session: a session decides by
itself when the first byte is written and sends some requests again after a lost connection, and
both belong to the entry.
"""

from __future__ import annotations

import asyncio
import contextlib
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
from sycamorebay.protocol import headers as names
from sycamorebay.protocol.names import BODILESS_STATUSES, Headers

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
READ_BUFFER_BYTES = 65_536
MAX_HEADER_LINE_BYTES = 32_768
_MAX_STALE_CONNECTIONS = 3
_MAX_KNOWN_ADDRESSES = 4096
_MIN_CONNECT_TIMEOUT_S = 0.001
_CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
_FORBIDDEN_IN_VALUE = re.compile("[\x00-\x08\x0a-\x1f\x7f]")


class _DeadlineError(Exception):
    """The deadline passed before the answer's head came."""


_LOST = (aiohttp.ClientError, HttpProcessingError, OSError, _DeadlineError)


@attrs.frozen
class OutgoingRequest:
    """What goes to a backend server.

    Attributes
    ----------
    address : str
        ``IP:port``.
    method, target : str
        HTTP method, and path with query as the caller wrote them.
    headers : list of (str, str)
        End-to-end headers, without length and deadline.
    body : bytes or async iterator of bytes or None
        The body; bytes where it can be sent again.
    length : int or None
        Bytes of the body; None for a body of unknown length, or for no body.
    deadline : float
        When the time is up, in seconds on the entry's clock.
    """

    address: str
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes] | None
    length: int | None
    deadline: float


class AttemptError(Exception):
    """An attempt brought no answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class CallerBodyError(Exception):
    """The caller's body stopped coming or was malformed."""


class CutOffError(Exception):
    """An answer ended before its end."""


class BackendAnswer(Protocol):
    """An answer whose body has yet to be read."""

    status: int
    headers: Headers

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises where it is cut off."""
        ...

    def ended(self) -> bool:
        """Whether the body was read whole."""
        ...

    def whole(self) -> bytes | None:
        """Return the whole body where all of it has come, else None."""
        ...

    def abort(self) -> None:
        """Drop the answer and its connection."""
        ...

    def release(self) -> None:
        """Give the connection back where both bodies went whole, else close it."""
        ...


class Upstream(Protocol):
    """Sends requests to backend servers."""

    async def send(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> BackendAnswer:
        """Send a request and return its answer's head.

        `may_send` is asked right before the first byte is written.

        Raises
        ------
        AttemptError
            Where no answer came.
        CallerBodyError
            Where the caller's body ended early.
        """
        ...


class AiohttpAnswer:
    """A `BackendAnswer` over one of aiohttp's connections."""

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
        """Yield the body; raises where it is cut off.

        Raises
        ------
        CutOffError
            Where the connection ends before the body.
        """
        payload = self._payload
        with _told_of_loss(self._connection, payload):
            while not payload.at_eof():
                try:
                    chunk = await payload.readany()
                except _LOST as error:
                    raise CutOffError(_reason(error)) from error
                if chunk:
                    yield chunk

    def ended(self) -> bool:
        """Whether the body was read whole."""
        return self._payload.at_eof()

    def whole(self) -> bytes | None:
        """Return the whole body where all of it has come, else None."""
        payload = self._payload
        if not payload.is_eof() or payload.exception() is not None:
            return None
        return payload.read_nowait()

    def abort(self) -> None:
        """Drop the answer and its connection."""
        if self._body_writer is not None:
            self._body_writer.cancel()
        _abort(self._connection)

    def release(self) -> None:
        """Give the connection back where both bodies went whole, else close it."""
        sent = self._body_writer is None or self._body_writer.done()
        if sent and self._payload.is_eof() and self._payload.exception() is None:
            self._connection.release()
        else:
            self.abort()


class AiohttpUpstream:
    """An `Upstream` over aiohttp's connector.

    Parameters
    ----------
    connector : aiohttp.BaseConnector
        Opens and keeps connections.
    clock : callable
        The entry's clock, in seconds.
    """

    def __init__(
        self, connector: aiohttp.BaseConnector, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._destination_by_address: dict[str, ClientRequest] = {}

    async def send(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> AiohttpAnswer:
        """Send a request and return its answer's head."""
        connection = await self._connect(request)
        with _aborted_on_error(connection):
            self._check_last(request, may_send)
            body_writer = self._write(connection, request)
            return await self._answer(connection, request, body_writer)

    async def _connect(self, request: OutgoingRequest) -> Connection:
        destination = self._destination(request.address)
        for _ in range(_MAX_STALE_CONNECTIONS):
            timeout = _connect_timeout(request.deadline - self._clock())
            try:
                connection = await self._connector.connect(destination, [], timeout)
            except TimeoutError as error:
                raise AttemptError(Failure("connect", False, "connecting timed out")) from error
            except (aiohttp.ClientError, OSError) as error:
                raise AttemptError(Failure("connect", False, _reason(error))) from error
            if _is_quiet(connection):
                return connection
            _abort(connection)
        reason = "the backend server closes its connections"
        raise AttemptError(Failure("connect", False, reason))

    def _destination(self, address: str) -> ClientRequest:
        destination = self._destination_by_address.get(address)
        if destination is None:
            if len(self._destination_by_address) >= _MAX_KNOWN_ADDRESSES:
                self._destination_by_address.clear()
            destination = ClientRequest("GET", URL(f"http://{address}/"))
            self._destination_by_address[address] = destination
        return destination

    def _check_last(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> None:
        if request.deadline <= self._clock():
            raise AttemptError(Failure("deadline", False, "no time is left"))
        if not may_send():
            raise AttemptError(Failure("place", False, "the place is no longer allowed"))

    def _write(self, connection: Connection, request: OutgoingRequest) -> asyncio.Task[None] | None:
        """Write the head, and the body or its first part, without giving up control."""
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
            head = _head(request, request.deadline - self._clock())
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

    async def _answer(
        self,
        connection: Connection,
        request: OutgoingRequest,
        body_writer: asyncio.Task[None] | None,
    ) -> AiohttpAnswer:
        protocol = connection.protocol
        assert protocol is not None
        # A timer on the connection is cheaper than a timeout that cancels the task.
        timer = asyncio.get_running_loop().call_later(
            request.deadline - self._clock(), protocol.set_exception, _DeadlineError()
        )
        try:
            message, payload = await protocol.read()
            while message.code < 200 and message.code != 101:
                message, payload = await protocol.read()
            answer = AiohttpAnswer(connection, message, payload, body_writer)
            fault = _answer_fault(answer, request.method, message.chunked)
            if fault is not None:
                raise AttemptError(Failure("answer", True, fault))
            return answer
        except BaseException as error:
            if body_writer is not None:
                body_writer.cancel()
            if isinstance(error, _LOST):
                raise AttemptError(Failure("answer", True, _reason(error))) from error
            raise
        finally:
            timer.cancel()


@asynccontextmanager
async def open_upstream() -> AsyncIterator[AiohttpUpstream]:
    """Open an `Upstream`, and close its connections at the end."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False)
    async with connector:
        yield AiohttpUpstream(connector)


async def _write_body(protocol: ResponseHandler, body: AsyncIterator[bytes], chunked: bool) -> None:
    writer = StreamWriter(protocol, asyncio.get_running_loop())
    if chunked:
        writer.enable_chunking()
    try:
        # A backend server that stops reading says the rest by its answer, or the lack of one.
        with contextlib.suppress(*_LOST):
            async for chunk in body:
                await writer.write(chunk)
            await writer.write_eof()
    except CallerBodyError as error:
        protocol.set_exception(error)
        protocol.abort()


def _head(request: OutgoingRequest, time_left_s: float) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{names.DEADLINE}: {int(time_left_s * 1000)}")
    if request.length is not None:
        lines.append(f"content-length: {request.length}")
    elif request.body is not None:
        lines.append("transfer-encoding: chunked")
    text = "\r\n".join(lines)
    ends = len(lines) - 1
    if text.count("\r") != ends or text.count("\n") != ends or "\0" in text:
        raise ValueError("a header holds a control character")
    return (text + "\r\n\r\n").encode("latin-1")


def _answer_fault(answer: AiohttpAnswer, method: str, chunked: bool) -> str | None:
    """Return why an answer can't be trusted to be whole, or None."""
    if not 200 <= answer.status <= 599:
        return f"the answer's status {answer.status} is not usable"
    if _FORBIDDEN_IN_VALUE.search(" ".join([value for _, value in answer.headers])):
        return "a header of the answer holds a control character"
    has_length = any(name == "content-length" for name, _ in answer.headers)
    if chunked and has_length:
        return "the answer has two lengths"
    bodiless = method == "HEAD" or answer.status in BODILESS_STATUSES
    if not (bodiless or chunked or has_length):
        return "the answer's end can't be told from a lost connection"
    return None


def _is_quiet(connection: Connection) -> bool:
    """Whether a connection is open and the backend server sent nothing on it unasked."""
    protocol = connection.protocol
    if protocol is None or protocol.should_close or not protocol.is_connected():
        return False
    assert protocol.transport is not None
    poll = select.poll()
    poll.register(protocol.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)


@contextmanager
def _aborted_on_error(connection: Connection) -> Iterator[None]:
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
def _told_of_loss(connection: Connection, payload: StreamReader) -> Iterator[None]:
    """Fail a body whose connection is lost; aiohttp leaves it waiting after a malformed chunk."""
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


def _reason(error: BaseException) -> str:
    if isinstance(error, _DeadlineError):
        return "the deadline passed"
    if isinstance(error, HttpProcessingError):
        return "the answer is malformed"
    return str(error) or type(error).__name__
