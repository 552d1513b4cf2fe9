"""Admission through a real entry: the queue, its deadlines and the limit on retries."""

from __future__ import annotations

import asyncio
from collections import Counter

import testtools

from bench.fleet import Fleet
from tests.support import asynchronous, small_shape

HOST_HEADER = {"host": "desk.test"}
SLOTS = 8


class AdmissionPathTest(testtools.TestCase):
    @asynchronous
    async def test_waiting_requests_are_sent_refused_or_dropped(self):
        async with Fleet(small_shape(1)) as fleet:
            await self.check_burst(fleet)
            await self.check_deadline(fleet)
            await self.check_disconnect_in_queue(fleet)

    @asynchronous
    async def test_retries_do_not_amplify_a_total_failure(self):
        async with Fleet(small_shape(1)) as fleet:
            for _ in range(100):
                await send_get(fleet, "/prices/7")
            for fault, count in (({"shed": True}, "shed"), ({"fail": True}, "failed")):
                await fleet.control_backend("all", **{"shed": False, **fault})
                results = [await send_get(fleet, "/prices/7") for _ in range(100)]
                self.assertEqual(
                    {503 if count == "shed" else 500}, {result[0] for result in results}
                )
                counted = (await fleet.counted_by_backend()).values()
                self.assertLessEqual(
                    sum(counters["counts"].get(count, 0) for counters in counted), 110
                )

    async def check_burst(self, fleet: Fleet) -> None:
        """A burst beyond slots and queue: each request is served or refused as not run."""
        results = await asyncio.gather(
            *(send_get(fleet, "/prices/7?work_ms=50") for _ in range(60))
        )
        counted = Counter((status, step) for status, step, _ in results)
        self.assertEqual({(200, ""), (503, "admit")}, set(counted))
        self.assertGreater(counted[200, ""], SLOTS)
        self.assertTrue(
            all(retry_after_s >= 1 for status, _, retry_after_s in results if status == 503)
        )
        runs = sum(
            counters["counts"].get("ran", 0)
            for counters in (await fleet.counted_by_backend()).values()
        )
        self.assertEqual(counted[200, ""], runs)

    async def check_deadline(self, fleet: Fleet) -> None:
        """A request whose deadline passes in the queue is refused as not run."""
        slow_tasks = [
            asyncio.create_task(send_get(fleet, "/prices/7?work_ms=900")) for _ in range(SLOTS * 2)
        ]
        await asyncio.sleep(0.2)
        status, step, _ = await send_get(fleet, "/prices/7", {"sycamorebay-deadline-ms": "300"})
        self.assertEqual((503, "admit"), (status, step))
        await asyncio.gather(*slow_tasks)

    async def check_disconnect_in_queue(self, fleet: Fleet) -> None:
        """A queued request whose caller disconnects is dropped and never sent."""
        slow_tasks = [
            asyncio.create_task(send_get(fleet, "/prices/7?work_ms=500")) for _ in range(SLOTS * 2)
        ]
        await asyncio.sleep(0.1)
        queued_tasks = [
            asyncio.create_task(send_bid(fleet, f"bid-{number}")) for number in range(4)
        ]
        await asyncio.sleep(0.1)
        for task in queued_tasks:
            task.cancel()
        await asyncio.gather(*slow_tasks, *queued_tasks, return_exceptions=True)
        counted = await fleet.counted_by_backend()
        self.assertEqual([{}] * 4, [counters["runs_by_key"] for counters in counted.values()])


async def send_bid(fleet: Fleet, key: str) -> None:
    headers = {**HOST_HEADER, "idempotency-key": key, "sycamorebay-attempt": "1"}
    async with fleet.http.post(fleet.url(0) + "/bids", headers=headers, data=b"bid") as response:
        await response.read()


async def send_get(
    fleet: Fleet, target: str, headers: dict[str, str] | None = None
) -> tuple[int, str, int]:
    """Return the status, the refusal's step and its ``Retry-After`` in seconds."""
    url = fleet.url(0) + target
    async with fleet.http.get(url, headers={**HOST_HEADER, **(headers or {})}) as response:
        body = await response.json(content_type=None)
        retry_after_s = int(response.headers.get("retry-after", "0"))
        return response.status, (body or {}).get("step", ""), retry_after_s
