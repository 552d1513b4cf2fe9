from __future__ import annotations

import asyncio
from collections import Counter

import testtools

from bench.fleet import Fleet
from tests.support import asynchronous, small_shape

HOST = {"host": "desk.test"}
SLOTS = 8


class AdmissionPathTest(testtools.TestCase):
    @asynchronous
    async def test_waiting_requests_are_sent_refused_or_dropped(self):
        async with Fleet(small_shape(1)) as fleet:
            await self.check_burst(fleet)
            await self.check_deadline(fleet)
            await self.check_long_wait(fleet)

    @asynchronous
    async def test_a_total_failure_is_not_amplified(self):
        async with Fleet(small_shape(1)) as fleet:
            for _ in range(100):
                await ask(fleet, "/prices/7")
            for fault, count in (({"shed": True}, "shed"), ({"fail": True}, "failed")):
                await fleet.control_backend("all", **{"shed": False, **fault})
                told = [await ask(fleet, "/prices/7") for _ in range(100)]
                self.assertEqual({503 if count == "shed" else 500}, {one[0] for one in told})
                counted = (await fleet.counted_by_backend()).values()
                self.assertLessEqual(sum(one["counts"].get(count, 0) for one in counted), 110)

    async def check_burst(self, fleet: Fleet) -> None:
        """More than slots and queue hold: each is served or told not-run by admission."""
        told = await asyncio.gather(*(ask(fleet, "/prices/7?work_ms=50") for _ in range(60)))
        counted = Counter((status, step) for status, step, _ in told)
        self.assertEqual({(200, ""), (503, "admit")}, set(counted))
        self.assertGreater(counted[200, ""], SLOTS)
        self.assertTrue(all(after >= 1 for status, _, after in told if status == 503))
        runs = sum(
            one["counts"].get("ran", 0) for one in (await fleet.counted_by_backend()).values()
        )
        self.assertEqual(counted[200, ""], runs)

    async def check_deadline(self, fleet: Fleet) -> None:
        """A request whose time is up while it waits is told not-run."""
        slow = [asyncio.create_task(ask(fleet, "/prices/7?work_ms=900")) for _ in range(SLOTS * 2)]
        await asyncio.sleep(0.2)
        status, step, _ = await ask(fleet, "/prices/7", {"sycamorebay-deadline-ms": "300"})
        self.assertEqual((503, "admit"), (status, step))
        await asyncio.gather(*slow)

    async def check_long_wait(self, fleet: Fleet) -> None:
        """A caller that leaves the queue frees its place, and is not sent."""
        slow = [asyncio.create_task(ask(fleet, "/prices/7?work_ms=500")) for _ in range(SLOTS * 2)]
        await asyncio.sleep(0.1)
        waiting = [asyncio.create_task(bid(fleet, f"bid-{number}")) for number in range(4)]
        await asyncio.sleep(0.1)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*slow, *waiting, return_exceptions=True)
        counted = await fleet.counted_by_backend()
        self.assertEqual([{}] * 4, [one["runs_by_key"] for one in counted.values()])


async def bid(fleet: Fleet, key: str) -> None:
    headers = {**HOST, "idempotency-key": key, "sycamorebay-attempt": "1"}
    async with fleet.http.post(fleet.url(0) + "/bids", headers=headers, data=b"bid") as response:
        await response.read()


async def ask(
    fleet: Fleet, target: str, headers: dict[str, str] | None = None
) -> tuple[int, str, int]:
    """Return the status, the refusal's step and its Retry-After."""
    url = fleet.url(0) + target
    async with fleet.http.get(url, headers={**HOST, **(headers or {})}) as response:
        body = await response.json(content_type=None)
        after = int(response.headers.get("retry-after", "0"))
        return response.status, (body or {}).get("step", ""), after
