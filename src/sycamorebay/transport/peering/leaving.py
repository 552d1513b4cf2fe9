"""Spreads notices of leaving backend servers between entries by gossip.

A server counts as leaving when it announces this to this entry or to a peer, or when the platform's
list of VMs shows it as leaving.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence

from sycamorebay import log
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.leaving import LeavingNotice, LeavingNotices
from sycamorebay.coordination.rate_limit import Backoff
from sycamorebay.errors import PlatformError
from sycamorebay.transport.configuration.platform import Vm, VmList

_CHECK_INTERVAL_S = 0.25

_log = log.get_logger("news")


class LeavingExchange:
    """Merges the leaving servers that this entry observes with the notices of its peers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Observes leaving servers itself, and gives no new work to those that notices name.

    Attributes
    ----------
    send_now : asyncio.Event
        Set when there is a new notice, so that the next heartbeats are sent at once.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._notices = LeavingNotices()
        self.send_now = asyncio.Event()

    async def run(self) -> None:
        """Record the leaving servers that this entry observes itself, until cancelled."""
        while True:
            now = time.monotonic()
            if self._notices.on_observed(now, self._dispatcher.leaving(now)):
                self.send_now.set()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def outgoing(self) -> list[LeavingNotice]:
        """Return the notices for the next heartbeat; their ages are in seconds."""
        return self._notices.outgoing(time.monotonic())

    def on_peer_notices(self, notices: Sequence[LeavingNotice]) -> None:
        """Record a peer's notices, and schedule heartbeats at once if any of them is new."""
        now = time.monotonic()
        update = self._notices.on_peer_notices(now, notices)
        for server_id, seen_at in update.seen_at_by_id.items():
            self._dispatcher.on_leaving(seen_at, server_id)
        if update.has_new:
            self.send_now.set()


class VmWatch:
    """Polls the platform's list of VMs and marks backend servers on leaving VMs.

    The list lags, so it is a hint: each mark expires unless the list is read again, and none is
    made while the list cannot be read.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gives no new work to the marked servers.
    vms : VmList
        The platform's list of VMs.
    poll_s : float
        Seconds between reads, give or take a jitter of a fifth.
    """

    def __init__(self, dispatcher: Dispatcher, vms: VmList, poll_s: float) -> None:
        self._dispatcher = dispatcher
        self._vms = vms
        self._poll_s = poll_s
        self._rng = random.Random()

    async def run(self) -> None:
        """Poll the list until cancelled."""
        backoff = Backoff(self._rng)
        leaving: frozenset[str] = frozenset()
        while True:
            wait_s = self._poll_s * self._rng.uniform(0.8, 1.2)
            try:
                leaving = _leaving_addresses(await self._vms.vms())
                backoff.on_success()
            except PlatformError as error:
                _log.info("list of VMs could not be read", reason=str(error))
                leaving = frozenset()
                wait_s += backoff.on_failure()
            await self._repeat_marks(leaving, wait_s)

    async def _repeat_marks(self, addresses: frozenset[str], duration_s: float) -> None:
        """Mark the servers once per second until the next read, since marks expire."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                while True:
                    self._mark_leaving(addresses)
                    await asyncio.sleep(1.0)

    def _mark_leaving(self, addresses: frozenset[str]) -> None:
        if not addresses:
            return
        now = time.monotonic()
        for state in self._dispatcher.backends:
            address = state.server.address
            if address in addresses or address.rpartition(":")[0] in addresses:
                self._dispatcher.on_leaving(now, state.server.id)


def _leaving_addresses(vms: Sequence[Vm]) -> frozenset[str]:
    return frozenset(vm.address for vm in vms if vm.leaving)
