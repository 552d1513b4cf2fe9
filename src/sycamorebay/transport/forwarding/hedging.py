"""Runs a hedge, a second attempt beside one that is slow to answer; the first answer wins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Generic, TypeVar

from sycamorebay.coordination.messages import Action, Enqueue, Send

T = TypeVar("T")
Attempt = Callable[[Send], Awaitable[tuple[T | None, list[Action]]]]
ExecuteActions = Callable[[list[Action]], None]


class Race(Generic[T]):
    """Runs the attempts of one request, each with at most one hedge beside it.

    Parameters
    ----------
    attempt : callable
        Makes one attempt. It returns the answer, or None if there is none to deliver, and a list
        of actions of which the first is for this request.
    execute_actions : callable
        Executes actions for other requests.
    discard : callable
        Releases an answer that won after its caller had disconnected.
    """

    def __init__(
        self, attempt: Attempt[T], execute_actions: ExecuteActions, discard: Callable[[T], None]
    ) -> None:
        self._attempt = attempt
        self._execute_actions = execute_actions
        self._discard = discard
        self._first_attempt_timeout: asyncio.Timeout | None = None
        self._pending_hedge: Send | None = None
        self._hedge_task: asyncio.Task[tuple[T | None, list[Action]]] | None = None

    def on_send(self, send: Send) -> None:
        """Start a hedge, or postpone it until the first attempt starts."""
        if self._first_attempt_timeout is None:
            self._pending_hedge = send
        else:
            self._hedge_task = asyncio.create_task(self._run_hedge(send))

    async def run(self, send: Send) -> tuple[T | None, list[Action]]:
        """Make an attempt, and return the result of it or of its hedge.

        The hedge's result is returned if the hedge answers first, or if the first attempt ends
        without deciding what happens to the request. An attempt that loses is cancelled.

        Parameters
        ----------
        send : Send
            The first attempt.

        Returns
        -------
        tuple
            The answer, or None if there is none to deliver, and the actions that follow; the first
            is for this request.
        """
        with self._cancel_hedge_on_exit():
            try:
                async with asyncio.timeout(None) as self._first_attempt_timeout:
                    self._start_pending_hedge()
                    answer, actions = await self._attempt(send)
            except TimeoutError:
                if self._hedge_task is None:
                    raise
                return await self._await_hedge()
            finally:
                self._first_attempt_timeout = None
            is_undecided = answer is None and (not actions or isinstance(actions[0], Enqueue))
            if self._hedge_task is None or not is_undecided:
                return answer, actions
            self._execute_actions(actions[1:])
            return await self._await_hedge()

    def _start_pending_hedge(self) -> None:
        pending, self._pending_hedge = self._pending_hedge, None
        if pending is not None:
            self.on_send(pending)

    async def _await_hedge(self) -> tuple[T | None, list[Action]]:
        assert self._hedge_task is not None
        outcome = await self._hedge_task
        self._hedge_task = None
        return outcome

    async def _run_hedge(self, send: Send) -> tuple[T | None, list[Action]]:
        answer, actions = await self._attempt(send)
        if self._first_attempt_timeout is None:
            # The first attempt has ended, and `run` awaits this result.
            return answer, actions
        if answer is not None:
            # Makes the first attempt time out now, so that `run` returns this result.
            self._first_attempt_timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self._execute_actions(actions[1:])
        return answer, actions

    @contextmanager
    def _cancel_hedge_on_exit(self) -> Iterator[None]:
        try:
            yield
        finally:
            hedge, self._hedge_task = self._hedge_task, None
            if hedge is not None and not hedge.cancel() and not hedge.cancelled():
                answer, _ = hedge.result()
                if answer is not None:
                    self._discard(answer)
