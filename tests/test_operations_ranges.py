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
    """A store whose leases end and whose lists may come from the past."""

    def __init__(self) -> None:
        super().__init__()
        self.old_list: tuple[StoredItem, ...] | None = None
        self.lengths: list[int] = []
        self.lapsed: set[int] = set()

    async def grant(self, ttl_s: int) -> int:
        self.lengths.append(ttl_s)
        return len(self.lengths)

    async def keep_alive(self, lease: int) -> bool:
        return lease not in self.lapsed

    async def swap(
        self, key: str, value: bytes, version: int, also: Sequence[Write] = (), lease: int = 0
    ) -> bool:
        if lease in self.lapsed:
            raise PlatformError("requested lease not found", step="swap")
        return await super().swap(key, value, version, also, lease)

    async def read_prefix(self, prefix: str) -> Listing:
        listing = await super().read_prefix(prefix)
        return listing if self.old_list is None else Listing(self.old_list, listing.version)


class Registries:
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
        made = Registries()
        one, two = member("entry-1"), member("entry-2")
        await made.registry(one).read()
        found = await made.registry(two).read()
        self.assertEqual(
            {EntryRange(one, 1000.0, 1900.0), EntryRange(two, 1000.0, 1900.0)}, set(found)
        )
        self.assertEqual([(1000.0, 1900.0)] * 2, made.confirmed)
        self.assertGreaterEqual(min(made.store.lengths), 1800)

    @asynchronous
    async def test_a_list_from_the_past_is_an_error(self):
        made = Registries()
        registry = made.registry(member())
        await registry.read()
        made.store.old_list = tuple(made.store.values.values())
        with testtools.ExpectedException(PlatformError, ".*from the past"):
            await registry.read()
        made.store.old_list = ()
        with testtools.ExpectedException(PlatformError, ".*from the past"):
            await registry.read()

    @asynchronous
    async def test_a_write_without_an_answer_confirms_nothing(self):
        made = Registries()
        registry = made.registry(member())
        made.store.swaps_to_lose = 1
        with testtools.ExpectedException(PlatformError):
            await registry.read()
        self.assertEqual([], made.confirmed)
        await registry.read()
        self.assertEqual(1, len(made.confirmed))

    @asynchronous
    async def test_an_older_write_never_replaces_a_newer_one(self):
        made = Registries()
        registry = made.registry(member())
        await registry.read()
        key = next(iter(made.store.values))
        stale = made.store.values[key]
        made.now += 30
        await registry.read()
        self.assertFalse(await made.store.swap(key, stale.value or b"", stale.version))
        found = await registry.read()
        self.assertEqual([EntryRange(member(), 1000.0, 1930.0)], list(found))

    @asynchronous
    async def test_reads_that_are_queued_are_shared(self):
        made = Registries()
        registry = made.registry(member())
        await asyncio.gather(*(registry.read() for _ in range(50)))
        self.assertEqual(1, made.store.swaps)

    @asynchronous
    async def test_a_lapsed_lease_is_replaced(self):
        made = Registries()
        registry = made.registry(member())
        self.patch(ranges, "EXTEND_S", 0.01)
        self.patch(ranges, "RETRY_S", 0.01)
        self.patch(ranges, "MIN_READ_INTERVAL_S", 0.0)
        running = asyncio.create_task(registry.run())
        while not made.confirmed:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        made.store.lapsed.add(1)
        while len(made.store.lengths) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        running.cancel()
        self.assertEqual(2, len(made.store.lengths))
