"""Probes of backend servers for their load reports.

In a fleet whose daemons exchange loads, each server is probed by one of them at intervals, see
`ProbeTask`. In a larger fleet, each daemon probes a few servers of its subset right before it
places a request, see `ReportRefresher`. Probes would count towards a server's limit, so a
server with a limit is not probed.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable

from sycamorebay import log
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.coordination.spill import PROBED_SERVERS
from sycamorebay.coordination.subset import ServerSubset
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.state.routing import RoutingTable
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.counters import Counters, TrafficKind
from sycamorebay.transport.gateway.peers.peers import Peers
from sycamorebay.transport.gateway.servers.announcement_recorder import AnnouncementRecorder
from sycamorebay.transport.gateway.servers.client import AnswerError, ConnectError
from sycamorebay.transport.gateway.servers.connection_pool import ConnectionPool, get_head

# A server is probed when its report is older than this, since the slowdown of a machine lasts for
# only about 0.3 s.
MAX_REPORT_AGE_S = 0.12
CHECK_INTERVAL_S = 0.03
# Between checks while the fleet is too large for probes at intervals.
LARGE_FLEET_CHECK_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.25
# Servers with a current report that a request is placed among. The least loaded of three random
# servers is rarely a busy one.
REFRESHED_SERVERS = PROBED_SERVERS
CURRENT_REPORT_AGE_S = 0.03
# A request does not wait longer for the probes; a server that answers later is not chosen.
REFRESH_TIMEOUT_S = 0.03

_log = log.get_logger("probing")


class Prober:
    """Probes single backend servers.

    Parameters
    ----------
    placer : Placer
        Receives the reports.
    pool : ConnectionPool
        Connections to backend servers.
    header_codec : HeaderCodec
        Decodes the load report in the headers of an answer.
    routing : callable
        Returns the routing table in force, or None.
    counters : Counters
        Metrics of this daemon.
    limits : AnnouncementRecorder
        Receives the server limits in answers.
    on_probed : callable
        Called with a server's id and whether its probe failed.
    """

    def __init__(
        self,
        placer: Placer,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        routing: Callable[[], RoutingTable | None],
        counters: Counters,
        limits: AnnouncementRecorder,
        on_probed: Callable[[str, bool], None],
    ) -> None:
        self._placer = placer
        self._pool = pool
        self._header_codec = header_codec
        self._routing = routing
        self._counters = counters
        self._on_probed = on_probed
        self._limits = limits
        self._tasks_by_server: dict[str, asyncio.Task[None]] = {}

    def start(self, load: ServerLoad) -> asyncio.Task[None]:
        """Start a probe of a server and return its task; a probe in progress is not repeated."""
        server_id = load.entry.id
        task = self._tasks_by_server.get(server_id)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._probe(load))
            self._tasks_by_server[server_id] = task
            task.add_done_callback(lambda _: self._tasks_by_server.pop(server_id, None))
        return task

    def in_progress(self, server_id: str) -> bool:
        """Return whether a probe of a server is in progress."""
        return server_id in self._tasks_by_server

    async def _probe(self, load: ServerLoad) -> None:
        entry = load.entry
        routing = self._routing()
        service = routing.services_by_name.get(entry.service) if routing else None
        if service is None:
            return
        self._counters.probes += 1
        if load.limit.per_s is not None:
            self._counters.limited_probes += 1
            _log.info("limited server probed", server=entry.id, limit_per_s=load.limit.per_s)
        try:
            answer = await self._pool.get(
                entry.address, service.health_path, PROBE_TIMEOUT_S, self._is_of_probe
            )
            self._count(entry, len(get_head(entry.address, service.health_path)) + answer.size)
            metadata = self._header_codec.read_answer(answer.status, answer.headers)
            if metadata.server_id in ("", entry.id):
                self._limits.on_probe_answer(entry.id, metadata)
            if metadata.report is not None and metadata.server_id in ("", entry.id):
                now = asyncio.get_running_loop().time()
                self._placer.on_report(now, entry.id, metadata.report)
                self._on_probed(entry.id, False)
        except (TimeoutError, ConnectError, AnswerError) as error:
            load.on_failure(asyncio.get_running_loop().time())
            self._on_probed(entry.id, True)
            _log.info("probe failed", server=entry.id, reason=str(error) or type(error).__name__)

    def _count(self, entry: ServerEntry, size: int) -> None:
        self._counters.on_traffic(TrafficKind.PROBES, self._placer.is_near(entry), size)

    def _is_of_probe(self, status: int, headers: RawHeaders) -> bool:
        """Return False for a late answer to an earlier request; probes have no request id."""
        return not self._header_codec.read_answer(status, headers).request_id


class ProbeTask:
    """Background task that probes the backend servers assigned to this daemon.

    Each server is probed by one daemon of the fleet, which sends the result to the others.

    Parameters
    ----------
    name : str
        Name of this daemon.
    placer : Placer
        Lists the servers.
    prober : Prober
        Probes single servers.
    peers : Peers
        The other daemons.
    """

    def __init__(self, name: str, placer: Placer, prober: Prober, peers: Peers) -> None:
        self._name = name
        self._placer = placer
        self._prober = prober
        self._peers = peers
        self._daemon_names: tuple[str, ...] = ()
        self._prober_by_server: dict[str, str] = {}

    async def run(self) -> None:
        """Probe the assigned servers that are due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if self._peers.in_large_fleet:
                await asyncio.sleep(LARGE_FLEET_CHECK_INTERVAL_S)
                continue
            now = loop.time()
            self._update_daemon_names()
            for load in self._placer.loads():
                if self._is_due(now, load) and self._is_assigned(load.entry.id):
                    self._prober.start(load)
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
        if not load.usable(now) or load.limit.per_s is not None:
            return False
        if self._prober.in_progress(load.entry.id):
            return False
        return now - load.reported_at > MAX_REPORT_AGE_S


class ReportRefresher:
    """Probes a few servers of the daemon's subset before a request is placed.

    Parameters
    ----------
    placer : Placer
        Knows the servers' loads.
    subset : ServerSubset
        The servers that this daemon uses.
    prober : Prober
        Probes single servers.
    rng : random.Random
        Seeded random source.
    """

    def __init__(
        self, placer: Placer, subset: ServerSubset, prober: Prober, rng: random.Random
    ) -> None:
        self._placer = placer
        self._subset = subset
        self._prober = prober
        self._rng = rng

    async def refresh(self, service: str, *, wide: bool = False) -> None:
        """Refresh the reports of some servers of a service, within `REFRESH_TIMEOUT_S`.

        Parameters
        ----------
        service : str
            Name of the service.
        wide : bool
            Whether servers in other failure domains are probed as well.
        """
        now = asyncio.get_running_loop().time()
        loads = self._usable(now, self._subset.near(now, service))
        if wide or len(loads) < REFRESHED_SERVERS:
            loads = self._usable(now, self._subset.all(service))
        current = [load for load in loads if now - load.reported_at <= CURRENT_REPORT_AGE_S]
        free = [load for load in current if load.in_flight(now) < load.target_slots]
        free = [load for load in free if self._placer.has_permit(now, load)]
        missing = REFRESHED_SERVERS - len(free)
        if missing <= 0:
            return
        old = [load for load in loads if now - load.reported_at > CURRENT_REPORT_AGE_S]
        probes = [
            self._prober.start(load) for load in self._rng.sample(old, min(missing, len(old)))
        ]
        if probes:
            await asyncio.wait(probes, timeout=REFRESH_TIMEOUT_S)

    def _usable(self, now: float, server_ids: Iterable[str]) -> list[ServerLoad]:
        loads = [self._placer.load(server_id) for server_id in server_ids]
        return [
            load
            for load in loads
            if load is not None and load.usable(now) and load.limit.per_s is None
        ]


def _assigned_prober(server_id: str, names: Iterable[str]) -> str:
    """Return the daemon that probes a server, by rendezvous hashing.

    All daemons with the same view of the fleet get the same result.
    """
    return max(names, key=lambda name: hashlib.blake2b(f"{server_id}/{name}".encode()).digest())
