"""Keeps the cached copy of the store current.

A few daemons, the readers, watch the store itself. The others receive changes from them over
datagrams, see `peers`. A daemon that misses changes fetches them over HTTP from a peer that has
them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from sycamorebay import log
from sycamorebay.coordination.forgotten import DocumentOrder
from sycamorebay.coordination.rate_limit import Backoff
from sycamorebay.coordination.readers import Candidate, ReaderSelection
from sycamorebay.coordination.store_cache import REWRITE_S, StoreCache
from sycamorebay.decoding import UndecodableError
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.store_items import CacheCopy, decode_copy
from sycamorebay.state.store_versions import (
    NO_VERSION,
    StoreVersion,
    VersionedItem,
    VersionedListing,
)
from sycamorebay.transport.gateway.counters import Counters, TrafficKind
from sycamorebay.transport.gateway.peers.peer import Peer
from sycamorebay.transport.gateway.peers.peers import Peers
from sycamorebay.transport.gateway.servers.client import AnswerError, ConnectError
from sycamorebay.transport.gateway.servers.connection_pool import ConnectionPool
from sycamorebay.transport.gateway.store.change_feed import ChangeFeed, ChangesLostError
from sycamorebay.transport.gateway.store.delivery import Delivery

# A reader's watch ends after this time, and each answer confirms to the other daemons that the
# reader still reaches the store.
WATCH_TIMEOUT_S = 1.0
# Changes that come in quick succession are read together.
MIN_WATCH_INTERVAL_S = 0.1
ROLE_CHECK_INTERVAL_S = 0.2
# Until the copy is confirmed for the first time.
FIRST_CHECK_INTERVAL_S = 0.05
PEER_FETCH_TIMEOUT_S = 1.0
# When the store returns, all gateways may be about to read it; they wait this long for a copy that
# a peer has announced.
PEER_HEAD_START_S = 0.3
# Changes usually arrive by themselves within this time after a heartbeat that tells of them.
CHANGES_WAIT_S = 0.05
# The same confirmation seems a little later in each heartbeat, as their transit times differ.
MIN_ADVANCE_S = 0.05
COPY_PATH = "/changes"
# The store counts as unavailable after this time without a confirmation if a call of this daemon
# failed as well. When readers merely stop, others replace them sooner and no call fails.
OUTAGE_THRESHOLD_S = 1.6
# Server entries whose leases expired in an outage return within two seconds of its end.
ENTRY_RETURN_GRACE_S = 2.3
# After a failed call to the store, a daemon leaves reading to others for this time.
READER_COOLDOWN_S = 3.0
# Selected readers notice the store's return soon; the others, which may be hundreds, retry later.
READER_RETRY_S = 0.5
STALE_RETRY_FACTOR = 4.0
# Between copies that are fetched for what the store has forgotten.
KEPT_FETCH_INTERVAL_S = 1.0
_MIN_LISTING_INTERVAL_S = 0.4

_log = log.get_logger("following")


class StoreSync:
    """Background task that keeps the cache current, from the store or from peers.

    Parameters
    ----------
    own : Candidate
        This daemon as a candidate for a reader.
    feed : ChangeFeed
        Client of the store.
    pool : ConnectionPool
        Connections to peers.
    counters : Counters
        Metrics of this daemon.
    on_changed : callable
        Called with the changed items, after a restore also with those that the store has forgotten
        and that still hold, and the time until which servers that are missing from the
        store are to be kept, in seconds on the event loop's clock.
    rng : random.Random
        Seeded random source.
    first_start : bool
        Whether the whole fleet starts for the first time.
    order : DocumentOrder, optional
        Order of the documents' writers, which holds beyond a restore of the store.

    Attributes
    ----------
    cache : StoreCache
        Items of the store that this daemon knows.
    confirmed_at : float
        When a reader last confirmed that the cache is up to date, in seconds on the event loop's
        clock.
    peers : Peers or None
        The other daemons; None until they are set.
    """

    def __init__(
        self,
        own: Candidate,
        feed: ChangeFeed,
        pool: ConnectionPool,
        counters: Counters,
        on_changed: Callable[[list[VersionedItem], float], None],
        rng: random.Random,
        first_start: bool = False,
        order: DocumentOrder | None = None,
    ) -> None:
        self._own = own
        self._feed = feed
        self._pool = pool
        self._counters = counters
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._selection = ReaderSelection(self._rng, self._loop.time(), first_start)
        self._failed_at = float("-inf")
        self._listed_at = float("-inf")
        self._changed_at = float("-inf")
        self._fetching = False
        self._fetching_since = float("-inf")
        self._kept_fetched_at = float("-inf")
        self._release_timer: asyncio.TimerHandle | None = None
        self._needs_listing = True
        self._keep_missing_until = float("-inf")
        self._reading = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.cache = StoreCache(order, self._loop.time)
        self._delivery = Delivery(self.cache, on_changed, counters)
        self._has_run = False
        self.confirmed_at = float("-inf")
        self.peers: Peers | None = None

    def on_peer_changes(
        self,
        after: StoreVersion,
        items: Sequence[VersionedItem],
        version: StoreVersion,
        peer: Peer,
    ) -> None:
        """Apply changes that a peer sent, and pass them on.

        If changes before these are missing here, they are fetched from the peer.

        Parameters
        ----------
        after : StoreVersion
            Version before the changes.
        items : sequence of VersionedItem
            The changed items.
        version : StoreVersion
            Version after the changes.
        peer : Peer
            The daemon that sent them.
        """
        known_version = self.cache.version
        if self._is_of_earlier_era(version, "peer " + peer.name):
            return
        peer.version = max(peer.version, version)
        changed = self.cache.on_changes(after, items, version)
        if changed is None:
            self.on_newer_peer(peer)
            return
        self._apply(changed, "peer " + peer.name, known_version)
        if self.cache.version > known_version and self.peers is not None:
            self.peers.forward_changes(after, items, version)

    def on_newer_peer(self, peer: Peer) -> None:
        """Fetch what a peer has that this daemon lacks, unless a fetch is running."""
        if self._fetching:
            return
        self._fetching = True
        self._fetching_since = self._loop.time()
        task = self._loop.create_task(self._fetch_missing(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_confirmed(self, at: float) -> None:
        """Record that the cache was up to date at a time, in seconds on the event loop's clock.

        Confirmations older than the latest are ignored.
        """
        if at <= self.confirmed_at:
            return
        advance_s = at - self.confirmed_at
        # The same confirmation by another way is no news of the store.
        if advance_s > MIN_ADVANCE_S:
            self._detect_outage_end()
        self.confirmed_at = at
        self._publish()
        if self.peers is not None and advance_s > MIN_ADVANCE_S:
            self.peers.push(to_relays=self._reading)

    def _detect_outage_end(self) -> None:
        """Keep missing server entries for `ENTRY_RETURN_GRACE_S` after an outage of the store."""
        now = self._loop.time()
        away_s = now - self.confirmed_at
        if away_s > OUTAGE_THRESHOLD_S and self._failed_at > self.confirmed_at > 0:
            self._keep_missing_until = now + ENTRY_RETURN_GRACE_S
            _log.info("store reachable after an outage", away_s=round(away_s, 2))

    async def _fetch_missing(self, peer: Peer) -> None:
        try:
            # After a restore, nothing but a copy brings the changes.
            is_restored = peer.version.era > self.cache.version.era
            if self.cache.version != NO_VERSION and not is_restored:
                await asyncio.sleep(CHANGES_WAIT_S)
            if peer.version > self.cache.version:
                await self._fetch_from_peer(peer, self.cache.version)
            elif self._lacks_kept_items(peer):
                self._kept_fetched_at = self._loop.time()
                await self._fetch_from_peer(peer, NO_VERSION)
        finally:
            self._fetching = False

    def _lacks_kept_items(self, peer: Peer) -> bool:
        is_due = self._loop.time() - self._kept_fetched_at > KEPT_FETCH_INTERVAL_S
        return is_due and peer.is_ahead_of(self.cache.version, self.cache.kept_count)

    async def _fetch_from_peer(self, peer: Peer, after: StoreVersion) -> None:
        known_version = self.cache.version
        self._counters.peer_fetches += 1
        try:
            path = f"{COPY_PATH}?after={after}"
            answer = await self._pool.get(peer.control, path, PEER_FETCH_TIMEOUT_S)
            self._count_copy(peer, answer.size)
            copy = decode_copy(answer.body)
        except (TimeoutError, ConnectError, AnswerError, UndecodableError) as error:
            self._counters.peer_fetch_failures += 1
            _log.warning(
                "could not fetch the store copy of a peer", peer=peer.name, reason=repr(error)
            )
            return
        self._merge(copy, "copy of " + peer.name)
        if peer.version.era == self.cache.version.era and peer.version <= self.cache.version:
            self.on_confirmed(peer.confirmed_at)
        if self.cache.version > known_version and self.peers is not None:
            self.peers.push(to_relays=False)

    def _count_copy(self, peer: Peer, size: int) -> None:
        is_near = peer.contact.failure_domain == self._own.contact.failure_domain
        self._counters.on_traffic(TrafficKind.COPIES, is_near, size)

    def _merge(self, copy: CacheCopy, source: str) -> None:
        before = self.cache.version
        if self._is_of_earlier_era(copy.version, source):
            return
        if copy.after is None:
            changed = self.cache.on_listing(VersionedListing(copy.items, copy.version))
        else:
            changed = self.cache.on_changes(copy.after, copy.items, copy.version) or []
        self._apply(changed, source, before)

    def copy_after(self, version: StoreVersion) -> CacheCopy:
        """Return the changes after a version, or a whole copy if some of them are not known."""
        cache = self.cache
        changes = cache.changes_after(version) if version != NO_VERSION else None
        if changes is None:
            kept_deleted = tuple(item for item in cache.kept_items() if item.value is None)
            return CacheCopy(cache.items() + kept_deleted, cache.version)
        return CacheCopy(changes, cache.version, version)

    async def run(self) -> None:
        """Read from the store while this daemon has to, until cancelled.

        A run after one that failed starts over from a whole listing.
        """
        backoff = Backoff(self._rng)
        if self._has_run:
            self._needs_listing = True
            self._delivery.require_all()
        self._has_run = True
        while True:
            selected = self._is_selected()
            self._reading = selected or (self._is_stale() and not self._awaits_peer())
            if self.peers is not None:
                self.peers.reading = selected
            if not self._reading:
                unconfirmed = self.confirmed_at < 0
                await asyncio.sleep(
                    FIRST_CHECK_INTERVAL_S if unconfirmed else ROLE_CHECK_INTERVAL_S
                )
                continue
            try:
                await self._read()
                backoff.on_success()
            except PlatformError as error:
                self._on_store_failed(error)
                wait_s = backoff.on_failure()
                retry_s = min(READER_RETRY_S, wait_s) if selected else STALE_RETRY_FACTOR * wait_s
                await asyncio.sleep(retry_s)

    def _is_selected(self) -> bool:
        now = self._loop.time()
        # After the cooldown, only another call shows whether the store is reachable again.
        if now - self._failed_at > READER_COOLDOWN_S:
            self._set_reaches_store(True)
        if self.peers is None:
            return True
        relays = [peer.candidate() for peer in self.peers.relays()]
        return self.peers.is_relay and self._selection.is_selected(now, self._own, relays)

    def _is_stale(self) -> bool:
        is_relay = self.peers is None or self.peers.is_relay
        return self._selection.is_stale(self._loop.time(), self.confirmed_at, is_relay)

    def _awaits_peer(self) -> bool:
        """Return whether a peer's copy may arrive soon, so that the store need not be read."""
        return self._fetching and self._loop.time() - self._fetching_since < PEER_HEAD_START_S

    async def _read(self) -> None:
        if self._needs_listing:
            await self._list()
        wait_s = self._changed_at + MIN_WATCH_INTERVAL_S - self._loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        after = self.cache.version
        try:
            items, version = await self._feed.changes(after, WATCH_TIMEOUT_S)
        except ChangesLostError as error:
            self._counters.store_histories_lost += 1
            _log.info("history lost", after=str(after), reason=str(error))
            self._needs_listing = True
            return
        if self._is_of_earlier_era(version, "store"):
            return
        self._on_store_reached()
        if items:
            self._changed_at = self._loop.time()
        before = self.cache.version
        changed = self.cache.on_changes(after, items, version) or []
        self._apply(changed, "store", before)
        if items and self.peers is not None:
            self.peers.send_changes(after, items, version)

    async def _list(self) -> None:
        wait_s = self._listed_at + _MIN_LISTING_INTERVAL_S - self._loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._listed_at = self._loop.time()
        requested_at = self._loop.time()
        listing = await self._feed.list_all()
        if self._is_of_earlier_era(listing.version, "listing"):
            raise PlatformError("the listing is of an earlier era", step="list")
        self._on_store_reached(requested_at)
        if listing.version < self.cache.version:
            self._counters.older_listings += 1
            _log.info(
                "older listing ignored",
                version=str(listing.version),
                known=str(self.cache.version),
            )
        before = self.cache.version
        changed = self.cache.on_listing(listing)
        self._needs_listing = False
        self._apply(changed, "listing", before)
        if self.peers is None:
            return
        if self.cache.version.era > before.era and before != NO_VERSION:
            items = {item.key: item for item in [*changed, *self.cache.kept_items()]}
            self.peers.send_changes(before, items.values(), self.cache.version)
        elif changed:
            self.peers.announce()

    def _is_of_earlier_era(self, version: StoreVersion, source: str) -> bool:
        """Return whether a version is of an era before the known one, and count it."""
        if version.era >= self.cache.version.era:
            return False
        self._counters.earlier_eras_refused += 1
        _log.info(
            "earlier era refused",
            source=source,
            version=str(version),
            known=str(self.cache.version),
        )
        return True

    def _on_store_reached(self, at: float | None = None) -> None:
        if not self._own.reaches_store or self.confirmed_at < 0:
            _log.info("store reached")
        self._set_reaches_store(True)
        self.on_confirmed(self._loop.time() if at is None else at)

    def _on_store_failed(self, error: PlatformError) -> None:
        self._needs_listing = True
        self._failed_at = self._loop.time()
        if self._own.reaches_store:
            _log.warning("store unreachable", step=error.step, reason=str(error))
        self._set_reaches_store(False)

    def _set_reaches_store(self, reaches_store: bool) -> None:
        self._own = attrs.evolve(self._own, reaches_store=reaches_store)
        self._publish()

    def _apply(self, changed: list[VersionedItem], source: str, before: StoreVersion) -> None:
        """Pass on what a merge has changed, which began at the version `before`."""
        self._publish()
        if self.cache.version.era > before.era and before != NO_VERSION:
            self._on_restored(changed, source, before)
            changed_keys = {item.key for item in changed}
            kept = [item for item in self.cache.kept_items() if item.key not in changed_keys]
            changed = changed + kept
        self._schedule_release()
        if not changed and not self._delivery.needs_all:
            return
        self._detect_outage_end()
        _log.info(
            "store changes applied",
            source=source,
            keys=[item.key for item in changed[:8]],
            count=len(changed),
            version=str(self.cache.version),
        )
        self._delivery.deliver(changed, self._keep_missing_until)

    def _on_restored(self, changed: list[VersionedItem], source: str, before: StoreVersion) -> None:
        """Keep missing server entries for a while, as their servers have to write them again."""
        self._counters.store_restores += 1
        self._keep_missing_until = self._loop.time() + ENTRY_RETURN_GRACE_S
        _log.warning(
            "store restored",
            source=source,
            before=str(before),
            version=str(self.cache.version),
            changed=len(changed),
            missing=sum(item.value is None and item.forgotten for item in changed),
            kept=self.cache.kept_count,
        )

    def _schedule_release(self) -> None:
        if self._release_timer is None and self.cache.overruled_count:
            self._release_timer = self._loop.call_later(REWRITE_S, self._release_overruled)

    def _release_overruled(self) -> None:
        self._release_timer = None
        released = self.cache.release_overruled()
        self._apply(released, "earlier number that stands", self.cache.version)

    def _publish(self) -> None:
        if self.peers is not None:
            self.peers.own.version = self.cache.version
            self.peers.own.kept = self.cache.kept_count
            self.peers.own.confirmed_at = self.confirmed_at
            self.peers.own.reaches_store = self._own.reaches_store
