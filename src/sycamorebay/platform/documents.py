"""Decodes the operator's configuration and the servers' entries into the product's types."""

from __future__ import annotations

import json
from typing import Any

from sycamorebay.platform.values import ValueFault, number, seconds, table, text, whole
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
    """Reads the values of the store's items."""

    def is_routing(self, key: str) -> bool:
        """Whether a key holds the configuration."""
        return key == ROUTING_KEY

    def server_id(self, key: str) -> str | None:
        """Return the id of the server whose entry a key holds, or None."""
        return key.removeprefix(SERVERS_PREFIX) if key.startswith(SERVERS_PREFIX) else None

    def read_routing(self, value: bytes) -> RoutingTable:
        """Return the configuration; raises `ValueError` where it can't be read."""
        found = json.loads(value)
        services = table(found, "services")
        routes = table(found, "routes")
        limits = table(found, "limits")
        return RoutingTable(
            version=whole(found, "version"),
            services_by_name={
                name: RoutedService(name, text(one, "health_path"), whole(one, "max_conns", 1))
                for name, one in services.items()
            },
            routes=tuple(_route(name, one) for name, one in routes.items()),
            request_limits=RequestLimits(
                head_bytes=whole(limits, "max_header_bytes", 1),
                body_bytes=whole(limits, "max_body_bytes"),
                head_s=seconds(limits, "header_timeout"),
                idle_s=seconds(limits, "idle_timeout"),
            ),
        )

    def read_server(self, server_id: str, value: bytes) -> ServerEntry:
        """Return a server's entry; raises `ValueError` where it can't be read."""
        found = json.loads(value)
        info = table(found, "info")
        status = table(found, "status")
        state = text(status, "state")
        if state not in _STATES:
            raise ValueFault(f"state: {state!r} is not known")
        return ServerEntry(
            id=server_id,
            service=text(info, "backend"),
            address=_address(text(found, "addr")),
            failure_domain=text(info, "zone"),
            slots=whole(info, "capacity", 1),
            leaving=state == "draining",
            warm_up_s=seconds(status, "warmup_time"),
            # The time of the server's start; old entries may lack it.
            started_ms=whole(found, "born") if "born" in found else 0,
            sequence=whole(status, "seq"),
        )


def _route(name: str, found: Any) -> Route:
    if "split" in found:
        weighted_services = tuple(
            WeightedService(text(p, "backend"), number(p, "weight")) for p in found["split"]
        )
    else:
        weighted_services = (WeightedService(text(found, "backend"), 1.0),)
    return Route(
        name=name,
        host=text(found, "host").lower(),
        prefix=text(found, "prefix"),
        kind=RouteKind(text(found, "kind")),
        timeout_s=seconds(found, "timeout"),
        goal_s=seconds(found, "goal"),
        priority=whole(found, "priority"),
        attempts=whole(found, "attempts", 1),
        weighted_services=weighted_services,
    )


def _address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueFault(f"addr: {address!r} is no address")
    return address
