"""Applies changed items of the store.

These are the routing table, servers' entries, evacuated failure domains and blocked requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from sycamorebay import log
from sycamorebay.decoding import UndecodableError
from sycamorebay.state.routing import RoutingTable
from sycamorebay.state.server_entries import ServerEntries
from sycamorebay.state.store_versions import VersionedItem
from sycamorebay.transport.gateway.adapter import Documents
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.peers.crash_reports import CrashReports

MAX_LOGGED_FAULTS = 8

_log = log.get_logger("gateway")


class Owner(Protocol):
    """The daemon that the items are for."""

    @property
    def routing(self) -> RoutingTable | None:
        """The routing table in force."""
        ...

    @property
    def crashes(self) -> CrashReports:
        """What is known of requests that crash their servers."""
        ...

    def on_routing(self, routing: RoutingTable) -> None:
        """Put a routing table in force."""
        ...

    def on_servers(self, now: float) -> None:
        """Place requests on the servers whose entries are known now."""
        ...

    def on_evacuated(self, now: float, domains: frozenset[str]) -> None:
        """Send nothing to the servers of these failure domains, and to all others again."""
        ...


class StoreChanges:
    """Decodes changed items and hands each to the part of the daemon that it concerns.

    An item that cannot be decoded or applied costs itself alone.

    Parameters
    ----------
    documents : Documents
        Decodes the values of items.
    entries : ServerEntries
        The entries of servers, which are updated.
    counters : Counters
        Metrics of this daemon.
    owner : Owner
        The daemon.
    """

    def __init__(
        self, documents: Documents, entries: ServerEntries, counters: Counters, owner: Owner
    ) -> None:
        self._documents = documents
        self._entries = entries
        self._counters = counters
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._routing_era = 0
        self._evacuated: frozenset[str] = frozenset()

    def apply(self, changed: Sequence[VersionedItem], keep_missing_until: float) -> None:
        """Apply items; servers that are missing are kept until a time.

        Parameters
        ----------
        changed : sequence of VersionedItem
            The changed items.
        keep_missing_until : float
            Time until which missing servers are kept, in seconds on the event loop's clock.
        """
        now = self._loop.time()
        servers_changed = False
        evacuated_before = self._evacuated
        for item in changed:
            try:
                servers_changed |= self._apply_item(now, item, keep_missing_until)
            except Exception:
                self._counters.items_not_applied += 1
                _log.exception("store item could not be applied", key=item.key)
        if self._evacuated != evacuated_before:
            self._owner.on_evacuated(now, self._evacuated)
        if servers_changed:
            self._owner.on_servers(now)

    def _apply_item(self, now: float, item: VersionedItem, keep_missing_until: float) -> bool:
        """Apply an item, and return whether it changed what is known of servers."""
        if self._documents.is_routing(item.key):
            self._on_routing(item)
        elif (domain := self._documents.evacuated_domain(item.key)) is not None:
            self._on_evacuation(domain, item)
        elif (fingerprint := self._documents.blocked_fingerprint(item.key)) is not None:
            self._on_block(fingerprint, item)
        elif (server_id := self._documents.server_id(item.key)) is not None:
            return self._on_server(now, server_id, item, keep_missing_until)
        return False

    def _on_evacuation(self, domain: str, item: VersionedItem) -> None:
        """Apply the key of an evacuation, of which the value does not matter."""
        is_in_force = item.value is not None
        if is_in_force == (domain in self._evacuated):
            return
        fields = {"domain": domain, "version": str(item.version), "forgotten": item.forgotten}
        if is_in_force:
            self._evacuated |= {domain}
            self._counters.evacuations += 1
            _log.warning("evacuation in force", **fields)
        else:
            self._evacuated -= {domain}
            self._counters.evacuations_ended += 1
            _log.warning("evacuation ended", **fields)

    def _on_block(self, fingerprint: str, item: VersionedItem) -> None:
        crashes = self._owner.crashes
        if item.value is None:
            crashes.on_block(fingerprint, None)
            return
        try:
            block = self._documents.read_block(item.value)
        except UndecodableError as error:
            self._counters.undecodable += 1
            _log.warning("block could not be decoded", key=item.key, reason=str(error))
            return
        if item.forgotten:
            crashes.on_block_forgotten(fingerprint, block)
        else:
            crashes.on_block(fingerprint, block)

    def _on_routing(self, item: VersionedItem) -> None:
        if item.value is None:
            return
        try:
            routing = self._documents.read_routing(item.value)
        except UndecodableError as error:
            self._counters.undecodable += 1
            _log.warning(
                "configuration could not be decoded", version=str(item.version), reason=str(error)
            )
            return
        current = self._owner.routing
        if item.forgotten and current is not None and current.version >= routing.version:
            return
        # After a restore of the store, an earlier number may be the operator's next.
        is_same_era = item.version.era == self._routing_era
        if current is not None and current.version >= routing.version and is_same_era:
            _log.warning(
                "older configuration ignored", version=routing.version, store=str(item.version)
            )
            return
        self._routing_era = item.version.era
        self._owner.on_routing(routing)
        _log.warning(
            "configuration in force",
            version=routing.version,
            routes=len(routing.routes),
            store=str(item.version),
        )
        self._report_faults(routing)

    def _report_faults(self, routing: RoutingTable) -> None:
        """Log and count what could not be decoded in a routing table."""
        unreadable = [f"route {route.name}: {route.reason}" for route in routing.unreadable_routes]
        faults = [*unreadable, *routing.faults]
        if not faults:
            return
        self._counters.undecodable += len(faults)
        _log.warning(
            "configuration decoded in part",
            version=routing.version,
            faults=faults[:MAX_LOGGED_FAULTS],
            count=len(faults),
        )

    def _on_server(
        self, now: float, server_id: str, item: VersionedItem, keep_missing_until: float
    ) -> bool:
        if item.value is None:
            _log.info(
                "server entry removed",
                server=server_id,
                forgotten=item.forgotten,
                kept_s=round(max(0.0, keep_missing_until - now), 3),
            )
            return self._entries.remove(now, server_id, keep_missing_until)
        try:
            entry = self._documents.read_server(server_id, item.value)
        except UndecodableError as error:
            self._counters.undecodable += 1
            _log.warning("server entry could not be decoded", server=server_id, reason=str(error))
            return False
        _log.info(
            "server entry received",
            server=server_id,
            leaving=entry.leaving,
            version=str(item.version),
        )
        return self._entries.put(entry)
