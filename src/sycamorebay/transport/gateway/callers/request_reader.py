"""Parses the requests on a caller's connection, within the operators' limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.protocol.pieces import PieceBuffer
from sycamorebay.protocol.request_head import HeadFault, find_head_fault, host_name, origin_form
from sycamorebay.state.routing import RequestLimits
from sycamorebay.transport.gateway.callers.body_reservations import SMALL_BODY_BYTES
from sycamorebay.transport.gateway.callers.caller_messages import CallerRequest
from sycamorebay.transport.http.bounded_parser import BoundedParser, HeadLimits, RequestError

BODY_TOO_LARGE = HeadFault(413, "the request's body is too large")


@attrs.frozen
class RequestHead:
    """What a request's head tells before its body has arrived.

    Attributes
    ----------
    headers : list of (bytes, bytes)
        Headers with names in lower case.
    body_size : int or None
        Length of the body in bytes; None if the head does not tell it.
    expects_continue : bool
        Whether the caller waits for an interim answer before it sends the body.
    """

    headers: RawHeaders
    body_size: int | None
    expects_continue: bool


class RequestHandler(Protocol):
    """Is told of the requests on a connection."""

    @property
    def request_limits(self) -> RequestLimits:
        """The limits in force."""
        ...

    def on_request_begin(self) -> None:
        """Handle the first bytes of a request."""
        ...

    def on_request_head(self, head: RequestHead) -> None:
        """Handle a whole head."""
        ...

    def on_chunk(self, size: int) -> HeadFault | None:
        """Handle bytes of a body of unknown length; return why it is refused, or None."""
        ...

    def on_request(self, request: CallerRequest, keep_alive: bool) -> None:
        """Handle a whole request, and whether the caller may send another one."""
        ...


class _NoHandler:
    """The `RequestHandler` of a reader whose connection has ended."""

    request_limits = RequestLimits()

    def on_request_begin(self) -> None:
        pass

    def on_request_head(self, head: RequestHead) -> None:
        pass

    def on_chunk(self, size: int) -> HeadFault | None:
        return None

    def on_request(self, request: CallerRequest, keep_alive: bool) -> None:
        pass


_NO_HANDLER = _NoHandler()


class RequestReader:
    """Parses requests and passes them to a handler.

    Parameters
    ----------
    handler : RequestHandler
        Is told of each step.
    clock : callable
        Returns seconds on the event loop's clock.

    Attributes
    ----------
    caller : str
        IP address of the caller.
    """

    def __init__(self, handler: RequestHandler, clock: Callable[[], float]) -> None:
        self._handler: RequestHandler = handler
        self._clock = clock
        self.caller = ""
        self._parser = BoundedParser(self)
        self._begun_at = 0.0
        self._target = b""
        self._headers: RawHeaders = []
        self._body = PieceBuffer()
        self._size = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        Raises
        ------
        RequestError
            If a request is refused; nothing more may be parsed then.
        """
        self._parser.feed_data(data)

    @property
    def in_message(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._parser.in_message

    @property
    def steps(self) -> int:
        """Work since the start, see `BoundedParser.steps`."""
        return self._parser.steps

    def slice_bytes(self) -> int:
        """Return how many bytes to feed at a time now."""
        return self._parser.slice_bytes()

    @property
    def held_bytes(self) -> int:
        """Memory that an incomplete request takes, without what is reserved for its body."""
        if not self.in_message:
            return 0
        return self._request_bytes

    @property
    def head_limits(self) -> HeadLimits:
        """The limits of heads in force."""
        return HeadLimits(self._handler.request_limits.head_bytes)

    @property
    def _request_bytes(self) -> int:
        return self._parser.held_bytes + min(self._body.size, SMALL_BODY_BYTES)

    def on_message_begin(self) -> None:
        """Reset what is kept of a request."""
        self._target = b""
        self._headers = []
        self._body = PieceBuffer()
        self._size = 0
        self._handler.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head, and refuse the request if it is invalid or its body is too large."""
        self._begun_at = self._clock()
        version = self._parser.get_http_version()
        fault = find_head_fault(self._parser.get_method(), self._target, version, self._headers)
        _refuse_if(fault)
        size = self._parser.body_size
        if size is not None and size > self._handler.request_limits.body_bytes:
            raise RequestError(BODY_TOO_LARGE)
        expects_continue = dict(self._headers).get(b"expect", b"").lower() == b"100-continue"
        head = RequestHead(self._headers, size, expects_continue)
        self._handler.on_request_head(head)

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body, and refuse the request if the body is too large."""
        self._size += len(body)
        if self._size > self._handler.request_limits.body_bytes:
            raise RequestError(BODY_TOO_LARGE)
        if self._parser.body_size is None:
            _refuse_if(self._handler.on_chunk(len(body)))
        self._body.add(body)

    def on_message_complete(self) -> None:
        """Pass on a whole request."""
        held_bytes = self._request_bytes
        target = (origin_form(self._target) or b"/").decode("latin-1")
        body = self._body.pop_all()
        request = CallerRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=target,
            path=target.partition("?")[0],
            host=host_name(dict(self._headers)[b"host"].decode("latin-1")),
            headers=self._headers,
            body=body,
            begun_at=self._begun_at,
            arrived_at=self._clock(),
            caller=self.caller,
            held_bytes=held_bytes,
        )
        # An idle connection would otherwise hold the head of its last request.
        self._headers, self._target = [], b""
        self._handler.on_request(request, self._parser.should_keep_alive())

    def drop(self) -> None:
        """Drop what has arrived of a request that nobody takes; nothing more may be parsed."""
        self._body.pop_all()
        self._parser.drop()
        self._headers, self._target = [], b""

    def close(self) -> None:
        """Drop what has arrived, and refer to the handler no longer, whose connection has ended."""
        self.drop()
        self._handler = _NO_HANDLER


def _refuse_if(fault: HeadFault | None) -> None:
    if fault is not None:
        raise RequestError(fault)
