"""Background tasks of the daemon: each runs until the daemon stops."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Protocol

from sycamorebay import log

RESTART_S = 1.0

_log = log.part("background")


class Background(Protocol):
    """A part that owns its state and runs as one task."""

    async def run(self) -> None:
        """Run until cancelled."""
        ...


@contextlib.asynccontextmanager
async def running(parts: Sequence[Background]) -> AsyncIterator[None]:
    """Run parts side by side, and cancel them at the end."""
    tasks = [asyncio.create_task(_run_again(part)) for part in parts]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _run_again(part: Background) -> None:
    while True:
        try:
            await part.run()
        except Exception:
            _log.exception("task failed", task=type(part).__name__)
        await asyncio.sleep(RESTART_S)
