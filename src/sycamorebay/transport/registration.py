"""Keeps this entry's registration, and its report on the revision in force, under a lease."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

import attrs

from sycamorebay import log
from sycamorebay.coordination.lease import Lease
from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.pace import Backoff
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import members_prefix
from sycamorebay.protocol.reports import Report, encode_report, report_key
from sycamorebay.settings import Settings
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.in_force import RevisionInForce
from sycamorebay.transport.platform import Store

_log = log.part("registration")


class Registration:
    """Leased keys that tell who this entry is and which revision it has in force.

    Parameters
    ----------
    settings : Settings
        Name the environment and the lease's length.
    store : Store
        The platform's service.
    own : Member
        This entry.
    in_force : RevisionInForce
        Tells the revision.
    """

    def __init__(
        self, settings: Settings, store: Store, own: Member, in_force: RevisionInForce
    ) -> None:
        self._store = store
        self._own = own
        self._in_force = in_force
        self._environment = settings.environment
        self._key = members_prefix(settings.environment) + own.id
        self._rng = random.Random()
        self._backoff = Backoff(self._rng)
        self._reported = Report("", 0, 0, "")
        self.lease = Lease(settings.platform.lease_s)

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            try:
                await self._renew()
                await self._report()
                self._backoff.on_success()
                wait_s = self.lease.renew_in_s(boottime(), self._rng)
            except PlatformError as error:
                _log.warning("registration failed", step=error.step, reason=str(error))
                wait_s = self._backoff.on_failure()
            await self._wait(wait_s)

    async def _wait(self, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._in_force.changed.wait()

    async def _renew(self) -> None:
        asked_at = boottime()
        if self.lease.due(asked_at):
            if self.lease.number and await self._store.keep_alive(self.lease.number):
                self.lease.on_renewed(asked_at)
                return
            self.lease.on_lapsed()
        if self.lease.number == 0:
            number = await self._store.grant(self.lease.length_s)
            await self._register(number)
            self.lease.on_granted(number, asked_at)
            self._reported = Report("", 0, 0, "")

    async def _register(self, lease: int) -> None:
        """Write the registration, but over no newer incarnation of this entry."""
        stored = await self._store.read(self._key)
        value = stored.value if stored is not None else None
        if value is not None and incarnation_of(value) > self._own.incarnation:
            raise PlatformError("a newer incarnation is registered", step="register")
        version = stored.version if stored is not None else 0
        value = json.dumps(attrs.asdict(self._own)).encode()
        if not await self._store.swap(self._key, value, version, lease=lease):
            raise PlatformError("the registration changed", step="register")

    async def _report(self) -> None:
        self._in_force.changed.clear()
        configuration = self._in_force.configuration
        report = Report(
            self._own.id, self._own.incarnation, configuration.number, configuration.digest
        )
        if report != self._reported:
            key = report_key(self._environment, self._own.id)
            await self._store.put(key, encode_report(report), self.lease.number)
            self._reported = report


def incarnation_of(value: bytes) -> int:
    """Return the incarnation of a stored registration; 0 where it can't be read."""
    try:
        return int(json.loads(value)["incarnation"])
    except (ValueError, KeyError, TypeError):
        return 0
