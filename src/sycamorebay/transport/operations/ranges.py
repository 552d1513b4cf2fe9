"""Registers the range of keys that this entry may run, and reads the ranges of all entries."""

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
from sycamorebay.decoding import UndecodableError, decoding, parse_json
from sycamorebay.errors import PlatformError
from sycamorebay.settings import OperationSettings, PlatformSettings
from sycamorebay.transport.configuration.platform import Listing, Store

EXTEND_S = 30.0  # between two extensions of the range, on average
RETRY_S = 1.0  # the same after a failed extension
MIN_READ_INTERVAL_S = 0.2
CALLS_PER_SECOND = 10.0
LEASE_MARGIN_S = 60  # a range outlives every key that it may hold

_log = log.get_logger("operations")


def ranges_prefix(environment: str) -> str:
    """Return the prefix of an environment's registered ranges.

    It differs from the document's prefix, so that their changes wake no watch on the document.
    """
    return f"/sycamorebay-operations/{environment}/"


def with_range_rate_limit(settings: PlatformSettings) -> PlatformSettings:
    """Return the platform's settings with the separate rate limit for ranges.

    `CALLS_PER_SECOND` replaces the limit that all other calls of the entry share.
    """
    return attrs.evolve(settings, calls_per_second=CALLS_PER_SECOND)


class RangeRegistry:
    """Registers this entry's range of keys in the store and reads all ranges.

    Parameters
    ----------
    store : Store
        The platform's key-value store.
    environment : str
        Name of the environment.
    own : Member
        This entry.
    settings : OperationSettings
        `keys_ahead_s` and `max_key_age_s`, in seconds: how far ahead the range reaches, and how
        old a key may be.
    on_confirmed : callable
        Called with the time and the end of the range once the store has confirmed it.
    on_known : callable
        Called with the time and all ranges, after each periodic read.
    clock : callable
        UTC in seconds since 1970.

    Attributes
    ----------
    failed : bool
        Whether the last attempt to extend the range failed.
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
        self._running_read: asyncio.Task[tuple[EntryRange, ...]] | None = None
        self._queued_read: asyncio.Task[tuple[EntryRange, ...]] | None = None

    async def run(self) -> None:
        """Renew the lease and extend this entry's range until cancelled."""
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
        """Return all ranges as the store held them at some time after this call.

        Reads run one at a time, at least `MIN_READ_INTERVAL_S` apart; calls that arrive while a
        read is queued share it.

        Raises
        ------
        PlatformError
            If the store failed, or if the read was stale.
        """
        if self._queued_read is None:
            self._queued_read = asyncio.create_task(self._read_after(self._running_read))
            self._queued_read.add_done_callback(_retrieve_exception)
        return await asyncio.shield(self._queued_read)

    async def _read_after(
        self, running_read: asyncio.Task[tuple[EntryRange, ...]] | None
    ) -> tuple[EntryRange, ...]:
        if running_read is not None:
            await asyncio.wait([running_read])
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._next_read_at - loop.time())
        self._next_read_at = loop.time() + MIN_READ_INTERVAL_S
        self._running_read, self._queued_read = self._queued_read, None
        try:
            return await self._write_and_read()
        finally:
            self._running_read = None

    async def _write_and_read(self) -> tuple[EntryRange, ...]:
        """Write this entry's range, then read all ranges, which must include that write.

        A listing without the write is stale and must not be used.
        """
        self._writes += 1
        try:
            written = await self._write()
        except PlatformError:
            await self._reload_version()
            raise
        if not written:
            await self._reload_version()
            written = await self._write()
        if not written:
            raise PlatformError(
                f"own range not at version {self._version}, expected no change since it was read",
                step="swap",
                peer=self._key,
            )
        listing = await self._store.read_prefix(self._prefix)
        self._check_includes_own_write(listing)
        return tuple(decode_range(item.value) for item in listing.items if item.value is not None)

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

    async def _reload_version(self) -> None:
        stored = await self._store.read(self._key)
        self._version = stored.version if stored is not None else 0

    def _check_includes_own_write(self, listing: Listing) -> None:
        for item in listing.items:
            if item.key == self._key and item.value is not None:
                self._version = item.version
                if parse_json(item.value)["writes"] == self._writes:
                    return
        raise PlatformError(
            f"stale read: write {self._writes} of the own range expected, not found",
            step="read",
            peer=self._key,
        )


def _retrieve_exception(task: asyncio.Task[tuple[EntryRange, ...]]) -> None:
    """Retrieve the error of a failed read, which may have no caller left.

    Otherwise asyncio logs that the exception was never retrieved.
    """
    if not task.cancelled():
        task.exception()


def _encode(entry_range: EntryRange, writes: int) -> bytes:
    member = attrs.asdict(entry_range.member)
    return json.dumps(
        {"member": member, "since": entry_range.since, "until": entry_range.until, "writes": writes}
    ).encode()


def decode_range(value: bytes) -> EntryRange:
    """Return the range in a stored value.

    Raises
    ------
    PlatformError
        If the value is not the JSON of a range.
    """
    try:
        with decoding("range"):
            data = parse_json(value)
            return EntryRange(Member(**data["member"]), float(data["since"]), float(data["until"]))
    except UndecodableError as error:
        raise PlatformError(f"stored range cannot be decoded: {error}", step="decode") from error
