"""The entry daemon: its tasks, their start and their graceful stop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time

import attrs

from sycamorebay import log
from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.choose import CHOOSERS_BY_NAME
from sycamorebay.coordination.configuration import Configuration
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.coordination.operations import Operations
from sycamorebay.errors import DocumentError, PeerError, PlatformError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.generated.peers.ttypes import Body, Heartbeat
from sycamorebay.protocol.generated.peers.ttypes import Member as WireMember
from sycamorebay.protocol.revisions import decode_record
from sycamorebay.settings import Settings
from sycamorebay.transport.forward import Forwarder
from sycamorebay.transport.front import caller_app, server
from sycamorebay.transport.operators import Status, operator_app
from sycamorebay.transport.peers import PeerNetwork
from sycamorebay.transport.platform import Store, Stored, open_store
from sycamorebay.transport.probing import run_prober
from sycamorebay.transport.timing import run_timers
from sycamorebay.transport.upstream import open_upstream

PEER_PROTOCOL_VERSION = 1
_PLATFORM_RETRY_S = 0.5

_log = log.part("daemon")


def document_key(environment: str) -> str:
    """Return the store's key of an environment's document."""
    return f"/sycamorebay/{environment}/document"


def members_prefix(environment: str) -> str:
    """Return the prefix of an environment's registrations."""
    return f"/sycamorebay/{environment}/members/"


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
        self._configuration = Configuration(self._dispatcher.invariants)
        own = Member(settings.id, time.time_ns(), str(settings.peers), settings.failure_domain)
        self._membership = Membership(own)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        async with contextlib.AsyncExitStack() as stack:
            upstream = await stack.enter_async_context(open_upstream())
            store = await stack.enter_async_context(open_store(settings.platform))
            network = PeerNetwork(
                settings.peers, settings.secrets(), self._on_peer_message, self._metrics
            )
            await stack.enter_async_context(network.open())
            forwarder = Forwarder(self._dispatcher, Operations(), upstream, self._metrics)
            limit_s = settings.stop.limit_s
            callers = server(caller_app(forwarder), settings.callers, limit_s)
            operators = server(
                operator_app(settings, self._metrics, self._status), settings.operators, 1.0
            )
            tasks = [
                asyncio.create_task(callers.serve()),
                asyncio.create_task(operators.serve()),
            ]
            background = [
                asyncio.create_task(self._watch(store)),
                asyncio.create_task(self._register(store)),
                asyncio.create_task(self._beat(network)),
                asyncio.create_task(run_prober(self._dispatcher, upstream, self._metrics)),
                asyncio.create_task(run_timers(self._dispatcher, forwarder, self._entries)),
            ]
            _log.info("started", id=settings.id, callers=str(settings.callers))
            stopping = asyncio.create_task(self._stopping.wait())
            await asyncio.wait([stopping, *tasks], return_when=asyncio.FIRST_COMPLETED)
            _log.info("stopping")
            await asyncio.sleep(settings.stop.notice_s)
            callers.should_exit = True
            await tasks[0]
            operators.should_exit = True
            await tasks[1]
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        _log.info("stopped")

    def _entries(self) -> list[Entry]:
        members = [self._membership.own, *self._membership.peers()]
        return [Entry(member.id, member.failure_domain) for member in members]

    def _status(self) -> Status:
        revision = self._configuration.revision
        alive = self._membership.alive(time.monotonic(), self._settings.heartbeat_s)
        for name, count in self._dispatcher.invariants.violations_by_name.items():
            self._metrics.violations.labels(name).set(count)
        return Status(
            id=self._settings.id,
            ready=revision is not None and not self._stopping.is_set(),
            revision=revision.number if revision else 0,
            digest=revision.digest if revision else "",
            peers=tuple(sorted(peer.id for peer in alive)),
        )

    async def _watch(self, store: Store) -> None:
        """Follow the document and the registrations."""
        environment = self._settings.environment
        prefix = f"/sycamorebay/{environment}/"
        members: dict[str, Member] = {}
        while True:
            try:
                listing = await store.read_prefix(prefix)
                members.clear()
                for item in listing.items:
                    self._on_stored(item, members)
                async for item in store.watch(prefix, listing.version + 1):
                    self._on_stored(item, members)
            except PlatformError as error:
                _log.warning("platform failed", step=error.step, reason=str(error))
            await asyncio.sleep(_PLATFORM_RETRY_S * (1 + random.random()))

    def _on_stored(self, item: Stored, members: dict[str, Member]) -> None:
        environment = self._settings.environment
        if item.key == document_key(environment) and item.value is not None:
            self._on_record(item.value)
        if item.key.startswith(members_prefix(environment)):
            if item.value is None:
                members.pop(item.key, None)
            else:
                members[item.key] = Member(**json.loads(item.value))
            self._membership.on_registrations(time.monotonic(), list(members.values()))

    def _on_record(self, value: bytes) -> None:
        now = time.monotonic()
        try:
            revision = decode_record(value).revision
            document = self._configuration.on_revision(now, revision)
        except (PlatformError, DocumentError) as error:
            _log.error("revision rejected", step=error.step, reason=str(error))
            return
        if document is not None:
            self._dispatcher.on_document(now, document)
            self._metrics.revision.set(revision.number)
            _log.info("revision in force", revision=revision.number, digest=revision.digest)

    async def _register(self, store: Store) -> None:
        """Keep this entry's registration under a lease."""
        own = self._membership.own
        key = members_prefix(self._settings.environment) + own.id
        value = json.dumps(attrs.asdict(own)).encode()
        lease_s = self._settings.platform.lease_s
        lease = 0
        while True:
            try:
                if lease == 0 or not await store.keep_alive(lease):
                    lease = await store.grant(lease_s)
                    await store.put(key, value, lease)
            except PlatformError as error:
                _log.warning("registration failed", step=error.step, reason=str(error))
            await asyncio.sleep(lease_s / 3 * (0.9 + 0.2 * random.random()))

    async def _beat(self, network: PeerNetwork) -> None:
        """Send a heartbeat to every peer."""
        while True:
            peers = self._membership.peers()
            await asyncio.gather(*(self._beat_one(network, peer) for peer in peers))
            alive = self._membership.alive(time.monotonic(), self._settings.heartbeat_s)
            self._metrics.peers_alive.set(len(alive))
            await asyncio.sleep(self._settings.heartbeat_s * (0.9 + 0.2 * random.random()))

    async def _beat_one(self, network: PeerNetwork, peer: Member) -> None:
        own = self._membership.own
        revision = self._configuration.revision
        sender = WireMember(own.id, own.incarnation, own.address, own.failure_domain)
        heartbeat = Heartbeat(
            version=PEER_PROTOCOL_VERSION,
            sender=sender,
            revision=revision.number if revision else 0,
            digest=bytes.fromhex(revision.digest) if revision else b"",
            news=[],
        )
        with contextlib.suppress(PeerError):
            link = await network.link(peer)
            link.send(Body(heartbeat=heartbeat))

    async def _on_peer_message(self, body: Body) -> Body | None:
        if body.heartbeat is not None:
            self._membership.on_heartbeat(time.monotonic(), body.heartbeat.sender.id)
        return None


async def serve(settings: Settings) -> None:
    """Run one entry daemon."""
    await Daemon(settings).run()
