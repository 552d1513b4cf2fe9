"""Detects pauses of this process, after which its configuration has to be confirmed again."""

from __future__ import annotations

import asyncio

from sycamorebay import log
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.transport.clock import boottime

_TICK_INTERVAL_S = 0.2

_log = log.get_logger("freshness")


class PauseWatch:
    """Calls `Freshness.on_tick` regularly and wakes other tasks after a pause.

    The woken tasks ask the store and the peers at once, because after a pause an entry refuses
    requests until enough of them have answered.

    Parameters
    ----------
    freshness : Freshness
        Detects pauses from the times of the ticks.
    wake_events : tuple of asyncio.Event
        Set when the end of a pause is detected.
    """

    def __init__(self, freshness: Freshness, wake_events: tuple[asyncio.Event, ...]) -> None:
        self._freshness = freshness
        self._wake_events = wake_events

    async def run(self) -> None:
        """Tick every `_TICK_INTERVAL_S` until cancelled."""
        pauses = self._freshness.pauses
        while True:
            self._freshness.on_tick(boottime())
            if self._freshness.pauses > pauses:
                pauses = self._freshness.pauses
                _log.warning("this process was paused", pauses=pauses)
                for event in self._wake_events:
                    event.set()
            await asyncio.sleep(_TICK_INTERVAL_S)
