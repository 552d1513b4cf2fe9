"""A caller's HTTP/1.1 connection: uvicorn's protocol with limits, timeouts and refusals."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from sycamorebay.coordination.connection_slots import Phase
from sycamorebay.coordination.held_memory import (
    CONNECTION_BYTES,
    REQUEST_OBJECT_BYTES,
    SMALL_HEAD_BYTES,
)
from sycamorebay.outcomes import NotRun, Unknown
from sycamorebay.protocol.header_names import BODILESS_STATUSES
from sycamorebay.protocol.headers import Headers, header_value
from sycamorebay.protocol.problem import raw_refusal
from sycamorebay.protocol.request_head import (
    INTERNAL_ERROR,
    NO_ROOM,
    TOO_LARGE,
    TOO_SLOW,
    HeadFault,
    origin_form,
)
from sycamorebay.transport.forwarding.feed_flow import FeedFlow
from sycamorebay.transport.forwarding.listener import Listener
from sycamorebay.transport.forwarding.upstream import READ_BUFFER_BYTES
from sycamorebay.transport.http.bounded_parser import BoundedParser, HeadLimits, RequestError
from sycamorebay.transport.http.paced_feed import PacedFeed

# Key of the `CallerProtocol` among the extensions of the ASGI scope.
CONNECTION_EXTENSION = "sycamorebay.connection"
MAX_PIPELINED = 16
# The method, the version and the line break of a request line.
REQUEST_LINE_BYTES = 64
# SO_LINGER switched on with a timeout of 0 s: closing the socket sends RST instead of FIN.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


# What the client holds at most of an answer while its caller does not read.
ANSWER_BUFFER_BYTES = 2 * READ_BUFFER_BYTES


class CallerProtocol(HttpToolsProtocol):
    """uvicorn's HTTP/1.1 protocol with limited heads and trailers, timeouts and refusals.

    Parameters
    ----------
    *args, **kwargs
        Passed to `HttpToolsProtocol`.
    listener : Listener
        State shared with the other connections of the listener.
    """

    def __init__(self, *args: Any, listener: Listener, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._listener = listener
        # Unlike uvicorn's, it takes data after a request with ``connection: close`` as malformed.
        self.parser = BoundedParser(self)  # type: ignore[assignment]
        self._pending_refusal: HeadFault | None = None
        self._reading_head = False
        self._reading_body = False
        self._header_bytes = 0
        self._head_timer_started = False
        self._ignores_input = False
        self._timer: asyncio.TimerHandle | None = None
        self._feed = PacedFeed(
            self._parse, self._on_fed, listener.turns, self._bounded_parser.slice_bytes
        )
        # Memory of the heads of requests that are not answered yet, in order.
        self._head_memory_by_cycle: dict[RequestResponseCycle, int] = {}
        self._active_cycle: RequestResponseCycle | None = None
        self._active_task: asyncio.Task[None] | None = None

    @property
    def head_limits(self) -> HeadLimits:
        """The limits of heads; those of the headers alone are checked here."""
        limits = self._listener.limits
        head_bytes = REQUEST_LINE_BYTES + limits.target_bytes + limits.head_bytes
        return HeadLimits(head_bytes, limits.headers, limits.target_bytes)

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection, and start the idle timeout for the first request."""
        super().connection_made(transport)
        self._feed.open(transport)
        self.flow = FeedFlow(transport, self._feed)
        self._listener.guard.on_connected(self)
        self._start_timer(self._listener.limits.idle_s, self._on_head_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight, because its caller has disconnected."""
        self._listener.guard.on_lost(self)
        self._feed.close()
        self._bounded_parser.drop()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._cancel_timer()
        self._ignores_input = True
        self._head_memory_by_cycle.clear()
        active = self._active_cycle
        if active is not None and not active.response_complete:
            active.disconnected = True
            self._cancel_active()
        else:
            self._forget_requests()

    def _forget_requests(self) -> None:
        """Refer to no request of a connection that has ended; each of them refers to it."""
        self.cycle = None  # type: ignore[assignment]
        self.scope = {}  # type: ignore[typeddict-item]
        self.pipeline.clear()

    def abort(self) -> None:
        """Reset the connection, so that a truncated answer is not mistaken for a complete one."""
        if self._active_cycle is not None:
            self._active_cycle.disconnected = True
        self._ignores_input = True
        if not self.transport.is_closing():
            raw_socket = self.transport.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.transport.abort()

    def fail(self) -> None:
        """Refuse the request in flight after an internal error, or reset a started answer."""
        active = self._active_cycle
        if active is not None and not active.disconnected:
            self._ignores_input = True
            active.disconnected = True
            if active.response_started:
                self.abort()
            else:
                self._write_refusal(INTERNAL_ERROR, Unknown)

    def decide_keep_alive(self) -> None:
        """Decide whether to keep the connection open after the answer that is about to start.

        It is closed if the listener is draining, or if the caller still waits for a 100 Continue.
        """
        active = self._active_cycle
        # Without the 100 Continue the caller may send the body or leave it out, so the next bytes
        # could be either a body or a request.
        if active is not None and (
            self._listener.draining or (active.waiting_for_100_continue and active.more_body)
        ):
            active.keep_alive = False

    def write_complete_answer(self, status: int, headers: Headers, body: bytes) -> bool:
        """Write a complete answer in one call, which ASGI messages cannot do.

        ASGI messages cost a second write and a check of each header.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list of (str, str)
            Headers; a missing ``content-length`` is added.
        body : bytes
            The body; left out for HEAD and for statuses without a body.

        Returns
        -------
        bool
            False, with nothing written, if the caller has disconnected or its write buffer is full.

        Raises
        ------
        ValueError
            If a header contains a line break.
        """
        active = self._active_cycle
        if active is None or active.disconnected or self.flow.write_paused:
            return False
        active.response_started = True
        active.waiting_for_100_continue = False
        bodiless = active.scope["method"] == "HEAD" or status in BODILESS_STATUSES
        if not bodiless and header_value(headers, "content-length") is None:
            headers = [*headers, ("content-length", str(len(body)))]
        head = _encode_head(status, headers, active.keep_alive)
        self.transport.write(head if bodiless else head + body)
        active.response_complete = True
        active.message_event.set()
        if not active.keep_alive:
            self.transport.close()
        active.on_response()
        return True

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        if self._active_cycle is not None:
            return Phase.BUSY
        return Phase.INCOMPLETE if self._is_receiving else Phase.IDLE

    @property
    def is_light(self) -> bool:
        """Whether the connection holds no more than one small request, and nothing incomplete."""
        if self._is_receiving or self.flow.write_paused or len(self._head_memory_by_cycle) > 1:
            return False
        return all(size <= SMALL_HEAD_BYTES for size in self._head_memory_by_cycle.values())

    @property
    def held_bytes(self) -> int:
        """Bytes that the connection makes the process hold, beside unsent answers."""
        held = CONNECTION_BYTES + self._feed.held_bytes
        if self._reading_head:
            held += self._bounded_parser.held_bytes
        for cycle, head_bytes in self._head_memory_by_cycle.items():
            held += REQUEST_OBJECT_BYTES + head_bytes + len(cycle.body)
        if self.flow.write_paused:
            held += ANSWER_BUFFER_BYTES
        return held

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller."""
        return self.transport.get_write_buffer_size()

    def shed(self) -> None:
        """Refuse an incomplete request, or reset the connection."""
        if self.phase is Phase.INCOMPLETE and not self._ignores_input:
            self._refuse(NO_ROOM)
        else:
            self.abort()

    @property
    def _bounded_parser(self) -> BoundedParser:
        return cast(BoundedParser, self.parser)

    @property
    def _is_receiving(self) -> bool:
        return self._reading_head or self._reading_body or self._feed.has_rest

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, some of them later if they are much work."""
        if self._ignores_input:
            return
        self._unset_keepalive_if_required()
        self._feed.receive(data)

    def _on_fed(self) -> None:
        if not self._ignores_input:
            self._listener.guard.on_changed(self)

    def _parse(self, data: bytes | memoryview) -> int:
        """Parse bytes, refuse what exceeds a limit, and return the steps of work."""
        if self._ignores_input:
            return 0
        steps = self._bounded_parser.steps
        try:
            self._bounded_parser.feed_data(data)
        except RequestError as error:
            self._refuse(error.fault)
            return 0
        self._start_head_timer()
        return self._bounded_parser.steps - steps

    def _start_head_timer(self) -> None:
        """Bound the time of a head that has begun."""
        if self._reading_body or self._head_timer_started:
            return
        if not self._bounded_parser.is_between_messages:
            self._start_timer(self._listener.limits.head_s, self._on_head_timeout)
            self._head_timer_started = True

    def on_message_begin(self) -> None:
        """Start counting the bytes of a head."""
        super().on_message_begin()
        self.scope["extensions"] = {CONNECTION_EXTENSION: self}  # type: ignore[dict-item]
        self._reading_head = True
        self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reject a head whose headers exceed the limit."""
        super().on_header(name, value)
        # 4 bytes for the colon, the space and the line break.
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self._listener.limits.head_bytes:
            raise RequestError(TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Reject an invalid head or too many pipelined requests, else start the request."""
        self._reading_head = False
        self._head_timer_started = False
        self._cancel_timer()
        version = self.parser.get_http_version()
        find_fault = self._listener.find_fault
        fault = find_fault(self.parser.get_method(), self.url, version, self.headers)
        if fault is None and len(self.pipeline) >= MAX_PIPELINED:
            fault = HeadFault(429, "too many requests are pipelined")
        if fault is not None:
            raise RequestError(fault)
        self.url = origin_form(self.url) or b"/"
        self._reading_body = True
        super().on_headers_complete()
        self._head_memory_by_cycle[self.cycle] = self._bounded_parser.held_bytes

    def on_message_complete(self) -> None:
        """Wait for the next head.

        After an early answer, the idle timeout replaces the limit for reading the rest of the body.
        """
        self._reading_body = False
        super().on_message_complete()
        if self._timer is not None:
            self._start_timer(self._listener.limits.idle_s, self._on_head_timeout)

    def on_response_complete(self) -> None:
        """Start the next pipelined request, write a pending refusal or drain an unread body."""
        finished = self._active_cycle
        self._active_cycle = self._active_task = None
        if finished is not None:
            self._head_memory_by_cycle.pop(finished, None)
        super().on_response_complete()
        self._listener.guard.on_changed(self)
        if self._active_cycle is not None or self.transport.is_closing():
            return
        if self._pending_refusal is not None:
            self._write_refusal(self._pending_refusal, NotRun)
        elif finished is not None and finished is self.cycle and finished.more_body:
            self._start_timer(self._listener.limits.linger_s, self.transport.abort)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self._on_task_done)
        self.tasks.add(task)
        self._active_cycle = cycle
        self._active_task = task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if self.parser is None:
            # The connection was lost while the request was at work.
            self._active_cycle = self._active_task = None
            self._forget_requests()

    def _on_head_timeout(self) -> None:
        """Refuse a head that took too long, or close an idle connection."""
        self._timer = None
        if self._reading_head:
            self._refuse(TOO_SLOW)
        elif self._active_cycle is None:
            self.transport.close()

    def _refuse(self, fault: HeadFault) -> None:
        """Refuse the message that is being parsed, once all earlier requests are answered."""
        self._ignores_input = True
        self._cancel_timer()
        self._drop_unparsed()
        active = self._active_cycle
        if active is None:
            self._write_refusal(fault, NotRun)
        elif active is self.cycle and active.more_body and self._reading_body:
            self._refuse_active(active, fault)
        else:
            if self._reading_body and self.pipeline:
                # uvicorn adds requests on the left, so this is the one being parsed.
                cycle, _ = self.pipeline.popleft()
                self._head_memory_by_cycle.pop(cycle, None)
            self.flow.pause_reading()
            self._pending_refusal = fault

    def _drop_unparsed(self) -> None:
        """Drop what has arrived of a request that is refused."""
        self._feed.drop()
        self._bounded_parser.drop()
        if self._reading_head:
            # The scope of the request, which is never started, refers to this list.
            self.headers.clear()

    def _refuse_active(self, active: RequestResponseCycle, fault: HeadFault) -> None:
        has_started = active.response_started
        active.disconnected = True
        active.message_event.set()
        self._cancel_active()
        if has_started:
            self.abort()
        else:
            self._write_refusal(fault, Unknown)

    def _write_refusal(self, fault: HeadFault, outcome: type[NotRun] | type[Unknown]) -> None:
        refusal = outcome("read", self._listener.sender, fault.reason, fault.status)
        self._listener.on_refusal(refusal)
        self.transport.write(raw_refusal(refusal))
        # Closing a socket with unread input resets the connection, and the refusal could be lost.
        self.transport.write_eof()
        self.flow.resume_reading()
        self._start_timer(self._listener.limits.linger_s, self.transport.abort)

    def _cancel_active(self) -> None:
        if self._active_task is not None:
            self._active_task.cancel()

    def _start_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self.loop.call_later(seconds, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _encode_head(status: int, headers: Headers, keep_alive: bool) -> bytes:
    lines = [f"{name}: {value}\r\n" for name, value in headers]
    if not keep_alive:
        lines.append("connection: close\r\n")
    text = "".join(lines)
    if text.count("\n") != len(lines) or text.count("\r") != len(lines):
        raise ValueError("an answer's header contains a line break, which is not allowed")
    return STATUS_LINE[status] + text.encode("latin-1") + b"\r\n"
