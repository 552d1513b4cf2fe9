"""Follows the document and the registrations in the platform's key-value store."""

from __future__ import annotations

import asyncio
import contextlib
import random

from sycamorebay import log
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.coordination.rate_limit import Backoff
from sycamorebay.decoding import UndecodableError, decoding, parse_json
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import document_key, environment_prefix, members_prefix
from sycamorebay.settings import Settings
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.configuration.in_force import RevisionInForce
from sycamorebay.transport.configuration.platform import Listing, Store, StoredItem

_log = log.get_logger("platform")


class StoreFollower:
    """Reads an environment's keys, watches them, and polls their versions.

    The poll finds changes that a hung watch has not delivered; it transfers keys and versions, no
    values. The version known of a key never decreases, so a stale read changes nothing.

    Parameters
    ----------
    settings : Settings
        The environment, and `platform.poll_s`, the seconds between polls.
    store : Store
        The platform's key-value store.
    in_force : RevisionInForce
        Receives each new value of the document.
    membership : Membership
        Receives the registered members.

    Attributes
    ----------
    poll_now : asyncio.Event
        Set to poll at once instead of after the interval.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        in_force: RevisionInForce,
        membership: Membership,
    ) -> None:
        self._environment = settings.environment
        self._prefix = environment_prefix(settings.environment)
        self._poll_s = settings.platform.poll_s
        self._store = store
        self._in_force = in_force
        self._membership = membership
        self._rng = random.Random()
        self._version = 0
        self._version_by_key: dict[str, int] = {}
        self._members_by_key: dict[str, Member] = {}
        self._watch_timeout: asyncio.Timeout | None = None
        self.poll_now = asyncio.Event()

    async def run(self) -> None:
        """Watch and poll the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_watch())
            group.create_task(self._run_poll())

    async def _run_watch(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            try:
                if self._version == 0:
                    await self._read()
                    backoff.on_success()
                await self._watch(backoff)
            except TimeoutError:
                _log.warning("watch restarted", reason="it held back a change")
            except PlatformError as error:
                _log.warning("platform failed", step=error.step, reason=str(error))
            await asyncio.sleep(backoff.on_failure())

    async def _watch(self, backoff: Backoff) -> None:
        async with asyncio.timeout(None) as self._watch_timeout:
            async for item in self._store.watch(self._prefix, self._version + 1):
                backoff.on_success()
                self._on_stored(item)
                self._version = max(self._version, item.version)
                self._update_membership()

    async def _run_poll(self) -> None:
        while True:
            await self._wait_for_next_poll()
            try:
                await self._poll()
            except PlatformError as error:
                _log.warning("platform failed", step=error.step, reason=str(error))

    async def _wait_for_next_poll(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._poll_s * self._rng.uniform(0.8, 1.2)):
                await self.poll_now.wait()
        self.poll_now.clear()

    async def _poll(self) -> None:
        requested_at = boottime()
        listing = await self._store.read_versions(self._prefix)
        if listing.version < self._version:
            return
        versions = {item.key: item.version for item in listing.items}
        if versions != self._version_by_key:
            await self._read()
            self._restart_watch()
            return
        self._in_force.freshness.on_store(boottime(), requested_at)

    def _restart_watch(self) -> None:
        if self._watch_timeout is not None and not self._watch_timeout.expired():
            # `reschedule` raises RuntimeError if no watch is running.
            with contextlib.suppress(RuntimeError):
                self._watch_timeout.reschedule(asyncio.get_running_loop().time())

    async def _read(self) -> None:
        requested_at = boottime()
        listing = await self._store.read_prefix(self._prefix)
        if listing.version < self._version:
            _log.warning("stale read ignored", version=listing.version, known=self._version)
            return
        self._version = listing.version
        self._on_listing(listing)
        self._in_force.freshness.on_store(boottime(), requested_at)

    def _on_listing(self, listing: Listing) -> None:
        listed = {item.key for item in listing.items}
        for key in self._version_by_key.keys() - listed:
            self._remove(key)
        for item in listing.items:
            self._on_stored(item)
        self._update_membership()

    def _on_stored(self, item: StoredItem) -> None:
        if item.version <= self._version_by_key.get(item.key, 0):
            return
        if item.value is None:
            self._remove(item.key)
            return
        self._version_by_key[item.key] = item.version
        if item.key == document_key(self._environment):
            self._in_force.on_value(item.value)
        if item.key.startswith(members_prefix(self._environment)):
            self._on_member(item.key, item.value)

    def _on_member(self, key: str, value: bytes) -> None:
        try:
            with decoding("registration"):
                self._members_by_key[key] = Member(**parse_json(value))
        except UndecodableError as error:
            _log.error("registration rejected", key=key, reason=str(error))

    def _remove(self, key: str) -> None:
        self._version_by_key.pop(key, None)
        self._members_by_key.pop(key, None)

    def _update_membership(self) -> None:
        self._membership.on_registrations(boottime(), self._members_by_key.values())
