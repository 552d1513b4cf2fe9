"""Hands on what has changed in the store cache, so that no failure loses a part of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from sycamorebay import log
from sycamorebay.coordination.store_cache import StoreCache
from sycamorebay.state.store_versions import VersionedItem
from sycamorebay.transport.gateway.counters import Counters

# Between a delivery that failed and the next one.
REDELIVERY_S = 1.0

_log = log.get_logger("following")


class Delivery:
    """Passes changed items to a receiver.

    The cache has merged items already when they are passed on, and never returns them as changed
    again. After a failure the next delivery is therefore of all items.

    Parameters
    ----------
    cache : StoreCache
        Holds all items.
    receive : callable
        Called with the changed items, and the time until which missing servers are kept, in seconds
        on the event loop's clock.
    counters : Counters
        Metrics of this daemon.

    Attributes
    ----------
    needs_all : bool
        Whether the next delivery is of all items.
    """

    def __init__(
        self,
        cache: StoreCache,
        receive: Callable[[list[VersionedItem], float], None],
        counters: Counters,
    ) -> None:
        self._cache = cache
        self._receive = receive
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.needs_all = False

    def require_all(self) -> None:
        """Make the next delivery one of all items, as some may not have been handed on."""
        self.needs_all = True

    def deliver(self, changed: Sequence[VersionedItem], keep_missing_until: float) -> None:
        """Pass on the changed items; an error of the receiver is logged and counted."""
        items = self._cache.known_items() if self.needs_all else changed
        try:
            self._receive(list(items), keep_missing_until)
        except Exception:
            self._counters.deliveries_failed += 1
            _log.exception("store changes could not be handed on", count=len(items))
            self.needs_all = True
            self._schedule(keep_missing_until)
            return
        self.needs_all = False

    def _schedule(self, keep_missing_until: float) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(REDELIVERY_S, self._redeliver, keep_missing_until)

    def _redeliver(self, keep_missing_until: float) -> None:
        self._timer = None
        if self.needs_all:
            self.deliver((), keep_missing_until)
