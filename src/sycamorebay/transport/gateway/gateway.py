"""The gateway daemon: composes its components, starts them and stops them gracefully."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

from sycamorebay import log
from sycamorebay.coordination.fleet_view import Contact, FleetView
from sycamorebay.coordination.memory_budget import divide_memory
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.quarantine import Quarantine
from sycamorebay.coordination.readers import Candidate
from sycamorebay.coordination.spill import PROBE_INTERVAL_S
from sycamorebay.coordination.subset import ServerSubset
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.state.routing import RoutingTable
from sycamorebay.state.server_entries import ServerEntries, ServerEntry
from sycamorebay.transport.background import BackgroundTask, run_in_background
from sycamorebay.transport.gateway.adapter import Documents, FeedFactory
from sycamorebay.transport.gateway.callers.body_reservations import body_wait_s
from sycamorebay.transport.gateway.callers.caller_limits import CallerLimits
from sycamorebay.transport.gateway.callers.caller_messages import CallerAnswer, CallerRequest
from sycamorebay.transport.gateway.callers.listener import Listener
from sycamorebay.transport.gateway.control import ControlApi
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.forward import Forwarder
from sycamorebay.transport.gateway.log_writer import LogWriter
from sycamorebay.transport.gateway.peers.crash_reports import CrashReports
from sycamorebay.transport.gateway.peers.peer import OwnState, PeerCallbacks
from sycamorebay.transport.gateway.peers.peers import Peers
from sycamorebay.transport.gateway.servers.announcement_recorder import AnnouncementRecorder
from sycamorebay.transport.gateway.servers.cold_servers import log_cold_servers
from sycamorebay.transport.gateway.servers.connection_pool import ConnectionPool
from sycamorebay.transport.gateway.servers.probing import Prober, ProbeTask, ReportRefresher
from sycamorebay.transport.gateway.settings import GatewaySettings
from sycamorebay.transport.gateway.sockets import close_port, split_address
from sycamorebay.transport.gateway.store.store_changes import StoreChanges
from sycamorebay.transport.gateway.store.store_sync import StoreSync
from sycamorebay.transport.gateway.ticks import TickTask

# The platform checks readiness each second and removes a daemon from rotation after two failed
# checks.
ROTATION_REMOVAL_S = 2.5
# Reserved at the end of the stop time, so that the process exits before SIGKILL.
STOP_MARGIN_S = 0.7
# Keeps a background task that fails at once from using a whole processor core.
TASK_RESTART_DELAY_S = 0.1
LAST_ACCEPT_S = 0.1
# Readers confirm about once a second that what the gateways know is up to date.
CURRENT_WITHIN_S = 2.0
# Between looks for servers that became cold or warm, which are logged.
COLD_LOG_INTERVAL_S = 0.1

_log = log.get_logger("gateway")


class Gateway:
    """One gateway daemon.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    header_codec : HeaderCodec
        Decodes and encodes the headers that carry metadata of requests and answers.
    documents : Documents
        Decodes the values of the store.
    open_feed : FeedFactory
        Creates the client of the store.
    log_writer : LogWriter
        Writer of log lines; its count of dropped lines is exported as a metric.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_codec: HeaderCodec,
        documents: Documents,
        open_feed: FeedFactory,
        log_writer: LogWriter,
    ) -> None:
        self._settings = settings
        self._log_writer = log_writer
        self._loop = asyncio.get_running_loop()
        self._counters = Counters()
        budget = divide_memory(settings.ram_mb)
        self._pool = ConnectionPool(self._loop.time, self._counters, budget.answer_bytes)
        self._caller_limits = CallerLimits(settings, self._counters)
        self._entries = ServerEntries()
        self._placer = Placer(settings.failure_domain, random.Random(), self._is_connected)
        self._placer.cross_domain_penalty = settings.cross_domain_penalty
        own = Contact(
            settings.name,
            split_address(settings.datagrams),
            settings.failure_domain,
            settings.link_mbps,
        )
        seeds = [split_address(seed) for seed in settings.seeds if seed != settings.datagrams]
        store = open_feed(self._pool, self._counters)
        self._store_changes = StoreChanges(documents, self._entries, self._counters, self)
        self._store_sync = StoreSync(
            Candidate(own, True),
            store,
            self._pool,
            self._counters,
            self._store_changes.apply,
            random.Random(),
            first_start=settings.first_start,
            order=documents,
        )
        self._peers = self._open_peers(own, seeds)
        self._store_sync.peers = self._peers
        quarantine = Quarantine(random.Random())
        owner = f"{settings.name}/{self._peers.own.incarnation}"
        self._crashes = CrashReports(owner, quarantine, self._peers, store, self._counters)
        self._subset = ServerSubset(settings.name, settings.failure_domain)
        self._placer.sharers = self._sharers
        limits = AnnouncementRecorder(
            self._placer,
            self._counters,
            self._peers.on_limit_changed,
            self._peers.cold_times.on_changed,
        )
        prober = Prober(
            self._placer,
            self._pool,
            header_codec,
            lambda: self._forwarder.routing,
            self._counters,
            limits,
            self._on_probed,
        )
        self._refresher = ReportRefresher(self._placer, self._subset, prober, random.Random())
        self._forwarder = Forwarder(
            self._placer,
            self._pool,
            header_codec,
            settings.retries,
            self._peers.fleet_size,
            self._counters,
            limits,
            self._crashes,
            self._peers.loads.on_load_changed,
            self._refresh,
            self._on_wait,
            self._is_current,
            self._peers.permits,
        )
        self._probe_task = ProbeTask(settings.name, self._placer, prober, self._peers)
        self._tick_task = TickTask(self._tick, self._placer.is_waiting)
        self._refresh_tasks_by_service: dict[str, asyncio.Task[None]] = {}
        self._caller_listener = self._caller_limits.caller_listener(
            self._forwarder.forward,
            may_overlap=self._forwarder.may_overlap,
            may_be_large=self._forwarder.may_be_large,
            body_wait_s=partial(body_wait_s, header_codec),
        )
        self._cold_logged_at = float("-inf")
        self._control_api = ControlApi(
            self._store_sync,
            self._placer,
            header_codec,
            lambda: self._forwarder.routing,
            self._is_current,
            self._metrics,
            self._loop.time,
        )
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully.

        Raises
        ------
        OSError
            If one of the addresses cannot be bound.
        """
        settings = self._settings
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        readiness = self._caller_limits.side_listener(self._on_readiness)
        control = self._caller_limits.side_listener(self._control_api.handle)
        limits = self._caller_limits.connections
        async with (
            self._open(settings.readiness, readiness, limits.side_backlog),
            self._open(settings.control, control, limits.side_backlog),
            self._open(settings.callers, self._caller_listener, limits.backlog) as caller_server,
        ):
            await self._loop.create_datagram_endpoint(
                lambda: self._peers, local_addr=split_address(settings.datagrams)
            )
            _log.warning(
                "started",
                name=settings.name,
                callers=settings.callers,
                domains=settings.domain_count,
                link_mbps=settings.link_mbps,
            )
            async with run_in_background(
                self._background_tasks(), TASK_RESTART_DELAY_S, self._counters.on_task_failed
            ):
                await self._stopping.wait()
                await self._stop(caller_server)
        _log.warning("stopped", log_lines_dropped=self._log_writer.dropped)

    def _background_tasks(self) -> list[BackgroundTask]:
        """Return the tasks that run beside the handling of requests."""
        return [
            self._store_sync,
            self._peers,
            self._probe_task,
            self._tick_task,
            self._crashes,
        ]

    @asynccontextmanager
    async def _open(
        self, address: str, listener: Listener, backlog: int
    ) -> AsyncIterator[asyncio.Server]:
        host, port = split_address(address)
        server = await self._loop.create_server(
            listener.create_connection, host, port, backlog=backlog, reuse_address=True
        )
        try:
            yield server
        finally:
            server.close()

    def _open_peers(self, contact: Contact, seeds: list[tuple[str, int]]) -> Peers:
        settings = self._settings
        # Wall time distinguishes restarts. After a step back, peers ignore this daemon until
        # they have dropped its previous incarnation.
        own = OwnState(contact, settings.control, incarnation=time.time_ns() // 1_000_000)
        view = FleetView(contact, settings.domain_count, random.Random())
        callbacks = PeerCallbacks(
            self._store_sync,
            self._on_capacity,
            lambda report, peer: self._crashes.on_report(report, peer),
            lambda: self._crashes.news_for_new_peer(),
        )
        return Peers(
            own,
            seeds,
            view,
            self._placer,
            callbacks,
            self._counters,
            random.Random(),
            settings.quota,
        )

    async def _stop(self, caller_server: asyncio.Server) -> None:
        """Drain the daemon: leave the rotation, answer open requests and close connections.

        The platform sends callers to stopping daemons as well when few gateways are left. New
        connections are therefore refused once the platform has had time to react; otherwise the
        last requests would be cut off when the process exits.
        """
        started = self._loop.time()
        _log.warning("stopping", open_requests=self._caller_listener.busy_count)
        self._caller_listener.stopping = True
        await asyncio.sleep(min(ROTATION_REMOVAL_S, self._settings.stop_s / 2))
        end = started + self._settings.stop_s - STOP_MARGIN_S
        await close_port(caller_server, self._caller_listener.create_connection)
        # Connections accepted a moment ago have not delivered their requests yet.
        await asyncio.sleep(LAST_ACCEPT_S)
        self._caller_listener.close_idle()
        while self._caller_listener.connections and self._loop.time() < end:
            await asyncio.sleep(0.05)
            self._caller_listener.close_idle()
        self._peers.leave()
        _log.warning("draining finished", open_requests=self._caller_listener.busy_count)

    def _on_reload(self) -> None:
        """Log SIGHUP and ignore it; all that may change at run time comes from the store."""
        _log.warning("reload ignored", settings="unchanged")

    @property
    def crashes(self) -> CrashReports:
        """What is known of requests that crash their servers."""
        return self._crashes

    def _on_probed(self, server_id: str, failed: bool) -> None:
        self._peers.loads.on_load_changed(server_id, failed)
        entry = self._entries.get(server_id)
        if entry is not None and not failed:
            self._crashes.on_answer(entry)

    @property
    def routing(self) -> RoutingTable | None:
        """The routing table in force."""
        return self._forwarder.routing

    def on_routing(self, routing: RoutingTable) -> None:
        """Put a routing table in force."""
        self._forwarder.on_routing(routing)
        accounts = routing.accounts.by_name if routing.accounts is not None else {}
        self._peers.permits.on_accounts(accounts)
        self._caller_listener.request_limits = routing.request_limits
        self._placer.on_services(routing.services_by_name.values())

    def on_servers(self, now: float) -> None:
        """Place requests on the servers whose entries are known now."""
        self._placer.on_servers(now, self._entries)
        self._subset.on_servers(load.entry for load in self._placer.loads() if not load.evacuated)
        self._pool.bar(
            frozenset(load.entry.address for load in self._placer.loads() if load.evacuated)
        )
        self._peers.loads.on_servers()
        self._on_capacity()

    def on_evacuated(self, now: float, domains: frozenset[str]) -> None:
        """Send nothing to the servers of these failure domains, and to all others again."""
        self._placer.on_evacuated(now, domains)
        self.on_servers(now)

    def _on_capacity(self) -> None:
        if self._placer.is_waiting():
            self._forwarder.on_decisions(self._placer.on_tick(self._loop.time()))

    def _sharers(self, entry: ServerEntry) -> float:
        """Return how many daemons send requests to a server, rather too many than too few."""
        fleet_size = self._peers.fleet_size()
        if not self._peers.in_large_fleet:
            return fleet_size
        return self._subset.sharers(entry, fleet_size, self._settings.domain_count)

    async def _refresh(self, service: str) -> None:
        """Make loads current before a request is placed; in a small fleet they always are."""
        if self._peers.in_large_fleet:
            await self._refresher.refresh(service)

    def _on_wait(self, service: str) -> None:
        self._tick_task.wake()
        if self._peers.in_large_fleet and service not in self._refresh_tasks_by_service:
            task = self._loop.create_task(self._refresh_while_waiting(service))
            self._refresh_tasks_by_service[service] = task
            task.add_done_callback(lambda _: self._refresh_tasks_by_service.pop(service, None))

    async def _refresh_while_waiting(self, service: str) -> None:
        has_left = False
        while self._placer.is_waiting(service):
            wide = self._placer.seeks_far_servers(self._loop.time(), service)
            if wide and not has_left:
                self._log_leaving(service)
            has_left = has_left or wide
            await self._refresher.refresh(service, wide=wide)
            self._on_capacity()
            await asyncio.sleep(PROBE_INTERVAL_S)
            # Some of the servers in use are often slow for a moment; more are used after them.
            if self._placer.is_waiting(service):
                self._subset.on_wait(self._loop.time(), service)

    def _log_leaving(self, service: str) -> None:
        shortage = self._placer.shortage(self._loop.time(), service)
        if shortage is not None:
            _log.info(
                "requests may leave the failure domain",
                service=service,
                near_busy=round(shortage.near_busy, 2),
                far_busy=round(shortage.far_busy, 2),
                near_age_ms=round(min(99.0, shortage.near_age_s) * 1000),
                far_age_ms=round(min(99.0, shortage.far_age_s) * 1000),
            )

    def _tick(self) -> None:
        now = self._loop.time()
        self._placer.subset = self._subset if self._peers.in_large_fleet else None
        if self._entries.expire(now):
            self.on_servers(now)
        self._on_capacity()
        if now - self._cold_logged_at >= COLD_LOG_INTERVAL_S:
            self._cold_logged_at = now
            log_cold_servers(now, self._placer, self._counters)

    def _is_connected(self, server_id: str) -> bool:
        entry = self._entries.get(server_id)
        return entry is not None and self._pool.has_idle(entry.address)

    def _is_current(self) -> bool:
        return self._loop.time() - self._store_sync.confirmed_at <= CURRENT_WITHIN_S

    def _is_ready(self) -> bool:
        configured = self._forwarder.routing is not None and len(self._entries) > 0
        return configured and not self._stopping.is_set()

    async def _on_readiness(self, request: CallerRequest) -> CallerAnswer:
        return CallerAnswer(200 if self._is_ready() else 503, [])

    def _metrics(self) -> bytes:
        # Most gateways are never asked for metrics and need not hold the library in memory.
        from sycamorebay.transport.gateway import exposition

        return exposition.render(
            self._counters, self._log_writer.dropped, len(self._caller_listener.connections)
        )
