"""An HTTP/1.1 server connection: pipelined requests, answered in order."""

from __future__ import annotations

import asyncio
import http
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import attrs
import httptools

from sycamorebay.protocol.names import BODILESS_STATUSES, RawHeaders
from sycamorebay.protocol.request_head import (
    MALFORMED,
    TOO_LARGE,
    TOO_SLOW,
    HeadFault,
    head_fault,
    host_name,
    origin_form,
)
from sycamorebay.state.routing import RequestLimits
from sycamorebay.transport.gateway.sockets import tune

MAX_PIPELINED = 32
# After an answer that ends a connection, bytes still on their way are read for this long, since
# closing with unread bytes resets the connection and may take the answer with it.
LINGER_S = 0.5


@attrs.frozen
class CallerRequest:
    """A whole request.

    Attributes
    ----------
    method, target, path, host : str
        Path without query; host in lower case, without port.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
        The whole body.
    arrived : float
        When its head was complete, in seconds on the loop's clock.
    """

    method: str
    target: str
    path: str
    host: str
    headers: RawHeaders
    body: bytes
    arrived: float


@attrs.frozen
class CallerAnswer:
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Without length and connection.
    body : bytes
        The whole body.
    """

    status: int
    headers: RawHeaders
    body: bytes = b""


Handler = Callable[[CallerRequest], Awaitable[CallerAnswer]]


@attrs.define
class Listener:
    """What all connections of one listener share.

    Attributes
    ----------
    handler : callable
        Answers a request; cancelled when its caller leaves.
    request_limits : RequestLimits
        Of what callers send; replaced when the configuration changes.
    may_overlap : callable
        Whether a pipelined request may start before those ahead of it are answered.
    stopping : bool
        Whether each answer ends its connection.
    connections : set
        The open ones.
    """

    handler: Handler
    request_limits: RequestLimits = attrs.field(factory=RequestLimits)
    may_overlap: Callable[[CallerRequest], bool] = lambda _: False
    stopping: bool = False
    connections: set[ServerConnection] = attrs.field(factory=set)

    def connection(self) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def close_idle(self) -> None:
        """Close the connections on which no request is open."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def busy(self) -> int:
        """Connections with an open request."""
        return sum(1 for connection in self.connections if connection.busy)


@attrs.define(eq=False)
class _Open:
    """A request whose answer has not gone yet."""

    request: CallerRequest
    keep_alive: bool
    task: asyncio.Task[CallerAnswer] | None = None


class _HeadError(Exception):
    """Stops the parser; the fault is kept beside it."""


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._open: deque[_Open] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._fault: HeadFault | None = None
        self._in_message = False
        self._in_head = False
        self._deaf = False
        self._read_paused = False
        self._target = b""
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._size = 0

    # Connection

    @property
    def busy(self) -> bool:
        """Whether a request is open or being read."""
        return bool(self._open) or self._in_message

    def close_if_idle(self) -> None:
        """Close where nothing is open."""
        if not self.busy and self._transport is not None and not self._deaf:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        # uvloop's transports only look like asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connections.add(self)
        tune(transport)
        self._arm(self._listener.request_limits.idle_s)

    def eof_received(self) -> bool:
        """Take the caller's close: nobody reads answers any more."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what is open: the caller is gone."""
        self._listener.connections.discard(self)
        self._deaf = True
        self._disarm()
        self._drop_open()

    def data_received(self, data: bytes) -> None:
        """Parse requests."""
        if self._listener.stopping and self._open and not self._in_message:
            # The last of the open answers ends the connection, so that what comes behind it counts
            # as not read; a caller that never pauses would hold the connection open otherwise.
            self._deaf = True
        if self._deaf:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(self._fault or MALFORMED)
            return
        if self._in_message and self._in_head:
            self._arm_once(self._listener.request_limits.head_s)

    # Parser

    def on_message_begin(self) -> None:
        """Start a request."""
        self._in_message = self._in_head = True
        self._disarm()
        self._target = b""
        self._headers = []
        self._body = []
        self._size = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self._in_head:
            self._headers.append((name.lower(), value))
            self._grow(len(name) + len(value) + 4)

    def _grow(self, size: int) -> None:
        self._size += size
        if self._size > self._listener.request_limits.head_bytes:
            self._stop(TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._in_head = False
        self._disarm()
        self._size = 0
        version = self._parser.get_http_version()
        fault = head_fault(self._parser.get_method(), self._target, version, self._headers)
        if fault is not None:
            self._stop(fault)
        by_name = dict(self._headers)
        if int(by_name.get(b"content-length", b"0")) > self._listener.request_limits.body_bytes:
            self._stop(HeadFault(413, "the request's body is too large"))
        if by_name.get(b"expect", b"").lower() == b"100-continue" and not self._open:
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._size += len(body)
        if self._size > self._listener.request_limits.body_bytes:
            self._stop(HeadFault(413, "the request's body is too large"))
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Take a whole request."""
        self._in_message = False
        if self._deaf:
            return
        target = (origin_form(self._target) or b"/").decode("latin-1")
        request = CallerRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=target,
            path=target.partition("?")[0],
            host=host_name(dict(self._headers)[b"host"].decode("latin-1")),
            headers=self._headers,
            body=b"".join(self._body),
            arrived=self._loop.time(),
        )
        entry = _Open(request, self._parser.should_keep_alive())
        self._open.append(entry)
        if not entry.keep_alive:
            self._deaf = True
        self._start_ready()
        self._pace_reading()

    # Answers

    def _start_ready(self) -> None:
        """Start the first request, and those behind it that may run beside it."""
        for index, entry in enumerate(self._open):
            if index and not self._listener.may_overlap(entry.request):
                return
            if entry.task is None:
                entry.task = self._loop.create_task(self._run(entry.request))
                entry.task.add_done_callback(self._on_done)

    async def _run(self, request: CallerRequest) -> CallerAnswer:
        return await self._listener.handler(request)

    def _on_done(self, task: asyncio.Task[CallerAnswer]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler(
                {"message": "a request failed", "exception": task.exception()}
            )
        if self._transport is None or self._transport.is_closing():
            return
        while self._open and self._open[0].task is not None and self._open[0].task.done():
            entry = self._open.popleft()
            assert entry.task is not None
            if entry.task.cancelled() or entry.task.exception() is not None:
                self._transport.abort()
                return
            if not self._write(entry, entry.task.result()):
                return
        self._start_ready()
        self._pace_reading()
        if self._fault is not None and not self._open:
            self._write_fault(self._fault)
        elif not self._open and not self._in_message:
            self._arm(self._listener.request_limits.idle_s)

    def _write(self, entry: _Open, answer: CallerAnswer) -> bool:
        """Write an answer; False where it ends the connection."""
        assert self._transport is not None
        # A request that is already with a backend server gets its answer first.
        last = not any(other.task is not None for other in self._open)
        keep_alive = entry.keep_alive and not (self._listener.stopping and last)
        bodiless = entry.request.method == "HEAD" or answer.status in BODILESS_STATUSES
        self._transport.write(_answer_bytes(answer, keep_alive, bodiless))
        if keep_alive:
            return True
        self._end()
        return False

    def _end(self) -> None:
        """End the connection, reading what is still on its way for a moment."""
        assert self._transport is not None
        self._deaf = True
        self._drop_open()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._disarm()
        self._timer = self._loop.call_later(LINGER_S, self._transport.close)

    def _drop_open(self) -> None:
        for entry in self._open:
            if entry.task is not None:
                entry.task.cancel()
        self._open.clear()

    def _pace_reading(self) -> None:
        assert self._transport is not None
        full = len(self._open) >= MAX_PIPELINED
        if full and not self._read_paused:
            self._transport.pause_reading()
        elif not full and self._read_paused:
            self._transport.resume_reading()
        self._read_paused = full

    # Faults and timers

    def _stop(self, fault: HeadFault) -> None:
        self._fault = fault
        raise _HeadError(fault.reason)

    def _refuse(self, fault: HeadFault) -> None:
        self._fault = fault
        self._deaf = True
        self._disarm()
        if not self._open:
            self._write_fault(fault)

    def _write_fault(self, fault: HeadFault) -> None:
        assert self._transport is not None
        answer = CallerAnswer(fault.status, [(b"content-type", b"text/plain")], b"")
        self._transport.write(_answer_bytes(answer, False, False))
        self._end()

    def _on_timer(self) -> None:
        self._timer = None
        assert self._transport is not None
        if self._in_message:
            self._refuse(TOO_SLOW)
        elif not self._open:
            self._transport.close()

    def _arm(self, seconds: float) -> None:
        self._disarm()
        self._timer = self._loop.call_later(seconds, self._on_timer)

    def _arm_once(self, seconds: float) -> None:
        if self._timer is None:
            self._arm(seconds)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _answer_bytes(answer: CallerAnswer, keep_alive: bool, bodiless: bool) -> bytes:
    phrase = _PHRASES_BY_STATUS.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {phrase}".encode()]
    lines += [name + b": " + value for name, value in answer.headers]
    if answer.status not in BODILESS_STATUSES:
        lines.append(b"content-length: %d" % len(answer.body))
    if not keep_alive:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if bodiless else head + answer.body


_PHRASES_BY_STATUS = {status.value: status.phrase for status in http.HTTPStatus}
