"""Starts entry daemons for measurements and reads their processor time, memory and metrics."""

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
WRITE_CALLS = (
    "/v3/kv/put",
    "/v3/kv/txn",
    "/v3/lease/grant",
    "/v3/lease/keepalive",
    "/v3/lease/revoke",
)


@attrs.frozen
class Usage:
    """Resources that a process has used so far.

    Attributes
    ----------
    cpu_s : float
        Processor time, user and system, in seconds.
    io_bytes : int
        Bytes read and written by system calls, those on sockets included.
    """

    cpu_s: float
    io_bytes: int

    def __sub__(self, earlier: Usage) -> Usage:
        return Usage(self.cpu_s - earlier.cpu_s, self.io_bytes - earlier.io_bytes)


@attrs.frozen
class Calls:
    """Calls of one caller process.

    The caller prints the fields as JSON under their names.

    Attributes
    ----------
    calls : int
        Number of calls.
    quantiles_us : list of int
        Latency in microseconds at each thousandth, ascending.
    """

    calls: int
    quantiles_us: list[int]

    def quantile_s(self, share: float) -> float:
        """Return the latency in seconds within which a share of the calls was answered."""
        return self.quantiles_us[int(share * QUANTILES)] / 1e6


def shape(entries: int, servers: int = SERVERS, backend_processes: int = 4) -> Shape:
    """Return the shape of a fleet without probes, whose backend servers answer without work."""
    document = {
        "format": 1,
        "services": [service("desk", servers, SLOTS, DOMAINS, ROUTES)],
        "measuring": {"probes_per_entry": 0, "probes_per_backend_server": 0},
    }
    behaviour = {"work_ms": 0.0, "queue": 1000}
    return Shape(entries, document, backend_processes, behaviour)


def process(fleet: Fleet, index: int = 0) -> psutil.Process:
    """Return the process of one entry."""
    return psutil.Process(fleet.processes_by_name[f"entry-{index}"].pid)


def usage(fleet: Fleet, index: int = 0) -> Usage:
    """Return the resources that one entry has used so far."""
    entry = process(fleet, index)
    times = entry.cpu_times()
    counters = entry.io_counters()
    return Usage(times.user + times.system, counters.read_chars + counters.write_chars)


def resident_bytes(fleet: Fleet, index: int = 0) -> float:
    """Return the resident memory of one entry in bytes."""
    return float(process(fleet, index).memory_info().rss)


async def metric(fleet: Fleet, name: str, index: int = 0) -> float:
    """Return the value of a metric of one entry, summed over its labels.

    Parameters
    ----------
    fleet : Fleet
        Fleet of the entry.
    name : str
        Name of the metric; with labels, for just this series.
    index : int
        Index of the entry.
    """
    _, text = await fleet.operator(index, "/metrics")
    lines = [line for line in text.splitlines() if _is_metric(line, name)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def _is_metric(line: str, name: str) -> bool:
    return line.startswith((name + " ", name + "{")) or line.rpartition(" ")[0] == name


def entry_address(fleet: Fleet, index: int = 0) -> str:
    """Return the ``IP:port`` on which one entry listens for callers."""
    return f"{fleet.address}:{CALLERS_PORT + index}"


async def run_caller(address: str, **options: Any) -> Calls:
    """Run one caller in its own process.

    Parameters
    ----------
    address : str
        ``IP:port`` to run_caller.
    **options : dict
        Options of ``bench.capacity.caller``, with underscores for hyphens.

    Raises
    ------
    RuntimeError
        If the caller fails.
    """
    arguments = ["-m", "bench.capacity.caller", "--address", address, "--host", HOST]
    for name, value in options.items():
        arguments += [f"--{name.replace('_', '-')}", str(value)]
    caller = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await caller.communicate()
    if caller.returncode:
        raise RuntimeError(f"a caller exited with {caller.returncode}, expected 0")
    return Calls(**json.loads(output))


async def platform_counters(fleet: Fleet) -> dict[str, Any]:
    """Return the counters of the platform stand-in."""
    async with fleet.http.get(fleet.platform_url + "/control") as response:
        return await response.json()


def total_calls(counters: dict[str, Any]) -> float:
    """Return the number of calls of all kinds among the counters."""
    return float(sum(counters["calls"].values()))


def total_writes(counters: dict[str, Any]) -> float:
    """Return the number of writing calls among the counters."""
    return float(sum(counters["calls"].get(kind, 0) for kind in WRITE_CALLS))


async def apply_document(fleet: Fleet, text: bytes) -> int:
    """Put a document in force as the operators' command line does; return its revision."""
    change = admin.Change(text, "apply", "operator", "one more instance for the evening")
    async with open_store(PlatformSettings(url=fleet.platform_url)) as store:
        accepted = await admin.apply(store, ENVIRONMENT, change)
    return accepted.entry.revision


@asynccontextmanager
async def running_fleet(
    entries: int, servers: int = SERVERS, backend_processes: int = 4, **platform: Any
) -> AsyncIterator[Fleet]:
    """Run a fleet for the duration of an ``async with`` statement and yield it.

    Parameters
    ----------
    entries : int
        Number of entries.
    servers : int
        Number of backend servers.
    backend_processes : int
        Number of processes that the backend servers share.
    **platform : dict
        Settings of the entries' platform client.
    """
    fleet = Fleet(shape(entries, servers, backend_processes))
    if platform:
        vm_list_url = fleet.platform_url + "/vms"
        fleet.shape.settings["platform"] = {
            "url": fleet.platform_url,
            "vm_list_url": vm_list_url,
            **platform,
        }
    async with fleet:
        yield fleet
