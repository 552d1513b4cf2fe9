"""Probes of backend servers whose load report is old."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Iterable

from sycamorebay import log
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.state.routing import RoutingTable
from sycamorebay.transport.gateway.client import AnswerError, ConnectError, ConnectionPool
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peers import Peers

# A server is probed when its report is older than this, since the slowdown of a machine lasts for
# only about 0.3 s.
MAX_REPORT_AGE_S = 0.12
CHECK_INTERVAL_S = 0.03
PROBE_TIMEOUT_S = 0.25

_log = log.get_logger("probing")


class ProbeTask:
    """Background task that probes the backend servers assigned to this daemon.

    Each server is probed by one daemon of the fleet, which sends the result to the others.

    Parameters
    ----------
    name : str
        Name of this daemon.
    placer : Placer
        Lists the servers, and receives their reports.
    pool : ConnectionPool
        Connections to backend servers.
    header_codec : HeaderCodec
        Decodes the load report in the headers of an answer.
    peers : Peers
        The other daemons.
    routing : callable
        Returns the routing table in force, or None.
    counters : Counters
        Metrics of this daemon.
    """

    def __init__(
        self,
        name: str,
        placer: Placer,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        peers: Peers,
        routing: Callable[[], RoutingTable | None],
        counters: Counters,
    ) -> None:
        self._name = name
        self._placer = placer
        self._pool = pool
        self._header_codec = header_codec
        self._peers = peers
        self._routing = routing
        self._counters = counters
        self._in_progress: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._daemon_names: tuple[str, ...] = ()
        self._prober_by_server: dict[str, str] = {}

    async def run(self) -> None:
        """Probe the assigned servers that are due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            self._update_daemon_names()
            for load in self._placer.loads():
                if self._is_due(now, load) and self._is_assigned(load.entry.id):
                    self._start(load)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _update_daemon_names(self) -> None:
        names = (self._name, *(peer.name for peer in self._peers.alive()))
        if names != self._daemon_names:
            self._daemon_names = names
            self._prober_by_server.clear()

    def _is_assigned(self, server_id: str) -> bool:
        """Return whether this daemon is the one that probes a server."""
        prober = self._prober_by_server.get(server_id)
        if prober is None:
            prober = self._prober_by_server[server_id] = _assigned_prober(
                server_id, self._daemon_names
            )
        return prober == self._name

    def _is_due(self, now: float, load: ServerLoad) -> bool:
        if load.entry.leaving or load.entry.id in self._in_progress or now < load.suspended_until:
            return False
        return now - load.reported_at > MAX_REPORT_AGE_S

    def _start(self, load: ServerLoad) -> None:
        self._in_progress.add(load.entry.id)
        task = asyncio.get_running_loop().create_task(self._probe(load))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, load: ServerLoad) -> None:
        entry = load.entry
        routing = self._routing()
        service = routing.services_by_name.get(entry.service) if routing else None
        try:
            if service is None:
                return
            self._counters.probes += 1
            answer = await self._pool.get(entry.address, service.health_path, PROBE_TIMEOUT_S)
            metadata = self._header_codec.read_answer(answer.status, answer.headers)
            if metadata.report is not None and metadata.server_id in ("", entry.id):
                now = asyncio.get_running_loop().time()
                self._placer.on_report(now, entry.id, metadata.report)
                self._peers.loads.on_load_changed(entry.id, False)
        except (TimeoutError, ConnectError, AnswerError) as error:
            load.on_failure(asyncio.get_running_loop().time())
            self._peers.loads.on_load_changed(entry.id, True)
            _log.info("probe failed", server=entry.id, reason=str(error) or type(error).__name__)
        finally:
            self._in_progress.discard(entry.id)


def _assigned_prober(server_id: str, names: Iterable[str]) -> str:
    """Return the daemon that probes a server, by rendezvous hashing.

    All daemons with the same view of the fleet get the same result.
    """
    return max(names, key=lambda name: hashlib.blake2b(f"{server_id}/{name}".encode()).digest())
