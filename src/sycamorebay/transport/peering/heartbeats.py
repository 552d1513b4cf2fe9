"""Heartbeats between entries, and the fetch of a newer document from a peer."""

from __future__ import annotations

import asyncio
import contextlib
import random

from sycamorebay import log
from sycamorebay.coordination.configuration import Fetch, Revision
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.errors import PeerError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.documents import pack, unpack
from sycamorebay.protocol.generated.peers.ttypes import (
    Body,
    DocumentReply,
    FetchDocument,
    Heartbeat,
)
from sycamorebay.protocol.heartbeats import check_heartbeat, heartbeat_of, members_of, notices_of
from sycamorebay.settings import Settings
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.configuration.in_force import RevisionInForce
from sycamorebay.transport.peering.leaving import LeavingExchange
from sycamorebay.transport.peering.peers import PeerNetwork

ANSWER_LIMIT_S = 2.0
FETCH_LIMIT_S = 4.0
_SOON_S = 0.1

_log = log.get_logger("heartbeats")


class Heartbeats:
    """Exchanges heartbeats with a few peers each round; each answer is a heartbeat too.

    Parameters
    ----------
    settings : Settings
        How often, and with how many peers a round.
    network : PeerNetwork
        Links to peers.
    membership : Membership
        Who the peers are.
    in_force : RevisionInForce
        The revision in force, and whether it is fresh.
    leaving : LeavingExchange
        News of backend servers.
    metrics : Metrics
        Shows how many peers were heard lately.
    """

    def __init__(
        self,
        settings: Settings,
        network: PeerNetwork,
        membership: Membership,
        in_force: RevisionInForce,
        leaving: LeavingExchange,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._network = network
        self._membership = membership
        self._in_force = in_force
        self._leaving = leaving
        self._metrics = metrics
        self._rng = random.Random()
        self._fetches: set[asyncio.Task[None]] = set()

    @property
    def round_s(self) -> float:
        """Seconds within which each peer has had a heartbeat of this entry."""
        rounds = -(-len(self._membership.peers()) // self._settings.peers.fan_out)
        return self._settings.heartbeat_s * max(1, rounds)

    def alive(self) -> list[Member]:
        """Return the peers heard lately."""
        return self._membership.alive(boottime(), self.round_s)

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self._round()
                await self._wait()
        finally:
            for task in self._fetches:
                task.cancel()

    async def on_heartbeat(self, body: Body) -> Body:
        """Take a peer's heartbeat and answer it."""
        self._take(body.heartbeat)
        wants_members = body.heartbeat.members is not None
        members = self._membership.peers() if wants_members else None
        return Body(heartbeat=self._heartbeat(members))

    async def on_fetch(self, body: Body) -> Body | None:
        """Answer a peer that wants a newer document."""
        revision = self._in_force.configuration.revision
        if revision is None or revision.number <= body.fetch_document.newer_than:
            return None
        text = await asyncio.to_thread(pack, revision.text)
        return Body(document_reply=DocumentReply(revision.number, text, True))

    async def _round(self) -> None:
        now = boottime()
        self._membership.on_tick(now)
        targets = self._targets()
        known = [*self._membership.peers(), *self._unmet_seeds()]
        self._in_force.freshness.on_heartbeat_round(now, [peer.id for peer in known])
        await asyncio.gather(*(self._beat(peer) for peer in targets))
        self._metrics.peers_alive.set(len(self.alive()))

    async def _wait(self) -> None:
        settled = self._in_force.freshness.settled
        wait_s = self._settings.heartbeat_s if settled else min(0.2, self._settings.heartbeat_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s * (0.9 + 0.2 * self._rng.random())):
                await self._leaving.soon.wait()
                await asyncio.sleep(_SOON_S * self._rng.random())
        self._leaving.soon.clear()

    def _targets(self) -> list[Member]:
        settled = self._in_force.freshness.settled
        peers = self._membership.peers()
        if settled and peers:
            return self._membership.targets(self._rng, self._settings.peers.fan_out)
        return peers + self._unmet_seeds()

    def _unmet_seeds(self) -> list[Member]:
        met = {peer.address for peer in self._membership.peers()} | {self._membership.own.address}
        seeds = [seed for seed in self._settings.peers.seeds if seed not in met]
        return [Member(seed, 0, seed, "") for seed in seeds]

    async def _beat(self, peer: Member) -> None:
        asked_at = boottime()
        members: list[Member] | None = None if self._in_force.freshness.settled else []
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                link = await self._network.link(peer)
                body = Body(heartbeat=self._heartbeat(members))
                answer = await link.call(body, ANSWER_LIMIT_S)
            if answer.heartbeat is None:
                raise PeerError("an answer of another kind", step="heartbeat", peer=peer.id)
            sender = self._take(answer.heartbeat)
        except (PeerError, TimeoutError) as error:
            _log.debug("heartbeat failed", peer=peer.id, reason=str(error))
            self._network.drop(peer)
            return
        for id_ in {peer.id, sender.id}:
            self._in_force.freshness.on_peer(boottime(), id_, asked_at)

    def _take(self, heartbeat: Heartbeat) -> Member:
        now = boottime()
        sender = check_heartbeat(heartbeat)
        self._membership.on_heartbeat(now, sender)
        self._membership.on_hints(now, members_of(heartbeat))
        self._leaving.on_peer_notices(notices_of(heartbeat))
        self._in_force.freshness.on_known(now, heartbeat.revision)
        fetch = self._in_force.configuration.on_peer_revision(
            now, sender.id, heartbeat.revision, heartbeat.digest or b""
        )
        if fetch is not None:
            task = asyncio.create_task(self._fetch(sender, fetch))
            self._fetches.add(task)
            task.add_done_callback(self._fetches.discard)
        return sender

    async def _fetch(self, peer: Member, fetch: Fetch) -> None:
        try:
            async with asyncio.timeout(FETCH_LIMIT_S):
                link = await self._network.link(peer)
                body = Body(fetch_document=FetchDocument(fetch.newer_than))
                reply = (await link.call(body, FETCH_LIMIT_S)).document_reply
            if reply is None:
                raise PeerError("an answer of another kind", step="fetch", peer=peer.id)
            text = await asyncio.to_thread(unpack, reply.text) if reply.compressed else reply.text
        except (PeerError, TimeoutError) as error:
            _log.warning("fetch failed", peer=peer.id, reason=str(error))
            return
        finally:
            self._in_force.configuration.on_fetch_ended(boottime())
        _log.info("document fetched", peer=peer.id, revision=reply.revision)
        self._in_force.on_revision(Revision(reply.revision, text))

    def _heartbeat(self, members: list[Member] | None = None) -> Heartbeat:
        return heartbeat_of(
            self._membership.own, self._in_force.configuration, self._leaving.outgoing(), members
        )
