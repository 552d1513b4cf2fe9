"""Keeps this entry's registration under a lease."""

from __future__ import annotations

import asyncio
import json
import random

import attrs

from sycamorebay import log
from sycamorebay.coordination.membership import Member
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import members_prefix
from sycamorebay.settings import Settings
from sycamorebay.transport.platform import Store

_log = log.part("registration")


class Registration:
    """One leased key that tells who this entry is.

    Parameters
    ----------
    settings : Settings
        Name the environment and the lease's length.
    store : Store
        The platform's service.
    own : Member
        This entry.
    """

    def __init__(self, settings: Settings, store: Store, own: Member) -> None:
        self._lease_s = settings.platform.lease_s
        self._store = store
        self._key = members_prefix(settings.environment) + own.id
        self._value = json.dumps(attrs.asdict(own)).encode()
        self._lease = 0

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            try:
                await self._renew()
            except PlatformError as error:
                _log.warning("registration failed", step=error.step, reason=str(error))
            await asyncio.sleep(self._lease_s / 3 * (0.9 + 0.2 * random.random()))

    async def _renew(self) -> None:
        if self._lease and await self._store.keep_alive(self._lease):
            return
        self._lease = await self._store.grant(self._lease_s)
        await self._store.put(self._key, self._value, self._lease)
