"""The parts that keyed operations need, composed for the daemon."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.coordination.membership import Membership
from sycamorebay.coordination.operations import Operations
from sycamorebay.settings import Settings
from sycamorebay.transport.configuration.platform import open_store
from sycamorebay.transport.operations.inquire import Inquirer, NetworkPeers
from sycamorebay.transport.operations.ranges import RangeRegistry, for_ranges
from sycamorebay.transport.peering.peers import PeerNetwork


@attrs.frozen
class KeyedOperations:
    """Decisions, inquiries and the registered range of one entry."""

    operations: Operations
    inquirer: Inquirer
    registry: RangeRegistry

    def refusal_reason(self) -> str:
        """Return why a new entry is not ready yet; empty while the platform's service is down."""
        opening = time.time() <= self.operations.range.first
        return "keyed operations are not open yet" if opening and not self.registry.failed else ""


@asynccontextmanager
async def open_operations(
    settings: Settings,
    membership: Membership,
    network: PeerNetwork,
    invariants: Invariants,
    on_platform_call: Callable[[str], None],
) -> AsyncIterator[KeyedOperations]:
    """Compose the parts, and close their connections to the platform at the end."""
    own = membership.own
    operations = Operations(settings.operations, own, invariants, membership)
    async with open_store(for_ranges(settings.platform), on_platform_call) as store:
        registry = RangeRegistry(
            store,
            settings.environment,
            own,
            settings.operations,
            operations.range.on_confirmed,
            operations.on_known,
        )
        inquirer = Inquirer(operations, own, NetworkPeers(network, registry.read))
        yield KeyedOperations(operations, inquirer, registry)
