"""Keeps the directory up to date: reads the store where this daemon should, else hears peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.rate_limit import Backoff
from sycamorebay.coordination.readers import Candidate, ReaderSelection
from sycamorebay.coordination.store_cache import StoreCache
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.store_items import decode_snapshot
from sycamorebay.state.stored import Listing, StoredItem
from sycamorebay.transport.gateway.client import AnswerError, ConnectError, Pool
from sycamorebay.transport.gateway.peer import Peer
from sycamorebay.transport.gateway.peers import Peers

# A reader's watch ends after this, so that the others know that it still hears the store.
WATCH_S = 1.0
CHECK_S = 0.2
PULL_TIMEOUT_S = 0.6
# No confirmation for longer than this, and a failed call of one's own, is an outage of the store.
# Readers that merely ended are replaced sooner, and no call fails then.
OUTAGE_S = 1.6
# Entries that lapsed in an outage are back within two seconds of its end.
RETURN_S = 2.3
# A daemon that failed at the store lets others read for this long.
TRUST_AGAIN_S = 3.0
_MIN_BETWEEN_LISTINGS_S = 0.4

_log = log.get_logger("following")


class ChangesLostError(PlatformError):
    """The store no longer has the changes that were asked for."""


class ChangeFeed(Protocol):
    """The store, as a reader needs it."""

    async def list_all(self) -> Listing:
        """Return all items; raises `PlatformError`."""
        ...

    async def changes(self, after: int, wait_s: float) -> tuple[list[StoredItem], int]:
        """Return the changes after a version as soon as there are any, or none in time.

        Raises
        ------
        ChangesLostError
            Where the store has forgotten them.
        PlatformError
            Where the store fails.
        """
        ...


class StoreSync:
    """Follows the store, directly or through peers.

    Parameters
    ----------
    own : Candidate
        This daemon.
    feed : ChangeFeed
        The store.
    pool : Pool
        Connections to peers.
    on_changed : callable
        Told of changed items, and until when missing ones are to be kept.
    """

    def __init__(
        self,
        own: Candidate,
        feed: ChangeFeed,
        pool: Pool,
        on_changed: Callable[[list[StoredItem], float], None],
    ) -> None:
        self._own = own
        self._feed = feed
        self._pool = pool
        self._on_changed = on_changed
        self._rng = random.Random()
        self._selection = ReaderSelection(self._rng)
        self._failed_at = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._listed_at = float("-inf")
        self._pulling = False
        self._must_list = True
        self._missing_kept_until = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self.cache = StoreCache()
        self.confirmed_at = float("-inf")
        self.peers: Peers | None = None

    # From peers

    def on_peer_changes(
        self, after: int, items: list[StoredItem], version: int, peer: Peer
    ) -> None:
        """Take changes that a reader tells."""
        changed = self.cache.on_changes(after, items, version)
        if changed is None:
            self.on_behind(peer)
            return
        self._apply(changed, "peer " + peer.name)

    def on_behind(self, peer: Peer) -> None:
        """Ask a peer that knows more for all that it knows."""
        if self._pulling:
            return
        self._pulling = True
        task = self._loop.create_task(self._pull(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_confirmed(self, at: float) -> None:
        """Take a reader's confirmation that what is known here is up to date."""
        if at <= self.confirmed_at:
            return
        self._note_return()
        self.confirmed_at = at
        self._publish()

    def _note_return(self) -> None:
        """Where this is the first news after an outage, keep missing entries for a while."""
        now = self._loop.time()
        away_s = now - self.confirmed_at
        if away_s > OUTAGE_S and self._failed_at > self.confirmed_at > 0:
            self._missing_kept_until = now + RETURN_S
            _log.info("the store is back", away_s=round(away_s, 2))

    async def _pull(self, peer: Peer) -> None:
        try:
            answer = await self._pool.get(peer.control, "/directory", PULL_TIMEOUT_S)
            items, version = decode_snapshot(answer.body)
            changed = self.cache.on_listing(Listing(tuple(items), version))
            self._apply(changed, "directory of " + peer.name)
        except (TimeoutError, ConnectError, AnswerError, ValueError) as error:
            _log.warning("a peer's directory did not come", peer=peer.name, reason=repr(error))
        finally:
            self._pulling = False

    # From the store

    async def run(self) -> None:
        """Read whenever this daemon should, until cancelled."""
        backoff = Backoff(self._rng)
        while True:
            reading = self._should_read()
            if self.peers is not None:
                self.peers.reading = reading
            if not reading:
                await asyncio.sleep(CHECK_S)
                continue
            try:
                await self._read()
                backoff.on_success()
            except PlatformError as error:
                self._on_store_failed(error)
                await asyncio.sleep(min(0.5, backoff.on_failure()))

    def _should_read(self) -> bool:
        peers = [peer.candidate() for peer in self.peers.alive()] if self.peers else []
        now = self._loop.time()
        if now - self._failed_at > TRUST_AGAIN_S:
            self._set_reached(True)
        return self._selection.should_read(now, self._own, peers, self.confirmed_at)

    async def _read(self) -> None:
        if self._must_list:
            await self._list()
        after = self.cache.version
        try:
            items, version = await self._feed.changes(after, WATCH_S)
        except ChangesLostError:
            self._must_list = True
            return
        self._on_store_reached()
        changed = self.cache.on_changes(after, items, version) or []
        self._apply(changed, "store")
        if items and self.peers is not None:
            self.peers.tell_changes(after, items, version)

    async def _list(self) -> None:
        wait_s = self._listed_at + _MIN_BETWEEN_LISTINGS_S - self._loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._listed_at = self._loop.time()
        asked_at = self._loop.time()
        listing = await self._feed.list_all()
        self._on_store_reached(asked_at)
        changed = self.cache.on_listing(listing)
        self._must_list = False
        self._apply(changed, "listing")

    def _on_store_reached(self, at: float | None = None) -> None:
        if not self._own.reaches_store or self.confirmed_at < 0:
            _log.info("store reached")
        self._set_reached(True)
        self.on_confirmed(self._loop.time() if at is None else at)

    def _on_store_failed(self, error: PlatformError) -> None:
        self._must_list = True
        self._failed_at = self._loop.time()
        if self._own.reaches_store:
            _log.warning("store lost", step=error.step, reason=str(error))
        self._set_reached(False)

    def _set_reached(self, reached: bool) -> None:
        self._own = attrs.evolve(self._own, reaches_store=reached)
        self._publish()

    def _apply(self, changed: list[StoredItem], source: str) -> None:
        self._publish()
        if not changed:
            return
        self._note_return()
        _log.info(
            "changes taken",
            source=source,
            keys=[item.key for item in changed[:8]],
            count=len(changed),
            version=self.cache.version,
        )
        self._on_changed(changed, self._missing_kept_until)

    def _publish(self) -> None:
        if self.peers is not None:
            self.peers.own.version = self.cache.version
            self.peers.own.confirmed_at = self.confirmed_at
            self.peers.own.reaches_store = self._own.reaches_store
