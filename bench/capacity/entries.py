"""Real entry daemons under measurement: their processor time, memory and metrics."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import psutil

from bench.capacity.caller import QUANTILES
from bench.capacity.documents import DOMAINS, ROUTES
from bench.fleet import CALLERS_PORT, ROOT, Fleet, Shape, service
from sycamorebay.settings import PlatformSettings
from sycamorebay.transport.configuration import admin
from sycamorebay.transport.configuration.platform import open_store

HOST = "desk.test"
SERVERS = 8
SLOTS = 500
ENVIRONMENT = "production"
WRITES = (
    "/v3/kv/put",
    "/v3/kv/txn",
    "/v3/lease/grant",
    "/v3/lease/keepalive",
    "/v3/lease/revoke",
)


@attrs.frozen
class Usage:
    """What a process has used so far.

    Attributes
    ----------
    cpu_s : float
        Processor time in seconds.
    io_bytes : int
        Bytes read and written by system calls, sockets among them.
    """

    cpu_s: float
    io_bytes: int

    def __sub__(self, earlier: Usage) -> Usage:
        return Usage(self.cpu_s - earlier.cpu_s, self.io_bytes - earlier.io_bytes)


@attrs.frozen
class Calls:
    """What a light caller saw.

    Attributes
    ----------
    calls : int
        Calls made.
    quantiles_us : list of int
        Latency in microseconds at each thousandth.
    """

    calls: int
    quantiles_us: list[int]

    def quantile_s(self, share: float) -> float:
        """Return the latency in seconds that a share of calls kept."""
        return self.quantiles_us[int(share * QUANTILES)] / 1e6


def shape(entries: int, servers: int = SERVERS, backend_processes: int = 4) -> Shape:
    """Return a fleet that does not probe and whose backend servers answer at once."""
    document = {
        "format": 1,
        "services": [service("desk", servers, SLOTS, DOMAINS, ROUTES)],
        "measuring": {"probes_per_entry": 0, "probes_per_backend_server": 0},
    }
    behaviour = {"work_ms": 0.0, "queue": 1000}
    return Shape(entries, document, backend_processes, behaviour)


def process(fleet: Fleet, index: int = 0) -> psutil.Process:
    """Return one entry's process."""
    return psutil.Process(fleet.processes_by_name[f"entry-{index}"].pid)


def usage(fleet: Fleet, index: int = 0) -> Usage:
    """Return what one entry has used so far."""
    one = process(fleet, index)
    times = one.cpu_times()
    counters = one.io_counters()
    return Usage(times.user + times.system, counters.read_chars + counters.write_chars)


def resident_bytes(fleet: Fleet, index: int = 0) -> float:
    """Return one entry's resident memory."""
    return float(process(fleet, index).memory_info().rss)


async def metric(fleet: Fleet, name: str, index: int = 0) -> float:
    """Return the sum over labels of an entry's metric; a bucket is named with its labels."""
    _, text = await fleet.operator(index, "/metrics")
    lines = [line for line in text.splitlines() if _is_metric(line, name)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def _is_metric(line: str, name: str) -> bool:
    return line.startswith((name + " ", name + "{")) or line.rpartition(" ")[0] == name


def entry_address(fleet: Fleet, index: int = 0) -> str:
    """Return the address of an entry's callers' listener."""
    return f"{fleet.address}:{CALLERS_PORT + index}"


async def call(address: str, **options: Any) -> Calls:
    """Run one light caller in a process of its own."""
    arguments = ["-m", "bench.capacity.caller", "--address", address, "--host", HOST]
    for name, value in options.items():
        arguments += [f"--{name.replace('_', '-')}", str(value)]
    started = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await started.communicate()
    if started.returncode:
        raise RuntimeError(f"a caller ended with {started.returncode}")
    return Calls(**json.loads(output))


async def platform_calls(fleet: Fleet) -> dict[str, Any]:
    """Return what the platform's stand-in has counted so far."""
    async with fleet.http.get(fleet.platform_url + "/control") as response:
        return await response.json()


def platform_total(counted: dict[str, Any]) -> float:
    """Return calls of every kind."""
    return float(sum(counted["calls"].values()))


def platform_writes(counted: dict[str, Any]) -> float:
    """Return calls that write."""
    return float(sum(counted["calls"].get(kind, 0) for kind in WRITES))


async def change(fleet: Fleet, text: bytes) -> int:
    """Make a change as the operators' command line does; return its revision."""
    wanted = admin.Change(text, "apply", "operator", "one more instance for the evening")
    async with open_store(PlatformSettings(url=fleet.platform_url)) as store:
        accepted = await admin.apply(store, ENVIRONMENT, wanted)
    return accepted.entry.revision


@asynccontextmanager
async def fleet_of(
    entries: int, servers: int = SERVERS, backend_processes: int = 4, **platform: Any
) -> AsyncIterator[Fleet]:
    """Start a fleet; `platform` are settings of the entries' platform client."""
    made = Fleet(shape(entries, servers, backend_processes))
    if platform:
        vm_list_url = made.platform_url + "/vms"
        made.shape.settings["platform"] = {
            "url": made.platform_url,
            "vm_list_url": vm_list_url,
            **platform,
        }
    async with made:
        yield made
