"""State machines of a caller's connection with a fault each, for its checker."""

from __future__ import annotations

from sycamorebay.protocol.caller_actions import (
    Action,
    ReleaseSpace,
    RequestT,
    ReserveSpace,
    Simple,
    Start,
)
from sycamorebay.protocol.caller_connection import ConnectionMachine, Space


class NeverReadsOn(ConnectionMachine[RequestT]):
    """Gives a body that has waited for space its time, but does not read on."""

    def on_space_granted(self) -> list[Action[RequestT]]:
        """Leave out the action that reads on."""
        return [action for action in super().on_space_granted() if action is not Simple.GO_ON]


class KeepsSpace(ConnectionMachine[RequestT]):
    """Drops requests without releasing the space of their bodies."""

    def _cancel_requests(self) -> list[Action[RequestT]]:
        actions = super()._cancel_requests()
        return [action for action in actions if not isinstance(action, ReleaseSpace)]


class WritesAsTheyCome(ConnectionMachine[RequestT]):
    """Writes an answer as soon as there is one."""

    def on_answer(self, request: RequestT, has_stream: bool) -> list[Action[RequestT]]:
        """Write the answer before those ahead of it."""
        if self._streamed is None and not has_stream:
            self._requests.remove(request)
            self._requests.appendleft(request)
        return super().on_answer(request, has_stream)


class Before3b8ad05(ConnectionMachine[RequestT]):
    """Has bodies of unknown length wait for space behind others."""

    def on_head(self, space_bytes: int | None, expects_continue: bool) -> list[Action[RequestT]]:
        """Reserve no bytes, but in the order of all bodies."""
        if space_bytes is not None:
            return super().on_head(space_bytes, expects_continue)
        actions = super().on_head(1, expects_continue)
        return [ReserveSpace(0) if isinstance(one, ReserveSpace) else one for one in actions]

    def take_space_by_force(self) -> None:
        """Handle a chunk in the segment of the head: the reservation leaves the queue."""
        self._space = Space.HELD


class BeforeD5b8793(Before3b8ad05[RequestT]):
    """Starts requests behind downloads and behind answers that are being passed on."""

    def _start_runnable(self, actions: list[Action[RequestT]]) -> None:
        if self._is_closing:
            return
        for index, request in enumerate(self._requests):
            if index and not self._rules.overlaps(request):
                return
            if not request.is_started:
                request.is_started = True
                actions.append(Start(request))


class BeforeBe5e991(BeforeD5b8793[RequestT]):
    """Starts requests behind an answer whose head announced the close."""

    def _announce_close(self) -> list[Action[RequestT]]:
        return []


class ContinuesWithinStream(ConnectionMachine[RequestT]):
    """Writes interim answers while a large answer is being passed on."""

    def on_head(self, space_bytes: int | None, expects_continue: bool) -> list[Action[RequestT]]:
        """Decide as if no answer were being passed on."""
        streamed, self._streamed = self._streamed, None
        actions = super().on_head(space_bytes, expects_continue)
        self._streamed = streamed
        return actions


class KeepsBodyAtClose(ConnectionMachine[RequestT]):
    """Keeps the body that is being received when the close is announced."""

    def _announce_close(self) -> list[Action[RequestT]]:
        self._is_closing = self._ignores_input = True
        return self._cancel_requests()


class ForgetsIdleTime(ConnectionMachine[RequestT]):
    """Sets no timer where the idle time ends beside unparsed bytes."""

    def on_timeout(self, has_unparsed: bool) -> list[Action[RequestT]]:
        """Leave an idle connection without a timer."""
        actions = super().on_timeout(has_unparsed)
        if has_unparsed and not self.is_busy:
            self._timer = None
            return []
        return actions


class StartsForUnreadAnswers(ConnectionMachine[RequestT]):
    """Starts requests of a caller that leaves its answers unread."""

    def on_write_paused(self) -> list[Action[RequestT]]:
        """Go on as if the caller read."""
        return []
