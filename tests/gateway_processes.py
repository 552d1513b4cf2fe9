"""Gateways as processes of their own on loopback addresses, so that tests can send signals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import IO, Any

import attrs

from tests.gateway_fleet import Caller, Fleet, config, eventually, free_port

CALLERS, READINESS, CONTROL, DATAGRAMS = range(4)


@attrs.define
class Gateways:
    """Gateway processes by number; they share the ports, and each has its own address."""

    fleet: Fleet
    store_address: str
    folder: Path
    ports: tuple[int, ...]
    processes: dict[int, asyncio.subprocess.Process] = attrs.field(factory=dict)

    def boot_settings(self, number: int) -> dict[str, Any]:
        """Return the content of a gateway's boot file."""
        address = self.address(number)
        return {
            "node_name": f"gateway-{number}",
            "ip": address,
            "zone": "abc"[number % 3],
            "bind": {
                "front": f"{address}:{self.ports[CALLERS]}",
                "readiness": f"{address}:{self.ports[READINESS]}",
                "control": f"{address}:{self.ports[CONTROL]}",
            },
            "port_range": [self.ports[DATAGRAMS], self.ports[DATAGRAMS] + 8],
            "seeds": [f"{self.address(0)}:{self.ports[CONTROL]}"],
            "parameters": {
                "retry_ratio": 0.2,
                "retry_slack": 20,
                "retry_window": "10s",
                "grace": "6s",
            },
            "provider": {"addr": self.store_address},
        }

    def address(self, number: int) -> str:
        """Return a gateway's loopback address."""
        return f"127.0.1.{number + 1}"

    async def start(self, number: int) -> None:
        """Start a gateway's process without waiting until it is ready."""
        path = self.folder / f"boot-{number}.json"
        path.write_text(json.dumps(self.boot_settings(number)))
        with self.open_log(number) as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sycamorebay.platform",
                env={**os.environ, "SYCAMOREBAY_BOOT": str(path)},
                stdout=log,
            )

    def open_log(self, number: int) -> IO[bytes]:
        """Return the file to which a gateway's log is appended."""
        return (self.folder / f"log-{number}").open("ab")

    def signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a gateway's process."""
        self.processes[number].send_signal(signal_number)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a gateway is ready; raises ChildProcessError if its process ended."""
        process = self.processes[number]
        await eventually(lambda: process.returncode is not None or self.is_ready(number), 20.0)
        if process.returncode is not None:
            raise ChildProcessError(f"gateway {number} ended with exit code {process.returncode}")

    async def is_ready(self, number: int) -> bool:
        """Whether a gateway's readiness endpoint answers 200."""
        return await self.fleet.is_ready_at(f"{self.address(number)}:{self.ports[READINESS]}")

    async def connect(self, number: int) -> Caller:
        """Return a new connection to a gateway."""
        return await self.fleet.connect(f"{self.address(number)}:{self.ports[CALLERS]}")

    def read_log(self, number: int) -> list[dict[str, Any]]:
        """Return the entries of a gateway's log, from all of its starts."""
        text = (self.folder / f"log-{number}").read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def close(self) -> None:
        """Kill all processes, also suspended ones."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()


@asynccontextmanager
async def gateways(
    count: int, servers: int = 1, wait: bool = True, configured: bool = True
) -> AsyncIterator[Gateways]:
    """Start a store, servers ``s0``, ``s1``, ... of the service ``desk``, and gateways.

    Without servers or a configuration no gateway becomes ready, so that `wait` has to be False.
    """
    fleet = Fleet()
    with tempfile.TemporaryDirectory() as folder:
        try:
            await fleet.start_store()
            if configured:
                fleet.store.put("op/config", config())
            for number in range(servers):
                await fleet.server(f"s{number}")
            ports = tuple(free_port() for _ in range(4))
            started = Gateways(fleet, fleet.store_address, Path(folder), ports)
            try:
                for number in range(count):
                    await started.start(number)
                for number in range(count if wait else 0):
                    await started.wait_until_ready(number)
                yield started
            finally:
                await started.close()
        finally:
            await fleet.close()
