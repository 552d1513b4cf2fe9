"""The background task that fires the dispatcher's timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.transport.forwarding.forward import Forwarder

TICK_S = 0.01
ENTRIES_INTERVAL_S = 1.0


class Timers:
    """Fires the dispatcher's timers and passes it the list of live entries.

    Parameters
    ----------
    dispatcher : Dispatcher
        Receives the timer events and the list of entries.
    forwarder : Forwarder
        Executes the actions that the dispatcher returns.
    entries : callable
        Returns this entry, followed by its live peers.
    clock : callable
        Returns monotonic time in seconds.
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
        """Check for due timers every `TICK_S` and for entries every `ENTRIES_INTERVAL_S`."""
        next_entries_at = self._clock()
        while True:
            now = self._clock()
            timer = self._dispatcher.next_timer()
            if timer is not None and timer <= now:
                self._forwarder.on_actions(self._dispatcher.on_timer(now))
            if now >= next_entries_at:
                own, *peers = self._entries()
                self._forwarder.on_actions(self._dispatcher.on_entries(now, own, peers))
                next_entries_at = now + ENTRIES_INTERVAL_S
            await asyncio.sleep(TICK_S)
