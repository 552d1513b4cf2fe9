"""An HTTP/1.1 client on which nothing is sent again unasked: connections, and a pool of them."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from typing import cast

import attrs
import httptools

from sycamorebay.protocol.names import BODILESS_STATUSES, RawHeaders
from sycamorebay.transport.gateway.sockets import split_address, tune

CONNECT_TIMEOUT_S = 0.4
# Idle connections of servers that name no time are trusted this long.
DEFAULT_IDLE_S = 4.0
# Before the time that a server names, so that its close and a request don't cross.
IDLE_MARGIN_S = 1.0
MAX_IDLE = 16
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})")


@attrs.frozen
class ClientAnswer:
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Names in lower case.
    body : bytes
        The whole body.
    """

    status: int
    headers: RawHeaders
    body: bytes


class ConnectError(Exception):
    """No connection came about; nothing was sent."""


class AnswerError(Exception):
    """The request was sent and no usable answer came."""


class Connection(asyncio.Protocol):
    """One connection; carries one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[ClientAnswer] | None = None
        self._accepts: Callable[[int, RawHeaders], bool] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._reset_message()
        self._bodiless_method = False
        self._ended_cleanly = False
        self.reusable = True
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since = 0.0

    # Requests

    async def ask(
        self,
        head: bytes,
        body: bytes,
        accepts: Callable[[int, RawHeaders], bool],
        bodiless: bool = False,
    ) -> ClientAnswer:
        """Send a request and return its whole answer.

        Cancelling this closes the connection.

        Parameters
        ----------
        head, body : bytes
            The request.
        accepts : callable
            Told an answer's status and headers; False drops that answer and waits for the next.
        bodiless : bool
            Whether the answer has no body whatever its headers say, as to HEAD.

        Raises
        ------
        ConnectError
            Where the connection was gone before anything was written.
        AnswerError
            Where no usable answer came; the request may have run.
        """
        if not self.open:
            raise ConnectError("the connection was closed")
        assert self._transport is not None
        self._accepts = accepts
        self._bodiless_method = bodiless
        self._parser = httptools.HttpResponseParser(self)
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(head + body if body else head)
        try:
            return await self._answer
        except BaseException:
            self.abort()
            raise
        finally:
            self._answer = None

    @property
    def open(self) -> bool:
        """Whether a request may be written."""
        return self.reusable and self._transport is not None and not self._transport.is_closing()

    def abort(self) -> None:
        """Close at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # uvloop's transports only look like asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        tune(transport)

    def data_received(self, data: bytes) -> None:
        """Parse; bytes that nobody waits for end the connection."""
        if self._answer is None or self._answer.done() or self._parser is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the answer is malformed ({type(error).__name__})")

    def eof_received(self) -> bool:
        """Note that the other side closed in an orderly way."""
        self._ended_cleanly = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete an answer that ends with its connection; fail any other."""
        self.reusable = False
        if exc is None and self._ended_cleanly and self._in_body and not self._framed:
            self._complete()
            return
        self._fail("the connection ended before the answer" if exc is None else str(exc))

    # Parser

    def _reset_message(self) -> None:
        self._status = 0
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._size = 0
        self._in_body = False
        self._framed = False
        self._dropped = False

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD_BYTES:
            self._fail("the answer's head is too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        assert self._parser is not None
        self._size = 0
        self._status = self._parser.get_status_code()
        names = [name for name, _ in self._headers]
        lengths = names.count(b"content-length")
        chunked = b"transfer-encoding" in names
        if lengths + chunked > 1:
            self._fail("the answer has two lengths")
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._in_body = True
        self._framed = bool(lengths or chunked) or self._status in BODILESS_STATUSES
        if self._status < 200 or self._accepts is None:
            self._dropped = True
        elif not self._accepts(self._status, self._headers):
            self._dropped = True
            self.reusable = False
        elif self._bodiless_method:
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self._fail("the answer is too large")
        elif not self._dropped:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Take the end of an answer."""
        if not self._framed and self._status not in BODILESS_STATUSES and self._status >= 200:
            return
        self._complete()

    def _complete(self) -> None:
        self._in_body = False
        if self._dropped:
            return
        if self._answer is None or self._answer.done():
            self.reusable = False
            return
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            self.reusable = False
        self._note_idle_time()
        self._answer.set_result(ClientAnswer(self._status, self._headers, b"".join(self._body)))

    def _note_idle_time(self) -> None:
        for name, value in self._headers:
            if name == b"keep-alive" and (found := _KEEP_ALIVE_TIMEOUT.search(value)):
                self.idle_s = max(0.0, int(found[1]) - IDLE_MARGIN_S)

    def _fail(self, reason: str) -> None:
        self.reusable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(AnswerError(reason))
        if self._transport is not None:
            self._transport.abort()


class Pool:
    """Idle connections by address; the one used last is used first.

    Parameters
    ----------
    clock : callable
        Seconds, never going back.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._idle_by_address: dict[str, list[Connection]] = {}

    def has_idle(self, address: str) -> bool:
        """Whether a connection is open and idle."""
        return bool(self._idle(address))

    async def take(self, address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> Connection:
        """Return an idle connection or a new one.

        Raises
        ------
        ConnectError
            Where none comes about in `timeout_s` seconds.
        """
        idle = self._idle(address)
        if idle:
            return idle.pop()
        return await self._connect(address, timeout_s)

    async def get(self, address: str, path: str, timeout_s: float) -> ClientAnswer:
        """Ask for a path and return the whole answer.

        Raises
        ------
        TimeoutError
            Where it takes longer than `timeout_s` seconds, connecting included.
        ConnectError, AnswerError
            Where no connection or no usable answer came.
        """
        async with asyncio.timeout(timeout_s):
            connection = await self.take(address)
            head = request_head("GET", path, [(b"host", address.encode())])
            answer = await connection.ask(head, b"", lambda _status, _headers: True)
        self.give_back(address, connection)
        return answer

    def give_back(self, address: str, connection: Connection) -> None:
        """Keep a connection for later, or close it where it can't be used again."""
        idle = self._idle_by_address.setdefault(address, [])
        if not connection.open or len(idle) >= MAX_IDLE:
            connection.abort()
            return
        connection.idle_since = self._clock()
        idle.append(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections of an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.drop(address)

    def _idle(self, address: str) -> list[Connection]:
        idle = self._idle_by_address.get(address)
        if not idle:
            return []
        now = self._clock()
        kept = [c for c in idle if c.open and now - c.idle_since < c.idle_s]
        for connection in idle:
            if connection not in kept:
                connection.abort()
        self._idle_by_address[address] = kept
        return kept

    async def _connect(self, address: str, timeout_s: float) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(Connection, host, port)
        except TimeoutError as error:
            raise ConnectError("connecting took too long") from error
        except (OSError, ValueError) as error:
            raise ConnectError(str(error) or type(error).__name__) from error
        return connection


def request_head(method: str, target: str, headers: RawHeaders) -> bytes:
    """Return a request's head as bytes."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
