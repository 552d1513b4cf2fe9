"""Single answers without end, in small chunks, end gateways by memory over their limit."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    Client,
    Gateways,
    Instance,
    Machines,
    Record,
    Store,
    answer_all,
    configuration,
    route,
    run_case,
)

# refill-charge on svbr-gateway-grown: aim 1,317 ms, deadline 13,119 ms; machines of 200 to 552 MB.
DEADLINE_MS = 13_119
GOAL_MS = 1_317
RAM_MB = 300
GATEWAYS = 2
INSTANCES = 4
ROUNDS = 3
# Longer than the deadline, so that a slower machine gets to the limit as well.
ROUND_S = 14.0
REQUESTS_PER_S = 10.0
PIECE = b"2\r\nxx\r\n" * 4096


async def answer_or_spoil(
    instance: Instance, headers: dict[str, str], target: str, body: bytes, writer: Any
) -> None:
    """Answer; those that are to be spoiled get a body in chunks, until the caller closes."""
    request_id = headers["sycamorebay-request-id"]
    if not body.startswith(b"spoil"):
        await answer_all(instance, headers, target, body, writer)
        return
    head = f"HTTP/1.1 200 OK\r\nSycamorebay-Request-Id: {request_id}\r\n"
    head += f"Sycamorebay-Server-Sig: sig.{request_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head.encode())
    with contextlib.suppress(OSError):
        while not writer.is_closing():
            writer.write(PIECE)
            await writer.drain()


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case, with the disruption or without, and return whether the rule was broken."""
    store = Store()
    await store.start()
    limits = f"{DEADLINE_MS}ms", f"{GOAL_MS}ms"
    store.put("op/config", configuration(1, route("unsafe", "orders", *limits)))
    instances = [Instance(f"i-{n}", "orders", answer_or_spoil) for n in range(INSTANCES)]
    for instance in instances:
        await instance.start()
        store.put(f"servers/{instance.id}", instance.entry())
    gateways = Gateways(folder, store.address, record, RAM_MB)
    machines = Machines(gateways, record)
    results: Counter[str] = Counter()
    lost: list[str] = []

    async def call(number: int, request_id: str, body: bytes) -> None:
        try:
            client = await Client.open(gateways.address(number))
        except OSError:
            results["not connected"] += 1
            return
        result = await client.ask(request_id, "/unsafe-orders/x", "POST", body, DEADLINE_MS)
        results[result] += 1
        ran = any(request_id in instance.ran for instance in instances)
        if result == "closed" and ran:
            lost.append(request_id)
        if body.startswith(b"spoil"):
            record.write(f"{request_id} at gateway {number}: {result}, run: {ran}")
        client.close()

    try:
        for number in range(GATEWAYS):
            await gateways.start(number)
        for number in range(GATEWAYS):
            if not await gateways.wait_until_ready(number, 15.0):
                raise RuntimeError("a gateway isn't ready")
        watches = [asyncio.create_task(machines.watch(n)) for n in range(GATEWAYS)]
        calls = []
        for turn in range(ROUNDS):
            for step in range(int(ROUND_S * REQUESTS_PER_S)):
                for number in range(GATEWAYS):
                    spoil = trouble and step == 10
                    request_id = f"charge-{turn}-{step}-{number}"
                    body = b"spoil" if spoil else b"charge"
                    calls.append(asyncio.create_task(call(number, request_id, body)))
                await asyncio.sleep(1.0 / REQUESTS_PER_S)
        await asyncio.wait(calls, timeout=DEADLINE_MS / 1000 + 5.0)
        for watch in watches:
            watch.cancel()
        record.write(f"{len(calls)} requests: {dict(results)}")
        record.write(f"run by an instance, connection closed without an answer: {len(lost)}")
        record.write(f"ends by memory over {RAM_MB} MB: {dict(machines.ends)}")
        record.write(
            f"largest memory seen: { {n: round(m) for n, m in machines.peaks_mb.items()} }"
        )
        return sum(ends >= 3 for ends in machines.ends.values()) >= 2
    finally:
        await gateways.close()


run_case(case, FOLDER)
