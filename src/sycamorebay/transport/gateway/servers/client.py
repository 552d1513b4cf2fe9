"""An HTTP/1.1 client connection that never repeats a request by itself."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import cast

import attrs
import httptools

from sycamorebay import log
from sycamorebay.protocol.framing import FREE_FRAMING_BYTES, FramingError, FramingMeter
from sycamorebay.protocol.header_names import BODILESS_STATUSES, RawHeaders
from sycamorebay.protocol.pieces import PieceBuffer, join_small
from sycamorebay.transport.gateway.body_stream import BodyStream
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.servers.buffer_budget import BufferBudget
from sycamorebay.transport.gateway.sockets import set_socket_options
from sycamorebay.transport.http.paced_feed import PacedFeed

# Applies to servers that send no keep-alive timeout.
DEFAULT_KEEP_ALIVE_S = 4.0
# Subtracted from the server's keep-alive timeout, so that a request is not sent while the server
# closes the connection.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Of status lines, headers, interim answers and the framing of chunks, complete or not.
MAX_HEAD_BYTES = FREE_FRAMING_BYTES
# A header takes some 200 bytes of memory beside its own.
MAX_HEADERS = 512
# Others are no answer: below 100 the parser would take one for interim and wait for a final one.
VALID_STATUSES = range(100, 600)
_log = log.get_logger("client")
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*([0-9]{1,6})")


@attrs.frozen
class ClientAnswer:
    """An answer; its body is whole, or a stream that may still be arriving.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers with names in lower case.
    body : bytes
        The whole body; empty if it is a stream.
    stream : BodyStream or None
        A body that is passed on while it arrives. Take it to its end, or abort it.
    """

    status: int
    headers: RawHeaders
    body: bytes
    stream: BodyStream | None = None

    @property
    def body_size(self) -> int:
        """Length of the body in bytes."""
        return len(self.body) if self.stream is None else self.stream.size

    @property
    def size(self) -> int:
        """Length of the headers and the body in bytes."""
        # A line also has a colon, a space and a line end.
        return sum(len(name) + len(value) + 4 for name, value in self.headers) + self.body_size


class ConnectError(Exception):
    """The connection could not be established or was closed; nothing was sent."""


class AnswerError(Exception):
    """The request was sent, but no usable answer arrived."""


class ConnectionLostError(AnswerError):
    """The connection ended before the answer was complete."""


class Connection(asyncio.Protocol):
    """A client connection that carries one request at a time.

    Parameters
    ----------
    budget : BufferBudget
        Limits the bytes of answers held by all connections.
    counters : Counters, optional
        Metrics of this daemon.

    Attributes
    ----------
    reusable : bool
        Whether the connection may carry another request.
    idle_s : float
        How long it may stay idle, in seconds.
    idle_since : float
        When it became idle, in seconds on the clock of its pool.
    """

    def __init__(self, budget: BufferBudget, counters: Counters | None = None) -> None:
        self._budget = budget
        self._counters = counters or Counters()
        self._held_bytes = 0
        self._framing = FramingMeter()
        self._feed = PacedFeed(self._parse)
        self._steps = 0
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[ClientAnswer] | None = None
        self._stream: BodyStream | None = None
        self._stream_above: int | None = None
        self._accepts: Callable[[int, RawHeaders], bool] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._reset_message()
        self._bodiless_method = False
        self._eof_received = False
        self.reusable = True
        self.idle_s = DEFAULT_KEEP_ALIVE_S
        self.idle_since = 0.0

    async def send_request(
        self,
        head: bytes,
        body: bytes,
        accepts: Callable[[int, RawHeaders], bool],
        bodiless: bool = False,
        stream_above: int | None = None,
    ) -> ClientAnswer:
        """Send a request and return its answer.

        Cancel this coroutine to close the connection.

        Parameters
        ----------
        head, body : bytes
            The request.
        accepts : callable
            Called with the status and headers of each final answer; if it returns False, the
            answer is discarded and the next one is awaited.
        bodiless : bool
            Whether the answer has no body whatever its headers say, as for HEAD.
        stream_above : int, optional
            A successful answer with a body of more bytes is returned before its body has arrived.
            Without a length, or if this is None, only whole answers are returned.

        Raises
        ------
        ConnectError
            If the connection was closed before anything was written.
        AnswerError
            If no usable answer arrived; the request may have run.
        """
        if not self.open:
            raise ConnectError("the connection was closed")
        assert self._transport is not None
        self._framing.reset()
        self._accepts = accepts
        self._bodiless_method = bodiless
        self._stream_above = stream_above
        self._parser = httptools.HttpResponseParser(self)
        self._answer = asyncio.get_running_loop().create_future()
        for part in join_small(head, body):
            self._transport.write(part)
        try:
            return await self._answer
        except BaseException:
            self.abort()
            raise
        finally:
            self._answer = None
            self._release()

    @property
    def open(self) -> bool:
        """Whether a request may be sent."""
        return self.reusable and self._transport is not None and not self._transport.is_closing()

    def pause_reading(self) -> None:
        """Read nothing more, so that the server is held back."""
        self._feed.hold_back(True)

    def resume_reading(self) -> None:
        """Read on."""
        self._feed.hold_back(False)

    def abort(self) -> None:
        """Close the connection at once, without flushing its buffers."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set its socket options."""
        # uvloop's transports have the methods of asyncio's but do not inherit from them.
        self._transport = cast(asyncio.Transport, transport)
        self._feed.open(self._transport)
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes that belong to no request close the connection."""
        self._feed.receive(data)

    def _parse(self, data: bytes | memoryview) -> int:
        """Parse bytes, and return how many steps of work that was."""
        if not self._is_receiving() or self._parser is None:
            self.abort()
            return 0
        self._steps = 0
        try:
            self._parser.feed_data(data)
            # The parser reports only complete heads and chunks, so an endless one shows here.
            self._framing.on_received(len(data))
        except FramingError as error:
            self._fail_framing(error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The parser passes on an error of a callback as the context of its own.
            if isinstance(error.__context__, FramingError):
                self._fail_framing(error.__context__)
            else:
                self._fail(f"the answer is malformed ({type(error).__name__})")
        return self._steps

    def _fail_framing(self, error: FramingError) -> None:
        self._counters.framing_refused += 1
        _log.info("answer ended for its framing", reason=str(error))
        self._fail(f"the answer is out of proportion: {error}")

    def eof_received(self) -> bool:
        """Record that the server closed its side in an orderly way."""
        self._eof_received = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete an answer that is delimited by the end of the connection; fail any other."""
        self.reusable = False
        self._feed.flush()
        ended_in_order = exc is None and self._eof_received
        if ended_in_order and self._in_body and not self._framed and not self._discarded:
            self._complete()
            return
        reason = "the connection ended before the answer" if exc is None else str(exc)
        self._fail(reason, ConnectionLostError)

    def _is_receiving(self) -> bool:
        return self._stream is not None or (self._answer is not None and not self._answer.done())

    def _reset_message(self) -> None:
        self._status = 0
        self._headers: RawHeaders = []
        self._body = PieceBuffer()
        self._in_body = False
        self._framed = False
        self._discarded = False

    def on_message_begin(self) -> None:
        """Reset the parser state for a new answer."""
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are ignored."""
        self._steps += 1
        if self._in_body:
            return
        if len(self._headers) >= MAX_HEADERS:
            raise FramingError("too many headers")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited, and whether the answer belongs to the request."""
        assert self._parser is not None
        if self._answer is None or self._answer.done():
            # Another answer in the same segment must not change how the first one is judged.
            self.reusable = False
            self._discarded = True
            return
        self._status = self._parser.get_status_code()
        if self._status not in VALID_STATUSES:
            self._counters.invalid_statuses += 1
            self._fail(f"the answer's status {self._status:03} is invalid")
            return
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
            self._discarded = True
        elif not self._accepts(self._status, self._headers):
            self._discarded = True
            self.reusable = False
        elif self._bodiless_method:
            self.reusable = False
            self._complete()
        else:
            self._start_stream_if_large()

    def _start_stream_if_large(self) -> None:
        size = next((int(value) for name, value in self._headers if name == b"content-length"), 0)
        if self._stream_above is None or size <= self._stream_above:
            return
        if not 200 <= self._status < 300 or self._status in BODILESS_STATUSES:
            return
        assert self._answer is not None
        self._update_idle_timeout()
        self._stream = BodyStream(self, size)
        self._answer.set_result(ClientAnswer(self._status, self._headers, b"", self._stream))

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        self._steps += 1
        self._framing.on_chunk()

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body; fail the answer if it is too large for the memory."""
        self._framing.on_body(len(body))
        if self._stream is not None:
            self._stream.feed(body)
        elif self._framing.body_bytes > MAX_ANSWER_BYTES:
            self._fail("the answer is too large")
        elif self._discarded:
            return
        elif self._budget.take(len(body)):
            self._held_bytes += len(body)
            self._body.add(body)
        else:
            self._fail("the answers in progress take too much memory")

    def on_message_complete(self) -> None:
        """Complete the answer, unless the end of the connection delimits its body."""
        if not self._framed and self._status not in BODILESS_STATUSES and self._status >= 200:
            return
        self._complete()

    def _complete(self) -> None:
        self._in_body = False
        if self._discarded:
            return
        if self._stream is not None:
            self._end_stream()
            return
        if self._answer is None or self._answer.done():
            self.reusable = False
            return
        self._check_reusable()
        self._update_idle_timeout()
        self._answer.set_result(ClientAnswer(self._status, self._headers, self._body.pop_all()))

    def _end_stream(self) -> None:
        assert self._stream is not None
        stream, self._stream = self._stream, None
        self._check_reusable()
        stream.end()

    def _check_reusable(self) -> None:
        """Give up the connection if request and answer did not end together.

        Either the server answered before it had the whole request, or it sent more than the answer,
        which the next request would take for its own.
        """
        assert self._transport is not None
        if self._transport.get_write_buffer_size() or self._feed.has_rest:
            self.reusable = False

    def _update_idle_timeout(self) -> None:
        for name, value in self._headers:
            if name == b"keep-alive" and (found := _KEEP_ALIVE_TIMEOUT.search(value)):
                self.idle_s = max(0.0, int(found[1]) - KEEP_ALIVE_MARGIN_S)

    def _release(self) -> None:
        self._body = PieceBuffer()
        self._budget.give_back(self._held_bytes)
        self._held_bytes = 0

    def _fail(self, reason: str, error_type: type[AnswerError] = AnswerError) -> None:
        self.reusable = False
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error_type(reason))
        if self._stream is not None:
            stream, self._stream = self._stream, None
            stream.fail(reason)
        if self._transport is not None:
            self._transport.abort()


def request_head(method: str, target: str, headers: RawHeaders) -> bytes:
    """Return the encoded request line and headers."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
