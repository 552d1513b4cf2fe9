"""In-memory fake of the platform's store, with injected faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from random import Random

import attrs

from sycamorebay.errors import PlatformError
from sycamorebay.transport.configuration.platform import Listing, StoredItem, Write


@attrs.define
class FakeStore:
    """Store that answers at once unless a fault is set.

    Attributes
    ----------
    values : dict of str to StoredItem
        The current items.
    version : int
        Version of the last write.
    swaps_to_lose : int
        Number of next swaps that take effect, but fail as if their answer were lost.
    swaps_to_fail : int
        Number of next swaps that fail without effect.
    swaps : int
        Number of swaps that took effect.
    swap_hooks : list
        Coroutine functions of which each following swap runs one after it took effect.
    replaced_items : dict of str to list of StoredItem
        Replaced items by key, for stale reads.
    stale_share : float
        Share of reads that return an older item or none.
    rng : Random
        Source of the stale reads.
    """

    values: dict[str, StoredItem] = attrs.field(factory=dict)
    version: int = 0
    swaps_to_lose: int = 0
    swaps_to_fail: int = 0
    swaps: int = 0
    swap_hooks: list = attrs.field(factory=list)
    replaced_items: dict[str, list[StoredItem]] = attrs.field(factory=dict)
    stale_share: float = 0.0
    rng: Random = attrs.field(factory=lambda: Random(1))

    async def read(self, key: str) -> StoredItem | None:
        """Return the item of a key, or at times an older one or none."""
        await asyncio.sleep(0)
        if self.replaced_items.get(key) and self.rng.random() < self.stale_share:
            return self.rng.choice([None, *self.replaced_items[key]])
        return self.values.get(key)

    async def read_prefix(self, prefix: str) -> Listing:
        """Return the current items whose key has a prefix; never stale."""
        await asyncio.sleep(0)
        items = tuple(item for key, item in self.values.items() if key.startswith(prefix))
        return Listing(items, self.version)

    async def read_versions(self, prefix: str) -> Listing:
        """Return the same as `read_prefix`."""
        return await self.read_prefix(prefix)

    async def swap(
        self,
        key: str,
        value: bytes,
        version: int,
        extra_writes: Sequence[Write] = (),
        lease: int = 0,
    ) -> bool:
        """Write an item, and others with it, if its version is the expected one.

        Returns
        -------
        bool
            False if the version differs; nothing is written then.

        Raises
        ------
        PlatformError
            If a fault is set; `swaps_to_lose` raises it after the write.
        """
        await asyncio.sleep(0)
        if self.swaps_to_fail:
            self.swaps_to_fail -= 1
            raise PlatformError("no answer", step="swap")
        current = self.values.get(key)
        if (current.version if current else 0) != version:
            return False
        self.swaps += 1
        for write in (Write(key, value), *extra_writes):
            self._write(write)
        for hook in self.swap_hooks[:1]:
            self.swap_hooks.remove(hook)
            await hook()
        if self.swaps_to_lose:
            self.swaps_to_lose -= 1
            raise PlatformError("no answer", step="swap")
        return True

    async def grant(self, ttl_s: int) -> int:
        """Return the id of a lease that never expires."""
        return 1

    async def keep_alive(self, lease: int) -> bool:
        """Return True: leases never expire."""
        return True

    async def revoke(self, lease: int) -> None:
        """Do nothing."""
        return None

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write an item whatever its version is."""
        self._write(Write(key, value))

    async def watch(self, prefix: str, version: int) -> AsyncIterator[StoredItem]:
        """Wait without an end: a watch reports no changes."""
        await asyncio.Event().wait()
        yield StoredItem("", None, 0)

    def _write(self, write: Write) -> None:
        self.version += 1
        if write.key in self.values:
            self.replaced_items.setdefault(write.key, []).append(self.values[write.key])
        if write.value is None:
            self.values.pop(write.key, None)
        else:
            self.values[write.key] = StoredItem(write.key, write.value, self.version)
