"""Exchanges heartbeats with peers, and fetches a newer document from a peer."""

from __future__ import annotations

import asyncio
import contextlib
import random

from sycamorebay import log
from sycamorebay.coordination.configuration import Fetch, Revision
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.errors import PeerError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.documents import compress_document, decompress_document
from sycamorebay.protocol.generated.peers.ttypes import (
    Body,
    DocumentReply,
    FetchDocument,
    Heartbeat,
)
from sycamorebay.protocol.heartbeats import (
    build_heartbeat,
    decode_members,
    decode_notices,
    validate_heartbeat,
)
from sycamorebay.settings import Settings
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.configuration.in_force import RevisionInForce
from sycamorebay.transport.peering.leaving import LeavingExchange
from sycamorebay.transport.peering.peers import PeerNetwork

ANSWER_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 4.0
_NOTICE_JITTER_S = 0.1  # keeps entries from forwarding a new notice all at once

_log = log.get_logger("heartbeats")


class Heartbeats:
    """Exchanges heartbeats with a few peers in each round; every answer is a heartbeat too.

    After a start or a pause, until the configuration is known to be current, a round addresses all
    peers and all seeds whose address belongs to no known peer.

    Parameters
    ----------
    settings : Settings
        `heartbeat_s`, the seconds between rounds, and `peers.fan_out`, the peers per round.
    network : PeerNetwork
        Links to peers.
    membership : Membership
        The known peers.
    in_force : RevisionInForce
        The revision in force, and whether it is known to be current.
    leaving : LeavingExchange
        Notices of leaving backend servers, which heartbeats carry.
    metrics : Metrics
        Exposes the number of live peers.
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
        """Seconds that it takes until each peer has received a heartbeat from this entry."""
        rounds = -(-len(self._membership.peers()) // self._settings.peers.fan_out)
        return self._settings.heartbeat_s * max(1, rounds)

    def alive(self) -> list[Member]:
        """Return the peers that sent a heartbeat within the last few rounds."""
        return self._membership.alive(boottime(), self.round_s)

    async def run(self) -> None:
        """Run rounds of heartbeats until cancelled."""
        try:
            while True:
                await self._run_round()
                await self._wait_for_next_round()
        finally:
            for task in self._fetches:
                task.cancel()

    async def on_heartbeat(self, body: Body) -> Body:
        """Record a peer's heartbeat and return this entry's as the answer.

        The answer lists the known members if the peer's heartbeat has a list, even an empty one.

        Raises
        ------
        PeerError
            If the heartbeat is invalid or of an incompatible version.
        """
        self._record(body.heartbeat)
        wants_members = body.heartbeat.members is not None
        members = self._membership.peers() if wants_members else None
        return Body(heartbeat=self._heartbeat(members))

    async def on_fetch(self, body: Body) -> Body | None:
        """Return the document in force, compressed; None if it is not newer than the peer's."""
        revision = self._in_force.configuration.revision
        if revision is None or revision.number <= body.fetch_document.newer_than:
            return None
        text = await asyncio.to_thread(compress_document, revision.text)
        return Body(document_reply=DocumentReply(revision.number, text, True))

    async def _run_round(self) -> None:
        now = boottime()
        self._membership.on_tick(now)
        targets = self._targets()
        known = [*self._membership.peers(), *self._unknown_seeds()]
        self._in_force.freshness.on_heartbeat_round(now, [peer.id for peer in known])
        await asyncio.gather(*(self._exchange(peer) for peer in targets))
        self._metrics.peers_alive.set(len(self.alive()))

    async def _wait_for_next_round(self) -> None:
        settled = self._in_force.freshness.settled
        wait_s = self._settings.heartbeat_s if settled else min(0.2, self._settings.heartbeat_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s * (0.9 + 0.2 * self._rng.random())):
                await self._leaving.send_now.wait()
                await asyncio.sleep(_NOTICE_JITTER_S * self._rng.random())
        self._leaving.send_now.clear()

    def _targets(self) -> list[Member]:
        settled = self._in_force.freshness.settled
        peers = self._membership.peers()
        if settled and peers:
            return self._membership.targets(self._rng, self._settings.peers.fan_out)
        return peers + self._unknown_seeds()

    def _unknown_seeds(self) -> list[Member]:
        known_addresses = {peer.address for peer in self._membership.peers()} | {
            self._membership.own.address
        }
        seeds = [seed for seed in self._settings.peers.seeds if seed not in known_addresses]
        return [Member(seed, 0, seed, "") for seed in seeds]

    async def _exchange(self, peer: Member) -> None:
        sent_at = boottime()
        members: list[Member] | None = None if self._in_force.freshness.settled else []
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                link = await self._network.link(peer)
                body = Body(heartbeat=self._heartbeat(members))
                answer = await link.call(body, ANSWER_TIMEOUT_S)
            if answer.heartbeat is None:
                raise PeerError(
                    "unexpected type of answer, expected heartbeat", step="heartbeat", peer=peer.id
                )
            sender = self._record(answer.heartbeat)
        except (PeerError, TimeoutError) as error:
            _log.debug("heartbeat failed", peer=peer.id, reason=str(error))
            self._network.drop(peer)
            return
        for id_ in {peer.id, sender.id}:
            self._in_force.freshness.on_peer(boottime(), id_, sent_at)

    def _record(self, heartbeat: Heartbeat) -> Member:
        now = boottime()
        sender = validate_heartbeat(heartbeat)
        self._membership.on_heartbeat(now, sender)
        self._membership.on_hints(now, decode_members(heartbeat))
        self._leaving.on_peer_notices(decode_notices(heartbeat))
        self._in_force.freshness.on_known_revision(now, heartbeat.revision)
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
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                link = await self._network.link(peer)
                body = Body(fetch_document=FetchDocument(fetch.newer_than))
                reply = (await link.call(body, FETCH_TIMEOUT_S)).document_reply
            if reply is None:
                raise PeerError(
                    "unexpected type of answer, expected document_reply", step="fetch", peer=peer.id
                )
            text = (
                await asyncio.to_thread(decompress_document, reply.text)
                if reply.compressed
                else reply.text
            )
        except (PeerError, TimeoutError) as error:
            _log.warning("fetch failed", peer=peer.id, reason=str(error))
            return
        finally:
            self._in_force.configuration.on_fetch_ended(boottime())
        _log.info("document fetched", peer=peer.id, revision=reply.revision)
        self._in_force.on_revision(Revision(reply.revision, text))

    def _heartbeat(self, members: list[Member] | None = None) -> Heartbeat:
        return build_heartbeat(
            self._membership.own, self._in_force.configuration, self._leaving.outgoing(), members
        )
