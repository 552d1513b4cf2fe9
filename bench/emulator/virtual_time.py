"""An asyncio event loop in virtual time: sleeping costs nothing and every run repeats."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Advances a clock by the time that it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return no events; the clock jumps to the next timer."""
        if timeout is None:
            raise RuntimeError("the emulated programs wait for something that never happens")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock starts at 0 and advances only by timers."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now
