"""Heartbeats between entries."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.errors import PeerError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.generated.peers.ttypes import Body, Heartbeat
from sycamorebay.protocol.generated.peers.ttypes import Member as WireMember
from sycamorebay.settings import Settings
from sycamorebay.transport.in_force import RevisionInForce
from sycamorebay.transport.peers import PeerNetwork

PEER_PROTOCOL_VERSION = 1


class Heartbeats:
    """Sends heartbeats to every peer, and takes theirs.

    Parameters
    ----------
    settings : Settings
        How often.
    network : PeerNetwork
        Links to peers.
    membership : Membership
        Who the peers are.
    in_force : RevisionInForce
        Tells the revision.
    metrics : Metrics
        Shows how many peers were heard lately.
    """

    def __init__(
        self,
        settings: Settings,
        network: PeerNetwork,
        membership: Membership,
        in_force: RevisionInForce,
        metrics: Metrics,
    ) -> None:
        self._heartbeat_s = settings.heartbeat_s
        self._network = network
        self._membership = membership
        self._in_force = in_force
        self._metrics = metrics

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.gather(*(self._beat(peer) for peer in self._membership.peers()))
            alive = self._membership.alive(time.monotonic(), self._heartbeat_s)
            self._metrics.peers_alive.set(len(alive))
            await asyncio.sleep(self._heartbeat_s * (0.9 + 0.2 * random.random()))

    async def on_heartbeat(self, body: Body) -> None:
        """Take a peer's heartbeat."""
        self._membership.on_heartbeat(time.monotonic(), body.heartbeat.sender.id)

    async def _beat(self, peer: Member) -> None:
        with contextlib.suppress(PeerError):
            link = await self._network.link(peer)
            link.send(Body(heartbeat=self._heartbeat()))

    def _heartbeat(self) -> Heartbeat:
        own = self._membership.own
        revision = self._in_force.revision
        return Heartbeat(
            version=PEER_PROTOCOL_VERSION,
            sender=WireMember(own.id, own.incarnation, own.address, own.failure_domain),
            revision=revision.number if revision else 0,
            digest=bytes.fromhex(revision.digest) if revision else b"",
            news=[],
        )
