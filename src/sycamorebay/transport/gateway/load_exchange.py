"""What the daemons tell each other of the load of backend servers, within milliseconds.

Answers uneven traffic: a daemon that knew its own requests only would pick servers that others
have filled. What changes in one turn of the event loop goes out together at its end, since two
daemons that decide within the time of one message choose the same server; a beat carries all of
it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.protocol.load_rows import (
    LoadMessage,
    LoadRow,
    decode_loads,
    encode_loads,
    id_hash,
    rows_in_flight,
)
from sycamorebay.transport.gateway.peer import Peer

# Of one message, so that a peer that fails altogether doesn't suspend a server for all.
MAX_FAILURES_TAKEN = 4


class LoadExchange:
    """Tells this daemon's loads, and takes those of its peers.

    Parameters
    ----------
    incarnation : int
        Tells this daemon's starts apart.
    placer : Placer
        Gets and gives loads.
    send : callable
        Sends bytes to every peer.
    sends_immediately : callable
        Whether changes are told at once, rather than with the next beat only.
    on_capacity : callable
        Told that a backend server may have room.
    """

    def __init__(
        self,
        incarnation: int,
        placer: Placer,
        send: Callable[[bytes], None],
        sends_immediately: Callable[[], bool],
        on_capacity: Callable[[], None],
    ) -> None:
        self._incarnation = incarnation
        self._placer = placer
        self._send = send
        self._sends_immediately = sends_immediately
        self._on_capacity = on_capacity
        self._loop = asyncio.get_running_loop()
        self._failures_by_changed: dict[str, int] = {}
        self._reported_at_by_server: dict[str, float] = {}
        self._gathering = False
        self._loads_by_name: dict[int, ServerLoad] = {}

    def on_servers(self) -> None:
        """Take the placer's new list of backend servers."""
        self._loads_by_name = {id_hash(load.entry.id): load for load in self._placer.loads()}
        known = {load.entry.id for load in self._loads_by_name.values()}
        self._reported_at_by_server = {
            server_id: at
            for server_id, at in self._reported_at_by_server.items()
            if server_id in known
        }

    def on_seen(self, server_id: str, failed: bool) -> None:
        """Take a change of a server's load, to be told soon."""
        failures = self._failures_by_changed.get(server_id, 0)
        self._failures_by_changed[server_id] = failures + failed
        if not self._gathering and self._sends_immediately():
            self._gathering = True
            self._loop.call_soon(self._send_changed)

    def complete(self) -> bytes:
        """Return all that this daemon has in flight, as a message."""
        loads = ((load.entry.id, load.own) for load in self._placer.loads())
        return encode_loads(LoadMessage(self._incarnation, True, rows_in_flight(loads)))

    def take(self, data: bytes, peer: Peer) -> None:
        """Take a peer's message; raises `ValueError` where it is none."""
        message = decode_loads(data)
        if message.incarnation != peer.incarnation:
            return
        now = self._loop.time()
        for row in message.rows:
            load = self._loads_by_name.get(row.server)
            if load is not None:
                _take_row(now, peer.name, load, row)
        if message.complete:
            self._clear_others(peer.name, {row.server for row in message.rows})
        self._on_capacity()

    def _clear_others(self, peer: str, named: Iterable[int]) -> None:
        for name in self._loads_by_name.keys() - named:
            self._loads_by_name[name].on_peer(peer, 0)

    def _send_changed(self) -> None:
        self._gathering = False
        changed = self._failures_by_changed
        self._failures_by_changed = {}
        loads = ((self._placer.load(key), failures) for key, failures in changed.items())
        rows = tuple(self._row(load, failures) for load, failures in loads if load is not None)
        self._send(encode_loads(LoadMessage(self._incarnation, False, rows)))

    def _row(self, load: ServerLoad, failures: int) -> LoadRow:
        server_id = load.entry.id
        server = id_hash(server_id)
        if load.report is None or not self._is_news(server_id, load.reported_at):
            return LoadRow(server, load.own, failures)
        age_s = self._loop.time() - load.reported_at
        return LoadRow(server, load.own, failures, load.report, age_s)

    def _is_news(self, server_id: str, reported_at: float) -> bool:
        if self._reported_at_by_server.get(server_id) == reported_at:
            return False
        self._reported_at_by_server[server_id] = reported_at
        return True


def _take_row(now: float, peer: str, load: ServerLoad, row: LoadRow) -> None:
    load.on_peer(peer, row.in_flight)
    for _ in range(min(row.failures, MAX_FAILURES_TAKEN)):
        load.on_failure(now)
    if row.report is not None:
        load.on_report(now - row.age_s, row.report)
