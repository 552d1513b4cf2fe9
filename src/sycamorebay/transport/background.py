"""Background tasks of a daemon, which run until it stops."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Protocol

from sycamorebay import log

RESTART_DELAY_S = 1.0

_log = log.get_logger("background")


class BackgroundTask(Protocol):
    """Component that owns its state and runs as one asyncio task."""

    async def run(self) -> None:
        """Run until the task is cancelled."""
        ...


@contextlib.asynccontextmanager
async def run_in_background(
    background_tasks: Sequence[BackgroundTask],
    restart_delay_s: float = RESTART_DELAY_S,
    on_failed: Callable[[], None] = lambda: None,
) -> AsyncIterator[None]:
    """Run tasks concurrently and cancel them when the ``async with`` block ends.

    A task that fails or returns is run again; a failure is logged.

    Parameters
    ----------
    background_tasks : sequence of BackgroundTask
        Tasks to run.
    restart_delay_s : float
        Delay before a task is run again, in seconds.
    on_failed : callable
        Called after each failure of a task.
    """
    tasks = [
        asyncio.create_task(_run_with_restarts(background_task, restart_delay_s, on_failed))
        for background_task in background_tasks
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_with_restarts(
    background_task: BackgroundTask, restart_delay_s: float, on_failed: Callable[[], None]
) -> None:
    while True:
        try:
            await background_task.run()
        except Exception:
            _log.exception("task failed", task=type(background_task).__name__)
            on_failed()
        await asyncio.sleep(restart_delay_s)
