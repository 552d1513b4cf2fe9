"""One HTTP/1.1 connection of a caller: moves bytes, timers, tasks and streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from sycamorebay import log
from sycamorebay.coordination.connection_slots import Phase
from sycamorebay.coordination.held_memory import CONNECTION_BYTES, SMALL_HEAD_BYTES
from sycamorebay.protocol.caller_actions import (
    Action,
    Cancel,
    ReleaseSpace,
    ReserveSpace,
    SetTimer,
    Simple,
    Start,
    WriteAnswer,
    WriteRefusal,
)
from sycamorebay.protocol.caller_connection import NO_ROOM, ConnectionMachine
from sycamorebay.protocol.header_names import BODILESS_STATUSES, RawHeaders
from sycamorebay.protocol.request_head import TOO_LARGE, HeadFault
from sycamorebay.state.routing import RequestLimits
from sycamorebay.transport.gateway.body_stream import BodyStream, StreamError
from sycamorebay.transport.gateway.callers.body_reservations import (
    SMALL_BODY_BYTES,
    Reservation,
)
from sycamorebay.transport.gateway.callers.caller_messages import (
    CallerAnswer,
    CallerRequest,
    encode_answer,
)
from sycamorebay.transport.gateway.callers.open_request import OpenRequest, drop_answer
from sycamorebay.transport.gateway.callers.request_reader import RequestHead, RequestReader
from sycamorebay.transport.gateway.sockets import set_socket_options
from sycamorebay.transport.http.bounded_parser import OUT_OF_PROPORTION, RequestError
from sycamorebay.transport.http.paced_feed import PacedFeed

if TYPE_CHECKING:
    from sycamorebay.transport.gateway.callers.listener import Listener

_log = log.get_logger("callers")


class CallerConnection(asyncio.Protocol):
    """One connection of a caller: moves bytes, timers, tasks and streams for its state machine."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._machine: ConnectionMachine[OpenRequest] = ConnectionMachine(listener)
        # While actions are performed: these, with those that they cause.
        self._due_actions: list[Action[OpenRequest]] | None = None
        self._reader = RequestReader(self, self._loop.time)
        self._feed = PacedFeed(self._parse, self._on_fed, listener.turns, self._reader.slice_bytes)
        self._head_headers: RawHeaders = []
        self._reservation: Reservation | None = None
        # Set before any other event by `connection_made`.
        self._transport: asyncio.Transport
        self._stream: BodyStream | None = None
        self._sending: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def request_limits(self) -> RequestLimits:
        """The limits in force."""
        return self._listener.request_limits

    @property
    def busy(self) -> bool:
        """Whether a request is open or being received, or a large answer is being sent."""
        return self._machine.is_busy or self._feed.has_rest

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        if self._machine.is_answering:
            return Phase.BUSY
        is_incomplete = self._reader.in_message or self._feed.held_bytes
        return Phase.INCOMPLETE if is_incomplete else Phase.IDLE

    @property
    def is_light(self) -> bool:
        """Whether the connection holds no more than one small request, and nothing incomplete."""
        requests = self._machine.open_requests
        if self._reader.in_message or self._feed.held_bytes or len(requests) > 1:
            return False
        return all(one.request.held_bytes <= SMALL_HEAD_BYTES for one in requests)

    @property
    def held_bytes(self) -> int:
        """Bytes that the connection makes the process hold, beside bodies and unsent answers."""
        held = CONNECTION_BYTES + self._feed.held_bytes
        if self._reader.in_message:
            held += self._reader.held_bytes
        return held + sum([one.held_bytes for one in self._machine.open_requests])

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller."""
        return self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection at once, without an answer."""
        # Not an action: requests that are due to start after a write must not start before it.
        self._transport.abort()

    def shed(self) -> None:
        """Refuse an incomplete request, or close the connection at once."""
        if self.phase is Phase.INCOMPLETE and self._machine.accepts_input:
            self._perform(self._machine.on_fault(NO_ROOM))
        else:
            # The memory is needed before `connection_lost`, and nothing more is to start.
            self._perform(self._machine.on_lost())
            self.abort()

    def close_if_idle(self) -> None:
        """Close the connection if no request is open."""
        self._perform(self._machine.on_stop(self._feed.has_rest))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        # uvloop's transports have the methods of asyncio's but do not inherit from them.
        self._transport = cast(asyncio.Transport, transport)
        self._reader.caller = str(transport.get_extra_info("peername", ("",))[0])
        self._listener.connections.add(self)
        self._listener.guard.on_connected(self)
        self._feed.open(self._transport)
        set_socket_options(transport)
        self._perform(self._machine.on_open())

    def eof_received(self) -> bool:
        """Close the connection: a caller that closes its side counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the open requests, since the caller has disconnected."""
        self._listener.connections.discard(self)
        self._listener.guard.on_lost(self)
        self._listener.slow_callers.discard(self)
        self._perform(self._machine.on_lost())
        self._feed.close()
        self._reader.close()
        if self._stream is not None:
            self._stream.abort()
        # A sender that waits for the caller finds the stream aborted.
        self._writable.set()

    def pause_writing(self) -> None:
        """Hold back a large answer, and further requests, while the caller reads slowly."""
        self._writable.clear()
        self._listener.slow_callers.add(self)
        self._perform(self._machine.on_write_paused())
        # A transport may tell of its buffer only after the answer that filled it was counted.
        self._listener.slow_callers.close_slowest()

    def resume_writing(self) -> None:
        """Go on with a large answer, and with further requests."""
        self._writable.set()
        self._listener.slow_callers.discard(self)
        self._perform(self._machine.on_write_resumed())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, some of them later if they are much work."""
        if self._machine.accepts_input:
            self._feed.receive(data)

    def _parse(self, data: bytes | memoryview) -> int:
        """Parse bytes, start the timeout of an incomplete request, and return the steps of work."""
        if not self._machine.on_input():
            return 0
        steps = self._reader.steps
        try:
            self._reader.feed(data)
        except RequestError as error:
            if error.fault is OUT_OF_PROPORTION:
                self._listener.counters.framing_refused += 1
                _log.info("request refused for its framing", caller=self._reader.caller)
            elif error.fault is TOO_LARGE:
                self._listener.counters.heads_too_large += 1
                _log.info("request refused for the size of its head", caller=self._reader.caller)
            self._perform(self._machine.on_fault(error.fault))
            return 0
        if actions := self._machine.on_parsed():
            self._perform(actions)
        return self._reader.steps - steps

    def _on_fed(self) -> None:
        """Start the requests that were received, unless they take too much memory."""
        self._listener.guard.on_changed(self)
        if actions := self._machine.on_fed():
            self._perform(actions)

    def on_request_begin(self) -> None:
        """Stop the timeout of an idle connection."""
        self._perform(self._machine.on_begin())

    def on_request_head(self, head: RequestHead) -> None:
        """Reserve room for the body; the caller is held back until there is some."""
        self._head_headers = head.headers
        size = head.body_size
        needs_space = size is None or size > SMALL_BODY_BYTES
        space_bytes = size if needs_space else 0
        if actions := self._machine.on_head(space_bytes, head.expects_continue):
            self._perform(actions)
        self._head_headers = []

    def on_chunk(self, size: int) -> HeadFault | None:
        """Reserve room for bytes of a body whose length is not known."""
        if self._reservation is None or self._reservation.grow(size):
            return None
        return NO_ROOM

    def on_request(self, request: CallerRequest, keep_alive: bool) -> None:
        """Hand a whole request, and the room of its body, to the state machine."""
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            reservation.force()
        opened = OpenRequest(
            keep_alive=keep_alive,
            holds_space=reservation is not None,
            request=request,
            reservation=reservation,
        )
        self._perform(self._machine.on_request(opened))

    def _perform(self, actions: list[Action[OpenRequest]]) -> None:
        """Perform actions in order; what an action causes is performed after those due before."""
        if self._due_actions is not None:
            self._due_actions += actions
            return
        self._due_actions = actions
        try:
            # The loop also takes what is added to the list while it runs.
            for action in actions:
                _ACTIONS_BY_TYPE[type(action)](self, action)
        finally:
            # An idle connection keeps no request or answer.
            self._due_actions = None

    def _start(self, action: Start[OpenRequest]) -> None:
        opened = action.request
        opened.task = self._loop.create_task(self._listener.handler(opened.request))
        opened.task.add_done_callback(lambda task: self._on_done(opened, task))

    def _on_done(self, opened: OpenRequest, task: asyncio.Task[CallerAnswer]) -> None:
        has_failed = task.cancelled() or task.exception() is not None
        if has_failed and not task.cancelled():
            self._loop.call_exception_handler(
                {"message": "a request handler raised an exception", "exception": task.exception()}
            )
        if self._transport.is_closing():
            drop_answer(task)
            return
        if has_failed:
            self._perform(self._machine.on_failure(opened))
        else:
            opened.answer = task.result()
            has_stream = opened.answer.stream is not None
            self._perform(self._machine.on_answer(opened, has_stream))
        self._listener.guard.on_changed(self)

    def _write_answer(self, action: WriteAnswer[OpenRequest]) -> None:
        answer = action.request.answer
        assert answer is not None
        bodiless = action.request.request.method == "HEAD" or answer.status in BODILESS_STATUSES
        for part in encode_answer(answer, action.keep_alive, bodiless):
            self._transport.write(part)
        self._listener.slow_callers.close_slowest()
        if answer.stream is not None:
            self._stream = answer.stream
            self._sending = self._loop.create_task(self._send(answer.stream))

    async def _send(self, stream: BodyStream) -> None:
        """Send the body of a large answer; one that ends early ends the connection."""
        try:
            while piece := await stream.next():
                self._transport.write(piece)
                await self._writable.wait()
        except StreamError:
            self._perform(self._machine.on_stream_break())
            return
        self._stream = None
        if not self._transport.is_closing():
            self._perform(self._machine.on_stream_end())

    def _write_refusal(self, action: WriteRefusal) -> None:
        headers = [(b"content-type", b"text/plain")]
        if action.fault is NO_ROOM:
            headers.append((b"retry-after", b"1"))
        answer = CallerAnswer(action.fault.status, headers, b"")
        for part in encode_answer(answer, False, False):
            self._transport.write(part)

    def _write_continue(self) -> None:
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reserve_space(self, action: ReserveSpace) -> None:
        self._reservation = self._listener.bodies.reserve(action.size, self._on_room)
        if self._reservation.granted:
            self._on_room()
        else:
            wait_s = self._listener.body_wait_s(self._head_headers)
            self._perform(self._machine.on_space_wait(wait_s))

    def _on_room(self) -> None:
        self._perform(self._machine.on_space_granted())

    def _open_space(self) -> None:
        self._reservation = self._listener.bodies.open()

    def _release_body(self) -> None:
        """Give back the room of a body that is not whole, and drop what has arrived of it.

        Input is ignored from now on, so that bytes which are not parsed yet are not needed either.
        """
        self._feed.drop()
        self._reader.drop()
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    def _end_output(self) -> None:
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _set_timer(self, action: SetTimer) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(action.seconds, self._on_timer)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        self._perform(self._machine.on_timeout(self._feed.has_rest))


_SIMPLE_ACTIONS: dict[Simple, Callable[[CallerConnection], None]] = {
    Simple.WRITE_CONTINUE: CallerConnection._write_continue,
    Simple.OPEN_SPACE: CallerConnection._open_space,
    Simple.RELEASE_BODY: CallerConnection._release_body,
    Simple.HOLD_BACK: lambda connection: connection._feed.hold_back(True),
    Simple.GO_ON: lambda connection: connection._feed.hold_back(False),
    Simple.STOP_TIMER: CallerConnection._stop_timer,
    Simple.END_OUTPUT: CallerConnection._end_output,
    Simple.CLOSE: lambda connection: connection._transport.close(),
    Simple.ABORT: lambda connection: connection._transport.abort(),
}
_ACTIONS_BY_TYPE: dict[type, Callable[[CallerConnection, Any], None]] = {
    Start: CallerConnection._start,
    Cancel: lambda _, action: action.request.cancel(),
    ReleaseSpace: lambda _, action: action.request.release_space(),
    WriteAnswer: CallerConnection._write_answer,
    WriteRefusal: CallerConnection._write_refusal,
    ReserveSpace: CallerConnection._reserve_space,
    SetTimer: CallerConnection._set_timer,
    Simple: lambda connection, action: _SIMPLE_ACTIONS[action](connection),
}
