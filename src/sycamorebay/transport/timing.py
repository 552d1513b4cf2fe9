"""The task that tells the decisions that time has passed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.transport.forward import Forwarder

TICK_S = 0.01
ENTRIES_EVERY_S = 1.0


async def run_timers(
    dispatcher: Dispatcher,
    forwarder: Forwarder,
    entries: Callable[[], list[Entry]],
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Fire the timers of `dispatcher`, and tell it of the live entries, until cancelled.

    `entries` returns this entry first, then its peers.
    """
    next_entries = clock()
    while True:
        now = clock()
        timer = dispatcher.next_timer()
        if timer is not None and timer <= now:
            forwarder.on_actions(dispatcher.on_timer(now))
        if now >= next_entries:
            own, *peers = entries()
            forwarder.on_actions(dispatcher.on_entries(now, own, peers))
            next_entries = now + ENTRIES_EVERY_S
        await asyncio.sleep(TICK_S)
