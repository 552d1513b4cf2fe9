"""Composes the parts that keyed operations need in the entry daemon."""

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
from sycamorebay.transport.operations.ranges import RangeRegistry, with_range_rate_limit
from sycamorebay.transport.peering.peers import PeerNetwork


@attrs.frozen
class KeyedOperations:
    """The parts of one entry that handle keyed operations.

    Attributes
    ----------
    operations : Operations
        Decides whether operations run.
    inquirer : Inquirer
        Exchanges inquiries with peers.
    registry : RangeRegistry
        Registers this entry's range of keys and reads all ranges.
    """

    operations: Operations
    inquirer: Inquirer
    registry: RangeRegistry

    def refusal_reason(self) -> str:
        """Return why a new entry is not ready yet, or an empty string if it is.

        The string is also empty while the platform's store is down, so that an outage does not keep
        a new entry from becoming ready.
        """
        before_first_key = time.time() <= self.operations.range.first
        return (
            "keyed operations are not open yet"
            if before_first_key and not self.registry.failed
            else ""
        )


@asynccontextmanager
async def open_operations(
    settings: Settings,
    membership: Membership,
    network: PeerNetwork,
    invariants: Invariants,
    on_platform_call: Callable[[str], None],
) -> AsyncIterator[KeyedOperations]:
    """Compose the parts, and close their connections to the platform at the end of the context.

    Parameters
    ----------
    settings : Settings
        Checked settings of the entry.
    membership : Membership
        This entry and its peers.
    network : PeerNetwork
        Links to the peers.
    invariants : Invariants
        Counts violations.
    on_platform_call : callable
        Called with the kind of each call to the platform's store.
    """
    own = membership.own
    operations = Operations(settings.operations, own, invariants, membership)
    async with open_store(with_range_rate_limit(settings.platform), on_platform_call) as store:
        registry = RangeRegistry(
            store,
            settings.environment,
            own,
            settings.operations,
            operations.range.on_confirmed,
            operations.on_last_known_ranges,
        )
        inquirer = Inquirer(operations, own, NetworkPeers(network, registry.read))
        yield KeyedOperations(operations, inquirer, registry)
