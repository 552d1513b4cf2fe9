"""Exchange of backend servers' loads among the daemons, within milliseconds.

A daemon that knew only its own requests would select servers that other daemons have filled.
Two daemons that decide within the transit time of one message may still choose the same server,
so all changes of one iteration of the event loop are sent together at its end. Each heartbeat
repeats the whole load.
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
from sycamorebay.transport.gateway.peers.peer import Peer

# Limits the failures counted per server and message, so that a peer at which every request fails
# does not suspend the server at all daemons.
MAX_FAILURES_PER_MESSAGE = 4


class LoadExchange:
    """Sends the loads caused by this daemon, and applies those sent by its peers.

    Parameters
    ----------
    incarnation : int
        Distinguishes the restarts of this daemon.
    placer : Placer
        Provides the loads of this daemon, and receives those of peers.
    send : callable
        Sends bytes to every peer.
    sends_immediately : callable
        Returns whether changes are sent at once rather than with the next heartbeat only.
    on_capacity : callable
        Called when a backend server may have free slots.
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
        self._failures_by_changed_server: dict[str, int] = {}
        self._reported_at_by_server: dict[str, float] = {}
        self._send_scheduled = False
        self._loads_by_hash: dict[int, ServerLoad] = {}

    def on_servers(self) -> None:
        """Apply a changed set of backend servers; call this after the placer has it."""
        self._loads_by_hash = {id_hash(load.entry.id): load for load in self._placer.loads()}
        known = {load.entry.id for load in self._loads_by_hash.values()}
        self._reported_at_by_server = {
            server_id: at
            for server_id, at in self._reported_at_by_server.items()
            if server_id in known
        }

    def load_by_hash(self, server: int) -> ServerLoad | None:
        """Return the load of the server whose id has this hash, or None for an unknown server."""
        return self._loads_by_hash.get(server)

    def on_load_changed(self, server_id: str, failed: bool) -> None:
        """Schedule a changed load of a server to be sent at the end of this loop iteration.

        Parameters
        ----------
        server_id : str
            Id of the backend server.
        failed : bool
            Whether a request to the server failed.
        """
        failures = self._failures_by_changed_server.get(server_id, 0)
        self._failures_by_changed_server[server_id] = failures + failed
        if not self._send_scheduled and self._sends_immediately():
            self._send_scheduled = True
            self._loop.call_soon(self._send_changed)

    def complete_message(self) -> bytes:
        """Return a message with all requests that this daemon has in flight."""
        loads = ((load.entry.id, load.own_in_flight) for load in self._placer.loads())
        return encode_loads(LoadMessage(self._incarnation, True, rows_in_flight(loads)))

    def on_message(self, data: bytes, peer: Peer) -> None:
        """Apply a peer's message; one from an earlier incarnation of the peer is ignored.

        Raises
        ------
        ValueError
            If the message cannot be decoded.
        """
        message = decode_loads(data)
        if message.incarnation != peer.incarnation:
            return
        now = self._loop.time()
        for row in message.rows:
            load = self.load_by_hash(row.server)
            if load is not None:
                _apply_row(now, peer.name, load, row)
        if message.complete:
            self._clear_unlisted(peer.name, {row.server for row in message.rows})
        self._on_capacity()

    def _clear_unlisted(self, peer: str, listed: Iterable[int]) -> None:
        for server_hash in self._loads_by_hash.keys() - listed:
            self._loads_by_hash[server_hash].on_peer(peer, 0)

    def _send_changed(self) -> None:
        self._send_scheduled = False
        changed = self._failures_by_changed_server
        self._failures_by_changed_server = {}
        loads = (
            (self._placer.load(server_id), failures) for server_id, failures in changed.items()
        )
        rows = tuple(self._row(load, failures) for load, failures in loads if load is not None)
        self._send(encode_loads(LoadMessage(self._incarnation, False, rows)))

    def _row(self, load: ServerLoad, failures: int) -> LoadRow:
        server_id = load.entry.id
        server = id_hash(server_id)
        if load.report is None or not self._is_new_report(server_id, load.reported_at):
            return LoadRow(server, load.own_in_flight, failures)
        age_s = self._loop.time() - load.reported_at
        return LoadRow(server, load.own_in_flight, failures, load.report, age_s)

    def _is_new_report(self, server_id: str, reported_at: float) -> bool:
        if self._reported_at_by_server.get(server_id) == reported_at:
            return False
        self._reported_at_by_server[server_id] = reported_at
        return True


def _apply_row(now: float, peer: str, load: ServerLoad, row: LoadRow) -> None:
    load.on_peer(peer, row.in_flight)
    for _ in range(min(row.failures, MAX_FAILURES_PER_MESSAGE)):
        load.on_failure(now)
    if row.report is not None:
        load.on_report(now - row.age_s, row.report)
