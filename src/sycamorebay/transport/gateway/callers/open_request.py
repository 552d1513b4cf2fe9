"""A caller's request that was read whole, with what its connection holds for it."""

from __future__ import annotations

import asyncio

import attrs

from sycamorebay.coordination.held_memory import REQUEST_OBJECT_BYTES
from sycamorebay.protocol.caller_actions import PipelinedRequest
from sycamorebay.transport.gateway.callers.body_reservations import Reservation
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer, CallerRequest


@attrs.define(eq=False, kw_only=True)
class OpenRequest(PipelinedRequest):
    """A request whose answer has not been written yet.

    Attributes
    ----------
    request : CallerRequest
        The request itself.
    reservation : Reservation or None
        Room of its body.
    task : asyncio.Task or None
        The handler at work on it, once it is started.
    answer : CallerAnswer or None
        What the handler ended with.
    """

    request: CallerRequest
    reservation: Reservation | None
    task: asyncio.Task[CallerAnswer] | None = None
    answer: CallerAnswer | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, and its answer if that waits for earlier ones."""
        held = self.request.held_bytes + REQUEST_OBJECT_BYTES
        return held + len(self.answer.body) if self.answer is not None else held

    def release_space(self) -> None:
        """Give back the room of the body."""
        if self.reservation is not None:
            self.reservation.release()

    def cancel(self) -> None:
        """Cancel the handler; if it has ended, give up its answer."""
        if self.task is not None and not self.task.cancel():
            drop_answer(self.task)


def drop_answer(task: asyncio.Task[CallerAnswer]) -> None:
    """Give up the answer of a handler that has ended, since its caller has left."""
    if not task.cancelled() and task.exception() is None:
        task.result().drop()
