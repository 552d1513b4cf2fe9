"""Decodes the operator's routing table and the server entries of the platform's store.

Some of the wire names mislead: `backend` names a service rather than a backend server, `zone` a
failure domain, and `addr` the address that a server serves requests at.
"""

from __future__ import annotations

import json
from typing import Any

from sycamorebay.platform.values import ValueFault, integer, number, seconds, table, text
from sycamorebay.state.routing import (
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    RoutingTable,
    WeightedService,
)
from sycamorebay.state.server_entries import ServerEntry

ROUTING_KEY = "op/config"
SERVERS_PREFIX = "servers/"
_STATES = frozenset({"ready", "draining"})


class PlatformDocuments:
    """The `Documents` of the platform: decodes values of its store, which are JSON."""

    def is_routing(self, key: str) -> bool:
        """Return whether a key holds the routing table."""
        return key == ROUTING_KEY

    def server_id(self, key: str) -> str | None:
        """Return the id of the server whose entry a key holds, or None for another key."""
        return key.removeprefix(SERVERS_PREFIX) if key.startswith(SERVERS_PREFIX) else None

    def read_routing(self, value: bytes) -> RoutingTable:
        """Return the decoded routing table.

        Raises
        ------
        ValueError, TypeError
            If the value cannot be decoded.
        """
        document = json.loads(value)
        services = table(document, "services")
        routes = table(document, "routes")
        limits = table(document, "limits")
        return RoutingTable(
            version=integer(document, "version"),
            services_by_name={
                name: RoutedService(
                    name, text(fields, "health_path"), integer(fields, "max_conns", 1)
                )
                for name, fields in services.items()
            },
            routes=tuple(_route(name, fields) for name, fields in routes.items()),
            request_limits=RequestLimits(
                head_bytes=integer(limits, "max_header_bytes", 1),
                body_bytes=integer(limits, "max_body_bytes"),
                head_s=seconds(limits, "header_timeout"),
                idle_s=seconds(limits, "idle_timeout"),
            ),
        )

    def read_server(self, server_id: str, value: bytes) -> ServerEntry:
        """Return the decoded entry of a server.

        Raises
        ------
        ValueError, TypeError
            If the value cannot be decoded.
        """
        document = json.loads(value)
        info = table(document, "info")
        status = table(document, "status")
        state = text(status, "state")
        if state not in _STATES:
            raise ValueFault(f"state: expected 'ready' or 'draining', found {state!r}")
        return ServerEntry(
            id=server_id,
            service=text(info, "backend"),
            address=_address(text(document, "addr")),
            failure_domain=text(info, "zone"),
            slots=integer(info, "capacity", 1),
            leaving=state == "draining",
            warm_up_s=seconds(status, "warmup_time"),
            # `born` is the server's start time; entries of older servers may lack it.
            started_ms=integer(document, "born") if "born" in document else 0,
            sequence=integer(status, "seq"),
        )


def _route(name: str, document: Any) -> Route:
    if "split" in document:
        weighted_services = tuple(
            WeightedService(text(share, "backend"), number(share, "weight"))
            for share in document["split"]
        )
    else:
        weighted_services = (WeightedService(text(document, "backend"), 1.0),)
    return Route(
        name=name,
        host=text(document, "host").lower(),
        prefix=text(document, "prefix"),
        kind=RouteKind(text(document, "kind")),
        timeout_s=seconds(document, "timeout"),
        goal_s=seconds(document, "goal"),
        priority=integer(document, "priority"),
        attempts=integer(document, "attempts", 1),
        weighted_services=weighted_services,
    )


def _address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueFault(f"addr: expected IP:port, found {address!r}")
    return address
