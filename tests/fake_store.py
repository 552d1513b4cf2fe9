"""A store in memory, with the platform's faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from random import Random

import attrs

from sycamorebay.errors import PlatformError
from sycamorebay.transport.configuration.platform import Listing, StoredItem, Write


@attrs.define
class FakeStore:
    """Answers at once; `lost` swaps take effect and fail, `unsent` fail without effect."""

    values: dict[str, StoredItem] = attrs.field(factory=dict)
    version: int = 0
    lost: int = 0
    unsent: int = 0
    swaps: int = 0
    after_swap: list = attrs.field(factory=list)
    past: dict[str, list[StoredItem]] = attrs.field(factory=dict)
    stale_share: float = 0.0
    rng: Random = attrs.field(factory=lambda: Random(1))

    async def read(self, key: str) -> StoredItem | None:
        await asyncio.sleep(0)
        if self.past.get(key) and self.rng.random() < self.stale_share:
            return self.rng.choice([None, *self.past[key]])
        return self.values.get(key)

    async def read_prefix(self, prefix: str) -> Listing:
        await asyncio.sleep(0)
        found = tuple(item for key, item in self.values.items() if key.startswith(prefix))
        return Listing(found, self.version)

    async def read_versions(self, prefix: str) -> Listing:
        return await self.read_prefix(prefix)

    async def swap(
        self,
        key: str,
        value: bytes,
        version: int,
        extra_writes: Sequence[Write] = (),
        lease: int = 0,
    ) -> bool:
        await asyncio.sleep(0)
        if self.unsent:
            self.unsent -= 1
            raise PlatformError("no answer", step="swap")
        current = self.values.get(key)
        if (current.version if current else 0) != version:
            return False
        self.swaps += 1
        for write in (Write(key, value), *extra_writes):
            self._write(write)
        for step in self.after_swap[:1]:
            self.after_swap.remove(step)
            await step()
        if self.lost:
            self.lost -= 1
            raise PlatformError("no answer", step="swap")
        return True

    async def grant(self, ttl_s: int) -> int:
        return 1

    async def keep_alive(self, lease: int) -> bool:
        return True

    async def revoke(self, lease: int) -> None:
        return None

    async def put(self, key: str, value: bytes, lease: int) -> None:
        self._write(Write(key, value))

    async def watch(self, prefix: str, version: int) -> AsyncIterator[StoredItem]:
        await asyncio.Event().wait()
        yield StoredItem("", None, 0)

    def _write(self, write: Write) -> None:
        self.version += 1
        if write.key in self.values:
            self.past.setdefault(write.key, []).append(self.values[write.key])
        if write.value is None:
            self.values.pop(write.key, None)
        else:
            self.values[write.key] = StoredItem(write.key, write.value, self.version)
