"""Registered ranges of keys: this entry's own, kept up to date, and everyone's, read afresh."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable

import attrs

from sycamorebay import log
from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.ranges import EntryRange
from sycamorebay.errors import PlatformError
from sycamorebay.settings import OperationSettings, PlatformSettings
from sycamorebay.transport.configuration.platform import Listing, Store

EXTEND_S = 30.0
RETRY_S = 1.0
MIN_READ_INTERVAL_S = 0.2
CALLS_PER_SECOND = 10.0
LEASE_MARGIN_S = 60

_log = log.get_logger("operations")


def ranges_prefix(environment: str) -> str:
    """Return the prefix of an environment's registered ranges.

    It is apart from the document's, so that nobody's watch is woken by them.
    """
    return f"/sycamorebay-operations/{environment}/"


def for_ranges(settings: PlatformSettings) -> PlatformSettings:
    """Return the platform's settings with the budget of calls that ranges have of their own."""
    return attrs.evolve(settings, calls_per_second=CALLS_PER_SECOND)


class RangeRegistry:
    """Writes this entry's range and reads all ranges.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    environment : str
        Name of the environment.
    own : Member
        This entry.
    settings : OperationSettings
        How far ahead the range reaches.
    on_confirmed : callable
        Called with the time and the end of the range once the store holds it.
    on_known : callable
        Called with the time and all ranges from time to time.
    clock : callable
        UTC in seconds since 1970.
    """

    def __init__(
        self,
        store: Store,
        environment: str,
        own: Member,
        settings: OperationSettings,
        on_confirmed: Callable[[float, float], None],
        on_known: Callable[[float, tuple[EntryRange, ...]], None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._prefix = ranges_prefix(environment)
        self._key = f"{self._prefix}{own.id}/{own.incarnation}"
        self._own = own
        self._settings = settings
        self._on_confirmed = on_confirmed
        self._on_known = on_known
        self._clock = clock
        self._since = 0.0
        self._lease = 0
        self._version = 0
        self.failed = False
        self._writes = 0
        self._next_read_at = 0.0
        self._running: asyncio.Task[tuple[EntryRange, ...]] | None = None
        self._queued: asyncio.Task[tuple[EntryRange, ...]] | None = None

    async def run(self) -> None:
        """Extend this entry's range for ever."""
        while True:
            try:
                if self._lease and not await self._store.keep_alive(self._lease):
                    self._lease = 0
                self._on_known(self._clock(), await self.read())
                self.failed = False
                wait_s = EXTEND_S
            except PlatformError as error:
                _log.warning("range not extended", step=error.step, reason=str(error))
                self.failed = True
                wait_s = RETRY_S
            await asyncio.sleep(wait_s * (0.9 + 0.2 * random.random()))

    async def read(self) -> tuple[EntryRange, ...]:
        """Return all ranges as the store held them at some moment after this call.

        Calls that come while a read is queued share it.

        Raises
        ------
        PlatformError
            Where the store failed or answered from the past.
        """
        if self._queued is None:
            self._queued = asyncio.create_task(self._read_after(self._running))
            self._queued.add_done_callback(_consume)
        return await asyncio.shield(self._queued)

    async def _read_after(
        self, running: asyncio.Task[tuple[EntryRange, ...]] | None
    ) -> tuple[EntryRange, ...]:
        if running is not None:
            await asyncio.wait([running])
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._next_read_at - loop.time())
        self._next_read_at = loop.time() + MIN_READ_INTERVAL_S
        self._running, self._queued = self._queued, None
        try:
            return await self._write_and_read()
        finally:
            self._running = None

    async def _write_and_read(self) -> tuple[EntryRange, ...]:
        """Write this entry's range, then read a list that must show that write."""
        self._writes += 1
        try:
            written = await self._write()
        except PlatformError:
            await self._learn_version()
            raise
        if not written:
            await self._learn_version()
            written = await self._write()
        if not written:
            raise PlatformError("the range changed meanwhile", step="swap", peer=self._key)
        listing = await self._store.read_prefix(self._prefix)
        self._check_fresh(listing)
        return tuple(_decode(item.value) for item in listing.items if item.value is not None)

    async def _write(self) -> bool:
        now = self._clock()
        self._since = self._since or now
        until = now + self._settings.keys_ahead_s
        if not self._lease:
            kept_s = self._settings.keys_ahead_s + self._settings.max_key_age_s + LEASE_MARGIN_S
            self._lease = await self._store.grant(int(kept_s))
        value = _encode(EntryRange(self._own, self._since, until), self._writes)
        written = await self._store.swap(self._key, value, self._version, lease=self._lease)
        if written:
            self._on_confirmed(self._clock(), until)
        return written

    async def _learn_version(self) -> None:
        stored = await self._store.read(self._key)
        self._version = stored.version if stored is not None else 0

    def _check_fresh(self, listing: Listing) -> None:
        for item in listing.items:
            if item.key == self._key and item.value is not None:
                self._version = item.version
                if json.loads(item.value)["writes"] == self._writes:
                    return
        raise PlatformError("the store answered from the past", step="read", peer=self._key)


def _consume(task: asyncio.Task[tuple[EntryRange, ...]]) -> None:
    """Mark a failed read as seen where everyone who waited for it is gone."""
    if not task.cancelled():
        task.exception()


def _encode(one: EntryRange, writes: int) -> bytes:
    member = attrs.asdict(one.member)
    return json.dumps(
        {"member": member, "since": one.since, "until": one.until, "writes": writes}
    ).encode()


def _decode(value: bytes) -> EntryRange:
    try:
        data = json.loads(value)
        return EntryRange(Member(**data["member"]), float(data["since"]), float(data["until"]))
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformError(f"a stored range is damaged: {error}", step="decode") from error
