"""Registering an entry's range of keys and reading all ranges, with a faulty store in memory."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import testtools

from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.ranges import EntryRange
from sycamorebay.errors import PlatformError
from sycamorebay.settings import OperationSettings
from sycamorebay.transport.configuration.platform import Listing, StoredItem, Write
from sycamorebay.transport.operations import ranges
from sycamorebay.transport.operations.ranges import RangeRegistry
from tests.fake_store import FakeStore
from tests.support import asynchronous, member

SETTINGS = OperationSettings(keys_ahead_s=900.0, max_key_age_s=900.0)


class LeasedStore(FakeStore):
    """A store with leases that lapse, and with stale listings where `stale_items` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.stale_items: tuple[StoredItem, ...] | None = None
        self.granted_ttls_s: list[int] = []
        self.lapsed_leases: set[int] = set()

    async def grant(self, ttl_s: int) -> int:
        self.granted_ttls_s.append(ttl_s)
        return len(self.granted_ttls_s)

    async def keep_alive(self, lease: int) -> bool:
        return lease not in self.lapsed_leases

    async def swap(
        self, key: str, value: bytes, version: int, also: Sequence[Write] = (), lease: int = 0
    ) -> bool:
        if lease in self.lapsed_leases:
            raise PlatformError("requested lease not found", step="swap")
        return await super().swap(key, value, version, also, lease)

    async def read_prefix(self, prefix: str) -> Listing:
        listing = await super().read_prefix(prefix)
        return listing if self.stale_items is None else Listing(self.stale_items, listing.version)


class RegistrySetup:
    def __init__(self) -> None:
        self.store = LeasedStore()
        self.now = 1000.0
        self.confirmed: list[tuple[float, float]] = []

    def registry(self, own: Member) -> RangeRegistry:
        return RangeRegistry(
            self.store,
            "test",
            own,
            SETTINGS,
            lambda now, until: self.confirmed.append((now, until)),
            lambda _now, _ranges: None,
            lambda: self.now,
        )


class RangesTest(testtools.TestCase):
    @asynchronous
    async def test_every_read_writes_first_and_shows_all(self):
        setup = RegistrySetup()
        one, two = member("entry-1"), member("entry-2")
        await setup.registry(one).read()
        found = await setup.registry(two).read()
        self.assertEqual(
            {EntryRange(one, 1000.0, 1900.0), EntryRange(two, 1000.0, 1900.0)}, set(found)
        )
        self.assertEqual([(1000.0, 1900.0)] * 2, setup.confirmed)
        self.assertGreaterEqual(min(setup.store.granted_ttls_s), 1800)

    @asynchronous
    async def test_a_stale_listing_is_an_error(self):
        setup = RegistrySetup()
        registry = setup.registry(member())
        await registry.read()
        setup.store.stale_items = tuple(setup.store.values.values())
        with testtools.ExpectedException(PlatformError, ".*stale read"):
            await registry.read()
        setup.store.stale_items = ()
        with testtools.ExpectedException(PlatformError, ".*stale read"):
            await registry.read()

    @asynchronous
    async def test_a_write_without_an_answer_confirms_nothing(self):
        setup = RegistrySetup()
        registry = setup.registry(member())
        setup.store.swaps_to_lose = 1
        with testtools.ExpectedException(PlatformError):
            await registry.read()
        self.assertEqual([], setup.confirmed)
        await registry.read()
        self.assertEqual(1, len(setup.confirmed))

    @asynchronous
    async def test_an_older_write_never_replaces_a_newer_one(self):
        setup = RegistrySetup()
        registry = setup.registry(member())
        await registry.read()
        key = next(iter(setup.store.values))
        stale = setup.store.values[key]
        setup.now += 30
        await registry.read()
        self.assertFalse(await setup.store.swap(key, stale.value or b"", stale.version))
        found = await registry.read()
        self.assertEqual([EntryRange(member(), 1000.0, 1930.0)], list(found))

    @asynchronous
    async def test_reads_that_are_queued_are_shared(self):
        setup = RegistrySetup()
        registry = setup.registry(member())
        await asyncio.gather(*(registry.read() for _ in range(50)))
        self.assertEqual(1, setup.store.swaps)

    @asynchronous
    async def test_a_lapsed_lease_is_replaced(self):
        setup = RegistrySetup()
        registry = setup.registry(member())
        self.patch(ranges, "EXTEND_S", 0.01)
        self.patch(ranges, "RETRY_S", 0.01)
        self.patch(ranges, "MIN_READ_INTERVAL_S", 0.0)
        run_task = asyncio.create_task(registry.run())
        while not setup.confirmed:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        setup.store.lapsed_leases.add(1)
        while len(setup.store.granted_ttls_s) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        run_task.cancel()
        self.assertEqual(2, len(setup.store.granted_ttls_s))
