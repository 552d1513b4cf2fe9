"""Exchange of how long backend servers are cold among the daemons.

In a small fleet, one daemon probes each server; the others would send a server that has become cold
again their usual share. A relay passes the news of its leaves on to all its peers, and those of
other relays to its leaves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import isfinite

from sycamorebay.coordination.cold_server import ColdSource
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.protocol.cold_rows import (
    ColdMessage,
    ColdRow,
    decode_cold_times,
    encode_cold_times,
)
from sycamorebay.protocol.load_rows import id_hash
from sycamorebay.transport.gateway.peers.limit_exchange import MAX_ROWS, LimitSender
from sycamorebay.transport.gateway.peers.peer import Peer

# Each request sent before the news arrives counts towards the slack of a cold server, so news wait
# only for those of the same moment.
BATCH_S = 0.01
# News are sent twice, as datagrams may be lost.
REPEAT_S = 0.25
# In a small fleet, the end of a cold time is also repeated with the heartbeats of this time.
ENDED_REPEAT_S = 2.0


class ColdExchange:
    """Sends the cold times that this daemon knows, and applies those that peers know.

    Parameters
    ----------
    incarnation : int
        Distinguishes the restarts of this daemon.
    placer : Placer
        Keeps the cold time of each server.
    load_by_hash : callable
        Given the hash of a server's id, returns its load, or None for an unknown server.
    sender : LimitSender
        Sends messages to peers.
    """

    def __init__(
        self,
        incarnation: int,
        placer: Placer,
        load_by_hash: Callable[[int], ServerLoad | None],
        sender: LimitSender,
    ) -> None:
        self._incarnation = incarnation
        self._placer = placer
        self._load_by_hash = load_by_hash
        self._sender = sender
        self._loop = asyncio.get_running_loop()
        self._changed: dict[bool, set[str]] = {True: set(), False: set()}

    def on_changed(self, server_id: str, *, to_relays: bool = True) -> None:
        """Send the changed cold time of a server, if those of its service have a limit."""
        load = self._placer.load(server_id)
        if load is None or load.cold.per_s is None:
            return
        changed = self._changed[to_relays]
        if not changed:
            self._loop.call_later(BATCH_S, self._flush, to_relays)
        changed.add(server_id)

    def complete_message(self) -> bytes | None:
        """Return a message with what servers have said lately, or None without any such news.

        All daemons know the entries of servers, so their cold times are left out.
        """
        now = self._loop.time()
        rows = tuple(
            self._row(load)
            for load in self._placer.loads()
            if load.cold.per_s is not None
            and load.cold.is_heard
            and (load.cold.until > now or load.cold.known_at > now - ENDED_REPEAT_S)
        )
        return self._encode(rows[:MAX_ROWS]) if rows else None

    def on_message(self, data: bytes, peer: Peer) -> None:
        """Apply a peer's message; one from an earlier incarnation of the peer is ignored.

        Raises
        ------
        ValueError
            If the message cannot be decoded.
        """
        message = decode_cold_times(data)
        if message.incarnation != peer.incarnation:
            return
        now = self._loop.time()
        for row in message.rows:
            load = self._load_by_hash(row.server)
            if load is not None and load.cold.on_stated(
                now - row.age_s, row.cold_s, ColdSource.PEER
            ):
                self.on_changed(load.entry.id, to_relays=not peer.is_relay)

    def _flush(self, to_relays: bool) -> None:
        server_ids = sorted(self._changed[to_relays])
        self._changed[to_relays].clear()
        self._send(server_ids, to_relays)
        self._loop.call_later(REPEAT_S, self._send, server_ids, to_relays)

    def _send(self, server_ids: list[str], to_relays: bool) -> None:
        loads = [self._placer.load(server_id) for server_id in server_ids]
        rows = [self._row(load) for load in loads if load is not None and load.cold.is_heard]
        for start in range(0, len(rows), MAX_ROWS):
            data = self._encode(tuple(rows[start : start + MAX_ROWS]))
            self._sender.send_limits(data, to_relays=to_relays)

    def _row(self, load: ServerLoad) -> ColdRow:
        cold = load.cold
        cold_s = cold.until - cold.known_at
        assert isfinite(cold_s)
        return ColdRow(id_hash(load.entry.id), cold_s, self._loop.time() - cold.known_at)

    def _encode(self, rows: tuple[ColdRow, ...]) -> bytes:
        return encode_cold_times(ColdMessage(self._incarnation, rows))
