"""A caller's connection as a state machine: events in, actions out, without I/O or a clock.

Each event is a method that returns the actions to perform, in order. Performing one may cause
another event; its actions are performed after those that are already due.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Generic

import attrs

from sycamorebay.protocol.caller_actions import (
    Action,
    Cancel,
    ReleaseSpace,
    RequestT,
    ReserveSpace,
    SetTimer,
    Simple,
    Start,
    WriteAnswer,
    WriteRefusal,
)
from sycamorebay.protocol.connection_state import ConnectionRules, Receiving, Space, Timer
from sycamorebay.protocol.request_head import NO_ROOM, TOO_SLOW, HeadFault

MAX_PIPELINED = 32
# Requests of one connection that run at the same time.
MAX_OVERLAPPING = 8
# After the last answer on a connection, input is read and discarded for this time. Closing with
# unread input would reset the connection, and the answer could be lost.
LINGER_S = 0.5
BODY_TOO_SLOW = HeadFault(408, "the request's body took too long")


@attrs.define(eq=False)
class ConnectionMachine(Generic[RequestT]):
    """Decides what happens on one connection of a caller.

    Parameters
    ----------
    rules : ConnectionRules
        What holds for all connections of the listener.
    max_pipelined : int
        Number of unanswered requests from which on nothing more is read.
    """

    _rules: ConnectionRules[RequestT]
    _max_pipelined: int = MAX_PIPELINED
    _requests: deque[RequestT] = attrs.field(factory=deque)
    _receiving: Receiving = Receiving.NOTHING
    _space: Space = Space.NONE
    _owes_continue: bool = False
    _streamed: RequestT | None = None
    _closes_after_stream: bool = False
    _timer: Timer | None = None
    _fault: HeadFault | None = None
    _is_held_back: bool = False
    _is_write_paused: bool = False
    _ignores_input: bool = False
    _is_closing: bool = False

    @property
    def open_requests(self) -> Collection[RequestT]:
        """Whole requests whose answers have not been written yet, in order."""
        return self._requests

    @property
    def is_answering(self) -> bool:
        """Whether a request is open, or a large answer is being sent."""
        return bool(self._requests) or self._streamed is not None

    @property
    def is_busy(self) -> bool:
        """Whether a request is open or being received, or a large answer is being sent."""
        return self.is_answering or self._receiving is not Receiving.NOTHING

    @property
    def accepts_input(self) -> bool:
        """Whether received bytes are parsed, and not discarded."""
        return not self._ignores_input

    def on_open(self) -> list[Action[RequestT]]:
        """Handle an established connection."""
        return [self._set_timer(self._rules.request_limits.idle_s)]

    def on_input(self) -> bool:
        """Handle received bytes; return whether they are to be parsed, and not discarded."""
        if self._rules.stopping and self._requests and self._receiving is Receiving.NOTHING:
            # The answer to the last open request closes the connection. Later requests are ignored;
            # otherwise a caller that sends without a pause would keep the connection open.
            self._ignores_input = True
        return not self._ignores_input

    def on_parsed(self) -> list[Action[RequestT]]:
        """Handle the end of a parsed segment: bound the time of an incomplete request."""
        if self._receiving is Receiving.HEAD:
            if self._timer is None:
                return [self._set_timer(self._rules.request_limits.head_s)]
        elif self._receiving is Receiving.BODY and self._space is not Space.WAITING:
            return [self._set_timer(self._rules.request_limits.idle_s)]
        return []

    def on_begin(self) -> list[Action[RequestT]]:
        """Handle the first bytes of a request."""
        self._receiving = Receiving.HEAD
        return self._stop_timer()

    def on_head(self, space_bytes: int | None, expects_continue: bool) -> list[Action[RequestT]]:
        """Handle a whole head.

        Parameters
        ----------
        space_bytes : int or None
            Bytes that have to be reserved before the body is received; None if the body's length is
            not known, so that it takes space as it arrives.
        expects_continue : bool
            Whether the caller waits for an interim answer before it sends the body.
        """
        self._receiving = Receiving.BODY
        # While earlier requests are unanswered, a 100 would be taken to concern one of them, and
        # within an answer that is being passed on it would be taken for a part of its body.
        is_first = not self._requests and self._streamed is None
        self._owes_continue = expects_continue and is_first
        actions = self._stop_timer() if self._timer is not None else []
        if space_bytes:
            self._space = Space.REQUESTED
            actions.append(ReserveSpace(space_bytes))
            return actions
        if space_bytes is None:
            self._space = Space.HELD
            actions.append(Simple.OPEN_SPACE)
        if self._owes_continue:
            actions += self._write_continue()
        return actions

    def on_space_granted(self) -> list[Action[RequestT]]:
        """Handle that there is space for the body, at once or after a wait."""
        has_waited = self._space is Space.WAITING
        self._space = Space.HELD
        actions = self._write_continue()
        if has_waited:
            actions.append(self._set_timer(self._rules.request_limits.idle_s))
            self._update_back_pressure(actions)
        return actions

    def on_space_wait(self, wait_s: float) -> list[Action[RequestT]]:
        """Handle that the body has to wait for space, which it may do for so many seconds."""
        self._space = Space.WAITING
        actions: list[Action[RequestT]] = [self._set_timer(wait_s, Timer.SPACE)]
        self._update_back_pressure(actions)
        return actions

    def on_request(self, request: RequestT) -> list[Action[RequestT]]:
        """Queue a whole request; `on_fed` starts it if those ahead of it allow that."""
        self._receiving = Receiving.NOTHING
        self._space = Space.NONE
        if self._ignores_input:
            return [ReleaseSpace(request)]
        actions = self._stop_timer() if self._timer is not None else []
        self._requests.append(request)
        if not request.keep_alive:
            self._ignores_input = True
        self._update_back_pressure(actions)
        return actions

    def on_fed(self) -> list[Action[RequestT]]:
        """Start the requests that were read whole, once received bytes are parsed.

        Until then the owner may find that the connection holds too much, and give it up.
        """
        actions: list[Action[RequestT]] = []
        self._start_runnable(actions)
        self._bound_unread(actions)
        return actions

    def on_write_paused(self) -> list[Action[RequestT]]:
        """Handle that much of what was written waits for the caller: it gets nothing more done."""
        self._is_write_paused = True
        actions: list[Action[RequestT]] = []
        self._update_back_pressure(actions)
        self._bound_unread(actions)
        return actions

    def on_write_resumed(self) -> list[Action[RequestT]]:
        """Handle that the caller has read on."""
        self._is_write_paused = False
        actions = self._stop_timer() if self._timer is Timer.READING else []
        self._start_runnable(actions)
        self._update_back_pressure(actions)
        return actions

    def on_fault(self, fault: HeadFault) -> list[Action[RequestT]]:
        """Refuse the request that is being received, after the answers that are due before it."""
        self._fault = fault
        self._ignores_input = True
        actions = [*self._stop_timer(), *self._release_body()]
        self._update_back_pressure(actions)
        if not self._requests and self._streamed is None:
            actions += self._write_refusal(fault)
        self._bound_unread(actions)
        return actions

    def on_answer(self, request: RequestT, has_stream: bool) -> list[Action[RequestT]]:
        """Handle that a request has an answer."""
        request.is_answered = True
        request.has_stream = has_stream
        return self._write_ready()

    def on_failure(self, request: RequestT) -> list[Action[RequestT]]:
        """Handle that the handler of a request ended without an answer."""
        request.is_answered = request.has_failed = True
        return self._write_ready()

    def on_stream_end(self) -> list[Action[RequestT]]:
        """Handle that the body of a large answer was written whole."""
        self._streamed = None
        return self._end() if self._closes_after_stream else self._write_ready()

    def on_stream_break(self) -> list[Action[RequestT]]:
        """Handle that a large answer ended early: its caller can only learn that from the end."""
        return [Simple.ABORT]

    def on_timeout(self, has_unparsed: bool) -> list[Action[RequestT]]:
        """Handle that the time of the timer has passed.

        Parameters
        ----------
        has_unparsed : bool
            Whether received bytes have not been parsed yet.
        """
        timer, self._timer = self._timer, None
        if timer is Timer.LINGER:
            return [Simple.CLOSE]
        if timer is Timer.READING:
            return [Simple.ABORT]
        if timer is Timer.SPACE:
            return self.on_fault(NO_ROOM)
        if self._receiving is not Receiving.NOTHING:
            is_head = self._receiving is Receiving.HEAD
            return self.on_fault(TOO_SLOW if is_head else BODY_TOO_SLOW)
        if self.is_busy:
            return []
        if has_unparsed:
            # They may hold a request or nothing, so the time without one runs once more.
            return [self._set_timer(self._rules.request_limits.idle_s)]
        return [Simple.CLOSE]

    def on_stop(self, has_unparsed: bool) -> list[Action[RequestT]]:
        """Close the connection if no request is open; `has_unparsed` as in `on_timeout`."""
        if has_unparsed or self.is_busy or self._ignores_input:
            return []
        return [Simple.CLOSE]

    def on_lost(self) -> list[Action[RequestT]]:
        """Handle the connection's end: cancel the open requests."""
        self._ignores_input = self._is_closing = True
        return [*self._stop_timer(), *self._cancel_requests(), *self._release_body()]

    def _start_runnable(self, actions: list[Action[RequestT]]) -> None:
        """Start the first request, and the following ones that may overlap it.

        Behind an answer that may end the connection early, nothing is started until it is whole,
        and nothing while the caller leaves its answers unread.
        """
        if self._is_closing or self._streamed is not None or self._is_write_paused:
            return
        last = len(self._requests) - 1
        for index, request in enumerate(self._requests):
            if index == MAX_OVERLAPPING or (index and not self._rules.overlaps(request)):
                return
            if not request.is_started:
                request.is_started = True
                actions.append(Start(request))
            # The rules look up a route, which is left out where nothing is behind the request.
            if index < last and self._rules.may_end_early(request):
                return

    def _write_ready(self) -> list[Action[RequestT]]:
        """Write the answers that are due, and start the requests behind them."""
        actions: list[Action[RequestT]] = []
        requests = self._requests
        while self._streamed is None and requests and requests[0].is_answered:
            request = requests.popleft()
            if request.holds_space:
                actions.append(ReleaseSpace(request))
            if request.has_failed:
                actions.append(Simple.ABORT)
                return actions
            if not self._write(request, actions):
                return actions
        self._start_runnable(actions)
        self._update_back_pressure(actions)
        self._bound_unread(actions)
        if requests or self._streamed is not None:
            return actions
        if self._fault is not None:
            actions += self._write_refusal(self._fault)
        elif self._receiving is Receiving.NOTHING:
            actions.append(self._set_timer(self._rules.request_limits.idle_s))
        return actions

    def _write(self, request: RequestT, actions: list[Action[RequestT]]) -> bool:
        """Write an answer; return False if nothing more is to be written now."""
        keep_alive = request.keep_alive
        if self._rules.stopping and not any(other.is_started for other in self._requests):
            # Requests that have already started are answered before the close.
            keep_alive = False
        actions.append(WriteAnswer(request, keep_alive))
        if not keep_alive:
            actions += self._announce_close()
        if request.has_stream:
            self._streamed = request
            self._closes_after_stream = not keep_alive
            return True
        if not keep_alive:
            actions += self._end()
        return keep_alive

    def _announce_close(self) -> list[Action[RequestT]]:
        """Drop what has not been started or read whole: the caller takes it as not read.

        Input that is held back is read again. What is not read until the connection is closed
        would reset it, and the answer could be lost.
        """
        self._is_closing = self._ignores_input = True
        actions = [*self._stop_timer(), *self._cancel_requests(), *self._release_body()]
        self._update_back_pressure(actions)
        return actions

    def _write_refusal(self, fault: HeadFault) -> list[Action[RequestT]]:
        return [WriteRefusal(fault), *self._end()]

    def _end(self) -> list[Action[RequestT]]:
        """Close the connection after `LINGER_S`, during which input is read and discarded."""
        self._ignores_input = True
        actions = self._cancel_requests()
        actions.append(Simple.END_OUTPUT)
        actions.append(self._set_timer(LINGER_S, Timer.LINGER))
        return actions

    def _cancel_requests(self) -> list[Action[RequestT]]:
        actions: list[Action[RequestT]] = []
        for request in self._requests:
            if request.holds_space:
                actions.append(ReleaseSpace(request))
            if request.is_started:
                actions.append(Cancel(request))
        self._requests.clear()
        return actions

    def _release_body(self) -> list[Action[RequestT]]:
        self._space = Space.NONE
        return [Simple.RELEASE_BODY]

    def _write_continue(self) -> list[Action[RequestT]]:
        owes_continue, self._owes_continue = self._owes_continue, False
        return [Simple.WRITE_CONTINUE] if owes_continue else []

    def _update_back_pressure(self, actions: list[Action[RequestT]]) -> None:
        is_held_back = (
            len(self._requests) >= self._max_pipelined
            or self._space is Space.WAITING
            or self._leaves_unread
        )
        if is_held_back != self._is_held_back:
            self._is_held_back = is_held_back
            actions.append(Simple.HOLD_BACK if is_held_back else Simple.GO_ON)

    @property
    def _leaves_unread(self) -> bool:
        """Whether the caller leaves whole answers unread while its input is still wanted."""
        return self._is_write_paused and self._streamed is None and not self._ignores_input

    def _bound_unread(self, actions: list[Action[RequestT]]) -> None:
        """Bound the time for which requests wait only for their caller to read its answers."""
        if self._timer is not None or not self._is_write_paused or self._streamed is not None:
            return
        if any(request.is_started for request in self._requests) or not self._requests:
            return
        actions.append(self._set_timer(self._rules.request_limits.idle_s, Timer.READING))

    def _set_timer(self, seconds: float, timer: Timer = Timer.PROGRESS) -> SetTimer:
        self._timer = timer
        return SetTimer(seconds)

    def _stop_timer(self) -> list[Action[RequestT]]:
        if self._timer is None:
            return []
        self._timer = None
        return [Simple.STOP_TIMER]
