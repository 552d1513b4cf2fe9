"""A parser of requests that bounds heads, trailers and the framing of bodies.

Every listener for HTTP reads through it. The library's parser buffers a header until it is
complete, so that what is received is counted before it is parsed.
"""

from __future__ import annotations

from typing import Protocol

import attrs
import httptools

from sycamorebay.coordination.held_memory import head_memory
from sycamorebay.protocol.framing import FramingError, FramingMeter
from sycamorebay.protocol.head_meter import HeadMeter
from sycamorebay.protocol.request_head import MALFORMED, TARGET_TOO_LONG, TOO_LARGE, HeadFault

OUT_OF_PROPORTION = HeadFault(400, "the request's framing is out of proportion to its body")
# The colon and the line break of a header.
HEADER_SIGN_BYTES = 3
# What the library buffers of one trailer or extension is counted after so many bytes.
CHUNKED_SLICE_BYTES = 16 * 1024
# Heads are fed in smaller slices, as each byte of a head may be much more work.
HEAD_SLICE_BYTES = 1024
# What handling a whole request counts for, in headers.
STEPS_PER_REQUEST = 64
_UNUSED_PARSER = httptools.HttpRequestParser(None)


@attrs.frozen
class HeadLimits:
    """Limits of a request's head, and of the trailers behind its body.

    Attributes
    ----------
    head_bytes : int
        Most bytes of the request line and the headers, and of the trailers.
    headers : int or None
        Most headers; None for no limit but their bytes.
    target_bytes : int or None
        Most bytes of the target; None for no limit but those of the head.
    """

    head_bytes: int
    headers: int | None = None
    target_bytes: int | None = None


class RequestError(Exception):
    """A request is refused by its head, its framing or its size.

    Attributes
    ----------
    fault : HeadFault
        What is wrong with it.
    """

    def __init__(self, fault: HeadFault) -> None:
        super().__init__(fault.reason)
        self.fault = fault


class ParserOwner(Protocol):
    """Is told of the parts of requests; may raise `RequestError` to refuse one."""

    @property
    def head_limits(self) -> HeadLimits:
        """The limits in force."""
        ...

    def on_message_begin(self) -> None:
        """Handle the first bytes of a request."""
        ...

    def on_url(self, url: bytes) -> None:
        """Handle a part of the target."""
        ...

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header; trailers are dropped."""
        ...

    def on_headers_complete(self) -> None:
        """Handle the end of a head."""
        ...

    def on_body(self, body: bytes) -> None:
        """Handle a part of a body."""
        ...

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        ...


class _NoOwner:
    """The `ParserOwner` of a parser that parses nothing more."""

    head_limits = HeadLimits(0)

    def on_message_begin(self) -> None:
        pass

    def on_url(self, url: bytes) -> None:
        pass

    def on_header(self, name: bytes, value: bytes) -> None:
        pass

    def on_headers_complete(self) -> None:
        pass

    def on_body(self, body: bytes) -> None:
        pass

    def on_message_complete(self) -> None:
        pass


_NO_OWNER = _NoOwner()


class BoundedParser:
    """Parses requests within limits and passes their parts to an owner.

    Parameters
    ----------
    owner : ParserOwner
        Is told of each part.

    Attributes
    ----------
    in_message : bool
        Whether a request has begun and is not complete.
    in_head : bool
        Whether its head is not complete.
    steps : int
        Work since the start: one for each header and chunk, `STEPS_PER_REQUEST` for each request.
    """

    def __init__(self, owner: ParserOwner) -> None:
        self._owner: ParserOwner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._limits = owner.head_limits
        self._head = HeadMeter()
        self._framing = FramingMeter()
        self.in_message = False
        self.in_head = False
        self.steps = 0
        self._begun_count = 0
        self._header_count = 0
        self._target_bytes = 0
        # Bytes that the library has reported of the head or, behind it, of the trailers.
        self._reported_bytes = 0
        self._unreported_bytes = 0
        self._is_chunked = False
        self._body_size = 0

    @property
    def body_size(self) -> int | None:
        """Length of the body in bytes by the request's head; None if it comes in chunks."""
        return None if self._is_chunked else self._body_size

    @property
    def is_between_messages(self) -> bool:
        """Whether no byte of the next request has been received, not even an empty line."""
        return not self.in_message and not self._head.received_bytes

    @property
    def held_bytes(self) -> int:
        """Memory that the head takes of a request that is not complete."""
        return head_memory(self._head.received_bytes, self._header_count)

    def slice_bytes(self) -> int:
        """Return how many bytes to feed at a time now."""
        return CHUNKED_SLICE_BYTES if self.in_message and not self.in_head else HEAD_SLICE_BYTES

    def feed_data(self, data: bytes | memoryview) -> None:
        """Parse received bytes.

        Raises
        ------
        RequestError
            If a request is refused; nothing more may be parsed then.
        """
        self._limits = self._owner.head_limits
        rest = memoryview(data)
        while rest:
            is_body = self.in_message and not self.in_head
            size = self._body_part(rest) if is_body else self._head_part(rest)
            part = rest[:size] if size < len(rest) else rest
            if is_body:
                self._feed_body(part)
            else:
                self._feed(part)
            rest = rest[size:]

    def get_method(self) -> bytes:
        """Return the method of the request."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the HTTP version of the request, such as ``1.1``."""
        return self._parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Return whether the caller may send another request."""
        return self._parser.should_keep_alive()

    def should_upgrade(self) -> bool:
        """Return False: no protocol but HTTP/1.1 is served."""
        return False

    def drop(self) -> None:
        """Drop what has arrived of a request that nobody takes; nothing more may be parsed.

        The owner refers to its parser; without this, only the collector would free both.
        """
        self._head.reset()
        self._header_count = 0
        self._owner = _NO_OWNER
        # The library holds what it has of an incomplete header.
        self._parser = _UNUSED_PARSER

    def on_message_begin(self) -> None:
        """Reset what is counted of a request."""
        self.in_message = self.in_head = True
        self._begun_count += 1
        self._header_count = self._target_bytes = 0
        self._reported_bytes = self._unreported_bytes = 0
        self._is_chunked = False
        self._body_size = 0
        self._framing.reset()
        self._owner.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count a part of the target."""
        limit = self._limits.target_bytes
        self._target_bytes += len(url)
        if limit is not None and self._target_bytes > limit:
            raise RequestError(TARGET_TOO_LONG)
        self._add_reported(len(url), TOO_LARGE)
        self._owner.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header and pass it on; trailers are counted and dropped."""
        self.steps += 1
        size = len(name) + len(value) + HEADER_SIGN_BYTES
        if not self.in_head:
            self._add_reported(size, OUT_OF_PROPORTION)
            return
        self._header_count += 1
        limit = self._limits.headers
        if limit is not None and self._header_count > limit:
            raise RequestError(TOO_LARGE)
        self._add_reported(size, TOO_LARGE)
        self._note_framing(name.lower(), value)
        self._owner.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of a head."""
        self.in_head = False
        self._reported_bytes = 0
        self._owner.on_headers_complete()

    def on_chunk_header(self) -> None:
        """Count a chunk."""
        self.steps += 1
        self._framing.on_chunk()

    def on_body(self, body: bytes) -> None:
        """Count a part of the body and pass it on."""
        self._framing.on_body(len(body))
        self._owner.on_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of a request."""
        self.steps += STEPS_PER_REQUEST
        self.in_message = False
        self._owner.on_message_complete()
        self._head.reset()
        self._header_count = 0

    def _head_part(self, data: memoryview) -> int:
        """Count bytes of a head and return how many they are; refuse a head that is too large."""
        size = self._head.on_received(data)
        if self._head.received_bytes > self._limits.head_bytes:
            raise RequestError(TOO_LARGE)
        return size

    def _body_part(self, data: memoryview) -> int:
        """Return how many bytes to parse, without the next head if the body's length is known."""
        if self._is_chunked:
            return min(len(data), CHUNKED_SLICE_BYTES)
        return min(len(data), self._body_size - self._framing.body_bytes)

    def _feed_body(self, data: memoryview) -> None:
        begun, reported = self._begun_count, self.steps + self._framing.body_bytes
        self._feed(data)
        if begun != self._begun_count:
            return
        # The library reports neither trailers nor extensions of chunks that are not complete.
        is_reported = self.steps + self._framing.body_bytes > reported
        self._unreported_bytes = 0 if is_reported else self._unreported_bytes + len(data)
        try:
            self._framing.on_received(len(data))
        except FramingError as error:
            raise RequestError(OUT_OF_PROPORTION) from error
        if self._unreported_bytes > self._limits.head_bytes:
            raise RequestError(OUT_OF_PROPORTION)

    def _feed(self, data: memoryview) -> None:
        """Parse bytes; what a callback raises is the context of the library's own error."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if isinstance(cause, RequestError):
                raise cause from error
            fault = OUT_OF_PROPORTION if isinstance(cause, FramingError) else MALFORMED
            raise RequestError(fault) from error

    def _note_framing(self, name: bytes, value: bytes) -> None:
        if name == b"content-length":
            self._body_size = int(value)
        elif name == b"transfer-encoding":
            self._is_chunked = True

    def _add_reported(self, size: int, fault: HeadFault) -> None:
        self._reported_bytes += size
        if self._reported_bytes > self._limits.head_bytes:
            raise RequestError(fault)
