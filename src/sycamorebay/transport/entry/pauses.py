"""Watches for pauses of this process, and has the platform and the peers asked after one."""

from __future__ import annotations

import asyncio

from sycamorebay import log
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.transport.clock import boottime

_TICK_S = 0.2

_log = log.get_logger("freshness")


class PauseWatch:
    """Ticks, and wakes other parts while the entry is not settled.

    Parameters
    ----------
    freshness : Freshness
        Gets the ticks.
    wake : tuple of asyncio.Event
        Set when a pause ended.
    """

    def __init__(self, freshness: Freshness, wake: tuple[asyncio.Event, ...]) -> None:
        self._freshness = freshness
        self._wake = wake

    async def run(self) -> None:
        """Tick until cancelled."""
        pauses = self._freshness.pauses
        while True:
            self._freshness.on_tick(boottime())
            if self._freshness.pauses > pauses:
                pauses = self._freshness.pauses
                _log.warning("this process was paused", pauses=pauses)
                for event in self._wake:
                    event.set()
            await asyncio.sleep(_TICK_S)
