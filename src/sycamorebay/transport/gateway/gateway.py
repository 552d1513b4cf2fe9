"""The gateway daemon: composes its parts, starts them and stops them gracefully."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.readers import Candidate
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.protocol.store_items import encode_snapshot
from sycamorebay.state.routing import RoutingTable
from sycamorebay.state.server_entries import ServerEntries, ServerEntry
from sycamorebay.state.stored import StoredItem
from sycamorebay.transport.background import BackgroundTask, run_in_background
from sycamorebay.transport.gateway.client import Pool
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.forward import Forwarder
from sycamorebay.transport.gateway.listener import CallerAnswer, CallerRequest, Listener
from sycamorebay.transport.gateway.log_writer import LogWriter
from sycamorebay.transport.gateway.peer import Own, PeerCallbacks
from sycamorebay.transport.gateway.peers import Peers
from sycamorebay.transport.gateway.probing import ProbeTask
from sycamorebay.transport.gateway.settings import GatewaySettings
from sycamorebay.transport.gateway.sockets import split_address
from sycamorebay.transport.gateway.store_sync import ChangeFeed, StoreSync

# The platform asks each second and takes a daemon out after two misses.
ROTATION_S = 2.5
# Kept back at the end of the time to stop, to be gone before SIGKILL.
STOP_MARGIN_S = 0.7
TICK_S = 0.01
# Long enough that a part that fails at once doesn't take all the processor's time.
RESTART_PART_S = 0.1
BACKLOG = 512

_log = log.get_logger("gateway")


class Documents(Protocol):
    """Reads the values of the store's items; raises `ValueError` for what can't be read."""

    def is_routing(self, key: str) -> bool:
        """Whether a key holds the configuration."""
        ...

    def server_id(self, key: str) -> str | None:
        """Return the id of the server whose entry a key holds, or None."""
        ...

    def read_routing(self, value: bytes) -> RoutingTable:
        """Return the configuration."""
        ...

    def read_server(self, server_id: str, value: bytes) -> ServerEntry:
        """Return a server's entry."""
        ...


class FeedFactory(Protocol):
    """Opens the store."""

    def __call__(self, pool: Pool, counters: Counters) -> ChangeFeed:
        """Return the store, called over the connections of a pool."""
        ...


class Gateway:
    """One gateway daemon.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    header_codec : HeaderCodec
        Marks of requests and answers.
    documents : Documents
        Reads what the store holds.
    open_feed : FeedFactory
        Opens the store.
    log_writer : LogWriter
        Where log lines go.
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
        self._documents = documents
        self._log_writer = log_writer
        self._loop = asyncio.get_running_loop()
        self._counters = Counters()
        self._pool = Pool(self._loop.time)
        self._entries = ServerEntries()
        self._placer = Placer(settings.failure_domain, random.Random(), self._is_connected)
        own = Candidate(settings.name, settings.failure_domain, True)
        feed = open_feed(self._pool, self._counters)
        self._store_sync = StoreSync(own, feed, self._pool, self._on_changed)
        self._peers = self._open_peers()
        self._store_sync.peers = self._peers
        self._forwarder = Forwarder(
            self._placer,
            self._pool,
            header_codec,
            settings.retries,
            self._daemons,
            self._counters,
            self._peers.loads.on_seen,
        )
        self._probe_task = ProbeTask(
            settings.name,
            self._placer,
            self._pool,
            header_codec,
            self._peers,
            lambda: self._forwarder.routing,
            self._counters,
        )
        self._callers = Listener(self._forwarder.forward, may_overlap=self._forwarder.may_overlap)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        settings = self._settings
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        readiness, control = Listener(self._on_readiness), Listener(self._on_control)
        async with (
            self._open(settings.readiness, readiness),
            self._open(settings.control, control),
            self._open(settings.callers, self._callers) as callers,
        ):
            await self._loop.create_datagram_endpoint(
                lambda: self._peers, local_addr=split_address(settings.datagrams)
            )
            _log.warning("started", name=settings.name, callers=settings.callers)
            async with run_in_background(self._parts(), RESTART_PART_S):
                await self._stopping.wait()
                await self._stop(callers)
        _log.warning("stopped", log_lines_dropped=self._log_writer.dropped)

    def _parts(self) -> list[BackgroundTask]:
        """Return the parts that work beside requests."""
        return [self._store_sync, self._peers, self._probe_task, _Ticks(self._tick)]

    @asynccontextmanager
    async def _open(self, address: str, listener: Listener) -> AsyncIterator[asyncio.Server]:
        host, port = split_address(address)
        server = await self._loop.create_server(
            listener.connection, host, port, backlog=BACKLOG, reuse_address=True
        )
        try:
            yield server
        finally:
            server.close()

    def _open_peers(self) -> Peers:
        settings = self._settings
        own = Own(
            settings.name,
            settings.datagrams,
            settings.control,
            settings.failure_domain,
            # Wall time tells starts apart; a step back only delays being heard.
            incarnation=time.time_ns() // 1_000_000,
        )
        store_sync = self._store_sync
        callbacks = PeerCallbacks(
            store_sync.on_peer_changes,
            store_sync.on_behind,
            store_sync.on_confirmed,
            self._on_capacity,
        )
        seeds = [split_address(seed) for seed in settings.seeds if seed != settings.datagrams]
        return Peers(own, seeds, self._placer, callbacks, self._counters)

    # Stopping

    async def _stop(self, callers: asyncio.Server) -> None:
        """Leave the rotation, answer what is there and what still comes, and end.

        Where few gateways are left the platform sends callers to stopping ones too; so nothing new
        is taken once it has had its time, or the last requests would be cut off by the end.
        """
        started = self._loop.time()
        _log.warning("stopping", open_requests=self._callers.busy)
        self._callers.stopping = True
        await asyncio.sleep(min(ROTATION_S, self._settings.stop_s / 2))
        end = started + self._settings.stop_s - STOP_MARGIN_S
        callers.close()
        self._callers.close_idle()
        while self._callers.connections and self._loop.time() < end:
            await asyncio.sleep(0.05)
            self._callers.close_idle()
        self._peers.leave()
        _log.warning("ending", open_requests=self._callers.busy)

    def _on_reload(self) -> None:
        """Take SIGHUP: all that may change while running comes from the store."""
        _log.warning("reloaded", settings="unchanged")

    # Events

    def _on_changed(self, changed: list[StoredItem], keep_missing_until: float) -> None:
        now = self._loop.time()
        servers = False
        for item in changed:
            if self._documents.is_routing(item.key):
                self._on_routing(item)
            else:
                servers = self._on_server(now, item, keep_missing_until) or servers
        if servers:
            self._on_servers(now)

    def _on_routing(self, item: StoredItem) -> None:
        if item.value is None:
            return
        try:
            routing = self._documents.read_routing(item.value)
        except (ValueError, TypeError) as error:
            self._counters.undecodable += 1
            _log.warning("configuration not read", version=item.version, reason=str(error))
            return
        known = self._forwarder.routing
        if known is not None and known.version >= routing.version:
            _log.warning("older configuration left out", version=routing.version)
            return
        self._forwarder.on_routing(routing)
        self._callers.request_limits = routing.request_limits
        _log.warning("configuration in force", version=routing.version, routes=len(routing.routes))

    def _on_server(self, now: float, item: StoredItem, keep_missing_until: float) -> bool:
        server_id = self._documents.server_id(item.key)
        if server_id is None:
            return False
        if item.value is None:
            _log.info("server's entry ended", server=server_id, kept_until=keep_missing_until - now)
            return self._entries.remove(now, server_id, keep_missing_until)
        try:
            entry = self._documents.read_server(server_id, item.value)
        except (ValueError, TypeError) as error:
            self._counters.undecodable += 1
            _log.warning("server's entry not read", server=server_id, reason=str(error))
            return False
        _log.info("server's entry", server=server_id, leaving=entry.leaving, version=item.version)
        return self._entries.put(entry)

    def _on_servers(self, now: float) -> None:
        self._placer.on_servers(now, self._entries)
        self._peers.loads.on_servers()
        self._on_capacity()

    def _on_capacity(self) -> None:
        if self._placer.is_waiting():
            self._forwarder.on_decisions(self._placer.on_tick(self._loop.time()))

    def _tick(self) -> None:
        now = self._loop.time()
        if self._entries.expire(now):
            self._on_servers(now)
        self._on_capacity()

    # Questions

    def _is_connected(self, server_id: str) -> bool:
        entry = self._entries.get(server_id)
        return entry is not None and self._pool.has_idle(entry.address)

    def _daemons(self) -> int:
        return 1 + len(self._peers.alive())

    def _is_ready(self) -> bool:
        known = self._forwarder.routing is not None and len(self._entries) > 0
        return known and not self._stopping.is_set()

    async def _on_readiness(self, request: CallerRequest) -> CallerAnswer:
        return CallerAnswer(200 if self._is_ready() else 503, [])

    async def _on_control(self, request: CallerRequest) -> CallerAnswer:
        if request.path == "/directory":
            cache = self._store_sync.cache
            return CallerAnswer(200, [], encode_snapshot(cache.items(), cache.version))
        if request.path == "/metrics":
            text = self._counters.text(self._log_writer.dropped, len(self._callers.connections))
            return CallerAnswer(200, [(b"content-type", b"text/plain; version=0.0.4")], text)
        return CallerAnswer(404, [])


@attrs.frozen
class _Ticks:
    """Calls something every `TICK_S`."""

    action: Callable[[], None]

    async def run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.action()
