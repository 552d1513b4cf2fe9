"""An entry's control plane: configuration, membership and the peer network."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator

from sycamorebay.coordination.configuration import Configuration
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.freshness import Freshness
from sycamorebay.coordination.membership import Member, Membership
from sycamorebay.metrics import Metrics
from sycamorebay.settings import Settings
from sycamorebay.transport.background import BackgroundTask
from sycamorebay.transport.clock import boottime
from sycamorebay.transport.configuration.following import StoreFollower
from sycamorebay.transport.configuration.in_force import RevisionInForce
from sycamorebay.transport.configuration.platform import open_store
from sycamorebay.transport.configuration.registration import Registration
from sycamorebay.transport.entry.pauses import PauseWatch
from sycamorebay.transport.peering.heartbeats import Heartbeats
from sycamorebay.transport.peering.leaving import LeavingExchange, VmWatch
from sycamorebay.transport.peering.peer_messages import PeerMessages
from sycamorebay.transport.peering.peers import PeerNetwork
from sycamorebay.transport.peering.secrets import SecretFile, SecretRefresh


class Control:
    """The parts of an entry that serve no requests of callers.

    Parameters
    ----------
    settings : Settings
        The daemon's validated settings.
    dispatcher : Dispatcher
        Receives documents and leaving notices, and asks `refusal_reason` before each request.
    metrics : Metrics
        Receives the counts and gauges of all parts.

    Attributes
    ----------
    freshness : Freshness
        Decides whether the document in force may be used.
    configuration : Configuration
        The revisions that this entry knows.
    in_force : RevisionInForce
        Puts revisions in force.
    membership : Membership
        This entry and its peers.
    secrets : SecretFile
        The secrets shared with peers and operators.
    messages : PeerMessages
        Passes messages of peers to their handlers.
    network : PeerNetwork
        The connections to peers.
    leaving : LeavingExchange
        Exchanges leaving notices with peers.
    heartbeats : Heartbeats
        Sends heartbeats to peers and handles theirs.
    """

    def __init__(self, settings: Settings, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._metrics = metrics
        self.freshness = Freshness(boottime(), settings.freshness)
        self.configuration = Configuration(dispatcher.invariants)
        self.in_force = RevisionInForce(self.configuration, self.freshness, dispatcher, metrics)
        own = Member(settings.id, time.time_ns(), str(settings.peers), settings.failure_domain)
        self.membership = Membership(own)
        self.secrets = SecretFile(settings)
        self.messages = PeerMessages()
        self.network = PeerNetwork(settings.peers, self.secrets, self.messages, metrics)
        self.leaving = LeavingExchange(dispatcher)
        self.heartbeats = Heartbeats(
            settings, self.network, self.membership, self.in_force, self.leaving, metrics
        )
        self.messages.on("heartbeat", self.heartbeats.on_heartbeat)
        self.messages.on("fetch_document", self.heartbeats.on_fetch)
        dispatcher.refusal_reason = self.refusal_reason

    def refusal_reason(self) -> str:
        """Return why requests must be refused now, or an empty string if they may be served."""
        return self.freshness.refusal_reason(boottime())

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[list[BackgroundTask]]:
        """Open the connections to the platform and the peers, and close them on exit.

        Yields
        ------
        list of BackgroundTask
            The tasks to run while the connections are open.
        """
        settings = self._settings
        async with (
            open_store(settings.platform, self.on_platform_call) as store,
            self.network.open(),
        ):
            follower = StoreFollower(settings, store, self.in_force, self.membership)
            parts: list[BackgroundTask] = [
                PauseWatch(self.freshness, (self.leaving.send_now, follower.poll_now)),
                follower,
                Registration(settings, store, self.membership.own, self.in_force),
                self.heartbeats,
                self.leaving,
                SecretRefresh(self.secrets),
            ]
            if settings.platform.vm_list_url:
                parts.append(VmWatch(self._dispatcher, store, settings.platform.poll_s))
            yield parts

    def on_platform_call(self, kind: str) -> None:
        """Count a call to the platform, labelled with its kind."""
        self._metrics.platform_calls.labels(kind).inc()
