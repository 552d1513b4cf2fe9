"""Timer that lets waiting requests be decided on time."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

TICK_S = 0.01
# Interval while no request waits; held server entries also expire on ticks.
IDLE_TICK_S = 0.1


class TickTask:
    """Background task that calls a function at short intervals while requests wait.

    Parameters
    ----------
    action : callable
        Called on each tick.
    is_busy : callable
        Returns whether requests wait.
    """

    def __init__(self, action: Callable[[], None], is_busy: Callable[[], bool]) -> None:
        self._action = action
        self._is_busy = is_busy
        self._woken = asyncio.Event()

    def wake(self) -> None:
        """Start short intervals at once, since a request began to wait."""
        self._woken.set()

    async def run(self) -> None:
        """Call the function until cancelled."""
        while True:
            if self._is_busy():
                await asyncio.sleep(TICK_S)
            else:
                await self._wait_until_woken()
            self._action()

    async def _wait_until_woken(self) -> None:
        self._woken.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_S):
                await self._woken.wait()
