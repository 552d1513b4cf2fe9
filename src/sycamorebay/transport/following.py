"""Follows the document and the registrations in the platform's service."""

from __future__ import annotations

import asyncio
import json
import random
import time

from sycamorebay import log
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import document_key, environment_prefix, members_prefix
from sycamorebay.settings import Settings
from sycamorebay.transport.in_force import RevisionInForce
from sycamorebay.transport.platform import Store, Stored

_RETRY_S = 0.5

_log = log.part("platform")


class StoreFollower:
    """Reads an environment's keys, then watches them.

    Parameters
    ----------
    settings : Settings
        Names the environment.
    store : Store
        The platform's service.
    in_force : RevisionInForce
        Gets the document.
    membership : Membership
        Gets the registrations.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        in_force: RevisionInForce,
        membership: Membership,
    ) -> None:
        self._environment = settings.environment
        self._store = store
        self._in_force = in_force
        self._membership = membership
        self._members_by_key: dict[str, Member] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._follow()
            except PlatformError as error:
                _log.warning("platform failed", step=error.step, reason=str(error))
            await asyncio.sleep(_RETRY_S * (1 + random.random()))

    async def _follow(self) -> None:
        prefix = environment_prefix(self._environment)
        listing = await self._store.read_prefix(prefix)
        self._members_by_key.clear()
        for item in listing.items:
            self._on_stored(item)
        self._on_members()
        async for item in self._store.watch(prefix, listing.version + 1):
            self._on_stored(item)
            self._on_members()

    def _on_stored(self, item: Stored) -> None:
        if item.key == document_key(self._environment) and item.value is not None:
            self._in_force.on_value(item.value)
        if not item.key.startswith(members_prefix(self._environment)):
            return
        if item.value is None:
            self._members_by_key.pop(item.key, None)
        else:
            self._members_by_key[item.key] = Member(**json.loads(item.value))

    def _on_members(self) -> None:
        members = list(self._members_by_key.values())
        self._membership.on_registrations(time.monotonic(), members)
