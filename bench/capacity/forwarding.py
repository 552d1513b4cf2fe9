"""Measures forwarding: processor time, largest rate, memory per connection, cost of bodies."""

from __future__ import annotations

import asyncio

from bench.capacity.caller import request_bytes
from bench.capacity.entries import (
    HOST,
    entry_address,
    resident_bytes,
    run_caller,
    running_fleet,
    usage,
)
from bench.capacity.slopes import Results
from bench.fleet import Fleet
from bench.http_connection import HttpConnection

CALLS_PER_S = (200, 600, 1_200)
CONNECTIONS = 16
WINDOW_S = 2.0
REPEATS = 3
BODY_BYTES = (0, 262_144, 1_048_576)
BODY_CALLS_PER_S = 100
BODY_WINDOW_S = 1.0
BODY_REPEATS = 2
OPEN_CONNECTIONS = (10, 100, 1_000)
MEMORY_REPEATS = 2
MAX_RATE_CALLERS = 3
MAX_RATE_CONNECTIONS = 16


def measure(results: Results) -> None:
    """Measure forwarding and add the results."""
    asyncio.run(_measure(results))


async def _measure(results: Results) -> None:
    memory, idle = [], []
    for _ in range(MEMORY_REPEATS):
        async with running_fleet(1) as fleet:
            idle.append(resident_bytes(fleet))
            memory.append(await _open_connections(fleet))
    results.add_figure("forwarding.idle_memory", "B", idle)
    results.add_slope("forwarding.connection", "B", "open connection", OPEN_CONNECTIONS, memory)
    async with running_fleet(1) as fleet:
        await run_caller(entry_address(fleet), connections=CONNECTIONS, rate=CALLS_PER_S[-1])
        costs = [[await _cpu_s(fleet, rate) for rate in CALLS_PER_S] for _ in range(REPEATS)]
        calls = [rate * WINDOW_S for rate in CALLS_PER_S]
        results.add_slope("forwarding.call", "s", "call", calls, costs)
        bodies = [
            [await _body_cpu_s(fleet, size) for size in BODY_BYTES] for _ in range(BODY_REPEATS)
        ]
        sizes = [size / 65_536 for size in BODY_BYTES]
        results.add_slope("forwarding.body", "s", "64 KB of an answer's body", sizes, bodies)
        max_rates = [await _max_rate(fleet) for _ in range(REPEATS)]
        results.add_figure("forwarding.top_rate", "calls/s", [pair[0] for pair in max_rates])
        results.add_figure("forwarding.top_cpu", "s/call", [pair[1] for pair in max_rates])
        results.add_figure("forwarding.loaded_memory", "B", [resident_bytes(fleet)])


async def _open_connections(fleet: Fleet) -> list[float]:
    request = request_bytes(HOST, "/prices/7")
    opened = []
    sizes = []
    for target_count in OPEN_CONNECTIONS:
        while len(opened) < target_count:
            connection = await HttpConnection.open(entry_address(fleet))
            await connection.call(request)
            opened.append(connection)
        sizes.append(resident_bytes(fleet))
    return sizes


async def _cpu_s(fleet: Fleet, rate: int) -> float:
    before = usage(fleet)
    await run_caller(entry_address(fleet), connections=CONNECTIONS, rate=rate, seconds=WINDOW_S)
    return (usage(fleet) - before).cpu_s


async def _body_cpu_s(fleet: Fleet, body_bytes: int) -> float:
    target = f"/prices/7?bytes={body_bytes}"
    options = {
        "connections": 4,
        "rate": BODY_CALLS_PER_S,
        "seconds": BODY_WINDOW_S,
        "target": target,
    }
    before = usage(fleet)
    caller = await run_caller(entry_address(fleet), **options)
    return (usage(fleet) - before).cpu_s / caller.calls


async def _max_rate(fleet: Fleet) -> tuple[float, float]:
    """Return calls a second and processor seconds a call of an entry under closed-loop callers."""
    options = {"connections": MAX_RATE_CONNECTIONS, "seconds": WINDOW_S}
    before = usage(fleet)
    callers = await asyncio.gather(
        *(run_caller(entry_address(fleet), **options) for _ in range(MAX_RATE_CALLERS))
    )
    calls = sum(caller.calls for caller in callers)
    return calls / WINDOW_S, (usage(fleet) - before).cpu_s / calls
