"""Exchange of backend servers' limits among the daemons.

A daemon that has sent a server nothing for a while would otherwise learn of its limit, or of the
end of it, with its next request only, which may be minutes later in a large fleet. There a relay
passes the news of its leaves on to all its peers, and those of other relays to its leaves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.protocol.limit_rows import LimitMessage, LimitRow, decode_limits, encode_limits
from sycamorebay.protocol.load_rows import id_hash
from sycamorebay.transport.gateway.peers.peer import Peer

# News that a server sets a limit, or none any more, is sent after this time.
BATCH_S = 0.05
# Other values of a limit in force are sent together after this time, as each answer may name one.
VALUE_BATCH_S = 0.5
# Changes are sent twice, as datagrams may be lost.
REPEAT_S = 0.25
# In a small fleet, the end of a limit is also repeated with the heartbeats of this time.
ENDED_REPEAT_S = 2.0
MAX_ROWS = 100

_log = log.get_logger("limits")


class LimitSender(Protocol):
    """Sends bytes to peers: limits and cold times of backend servers."""

    def send_limits(self, data: bytes, *, to_relays: bool) -> None:
        """Send a message to the leaves, and to the relays if `to_relays` is set."""
        ...


class LimitExchange:
    """Sends the server limits that this daemon knows, and applies those that peers know.

    Parameters
    ----------
    incarnation : int
        Distinguishes the restarts of this daemon.
    placer : Placer
        Keeps the limit of each server.
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
        self._for_all = _Batch(to_relays=True)
        self._for_leaves = _Batch(to_relays=False)
        # Servers of which peers have been told that they set a limit.
        self._told_limited: set[str] = set()

    def on_changed(self, server_id: str) -> None:
        """Send the changed limit of a server, which one of its answers told."""
        if (load := self._placer.load(server_id)) is not None:
            self._schedule(self._for_all, load)

    def complete_message(self) -> bytes | None:
        """Return a message with all limits that are in force or ended lately; None without any."""
        since = self._loop.time() - ENDED_REPEAT_S
        rows = tuple(
            self._row(load)
            for load in self._placer.loads()
            if load.limit.per_s is not None or load.limit.known_at > since
        )
        return self._encode(rows) if rows else None

    def on_message(self, data: bytes, peer: Peer) -> None:
        """Apply a peer's message; one from an earlier incarnation of the peer is ignored.

        Raises
        ------
        ValueError
            If the message cannot be decoded.
        """
        message = decode_limits(data)
        if message.incarnation != peer.incarnation:
            return
        batch = self._for_leaves if peer.is_relay else self._for_all
        for row in message.rows:
            load = self._load_by_hash(row.server)
            if load is not None and self._apply(load, row, peer):
                self._schedule(batch, load)

    def _apply(self, load: ServerLoad, row: LimitRow, peer: Peer) -> bool:
        at = self._loop.time() - row.age_s
        if row.per_s is None:
            changed = load.limit.on_ended(at)
        else:
            changed = load.limit.on_named(at, row.per_s)
        if changed:
            _log.info(
                "limit received", server=load.entry.id, per_s=load.limit.per_s, peer=peer.name
            )
        return changed

    def _schedule(self, batch: _Batch, load: ServerLoad) -> None:
        server_id = load.entry.id
        is_limited = load.limit.per_s is not None
        if is_limited != (server_id in self._told_limited):
            changed, delay_s = batch.news, BATCH_S
        else:
            changed, delay_s = batch.values, VALUE_BATCH_S
        if not changed:
            self._loop.call_later(delay_s, self._flush, changed, batch.to_relays)
        changed.add(server_id)

    def _flush(self, changed: set[str], to_relays: bool) -> None:
        server_ids = sorted(changed)
        changed.clear()
        self._send(server_ids, to_relays)
        self._loop.call_later(REPEAT_S, self._send, server_ids, to_relays)

    def _send(self, server_ids: list[str], to_relays: bool) -> None:
        loads = [self._placer.load(server_id) for server_id in server_ids]
        rows = [self._row(load) for load in loads if load is not None]
        self._record_told(server_ids)
        for start in range(0, len(rows), MAX_ROWS):
            data = self._encode(tuple(rows[start : start + MAX_ROWS]))
            self._sender.send_limits(data, to_relays=to_relays)

    def _record_told(self, server_ids: list[str]) -> None:
        loads = [self._placer.load(one) for one in self._told_limited.union(server_ids)]
        self._told_limited = {
            load.entry.id for load in loads if load is not None and load.limit.per_s is not None
        }

    def _row(self, load: ServerLoad) -> LimitRow:
        limit = load.limit
        return LimitRow(id_hash(load.entry.id), limit.per_s, self._loop.time() - limit.known_at)

    def _encode(self, rows: tuple[LimitRow, ...]) -> bytes:
        return encode_limits(LimitMessage(self._incarnation, rows))


@attrs.define
class _Batch:
    """Ids of servers whose limits are sent together to the same peers.

    `news` holds those that set a limit, or none any more, and `values` those that set another one.
    """

    to_relays: bool
    news: set[str] = attrs.field(factory=set)
    values: set[str] = attrs.field(factory=set)
