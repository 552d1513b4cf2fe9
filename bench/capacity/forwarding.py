"""Forwarding: processor time per call, top rate, memory per connection, cost of bodies."""

from __future__ import annotations

import asyncio

from bench.capacity.caller import request_bytes
from bench.capacity.entries import (
    HOST,
    call,
    entry_address,
    fleet_of,
    resident_bytes,
    usage,
)
from bench.capacity.slopes import Results
from bench.fleet import Fleet
from bench.http_connection import HttpConnection

RATES = (200, 600, 1_200)
CONNECTIONS = 16
CALLS_S = 2.0
REPEATS = 3
BODY_BYTES = (0, 262_144, 1_048_576)
BODY_CALLS_PER_S = 100
BODY_S = 1.0
BODY_REPEATS = 2
OPEN = (10, 100, 1_000)
MEMORY_REPEATS = 2
TOP_CALLERS = 3
TOP_CONNECTIONS = 16


def measure(results: Results) -> None:
    """Measure the group."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    memory, idle = [], []
    for _ in range(MEMORY_REPEATS):
        async with fleet_of(1) as fleet:
            idle.append(resident_bytes(fleet))
            memory.append(await _open_connections(fleet))
    results.add_figure("forwarding.idle_memory", "B", idle)
    results.add_slope("forwarding.connection", "B", "open connection", OPEN, memory)
    async with fleet_of(1) as fleet:
        await call(entry_address(fleet), connections=CONNECTIONS, rate=RATES[-1])
        costs = [[await _cpu_s(fleet, rate) for rate in RATES] for _ in range(REPEATS)]
        calls = [rate * CALLS_S for rate in RATES]
        results.add_slope("forwarding.call", "s", "call", calls, costs)
        bodies = [
            [await _body_cpu_s(fleet, size) for size in BODY_BYTES] for _ in range(BODY_REPEATS)
        ]
        sizes = [size / 65_536 for size in BODY_BYTES]
        results.add_slope("forwarding.body", "s", "64 KB of an answer's body", sizes, bodies)
        top = [await _top_rate(fleet) for _ in range(REPEATS)]
        results.add_figure("forwarding.top_rate", "calls/s", [one[0] for one in top])
        results.add_figure("forwarding.top_cpu", "s/call", [one[1] for one in top])
        results.add_figure("forwarding.loaded_memory", "B", [resident_bytes(fleet)])


async def _open_connections(fleet: Fleet) -> list[float]:
    request = request_bytes(HOST, "/prices/7")
    opened = []
    sizes = []
    for wanted in OPEN:
        while len(opened) < wanted:
            connection = await HttpConnection.open(entry_address(fleet))
            await connection.call(request)
            opened.append(connection)
        sizes.append(resident_bytes(fleet))
    return sizes


async def _cpu_s(fleet: Fleet, rate: int) -> float:
    before = usage(fleet)
    await call(entry_address(fleet), connections=CONNECTIONS, rate=rate, seconds=CALLS_S)
    return (usage(fleet) - before).cpu_s


async def _body_cpu_s(fleet: Fleet, body_bytes: int) -> float:
    target = f"/prices/7?bytes={body_bytes}"
    options = {"connections": 4, "rate": BODY_CALLS_PER_S, "seconds": BODY_S, "target": target}
    before = usage(fleet)
    made = await call(entry_address(fleet), **options)
    return (usage(fleet) - before).cpu_s / made.calls


async def _top_rate(fleet: Fleet) -> tuple[float, float]:
    """Return calls a second and processor time a call with callers that never wait."""
    options = {"connections": TOP_CONNECTIONS, "seconds": CALLS_S}
    before = usage(fleet)
    made = await asyncio.gather(
        *(call(entry_address(fleet), **options) for _ in range(TOP_CALLERS))
    )
    calls = sum(one.calls for one in made)
    return calls / CALLS_S, (usage(fleet) - before).cpu_s / calls
