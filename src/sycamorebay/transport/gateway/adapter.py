"""Interfaces of what a platform's adapter provides to the gateway."""

from __future__ import annotations

from typing import Protocol

from sycamorebay.coordination.forgotten import DocumentOrder
from sycamorebay.state.blocks import Block
from sycamorebay.state.routing import RoutingTable
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peers.crash_reports import QuarantineStore
from sycamorebay.transport.gateway.servers.connection_pool import ConnectionPool
from sycamorebay.transport.gateway.store.change_feed import ChangeFeed


class Documents(DocumentOrder, Protocol):
    """Decodes the values of items of the store."""

    def is_routing(self, key: str) -> bool:
        """Return whether a key holds the routing table."""
        ...

    def server_id(self, key: str) -> str | None:
        """Return the id of the server whose entry a key holds, or None for another key."""
        ...

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a key evacuates, or None for another key."""
        ...

    def blocked_fingerprint(self, key: str) -> str | None:
        """Return the fingerprint of the request that a key blocks, or None for another key."""
        ...

    def read_block(self, value: bytes) -> Block:
        """Return the decoded value of the key of a blocked request.

        Raises
        ------
        UndecodableError
            If the value cannot be decoded.
        """
        ...

    def read_routing(self, value: bytes) -> RoutingTable:
        """Return the decoded routing table.

        Raises
        ------
        UndecodableError
            If the value cannot be decoded.
        """
        ...

    def read_server(self, server_id: str, value: bytes) -> ServerEntry:
        """Return the decoded entry of a server.

        Raises
        ------
        UndecodableError
            If the value cannot be decoded.
        """
        ...


class StoreClient(ChangeFeed, QuarantineStore, Protocol):
    """Client of the store."""


class FeedFactory(Protocol):
    """Creates the client of the store."""

    def __call__(self, pool: ConnectionPool, counters: Counters) -> StoreClient:
        """Return a client of the store that uses the connections of a pool."""
        ...
