"""What surrounds the state machine of a caller's connection, as its checker sees it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import TYPE_CHECKING, Any

from specs.caller_connection_state import (
    BODILESS,
    FIELDS,
    FIXED_S,
    LIMITS,
    MAX_PIPELINED,
    OVERLAPPING,
    WAIT_S,
    CheckedRequest,
    Seen,
    Shape,
    State,
    freeze,
    thaw,
)
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
from sycamorebay.protocol.caller_connection import ConnectionMachine
from sycamorebay.protocol.request_head import MALFORMED

if TYPE_CHECKING:
    from specs.caller_connection import Variant


class World:
    """The state machine in its surroundings, for one step.

    Parameters
    ----------
    variant : Variant
        The state machine's class, and the bounds.
    state : State
        The state before the step.
    """

    request_limits = LIMITS

    def __init__(self, variant: Variant, state: State) -> None:
        self._variant = variant
        self._around = state.around
        self._violations: set[str] = set()
        self._grants = True
        self._due: deque[Action[CheckedRequest]] = deque()
        self._machine: ConnectionMachine[CheckedRequest] = variant.machine(self, MAX_PIPELINED)
        for name, value in zip(FIELDS, state.machine, strict=False):
            setattr(self._machine, name, thaw(value))

    @classmethod
    def opened(cls, variant: Variant) -> World:
        """Return the world right after the caller has connected."""
        world = cls(variant, State())
        world._perform(world._machine.on_open())
        return world

    def freeze(self) -> State:
        """Return the state after the step, with what it violates."""
        self._check_rest()
        machine = tuple(freeze(getattr(self._machine, name)) for name in FIELDS)
        return State(machine, self._around, tuple(sorted(self._violations)))

    # What the state machine is told of its listener.

    @property
    def stopping(self) -> bool:
        """Whether the gateway stops."""
        return self._around.stopping

    def overlaps(self, request: CheckedRequest) -> bool:
        """Whether a request may start before those ahead of it are answered."""
        return request.shape in OVERLAPPING

    def may_end_early(self, request: CheckedRequest) -> bool:
        """Whether a request's answer may break off."""
        return request.shape is Shape.DOWNLOAD

    # Events.

    def events(self) -> Iterator[tuple[str, Callable[[World], None]]]:
        """Yield the label of every event that may happen, and what takes it."""
        around = self._around
        if around.is_lost:
            return
        if around.segment:
            yield from self._parse_events()
            return
        yield "lost", World._lose
        if around.body_space == "waiting":
            yield "room", World._grant
        if around.is_over:
            return
        if not around.is_held_back:
            yield "segment", World._begin_segment
        if around.timer_s:
            yield "timeout", World._time_out
            if not around.is_held_back and not around.has_unparsed:
                yield "timeout with unparsed bytes", World._time_out_unparsed
        if self._variant.may_stop:
            yield "stop", World._stop
        yield "caller too slow", World._give_up_caller
        if around.is_write_paused:
            yield "caller reads on", World._resume_writing
        elif self._variant.may_pause and any(one.is_written for one in around.requests):
            yield "caller stops reading", World._pause_writing
        yield from self._answer_events()

    def _parse_events(self) -> Iterator[tuple[str, Callable[[World], None]]]:
        around = self._around
        yield "parsed", World._end_segment
        if around.segment == "closed":
            yield "fault", World._fault
        elif around.receiving is not None:
            # A body that has to wait for space is longer than what is parsed at a time.
            if around.body_space != "waiting" or around.receiving is Shape.CHUNKED:
                yield "whole", World._finish
                yield "fault", World._fault
            if around.body_space == "waiting" and around.receiving is Shape.CHUNKED:
                yield "chunk", World._force
        elif around.is_in_head:
            yield "fault", World._fault
            for shape in self._variant.shapes:
                yield f"head {shape.value}", partial(World._take_head, shape=shape, grants=True)
                if shape not in BODILESS:
                    label = f"head {shape.value}, no room"
                    yield label, partial(World._take_head, shape=shape, grants=False)
        elif len(around.requests) < self._variant.requests:
            yield "begin", World._begin

    def _answer_events(self) -> Iterator[tuple[str, Callable[[World], None]]]:
        for request in self._machine._requests:
            if not request.is_started or request.is_answered:
                continue
            place = request.place
            yield f"answer {place}", partial(World._answer, place=place, has_stream=False)
            if request.shape in (Shape.SAFE, Shape.DOWNLOAD):
                label = f"large answer {place}"
                yield label, partial(World._answer, place=place, has_stream=True)
            if self._variant.may_fail:
                yield f"failure {place}", partial(World._fail, place=place)
        streamed = self._around.streamed
        if streamed >= 0:
            yield "stream ends", World._end_stream
            is_download = self._around.requests[streamed].shape is Shape.DOWNLOAD
            if is_download or self._variant.any_may_break:
                yield "stream breaks", World._break_stream

    def _begin_segment(self) -> None:
        self._set(has_unparsed=False)
        if self._machine.on_input():
            self._set(segment="open")

    def _end_segment(self) -> None:
        self._set(segment="")
        self._perform(self._machine.on_parsed())
        self._perform(self._machine.on_fed())

    def _begin(self) -> None:
        self._set(is_in_head=True)
        self._perform(self._machine.on_begin())

    def _take_head(self, shape: Shape, grants: bool) -> None:
        self._grants = grants
        self._set(is_in_head=False, receiving=shape)
        space_bytes = 0 if shape in BODILESS else None if shape is Shape.CHUNKED else 1
        expects_continue = shape is Shape.UPLOAD_EXPECTING
        self._perform(self._machine.on_head(space_bytes, expects_continue))
        if shape in BODILESS:
            self._finish()

    def _force(self) -> None:
        self._set(body_space="held")
        # Only a state machine that lets these bodies wait gets here.
        self._machine.take_space_by_force()  # type: ignore[attr-defined]

    def _finish(self) -> None:
        shape = self._around.receiving
        assert shape is not None
        holds_space = self._around.body_space != "none"
        keep_alive = shape is not Shape.LAST
        request = CheckedRequest(
            keep_alive, holds_space, place=len(self._around.requests), shape=shape
        )
        requests = (*self._around.requests, Seen(shape, holds_space))
        self._set(requests=requests, receiving=None, body_space="none")
        if not keep_alive:
            self._set(segment="closed")
        self._perform(self._machine.on_request(request))

    def _fault(self) -> None:
        self._set(segment="")
        self._perform(self._machine.on_fault(MALFORMED))
        self._perform(self._machine.on_fed())

    def _grant(self) -> None:
        self._set(body_space="held")
        self._perform(self._machine.on_space_granted())

    def _time_out(self) -> None:
        self._set(timer_s=0.0)
        self._perform(self._machine.on_timeout(self._around.has_unparsed))

    def _time_out_unparsed(self) -> None:
        self._set(has_unparsed=True)
        self._time_out()

    def _stop(self) -> None:
        self._set(stopping=True)
        self._perform(self._machine.on_stop(self._around.has_unparsed))

    def _give_up_caller(self) -> None:
        self._set(is_excused=True, is_over=True)

    def _answer(self, place: int, has_stream: bool) -> None:
        request = self._find(place)
        self._update(request, has_ended=True)
        self._perform(self._machine.on_answer(request, has_stream))

    def _fail(self, place: int) -> None:
        self._set(is_excused=True)
        request = self._find(place)
        self._update(request, has_ended=True)
        self._perform(self._machine.on_failure(request))

    def _end_stream(self) -> None:
        self._set(streamed=-1)
        self._perform(self._machine.on_stream_end())

    def _break_stream(self) -> None:
        self._perform(self._machine.on_stream_break())

    def _pause_writing(self) -> None:
        self._set(is_write_paused=True)
        self._perform(self._machine.on_write_paused())

    def _resume_writing(self) -> None:
        self._set(is_write_paused=False)
        self._perform(self._machine.on_write_resumed())

    def _lose(self) -> None:
        is_excused = self._around.is_excused or not self._around.is_over
        self._set(is_lost=True, is_over=True, is_excused=is_excused, timer_s=0.0)
        self._perform(self._machine.on_lost())

    def _find(self, place: int) -> CheckedRequest:
        return next(one for one in self._machine._requests if one.place == place)

    # Actions.

    def _perform(self, actions: list[Action[CheckedRequest]]) -> None:
        """Perform actions as the listener does."""
        is_performing = bool(self._due)
        self._due.extend(actions)
        if is_performing:
            return
        while self._due:
            self._perform_one(self._due[0])
            self._due.popleft()

    def _perform_one(self, action: Action[CheckedRequest]) -> None:
        match action:
            case Simple():
                self._perform_simple(action)
            case Start(request):
                self._require("no start for unread answers", not self._around.is_write_paused)
                self._require("no start after the close", not self._around.announced)
                self._require("one response", not self._seen(request).is_started)
                self._update(request, is_started=True)
            case Cancel(request):
                # The handler may have run it, and nobody is told.
                self._require("one response", self._around.is_excused)
            case ReleaseSpace(request):
                self._update(request, holds_space=False)
            case WriteAnswer(request, keep_alive):
                self._write(request, keep_alive)
            case WriteRefusal(_):
                self._require("in order", self._may_write(len(self._around.requests)))
                self._set(announced=True)
            case ReserveSpace(_):
                self._reserve()
            case SetTimer(seconds):
                is_extended = seconds in FIXED_S and seconds == self._around.timer_s
                self._require("waits end", not is_extended)
                self._set(timer_s=seconds)

    def _perform_simple(self, action: Simple) -> None:
        if action is Simple.WRITE_CONTINUE:
            self._require("in order", self._may_write(len(self._around.requests)))
        elif action is Simple.OPEN_SPACE:
            self._set(body_space="held")
        elif action is Simple.RELEASE_BODY:
            self._set(body_space="none")
        elif action in (Simple.HOLD_BACK, Simple.GO_ON):
            self._set(is_held_back=action is Simple.HOLD_BACK)
        elif action is Simple.STOP_TIMER:
            self._set(timer_s=0.0)
        elif action in (Simple.CLOSE, Simple.ABORT):
            self._set(is_over=True)

    def _write(self, request: CheckedRequest, keep_alive: bool) -> None:
        self._require("in order", self._may_write(request.place))
        self._require("one response", not self._seen(request).is_written)
        self._update(request, is_written=True)
        if not keep_alive:
            self._set(announced=True)
        if request.has_stream:
            self._set(streamed=request.place)

    def _may_write(self, place: int) -> bool:
        """Whether all before a place is written, and nothing that closes the connection."""
        around = self._around
        is_next = all(one.is_written for one in around.requests[:place])
        return is_next and around.streamed < 0 and not around.announced

    def _reserve(self) -> None:
        self._set(body_space="held" if self._grants else "waiting")
        if self._grants:
            self._perform(self._machine.on_space_granted())
        else:
            self._perform(self._machine.on_space_wait(WAIT_S))

    # Properties of a state between two events.

    def _check_rest(self) -> None:
        around = self._around
        if around.segment:
            return
        self._require("space is released", not self._keeps_space())
        if around.is_over:
            return
        if around.body_space == "waiting":
            self._require("waits end", around.timer_s == WAIT_S)
        pending = sum(1 for one in around.requests if not one.is_written)
        if around.is_held_back:
            is_full = pending >= MAX_PIPELINED and not around.announced
            is_waiting = around.body_space == "waiting" or around.is_write_paused
            self._require("waits end", is_full or is_waiting)
        is_at_work = any(one.is_started and not one.has_ended for one in around.requests)
        goes_on = is_at_work or around.streamed >= 0 or around.has_unparsed
        self._require("waits end", goes_on or around.timer_s > 0.0)

    def _keeps_space(self) -> bool:
        """Whether space is kept for what nobody will run or read on."""
        around = self._around
        has_ended = around.announced and (around.streamed < 0 or around.is_lost)
        if around.body_space != "none" and (has_ended or around.is_lost):
            return True
        return any(
            one.holds_space and (one.is_written or around.announced or around.is_lost)
            for one in around.requests
            if one.is_written or not one.is_started or around.is_lost
        )

    def _require(self, name: str, holds: bool) -> None:
        if not holds:
            self._violations.add(name)

    def _seen(self, request: CheckedRequest) -> Seen:
        return self._around.requests[request.place]

    def _update(self, request: CheckedRequest, **changes: Any) -> None:
        requests = list(self._around.requests)
        requests[request.place] = requests[request.place]._replace(**changes)
        self._set(requests=tuple(requests))

    def _set(self, **changes: Any) -> None:
        self._around = self._around._replace(**changes)
