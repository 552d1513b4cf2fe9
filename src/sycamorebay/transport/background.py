"""Background tasks of the daemon: each runs until the daemon stops."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Protocol

from sycamorebay import log

RESTART_S = 1.0

_log = log.get_logger("background")


class BackgroundTask(Protocol):
    """A part that owns its state and runs as one task."""

    async def run(self) -> None:
        """Run until cancelled."""
        ...


@contextlib.asynccontextmanager
async def run_in_background(
    parts: Sequence[BackgroundTask], restart_s: float = RESTART_S
) -> AsyncIterator[None]:
    """Run parts side by side, and cancel them at the end.

    Parameters
    ----------
    parts : sequence of BackgroundTask
        A part that fails is logged and run again.
    restart_s : float
        After this time, in seconds.
    """
    tasks = [asyncio.create_task(_run_again(part, restart_s)) for part in parts]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_again(part: BackgroundTask, restart_s: float) -> None:
    while True:
        try:
            await part.run()
        except Exception:
            _log.exception("task failed", task=type(part).__name__)
        await asyncio.sleep(restart_s)
