"""Spreads news of leaving backend servers, seen here, heard from peers, or read in the VM list."""

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

_LOOK_S = 0.25

_log = log.get_logger("news")


class LeavingExchange:
    """Joins the dispatcher's own signs of leaving servers with those of peers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sees leaving servers, and is told of them.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._notices = LeavingNotices()
        self.soon = asyncio.Event()

    async def run(self) -> None:
        """Look at what this entry sees itself until cancelled."""
        while True:
            now = time.monotonic()
            if self._notices.on_seen(now, self._dispatcher.leaving(now)):
                self.soon.set()
            await asyncio.sleep(_LOOK_S)

    def outgoing(self) -> list[LeavingNotice]:
        """Return the news for the next heartbeat."""
        return self._notices.outgoing(time.monotonic())

    def on_peer_notices(self, notices: Sequence[LeavingNotice]) -> None:
        """Take a peer's news; what is new goes on at once."""
        now = time.monotonic()
        update = self._notices.on_peer_notices(now, notices)
        for server_id, seen_at in update.seen_at_by_id.items():
            self._dispatcher.on_leaving(seen_at, server_id)
        if update.new:
            self.soon.set()


class VmWatch:
    """Reads the platform's list of VMs now and then; it lags, so it is a hint.

    Parameters
    ----------
    dispatcher : Dispatcher
        Is told of backend servers whose VM is leaving.
    vms : VmList
        The list.
    poll_s : float
        Seconds between reads.
    """

    def __init__(self, dispatcher: Dispatcher, vms: VmList, poll_s: float) -> None:
        self._dispatcher = dispatcher
        self._vms = vms
        self._poll_s = poll_s
        self._rng = random.Random()

    async def run(self) -> None:
        """Read until cancelled."""
        backoff = Backoff(self._rng)
        leaving: frozenset[str] = frozenset()
        while True:
            wait_s = self._poll_s * self._rng.uniform(0.8, 1.2)
            try:
                leaving = _leaving(await self._vms.vms())
                backoff.on_success()
            except PlatformError as error:
                _log.info("list of VMs failed", reason=str(error))
                leaving = frozenset()
                wait_s += backoff.on_failure()
            await self._hold(leaving, wait_s)

    async def _hold(self, addresses: frozenset[str], hold_s: float) -> None:
        """Tell the dispatcher again and again until the list is read anew."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(hold_s):
                while True:
                    self._tell(addresses)
                    await asyncio.sleep(1.0)

    def _tell(self, addresses: frozenset[str]) -> None:
        if not addresses:
            return
        now = time.monotonic()
        for state in self._dispatcher.backends:
            address = state.server.address
            if address in addresses or address.rpartition(":")[0] in addresses:
                self._dispatcher.on_leaving(now, state.server.id)


def _leaving(vms: Sequence[Vm]) -> frozenset[str]:
    return frozenset(vm.address for vm in vms if vm.leaving)
