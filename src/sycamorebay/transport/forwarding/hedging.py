"""A hedge: a second attempt beside one that is slow to answer; the first answer wins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Generic, TypeVar

from sycamorebay.coordination.messages import Action, Enqueue, Send

T = TypeVar("T")
Attempt = Callable[[Send], Awaitable[tuple[T | None, list[Action]]]]
CarryOut = Callable[[list[Action]], None]


class Race(Generic[T]):
    """The attempts of one request that are in flight at the same time.

    Parameters
    ----------
    attempt : callable
        Makes one attempt; returns its answer, None where it has none to deliver, and actions of
        which the first is the request's own.
    carry_out : callable
        Carries out actions for other requests.
    discard : callable
        Drops an answer that won and found its caller gone.
    """

    def __init__(
        self, attempt: Attempt[T], carry_out: CarryOut, discard: Callable[[T], None]
    ) -> None:
        self._attempt = attempt
        self._carry_out = carry_out
        self._discard = discard
        self._scope: asyncio.Timeout | None = None
        self._early: Send | None = None
        self._hedge: asyncio.Task[tuple[T | None, list[Action]]] | None = None

    def on_send(self, send: Send) -> None:
        """Start a hedge, or keep it until the first attempt starts."""
        if self._scope is None:
            self._early = send
        else:
            self._hedge = asyncio.create_task(self._run_hedge(send))

    async def run(self, send: Send) -> tuple[T | None, list[Action]]:
        """Make an attempt, and return the outcome of whichever attempt decides the request."""
        with self._hedge_ended():
            try:
                async with asyncio.timeout(None) as self._scope:
                    self._start_early()
                    answer, actions = await self._attempt(send)
            except TimeoutError:
                if self._hedge is None:
                    raise
                return await self._hedge_outcome()
            finally:
                self._scope = None
            is_undecided = answer is None and (not actions or isinstance(actions[0], Enqueue))
            if self._hedge is None or not is_undecided:
                return answer, actions
            self._carry_out(actions[1:])
            return await self._hedge_outcome()

    def _start_early(self) -> None:
        early, self._early = self._early, None
        if early is not None:
            self.on_send(early)

    async def _hedge_outcome(self) -> tuple[T | None, list[Action]]:
        assert self._hedge is not None
        outcome = await self._hedge
        self._hedge = None
        return outcome

    async def _run_hedge(self, send: Send) -> tuple[T | None, list[Action]]:
        answer, actions = await self._attempt(send)
        if self._scope is None:
            return answer, actions
        if answer is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())
        else:
            self._carry_out(actions[1:])
        return answer, actions

    @contextmanager
    def _hedge_ended(self) -> Iterator[None]:
        try:
            yield
        finally:
            hedge, self._hedge = self._hedge, None
            if hedge is not None and not hedge.cancel() and not hedge.cancelled():
                answer, _ = hedge.result()
                if answer is not None:
                    self._discard(answer)
