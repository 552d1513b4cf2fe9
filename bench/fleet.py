"""Starts a fleet on loopback: stand-ins of platform and backend servers, and entries."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, Self

import aiohttp
import attrs

PLATFORM_PORT = 2379
CALLERS_PORT = 8000
OPERATORS_PORT = 9000
PEERS_PORT = 7000
BACKEND_SERVERS_PORT = 10_000
CONTROL_PORT = 6000
# Entries that every entry contacts first to join its peers.
SEED_ENTRIES = 3
CLOCK_SKEW_S = 0.05
ROOT = Path(__file__).resolve().parent.parent

_fleet_numbers = itertools.count(1)


@attrs.frozen
class Shape:
    """Size, document and settings of a fleet.

    Attributes
    ----------
    entries : int
        Number of entry daemons.
    document : dict
        Document to put in force; the fleet assigns the addresses of its backend servers.
    backend_processes : int
        Number of processes that the backend servers share.
    behaviour : dict
        Initial behaviour of every backend server.
    settings : dict
        Settings merged into those of each entry.
    entry_command : tuple of str
        Arguments of the Python interpreter that start an entry.
    """

    entries: int
    document: dict[str, Any]
    backend_processes: int = 3
    behaviour: dict[str, Any] = attrs.field(factory=dict)
    settings: dict[str, Any] = attrs.field(factory=dict)
    entry_command: tuple[str, ...] = ("-m", "sycamorebay", "serve")


def service(
    name: str, servers: int, slots: int, domains: tuple[str, ...], routes: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a service of a document, with its backend servers spread over failure domains.

    Parameters
    ----------
    name : str
        Name of the service and prefix of its host and backend servers.
    servers : int
        Number of backend servers.
    slots : int
        Slots of each backend server.
    domains : tuple of str
        Failure domains, assigned round robin.
    routes : list of dict
        Routes of the service.
    """
    return {
        "name": name,
        "hosts": [f"{name}.test"],
        "failure_domains": list(domains),
        "backend_servers": [
            {"id": f"{name}-{i}", "failure_domain": domains[i % len(domains)], "slots": slots}
            for i in range(servers)
        ],
        "routes": routes,
    }


class Fleet:
    """The processes of a fleet, as an async context manager.

    Entering it starts every process, puts the document in force and waits until all entries are
    ready; leaving it kills the processes.

    Parameters
    ----------
    shape : Shape
        Size, document and settings of the fleet.

    Attributes
    ----------
    address : str
        Loopback address of all processes, unique to this fleet.
    secret : str
        Secret shared by entries and operators.
    platform_url : str
        Base URL of the platform stand-in.
    document : dict
        Document with the addresses of the backend servers.
    servers : list of dict
        Backend servers of all services.
    processes_by_name : dict of str to subprocess.Popen
        Processes, the ended ones included.
    directory : Path
        Temporary directory of settings, logs and journals.
    http : aiohttp.ClientSession
        Client for requests to the fleet.
    """

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        number = next(_fleet_numbers) % 250 + 1
        pid = os.getpid()
        self.address = f"127.{pid // 250 % 250 + 2}.{pid % 250 + 1}.{number}"
        self.secret = secrets.token_hex(16)
        self.platform_url = f"http://{self.address}:{PLATFORM_PORT}"
        self.document = json.loads(json.dumps(shape.document))
        self.servers = [s for one in self.document["services"] for s in one["backend_servers"]]
        for index, server in enumerate(self.servers):
            server["address"] = f"{self.address}:{BACKEND_SERVERS_PORT + index}"
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._stack = contextlib.AsyncExitStack()
        self.directory = Path()
        self.http: aiohttp.ClientSession

    async def __aenter__(self) -> Self:
        temporary = tempfile.TemporaryDirectory(prefix="sycamorebay-")
        self.directory = Path(self._stack.enter_context(temporary))
        self._stack.callback(self._kill_all)
        self.http = await self._stack.enter_async_context(aiohttp.ClientSession())
        (self.directory / "secret").write_text(self.secret + "\n")
        try:
            self.start_platform()
            self._start_backends()
            await self._until_responding(self.platform_url + "/vms")
            self.apply(self.document)
            for index in range(self.shape.entries):
                self.start_entry(index)
            await self.until_ready(range(self.shape.entries))
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    def spawn(self, name: str, arguments: list[str]) -> None:
        """Start a Python process, with its output appended to ``NAME.log`` in the directory."""
        with open(self.directory / f"{name}.log", "ab") as output:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, *arguments], stdout=output, stderr=output, cwd=ROOT
            )

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        arguments = ["-m", "standins.platform", "--address", self.address]
        self.spawn("platform", [*arguments, "--port", str(PLATFORM_PORT)])

    def start_entry(self, index: int) -> None:
        """Start or restart one entry."""
        path = self.directory / f"entry-{index}.json"
        path.write_text(json.dumps(self._settings(index)))
        self.spawn(f"entry-{index}", [*self.shape.entry_command, "--settings", str(path)])

    def apply(self, document: dict[str, Any]) -> None:
        """Put a document in force by the operators' command line.

        Raises
        ------
        subprocess.CalledProcessError
            If the command fails.
        """
        path = self.directory / "document.json"
        path.write_text(json.dumps(document))
        environment = self.shape.settings.get("environment", "production")
        self.config("apply", str(path), "--untried", "--environment", environment)

    def config(self, command: str, *options: str, check: bool = True) -> str:
        """Run a ``sycamorebay config`` command and return its standard output.

        Raises
        ------
        subprocess.CalledProcessError
            If `check` is set and the command fails.
        """
        arguments = [sys.executable, "-m", "sycamorebay", "config", command, *options]
        completed = subprocess.run(
            [*arguments, "--platform", self.platform_url],
            check=check,
            capture_output=True,
            text=True,
        )
        return completed.stdout

    def kill(self, name: str) -> None:
        """Kill one process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes_by_name[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes_by_name[name].send_signal(number)

    def url(self, index: int, port: int = CALLERS_PORT) -> str:
        """Return the base URL of a listener of one entry, that of callers by default."""
        return f"http://{self.address}:{port + index}"

    async def control_platform(self, **faults: Any) -> None:
        """Inject faults into the platform stand-in."""
        async with self.http.post(self.platform_url + "/control", json=faults) as response:
            response.raise_for_status()

    async def control_backend(self, server_id: str, **behaviour: Any) -> None:
        """Change the behaviour of one backend server, or of all with the id ``all``."""
        for index in range(self.shape.backend_processes):
            ids = {server["id"] for server in self._servers_of_process(index)}
            if server_id == "all" or server_id in ids:
                url = f"http://{self.address}:{CONTROL_PORT + index}/control/{server_id}"
                async with self.http.post(url, json=behaviour) as response:
                    response.raise_for_status()

    async def counted_by_backend(self) -> dict[str, Any]:
        """Return the counters of each backend server by its id."""
        counted: dict[str, Any] = {}
        for index in range(self.shape.backend_processes):
            url = f"http://{self.address}:{CONTROL_PORT + index}/control"
            async with self.http.get(url) as response:
                counted.update(await response.json())
        return counted

    async def operator(self, index: int, path: str) -> tuple[int, str]:
        """Send a GET to the operators' listener of one entry; return status code and body."""
        headers = {"sycamorebay-secret": self.secret}
        async with self.http.get(self.url(index, OPERATORS_PORT) + path, headers=headers) as reply:
            return reply.status, await reply.text()

    async def status(self, index: int) -> dict[str, Any]:
        """Return the decoded ``/status`` of one entry."""
        _, text = await self.operator(index, "/status")
        return json.loads(text)

    async def until_in_force(self, indices: Any, revision: int, limit_s: float = 17.0) -> None:
        """Wait until entries have a revision, or a later one, in force.

        Raises
        ------
        TimeoutError
            If it takes longer than `limit_s` seconds.
        """
        async with asyncio.timeout(limit_s):
            for index in indices:
                while (await self.status(index))["revision"] < revision:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    async def until_ready(self, indices: Any, limit_s: float = 30.0) -> None:
        """Wait until entries are ready.

        Raises
        ------
        TimeoutError
            If it takes longer than `limit_s` seconds.
        """
        async with asyncio.timeout(limit_s):
            for index in indices:
                while not await self._is_ready(index):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    async def _is_ready(self, index: int) -> bool:
        try:
            status, _ = await self.operator(index, "/ready")
        except aiohttp.ClientError:
            return False
        return status == 200

    async def _until_responding(self, url: str) -> None:
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.http.get(url):
                        return
                await asyncio.sleep(0.05)

    def _servers_of_process(self, index: int) -> list[dict[str, Any]]:
        return self.servers[index :: self.shape.backend_processes]

    def _start_backends(self) -> None:
        for index in range(self.shape.backend_processes):
            self.start_backends(index)

    def start_backends(self, index: int) -> None:
        """Start or restart one process of backend servers."""
        servers = [
            {**s, "behaviour": self.shape.behaviour} for s in self._servers_of_process(index)
        ]
        path = self.directory / f"backends-{index}.json"
        path.write_text(json.dumps(servers))
        arguments = ["-m", "standins.backend", "--spec", str(path), "--address", self.address]
        arguments += ["--control", str(CONTROL_PORT + index)]
        self.spawn(f"backends-{index}", [*arguments, "--journal", str(self._journal(index))])

    def runs_by_key(self) -> Counter[str]:
        """Return the runs by idempotency key, those of ended processes included."""
        runs: Counter[str] = Counter()
        for index in range(self.shape.backend_processes):
            journal = self._journal(index)
            if journal.exists():
                runs.update(journal.read_text().split())
        return runs

    def _journal(self, index: int) -> Path:
        return self.directory / f"runs-{index}.txt"

    def _settings(self, index: int) -> dict[str, Any]:
        domains = self.document["services"][0]["failure_domains"]
        seeds = [f"{self.address}:{PEERS_PORT + seed}" for seed in range(SEED_ENTRIES)]
        settings: dict[str, Any] = {
            "id": f"entry-{index}",
            "failure_domain": domains[index % len(domains)],
            "callers": {"address": self.address, "port": CALLERS_PORT + index},
            "operators": {"address": self.address, "port": OPERATORS_PORT + index},
            "peers": {"address": self.address, "port": PEERS_PORT + index, "seeds": seeds},
            "platform": {"url": self.platform_url, "vm_list_url": self.platform_url + "/vms"},
            "secret_file": str(self.directory / "secret"),
            "operations": {"clock_skew_s": CLOCK_SKEW_S},
            "stop": {"notice_s": 0.2, "limit_s": 5},
        }
        for name, value in self.shape.settings.items():
            nested = isinstance(value, dict) and name in settings
            settings[name] = {**settings[name], **value} if nested else value
        return settings

    def _kill_all(self) -> None:
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()


@contextlib.asynccontextmanager
async def fleet(shape: Shape) -> AsyncIterator[Fleet]:
    """Start a fleet and yield it; kill its processes at the end."""
    async with Fleet(shape) as started:
        yield started
