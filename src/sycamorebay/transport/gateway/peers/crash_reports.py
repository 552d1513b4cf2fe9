"""Crashes of backend servers under requests: seen here, told by peers, and kept in the store.

A report goes from the daemon that saw the crash to its peers. A relay passes those of its leaves on
to all its peers, and those of other relays to its leaves, so each report reaches every daemon
within three hops.
"""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.quarantine import Quarantine
from sycamorebay.coordination.recent import RecentKeys
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.fingerprint import Fingerprints
from sycamorebay.protocol.peer_messages import CrashNews, CrashReport, CrashRow
from sycamorebay.state.blocks import Block
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peers.peer import Peer

# Reports of this time are sent together.
BATCH_S = 0.02
# A report is sent twice, as datagrams may be lost.
REPEAT_S = 0.25
MAX_ROWS = 64
WRITE_CHECK_INTERVAL_S = 0.25
# A cleared key remains until every daemon has seen it.
CLEARED_LIFETIME_S = 20.0
# A request that was answered within this time was only at a server that crashed for another reason.
SUCCESS_HOLD_S = 60.0
MAX_SUCCESSES = 4096

_log = log.get_logger("crashes")


class Fleet(Protocol):
    """Sends reports to peers."""

    @property
    def reads_store(self) -> bool:
        """Whether this daemon is one of the few that read the store for all, and reaches it."""
        ...

    def send_crashes(self, news: CrashNews, *, to_relays: bool) -> None:
        """Send a report to the leaves, and to the relays if `to_relays` is set."""
        ...


class QuarantineStore(Protocol):
    """Writes the keys of blocked requests to the store."""

    async def put_block(self, fingerprint: str, block: Block, lifetime_s: float) -> None:
        """Write the key of a request, which lapses after its lifetime in seconds.

        Raises
        ------
        PlatformError
            If a call fails; the key may have been written.
        """
        ...


def start_of(entry: ServerEntry) -> str:
    """Return the id and the start of a server, which name it in reports."""
    return f"{entry.id}/{entry.started_ms}"


class CrashReports:
    """Records crashes, exchanges them with peers and writes blocked requests to the store.

    Parameters
    ----------
    owner : str
        Names this start of the daemon in the keys that it writes. After a restart it does not know
        how many trials there were, and so lets none run.
    quarantine : Quarantine
        Decides which requests are blocked.
    fleet : Fleet
        Sends reports to peers.
    store : QuarantineStore
        Writes the keys of blocked requests.
    counters : Counters
        Metrics of this daemon.
    """

    def __init__(
        self,
        owner: str,
        quarantine: Quarantine,
        fleet: Fleet,
        store: QuarantineStore,
        counters: Counters,
    ) -> None:
        self._owner = owner
        self._quarantine = quarantine
        self._fleet = fleet
        self._store = store
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._answered = RecentKeys(SUCCESS_HOLD_S, MAX_SUCCESSES)
        self._batch_for_all = _Batch()
        self._batch_for_leaves = _Batch()

    @property
    def any_suspected(self) -> bool:
        """Whether any request is suspected or blocked."""
        return len(self._quarantine) > 0

    def is_suspected(self, request: Fingerprints) -> bool:
        """Return whether a request may have crashed a server."""
        is_suspected = self._quarantine.is_suspected
        return is_suspected(request.content) or is_suspected(request.of_caller)

    def blocked_s(self, request: Fingerprints) -> float:
        """Return for how many seconds a request is still blocked; 0 if it may be sent."""
        now = self._loop.time()
        blocked_s = self._quarantine.blocked_s
        return max(blocked_s(now, request.content), blocked_s(now, request.of_caller))

    def start_trial(self, request: Fingerprints) -> bool:
        """Return whether a blocked request may run now as a trial; no other may until the next."""
        now = self._loop.time()
        blocked = [one for one in _all(request) if self._quarantine.blocked_s(now, one)]
        # Two daemons may each own one of the keys, so the first one alone decides.
        if not blocked or not self._quarantine.trial_is_due(now, blocked[0]):
            return False
        for fingerprint in blocked:
            self._quarantine.on_trial(now, fingerprint)
        _log.info("trial of a blocked request", fingerprints=blocked)
        return True

    def on_block(self, fingerprint: str, block: Block | None) -> None:
        """Apply the value of a request's key in the store, or its removal."""
        now = self._loop.time()
        if block is None:
            self._quarantine.on_removed(now, fingerprint)
        elif block.cleared:
            self._quarantine.on_cleared(fingerprint)
        else:
            self._quarantine.on_stored(now, fingerprint, block.owner == self._owner)
        _log.info(
            "key of a blocked request",
            fingerprint=fingerprint,
            owner=block.owner if block is not None else None,
            cleared=block is None or block.cleared,
        )

    def on_block_forgotten(self, fingerprint: str, block: Block) -> None:
        """Record that a restored store lacks the key of a request, or shows it from before."""
        now = self._loop.time()
        if not block.cleared:
            self._quarantine.on_forgotten(now, fingerprint, block.owner == self._owner)
        elif self._fleet.reads_store:
            self._quarantine.clear_again(fingerprint)
        _log.info(
            "key of a blocked request forgotten", fingerprint=fingerprint, cleared=block.cleared
        )

    def on_crash(self, request: Fingerprints, entry: ServerEntry) -> None:
        """Record that a server's connection ended while it ran a request of this daemon."""
        now = self._loop.time()
        server = start_of(entry)
        suspects = [one for one in _all(request) if not self._answered.has(now, one)]
        self._counters.crashes += 1
        _log.info("server seems to have crashed", server=entry.id, fingerprints=suspects)
        for fingerprint in suspects:
            if self._quarantine.on_crash(now, now, fingerprint, server, own=True):
                self._batch_for_all.crashed_at[fingerprint, server] = now
        self._schedule(self._batch_for_all, to_relays=True)

    def on_answer(self, entry: ServerEntry) -> None:
        """Record that a server answered, by which it has not crashed just before."""
        server = start_of(entry)
        if self._quarantine.on_answer(self._loop.time(), server):
            _log.info("server has not crashed", server=entry.id)
            self._batch_for_all.refuted.add(server)
            self._schedule(self._batch_for_all, to_relays=True)

    def on_survived(self, request: Fingerprints) -> None:
        """Record that a server answered a request, so that it does not crash every server."""
        for fingerprint in _all(request):
            self._answered.add(self._loop.time(), fingerprint)
            if self._quarantine.on_survived(fingerprint, own=True):
                _log.info("request no longer suspected", fingerprint=fingerprint)
                self._batch_for_all.survived.add(fingerprint)
        if self._batch_for_all.survived:
            self._schedule(self._batch_for_all, to_relays=True)

    def on_report(self, report: CrashReport, peer: Peer) -> None:
        """Apply a peer's report, and pass on what is new in it."""
        now = self._loop.time()
        batch = self._batch_for_leaves if peer.is_relay else self._batch_for_all
        for row in report.news.crashes:
            if self._answered.has(now, row.fingerprint):
                continue
            at = now - row.age_s
            if self._quarantine.on_crash(now, at, row.fingerprint, row.server, own=False):
                batch.crashed_at[row.fingerprint, row.server] = at
        for server in report.news.refuted:
            if self._quarantine.on_refuted(now, server):
                batch.refuted.add(server)
        for fingerprint in report.news.survived:
            self._answered.add(now, fingerprint)
            if self._quarantine.on_survived(fingerprint, own=False):
                batch.survived.add(fingerprint)
        self._schedule(batch, to_relays=not peer.is_relay)

    def news_for_new_peer(self) -> CrashNews | None:
        """Return the crashes that block requests which the store does not have; None for none."""
        now = self._loop.time()
        crashes = islice(self._quarantine.blocking_crashes(), MAX_ROWS)
        rows = tuple(CrashRow(request, server, now - at) for request, server, at in crashes)
        return CrashNews(rows) if rows else None

    async def run(self) -> None:
        """Write the keys of blocked requests to the store, until cancelled."""
        while True:
            due = self._quarantine.due_writes(self._loop.time(), self._fleet.reads_store)
            for fingerprint, left_s in due.items():
                _log.info("request blocked", fingerprint=fingerprint, for_s=round(left_s))
                self._counters.requests_blocked += 1
                await self._write(fingerprint, Block(self._owner), left_s)
            for fingerprint in self._quarantine.due_clears(self._loop.time()):
                block = Block(self._owner, cleared=True)
                await self._write(fingerprint, block, CLEARED_LIFETIME_S)
            await asyncio.sleep(WRITE_CHECK_INTERVAL_S)

    async def _write(self, fingerprint: str, block: Block, lifetime_s: float) -> None:
        try:
            await self._store.put_block(fingerprint, block, lifetime_s)
        except PlatformError as error:
            _log.info("could not store a blocked request", step=error.step, reason=str(error))
            return
        if block.cleared:
            self._quarantine.on_cleared(fingerprint)

    def _schedule(self, batch: _Batch, *, to_relays: bool) -> None:
        if batch.is_empty or batch.scheduled:
            return
        batch.scheduled = True
        self._loop.call_later(BATCH_S, self._flush, batch, to_relays)

    def _flush(self, batch: _Batch, to_relays: bool) -> None:
        taken = batch.take()
        self._send(taken, to_relays)
        self._loop.call_later(REPEAT_S, self._send, taken, to_relays)

    def _send(self, batch: _Batch, to_relays: bool) -> None:
        now = self._loop.time()
        rows = [
            CrashRow(fingerprint, server, max(0.0, now - at))
            for (fingerprint, server), at in batch.crashed_at.items()
        ]
        for start in range(0, len(rows), MAX_ROWS):
            news = CrashNews(tuple(rows[start : start + MAX_ROWS]))
            self._fleet.send_crashes(news, to_relays=to_relays)
        if batch.refuted or batch.survived:
            news = CrashNews((), tuple(sorted(batch.refuted)), tuple(sorted(batch.survived)))
            self._fleet.send_crashes(news, to_relays=to_relays)


@attrs.define
class _Batch:
    """Reports that are sent together."""

    crashed_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    refuted: set[str] = attrs.field(factory=set)
    survived: set[str] = attrs.field(factory=set)
    scheduled: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return not (self.crashed_at or self.refuted or self.survived)

    def take(self) -> _Batch:
        """Return what is to be sent, and start over."""
        taken = _Batch(self.crashed_at, self.refuted, self.survived)
        self.crashed_at, self.refuted, self.survived = {}, set(), set()
        self.scheduled = False
        return taken


def _all(request: Fingerprints) -> tuple[str, str]:
    return request.content, request.of_caller
