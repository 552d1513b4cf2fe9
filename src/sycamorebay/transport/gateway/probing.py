"""Asks backend servers for their load where no answer told it lately."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Iterable

from sycamorebay import log
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.state.routing import RoutingTable
from sycamorebay.transport.gateway.client import AnswerError, ConnectError, Pool
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peers import Peers

# A report is worth a probe when it is older than this: the pace of a machine lasts about 0.3 s.
REPORT_AGE_S = 0.12
TICK_S = 0.03
TIMEOUT_S = 0.25

_log = log.get_logger("probing")


class ProbeTask:
    """Probes the servers that fall to this daemon.

    Each server is probed by one daemon of the fleet, which tells the others what it heard.
    """

    def __init__(
        self,
        name: str,
        placer: Placer,
        pool: Pool,
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
        self._asking: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._names: tuple[str, ...] = ()
        self._keeper_by_server: dict[str, str] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            self._note_names()
            for load in self._placer.loads():
                if self._is_due(now, load) and self._is_kept(load.entry.id):
                    self._start(load)
            await asyncio.sleep(TICK_S)

    def _note_names(self) -> None:
        names = (self._name, *(peer.name for peer in self._peers.alive()))
        if names != self._names:
            self._names = names
            self._keeper_by_server.clear()

    def _is_kept(self, server_id: str) -> bool:
        """Whether it is this daemon that probes a server."""
        keeper = self._keeper_by_server.get(server_id)
        if keeper is None:
            keeper = self._keeper_by_server[server_id] = _keeper(server_id, self._names)
        return keeper == self._name

    def _is_due(self, now: float, load: ServerLoad) -> bool:
        if load.entry.leaving or load.entry.id in self._asking or now < load.suspended_until:
            return False
        return now - load.reported_at > REPORT_AGE_S

    def _start(self, load: ServerLoad) -> None:
        self._asking.add(load.entry.id)
        task = asyncio.get_running_loop().create_task(self._ask(load))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, load: ServerLoad) -> None:
        entry = load.entry
        routing = self._routing()
        service = routing.services_by_name.get(entry.service) if routing else None
        try:
            if service is None:
                return
            self._counters.probes += 1
            answer = await self._pool.get(entry.address, service.health_path, TIMEOUT_S)
            metadata = self._header_codec.read_answer(answer.status, answer.headers)
            if metadata.report is not None and metadata.server_id in ("", entry.id):
                now = asyncio.get_running_loop().time()
                self._placer.on_report(now, entry.id, metadata.report)
                self._peers.loads.on_seen(entry.id, False)
        except (TimeoutError, ConnectError, AnswerError) as error:
            load.on_failure(asyncio.get_running_loop().time())
            self._peers.loads.on_seen(entry.id, True)
            _log.info("probe failed", server=entry.id, reason=str(error) or type(error).__name__)
        finally:
            self._asking.discard(entry.id)


def _keeper(server_id: str, names: Iterable[str]) -> str:
    """Return which daemon probes a server: the same on all that see the same daemons."""
    return max(names, key=lambda name: hashlib.blake2b(f"{server_id}/{name}".encode()).digest())
