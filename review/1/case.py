"""An entry of another writer that can't be read keeps restarted gateways from serving."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    Client,
    Gateways,
    Instance,
    Record,
    Store,
    answer_all,
    configuration,
    route,
    run_case,
)

GATEWAYS = 2
# Bytes that are no JSON: brackets that are never closed. The store takes up to 1,048,576 bytes.
UNREADABLE = b"[" * 2_000
RECOVER_S = 15.0
REQUESTS = 40


async def served(gateways: Gateways, record: Record, name: str) -> int:
    """Send requests on new connections to all gateways; return how many succeed."""
    results: dict[str, int] = {}
    for number in range(REQUESTS):
        try:
            client = await Client.open(gateways.address(number % GATEWAYS))
            result = await client.ask(f"{name}-{number}", "/safe-desk/x", wait_s=2.0)
            client.close()
        except OSError:
            result = "refused"
        results[result] = results.get(result, 0) + 1
        await asyncio.sleep(0.02)
    record.write(f"{name}: {REQUESTS} requests: {results}")
    return results.get("200", 0)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case, with the disruption or without, and return whether the rule was broken."""
    store = Store()
    await store.start()
    store.put("op/config", configuration(1, route("safe", "desk", "1000ms", "500ms")))
    for name in ("i-41c2", "i-7f3a", "i-93d0"):
        instance = Instance(name, "desk", answer_all)
        await instance.start()
        store.put(f"servers/{name}", instance.entry())
    gateways = Gateways(folder, store.address, record)
    try:
        for number in range(GATEWAYS):
            await gateways.start(number)
        for number in range(GATEWAYS):
            if not await gateways.wait_until_ready(number, 15.0):
                raise RuntimeError("a gateway isn't ready before the disruption")
        before = await served(gateways, record, "before")
        if trouble:
            store.put("servers/i-0000", UNREADABLE)
            record.write(f"servers/i-0000 holds {len(UNREADABLE)} bytes that can't be read")
        await asyncio.sleep(2.0)
        await served(gateways, record, "entry written")
        for number in range(GATEWAYS):
            await gateways.kill(number)
        record.write("all gateways were killed")
        await asyncio.sleep(0.5)
        for number in range(GATEWAYS):
            await gateways.start(number)
        await asyncio.sleep(RECOVER_S + 1.0)
        ready = [await gateways.is_ready(number) for number in range(GATEWAYS)]
        record.write(f"ready {RECOVER_S + 1.0:.0f} s after the restart: {ready}")
        after = await served(gateways, record, "after")
        for number in range(GATEWAYS):
            for entry in gateways.log_events(number, "task failed")[-1:]:
                last = str(entry.get("exception", "")).strip().splitlines()[-1:]
                record.write(f"log of gateway {number}: {entry.get('task')} failed: {last}")
        return before >= REQUESTS / 4 and after < REQUESTS / 4
    finally:
        await gateways.close()


run_case(case, FOLDER)
