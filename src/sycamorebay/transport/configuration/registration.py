"""Keeps an entry's registration and its report of the revision in force under a lease."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from contextlib import suppress

import attrs

from sycamorebay import log
from sycamorebay.coordination.lease import Lease
from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.rate_limit import Backoff
from sycamorebay.decoding import UndecodableError, check_integer, decoding, parse_json
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import members_prefix
from sycamorebay.protocol.reports import EntryReport, encode_report, report_key
from sycamorebay.settings import Settings
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.configuration.in_force import RevisionInForce
from sycamorebay.transport.configuration.platform import Store

REPORT_JITTER_S = 0.5  # keeps members from reporting a new revision all at once

_log = log.get_logger("registration")


class Registration:
    """Keeps two leased keys: this entry's registration, and its report of the revision in force.

    Parameters
    ----------
    settings : Settings
        The environment, and `platform.lease_s`, the lease's length in seconds.
    store : Store
        The platform's key-value store.
    own : Member
        This entry.
    in_force : RevisionInForce
        The revision to report.

    Attributes
    ----------
    lease : Lease
        The lease of both keys, on the boot-time clock.
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
        self._reported = EntryReport("", 0, 0, "")
        self.lease = Lease(settings.platform.lease_s)

    async def run(self) -> None:
        """Register, renew the lease and report new revisions until cancelled."""
        while True:
            self._in_force.changed.clear()
            try:
                await self._renew()
                await self._report()
            except PlatformError as error:
                _log.warning("registration failed", step=error.step, reason=str(error))
                await asyncio.sleep(self._backoff.on_failure())
                continue
            self._backoff.on_success()
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait until a renewal is due or, with jitter, until a new revision is in force."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.lease.renew_in_s(boottime(), self._rng)):
                await self._in_force.changed.wait()
                await asyncio.sleep(REPORT_JITTER_S * self._rng.random())

    async def _renew(self) -> None:
        requested_at = boottime()
        if self.lease.renewal_due(requested_at):
            if self.lease.id and await self._store.keep_alive(self.lease.id):
                self.lease.on_renewed(requested_at)
                return
            self.lease.on_expired()
        if self.lease.id == 0:
            version = await self._registered_version()
            lease_id = await self._store.grant(self.lease.length_s)
            await self._register(version, lease_id)
            self.lease.on_granted(lease_id, requested_at)
            self._reported = EntryReport("", 0, 0, "")

    async def _registered_version(self) -> int:
        """Return the version of the registration to replace; 0 if none is stored.

        Raises
        ------
        PlatformError
            If a newer incarnation of this entry is registered, or the store fails.
        """
        stored = await self._store.read(self._key)
        if stored is None or stored.value is None:
            return 0
        if incarnation_of(stored.value) > self._own.incarnation:
            raise PlatformError(
                f"a newer incarnation than {self._own.incarnation} is registered", step="register"
            )
        return stored.version

    async def _register(self, version: int, lease: int) -> None:
        value = json.dumps(attrs.asdict(self._own)).encode()
        if not await self._store.swap(self._key, value, version, lease=lease):
            raise PlatformError(
                f"the registration is no longer at version {version}, expected no change since "
                "it was read",
                step="register",
            )

    async def _report(self) -> None:
        configuration = self._in_force.configuration
        report = EntryReport(
            self._own.id, self._own.incarnation, configuration.number, configuration.digest
        )
        if report != self._reported:
            key = report_key(self._environment, self._own.id)
            await self._store.put(key, encode_report(report), self.lease.id)
            self._reported = report


def incarnation_of(value: bytes) -> int:
    """Return the incarnation of a stored registration; 0 if it cannot be decoded."""
    with suppress(UndecodableError), decoding("registration"):
        return check_integer(parse_json(value)["incarnation"])
    return 0
