"""Shares the work of each turn of the event loop among the connections of a listener."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from typing import Protocol

# Headers, chunks and the like that all connections together have parsed in a turn.
MAX_STEPS_PER_TURN = 2048
# Below this share of the work, no turn is asked for, as that costs time for each request.
FREE_SHARE = 1 / 2
# A connection with much work keeps its place behind the others for so many turns.
BUSY_TURNS = 16


class Flow(Hashable, Protocol):
    """A connection that has work left for a later turn."""

    def run(self) -> None:
        """Do some of the work, report it to `Turns.spend`, and wait again if more is left."""
        ...


class Turns:
    """The connections that wait for a turn of the event loop.

    One that has had little work goes before those that had more than their part of a recent turn:
    an ordinary request doesn't wait behind a flood, however many connections that has.

    Parameters
    ----------
    max_steps : int
        Steps of work in one turn; a connection that has begun may exceed them by its own part.

    Attributes
    ----------
    number : int
        Number of the current turn; turns with little work count as one.
    """

    def __init__(self, max_steps: int = MAX_STEPS_PER_TURN) -> None:
        self._max_steps = max_steps
        self._spent = 0
        # Sets in the order of arrival.
        self._light: dict[Flow, None] = {}
        self._busy: dict[Flow, None] = {}
        self._next: asyncio.Handle | None = None
        self.number = 0

    @property
    def has_room(self) -> bool:
        """Whether more work may be done in this turn."""
        return self._spent < self._max_steps

    def spend(self, steps: int) -> None:
        """Count work that was done in this turn."""
        self._spent += steps
        if self._spent >= FREE_SHARE * self._max_steps:
            self._schedule()

    def wait(self, flow: Flow, busy_since: int | None) -> None:
        """Let a connection wait for a turn.

        Parameters
        ----------
        flow : Flow
            The connection.
        busy_since : int or None
            Number of the last turn in which it did all the work that it may; None if never.
        """
        is_busy = busy_since is not None and self.number - busy_since < BUSY_TURNS
        (self._busy if is_busy else self._light)[flow] = None
        self._schedule()

    def discard(self, flow: Flow) -> None:
        """Let a connection wait no longer."""
        self._light.pop(flow, None)
        self._busy.pop(flow, None)

    def _schedule(self) -> None:
        if self._next is None:
            self._next = asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._next = None
        self._spent = 0
        self.number += 1
        # One that waits again does so for the next turn.
        for _ in range(len(self._light) + len(self._busy)):
            waiting = self._light or self._busy
            if not waiting or not self.has_room:
                break
            flow = next(iter(waiting))
            del waiting[flow]
            flow.run()
        if self._light or self._busy:
            self._schedule()
