"""The task that tells the decisions that time has passed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.transport.forwarding.forward import Forwarder

TICK_S = 0.01
ENTRIES_EVERY_S = 1.0


class Timers:
    """Fires the timers of the decisions, and tells them of the live entries.

    Parameters
    ----------
    dispatcher : Dispatcher
        The decisions.
    forwarder : Forwarder
        Carries out what they return.
    entries : callable
        Returns this entry first, then its peers.
    clock : callable
        Time in seconds, never going back.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        entries: Callable[[], list[Entry]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._entries = entries
        self._clock = clock

    async def run(self) -> None:
        """Tick until cancelled."""
        next_entries = self._clock()
        while True:
            now = self._clock()
            timer = self._dispatcher.next_timer()
            if timer is not None and timer <= now:
                self._forwarder.on_actions(self._dispatcher.on_timer(now))
            if now >= next_entries:
                own, *peers = self._entries()
                self._forwarder.on_actions(self._dispatcher.on_entries(now, own, peers))
                next_entries = now + ENTRIES_EVERY_S
            await asyncio.sleep(TICK_S)
