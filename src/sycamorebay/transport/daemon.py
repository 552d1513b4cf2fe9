"""The entry daemon: composes its parts, starts them and stops them gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time

import uvicorn

from sycamorebay import log
from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.choose import CHOOSERS_BY_NAME
from sycamorebay.coordination.configuration import Configuration
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.coordination.operations import Operations
from sycamorebay.metrics import Metrics
from sycamorebay.settings import Settings
from sycamorebay.transport.background import Background, running
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.following import StoreFollower
from sycamorebay.transport.forward import Forwarder
from sycamorebay.transport.front import caller_server, server
from sycamorebay.transport.heartbeats import Heartbeats
from sycamorebay.transport.in_force import RevisionInForce
from sycamorebay.transport.operators import Status, operator_app
from sycamorebay.transport.pauses import PauseWatch
from sycamorebay.transport.peer_messages import PeerMessages
from sycamorebay.transport.peers import PeerNetwork
from sycamorebay.transport.platform import open_store
from sycamorebay.transport.probing import Probing
from sycamorebay.transport.registration import Registration
from sycamorebay.transport.secrets import SecretFile, SecretRefresh
from sycamorebay.transport.timing import Timers
from sycamorebay.transport.upstream import open_upstream

_OPERATORS_STOP_LIMIT_S = 1.0

_log = log.part("daemon")


class Daemon:
    """One entry daemon.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._dispatcher = Dispatcher(random.Random(), CHOOSERS_BY_NAME[settings.chooser]())
        self._freshness = Freshness(boottime(), settings.freshness)
        self._dispatcher.objection = lambda: self._freshness.objection(boottime())
        self._in_force = RevisionInForce(
            Configuration(self._dispatcher.invariants),
            self._freshness,
            self._dispatcher,
            self._metrics,
        )
        own = Member(settings.id, time.time_ns(), str(settings.peers), settings.failure_domain)
        self._membership = Membership(own)
        self._messages = PeerMessages()
        self._secrets = SecretFile(settings)
        self._network = PeerNetwork(settings.peers, self._secrets, self._messages, self._metrics)
        self._heartbeats = Heartbeats(
            settings, self._network, self._membership, self._in_force, self._metrics
        )
        self._messages.on("heartbeat", self._heartbeats.on_heartbeat)
        self._messages.on("fetch_document", self._heartbeats.on_fetch)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        self._take_signals()
        settings = self._settings
        async with contextlib.AsyncExitStack() as stack:
            upstream = await stack.enter_async_context(open_upstream())
            store = await stack.enter_async_context(
                open_store(settings.platform, self._on_platform_call)
            )
            await stack.enter_async_context(self._network.open())
            follower = StoreFollower(settings, store, self._in_force, self._membership)
            forwarder = Forwarder(self._dispatcher, Operations(), upstream, self._metrics)
            background: list[Background] = [
                PauseWatch(self._freshness, (self._heartbeats.soon, follower.soon)),
                follower,
                Registration(settings, store, self._membership.own, self._in_force),
                self._heartbeats,
                SecretRefresh(self._secrets),
                Probing(self._dispatcher, upstream, self._metrics),
                Timers(self._dispatcher, forwarder, self._entries),
            ]
            await stack.enter_async_context(running(background))
            await self._serve(forwarder)
        _log.info("stopped")

    def _take_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)

    async def _serve(self, forwarder: Forwarder) -> None:
        """Listen to callers and operators until told to stop; callers' listener ends first."""
        settings = self._settings
        callers = caller_server(forwarder, settings.callers, settings.limits, settings.stop.limit_s)
        operators = server(
            operator_app(self._secrets, self._metrics, self._status),
            settings.operators,
            _OPERATORS_STOP_LIMIT_S,
        )
        listeners: list[uvicorn.Server] = [callers, operators]
        tasks = [asyncio.create_task(listener.serve()) for listener in listeners]
        _log.info("started", id=settings.id, callers=str(settings.callers))
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([stopping, *tasks], return_when=asyncio.FIRST_COMPLETED)
        _log.info("stopping")
        callers.announce_stop()
        await asyncio.sleep(settings.stop.notice_s)
        for listener, task in zip(listeners, tasks, strict=True):
            listener.should_exit = True
            await task

    def _on_platform_call(self, kind: str) -> None:
        self._metrics.platform_calls.labels(kind).inc()

    def _entries(self) -> list[Entry]:
        members = [self._membership.own, *self._membership.peers()]
        return [Entry(member.id, member.failure_domain) for member in members]

    def _status(self) -> Status:
        configuration = self._in_force.configuration
        objection = self._freshness.objection(boottime())
        for name, count in self._dispatcher.invariants.violations_by_name.items():
            self._metrics.violations.labels(name).set(count)
        return Status(
            id=self._settings.id,
            ready=not objection and not self._stopping.is_set(),
            objection=objection,
            revision=configuration.number,
            digest=configuration.digest,
            peers=tuple(sorted(peer.id for peer in self._heartbeats.alive())),
        )


async def serve(settings: Settings) -> None:
    """Run one entry daemon."""
    await Daemon(settings).run()
