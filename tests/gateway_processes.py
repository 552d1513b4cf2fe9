"""Gateways as real processes on loopback, so that signals reach them as they would outside."""

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
    """Processes by number; each has an address of its own and the same ports."""

    fleet: Fleet
    store_address: str
    folder: Path
    ports: tuple[int, ...]
    processes: dict[int, asyncio.subprocess.Process] = attrs.field(factory=dict)

    def boot(self, number: int) -> dict[str, Any]:
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
        return f"127.0.1.{number + 1}"

    async def start(self, number: int) -> None:
        path = self.folder / f"boot-{number}.json"
        path.write_text(json.dumps(self.boot(number)))
        with self.log(number) as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sycamorebay.platform",
                env={**os.environ, "SYCAMOREBAY_BOOT": str(path)},
                stdout=log,
            )

    def log(self, number: int) -> IO[bytes]:
        return (self.folder / f"log-{number}").open("ab")

    def signal(self, number: int, which: signal.Signals) -> None:
        self.processes[number].send_signal(which)

    async def ready(self, number: int) -> None:
        """Wait until a gateway is ready; raises where it ended instead."""
        process = self.processes[number]
        await eventually(lambda: process.returncode is not None or self.is_ready(number), 20.0)
        if process.returncode is not None:
            raise ChildProcessError(f"gateway {number} ended with {process.returncode}")

    async def is_ready(self, number: int) -> bool:
        return await self.fleet.is_ready_at(f"{self.address(number)}:{self.ports[READINESS]}")

    async def connect(self, number: int) -> Caller:
        return await self.fleet.connect(f"{self.address(number)}:{self.ports[CALLERS]}")

    def lines(self, number: int) -> list[dict[str, Any]]:
        text = (self.folder / f"log-{number}").read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def close(self) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()


@asynccontextmanager
async def gateways(count: int, servers: int = 1, wait: bool = True) -> AsyncIterator[Gateways]:
    """Start a store, servers ``s0``, ``s1``, ... of the service ``desk``, and gateways.

    Where there are no servers yet no gateway gets ready, and `wait` has to be False.
    """
    fleet = Fleet()
    with tempfile.TemporaryDirectory() as folder:
        try:
            await fleet.start_store()
            fleet.store.put("op/config", config())
            for number in range(servers):
                await fleet.server(f"s{number}")
            ports = tuple(free_port() for _ in range(4))
            started = Gateways(fleet, fleet.store_address, Path(folder), ports)
            try:
                for number in range(count):
                    await started.start(number)
                for number in range(count if wait else 0):
                    await started.ready(number)
                yield started
            finally:
                await started.close()
        finally:
            await fleet.close()
