"""One caller's connection: bounds, time limits and bad input, on top of uvicorn's parser."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import attrs
import httptools
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.protocol.headers import Headers, header_value
from sycamorebay.protocol.names import BODILESS_STATUSES
from sycamorebay.protocol.problem import raw_refusal
from sycamorebay.protocol.request_head import (
    FAILED,
    MALFORMED,
    TARGET_TOO_LONG,
    TOO_LARGE,
    TOO_SLOW,
    HeadFault,
    head_fault,
    origin_form,
)
from sycamorebay.settings import CallerLimits

CONNECTION = "sycamorebay.connection"
MAX_PIPELINED = 16
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define
class Listener:
    """What all connections of one listener share.

    Attributes
    ----------
    limits : CallerLimits
        Bounds of what a caller may send, and how slowly.
    on_refusal : callable
        Told of each request that is refused before it is forwarded.
    stopping : bool
        Whether each answer also closes its connection, so that callers move elsewhere.
    """

    limits: CallerLimits
    on_refusal: Callable[[Refusal], None]
    stopping: bool = False


class _HeadError(Exception):
    """Stops the parser; the fault is kept beside it."""


class CallerProtocol(HttpToolsProtocol):
    """uvicorn's HTTP/1.1 protocol with bounded heads, time limits and refusals.

    Parameters
    ----------
    listener : Listener
        Shared by all connections.
    """

    def __init__(self, *args: Any, listener: Listener, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=False)
        self._listener = listener
        self._fault: HeadFault | None = None
        self._refuse_after: HeadFault | None = None
        self._in_head = False
        self._in_body = False
        self._progress = False
        self._head_bytes = 0
        self._head_timed = False
        self._deaf = False
        self._timer: asyncio.TimerHandle | None = None
        self._running: RequestResponseCycle | None = None
        self._task: asyncio.Task[None] | None = None

    # Connection

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Wait for the first request, not for ever."""
        super().connection_made(transport)
        self._arm(self._listener.limits.idle_s, self._on_head_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight: its caller is gone."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._disarm()
        self._deaf = True
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            self._cancel_running()

    def abort(self) -> None:
        """Reset the connection, so that what was sent can't be taken for a whole answer."""
        if self._running is not None:
            self._running.disconnected = True
        self._deaf = True
        if not self.transport.is_closing():
            socket_of = self.transport.get_extra_info("socket")
            socket_of.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.transport.abort()

    def fail(self) -> None:
        """Refuse the request in flight, or cut its answer off, after a fault of the entry."""
        running = self._running
        if running is not None and not running.disconnected:
            self._deaf = True
            running.disconnected = True
            if running.response_started:
                self.abort()
            else:
                self._answer(FAILED, Unknown)

    def prepare_answer(self) -> None:
        """Settle whether the connection lives on after the answer that starts now."""
        running = self._running
        # Without its 100 the caller may or may not send the body: the next bytes are ambiguous.
        if running is not None and (
            self._listener.stopping or (running.waiting_for_100_continue and running.more_body)
        ):
            running.keep_alive = False

    def answer_whole(self, status: int, headers: Headers, body: bytes) -> bool:
        """Write a whole answer at once; False where the caller reads too slowly for that.

        The general way through ASGI messages costs a second write and a check of each header.
        """
        running = self._running
        if running is None or running.disconnected or self.flow.write_paused:
            return False
        running.response_started = True
        running.waiting_for_100_continue = False
        bodiless = running.scope["method"] == "HEAD" or status in BODILESS_STATUSES
        if not bodiless and header_value(headers, "content-length") is None:
            headers = [*headers, ("content-length", str(len(body)))]
        head = _head(status, headers, running.keep_alive)
        self.transport.write(head if bodiless else head + body)
        running.response_complete = True
        running.message_event.set()
        if not running.keep_alive:
            self.transport.close()
        running.on_response()
        return True

    # Parser

    def data_received(self, data: bytes) -> None:
        """Feed the parser, and refuse what it can't take."""
        if self._deaf:
            return
        self._unset_keepalive_if_required()
        self._progress = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(self._fault or MALFORMED)
            return
        if self._in_body:
            return
        if not self._progress:
            self._head_bytes += len(data)
            if self._head_bytes > self._listener.limits.head_bytes:
                self._refuse(TOO_LARGE)
                return
        if (self._in_head or not self._progress) and not self._head_timed:
            self._arm(self._listener.limits.head_s, self._on_head_timeout)
            self._head_timed = True

    def on_message_begin(self) -> None:
        """Start counting a head."""
        super().on_message_begin()
        self.scope["extensions"] = {CONNECTION: self}  # type: ignore[dict-item]
        self._in_head = True
        self._progress = True
        self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Bound the target."""
        super().on_url(url)
        if len(self.url) > self._listener.limits.target_bytes:
            self._stop(TARGET_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Bound the headers; trailers are dropped."""
        if not self._in_head:
            return
        super().on_header(name, value)
        self._head_bytes += len(name) + len(value) + 4
        limits = self._listener.limits
        if self._head_bytes > limits.head_bytes or len(self.headers) > limits.headers:
            self._stop(TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the head and start its request."""
        self._in_head = False
        self._head_timed = False
        self._disarm()
        version = self.parser.get_http_version()
        fault = head_fault(self.parser.get_method(), self.url, version, self.headers)
        if fault is None and len(self.pipeline) >= MAX_PIPELINED:
            fault = HeadFault(429, "too many requests are pipelined")
        if fault is not None:
            self._stop(fault)
        self.url = origin_form(self.url) or b"/"
        self._in_body = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._progress = True
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Wait for the next head."""
        self._in_body = False
        self._progress = True
        self._head_bytes = 0
        super().on_message_complete()
        if self._timer is not None:
            self._arm(self._listener.limits.idle_s, self._on_head_timeout)

    # Answers

    def on_response_complete(self) -> None:
        """Go on with the next request, with what is left of a body, or with a refusal."""
        done = self._running
        self._running = self._task = None
        super().on_response_complete()
        if self._running is not None or self.transport.is_closing():
            return
        if self._refuse_after is not None:
            self._answer(self._refuse_after, NotRun)
        elif done is not None and done is self.cycle and done.more_body:
            self._arm(self._listener.limits.linger_s, self.transport.abort)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self.tasks.discard)
        self.tasks.add(task)
        self._running = cycle
        self._task = task

    # Refusals

    def _stop(self, fault: HeadFault) -> None:
        self._fault = fault
        raise _HeadError(fault.reason)

    def _on_head_timeout(self) -> None:
        self._timer = None
        if self._in_head:
            self._refuse(TOO_SLOW)
        elif self._running is None:
            self.transport.close()

    def _refuse(self, fault: HeadFault) -> None:
        """Refuse the message that is being read, after the answers to those before it."""
        self._deaf = True
        self._disarm()
        running = self._running
        if running is None:
            self._answer(fault, NotRun)
        elif running is self.cycle and running.more_body and self._in_body:
            self._refuse_running(running, fault)
        else:
            if self._in_body and self.pipeline:
                self.pipeline.popleft()
            self.flow.pause_reading()
            self._refuse_after = fault

    def _refuse_running(self, running: RequestResponseCycle, fault: HeadFault) -> None:
        started = running.response_started
        running.disconnected = True
        running.message_event.set()
        self._cancel_running()
        if started:
            self.abort()
        else:
            self._answer(fault, Unknown)

    def _answer(self, fault: HeadFault, outcome: type[NotRun] | type[Unknown]) -> None:
        refusal = outcome("read", "caller", fault.reason, fault.status)
        self._listener.on_refusal(refusal)
        self.transport.write(raw_refusal(refusal))
        # Closing at once with bytes unread would reset the connection and lose the refusal.
        self.transport.write_eof()
        self.flow.resume_reading()
        self._arm(self._listener.limits.linger_s, self.transport.abort)

    def _cancel_running(self) -> None:
        if self._task is not None:
            self._task.cancel()

    # Timer

    def _arm(self, seconds: float, callback: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self.loop.call_later(seconds, callback)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _head(status: int, headers: Headers, keep_alive: bool) -> bytes:
    lines = [f"{name}: {value}\r\n" for name, value in headers]
    if not keep_alive:
        lines.append("connection: close\r\n")
    text = "".join(lines)
    if text.count("\n") != len(lines) or text.count("\r") != len(lines):
        raise ValueError("a header holds a control character")
    return STATUS_LINE[status] + text.encode("latin-1") + b"\r\n"
