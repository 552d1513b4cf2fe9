"""Decodes the operator's routing table and the server entries of the platform's store.

Some of the wire names mislead: `backend` names a service rather than a backend server, `zone` a
failure domain, and `addr` the address that a server serves requests at.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from sycamorebay import log
from sycamorebay.coordination.forgotten import WriterOrder
from sycamorebay.decoding import UndecodableError, decoding, parse_json
from sycamorebay.platform.accounts import read_accounts
from sycamorebay.platform.values import (
    ValueFault,
    boolean,
    integer,
    number,
    seconds,
    table,
    text,
)
from sycamorebay.state.blocks import Block
from sycamorebay.state.routing import (
    RequestLimits,
    Route,
    RoutedService,
    RouteKind,
    RoutingTable,
    UnreadableRoute,
    WeightedService,
)
from sycamorebay.state.server_entries import ServerEntry

ROUTING_KEY = "op/config"
SERVERS_PREFIX = "servers/"
# The rest of such a key names a failure domain; its value does not matter.
EVACUATION_PREFIX = "op/evacuate/"
# Keys of our own, one for each blocked request.
QUARANTINE_PREFIX = "quarantine/"
_STATES = frozenset({"ready", "draining"})

_log = log.get_logger("documents")


class PlatformDocuments:
    """The `Documents` of the platform: decodes values of its store, which are JSON."""

    def is_routing(self, key: str) -> bool:
        """Return whether a key holds the routing table."""
        return key == ROUTING_KEY

    def server_id(self, key: str) -> str | None:
        """Return the id of the server whose entry a key holds, or None for another key."""
        return key.removeprefix(SERVERS_PREFIX) if key.startswith(SERVERS_PREFIX) else None

    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that a key evacuates, or None for another key."""
        return key.removeprefix(EVACUATION_PREFIX) if key.startswith(EVACUATION_PREFIX) else None

    def blocked_fingerprint(self, key: str) -> str | None:
        """Return the fingerprint of the request that a key blocks, or None for another key."""
        if not key.startswith(QUARANTINE_PREFIX):
            return None
        return key.removeprefix(QUARANTINE_PREFIX)

    def writer_order(self, key: str, value: bytes) -> WriterOrder | None:
        """Return the place of a document among those of its writer; None if it has no number."""
        try:
            if self.is_routing(key):
                return integer(parse_json(value), "version"), 0
            if (server_id := self.server_id(key)) is not None:
                entry = self.read_server(server_id, value)
                return entry.started_ms, entry.sequence
            if self.blocked_fingerprint(key) is not None:
                return int(self.read_block(value).cleared), 0
        except UndecodableError as error:
            _log.info("document without a readable number", key=key, reason=str(error))
        return None

    def outlives_restore(self, key: str) -> bool:
        """Return whether a key still holds that a restored store lacks.

        Servers write their entries again; those that do not are gone. What operators have written
        holds until they change it.
        """
        is_of_operator = self.is_routing(key) or self.evacuated_domain(key) is not None
        return is_of_operator or self.blocked_fingerprint(key) is not None

    def read_block(self, value: bytes) -> Block:
        """Return the decoded value of the key of a blocked request.

        Raises
        ------
        UndecodableError
            If the value cannot be decoded.
        """
        document = parse_json(value)
        return Block(text(document, "owner"), bool(document.get("cleared")))

    def read_routing(self, value: bytes) -> RoutingTable:
        """Return the decoded routing table.

        A route, service or limit that cannot be decoded costs only itself: the table names it, and
        the rest of the table applies.

        Raises
        ------
        UndecodableError
            If the value is not a table of routes with a version.
        """
        document = parse_json(value)
        faults: list[str] = []
        routes, unreadable_routes = _read_routes(table(document, "routes"), faults)
        return RoutingTable(
            version=integer(document, "version"),
            services_by_name=_read_services(document, faults),
            routes=tuple(routes),
            request_limits=_read_limits(document, faults),
            accounts=read_accounts(document, faults),
            unreadable_routes=tuple(unreadable_routes),
            faults=tuple(faults),
        )

    def read_server(self, server_id: str, value: bytes) -> ServerEntry:
        """Return the decoded entry of a server.

        Raises
        ------
        UndecodableError
            If the value cannot be decoded.
        """
        document = parse_json(value)
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


def _read_routes(
    documents: Mapping[str, Any], faults: list[str]
) -> tuple[list[Route], list[UnreadableRoute]]:
    routes: list[Route] = []
    unreadable_routes: list[UnreadableRoute] = []
    for name, document in documents.items():
        try:
            with decoding("route"):
                routes.append(_route(name, document, faults))
        except UndecodableError as error:
            unreadable_routes.append(_unreadable_route(name, document, str(error)))
    return routes, unreadable_routes


def _read_services(document: Any, faults: list[str]) -> dict[str, RoutedService]:
    services_by_name: dict[str, RoutedService] = {}
    for name, fields in _optional_table(document, "services", faults).items():
        try:
            service = RoutedService(
                name, text(fields, "health_path"), integer(fields, "max_conns", 1)
            )
        except ValueFault as error:
            faults.append(f"service {name}: {error}; it is not probed")
            continue
        services_by_name[name] = _with_warm_up(service, fields, faults)
    return services_by_name


def _with_warm_up(
    service: RoutedService, fields: Mapping[str, Any], faults: list[str]
) -> RoutedService:
    """Add the optional fields on cold servers, each of which costs only itself if it is wrong."""

    def read_field(reader: Any, name: str) -> Any:
        try:
            return reader(fields, name) if name in fields else 0.0
        except ValueFault as error:
            faults.append(f"service {service.name}: {error}; it does not apply")
            return 0.0

    # A rate of 0 means no limit.
    per_s = read_field(number, "warmup_per_s") or None
    return attrs.evolve(service, warm_up_per_s=per_s, warm_up_s=read_field(seconds, "warmup"))


def _read_limits(document: Any, faults: list[str]) -> RequestLimits:
    limits = _optional_table(document, "limits", faults)
    defaults = RequestLimits()

    def read_field(reader: Any, name: str, default: float, *rest: int) -> Any:
        try:
            return reader(limits, name, *rest)
        except ValueFault as error:
            faults.append(f"limit {error}; the default {default} applies")
            return default

    return RequestLimits(
        head_bytes=read_field(integer, "max_header_bytes", defaults.head_bytes, 1),
        body_bytes=read_field(integer, "max_body_bytes", defaults.body_bytes),
        head_s=read_field(seconds, "header_timeout", defaults.head_s),
        idle_s=read_field(seconds, "idle_timeout", defaults.idle_s),
    )


def _optional_table(document: Any, name: str, faults: list[str]) -> Mapping[str, Any]:
    try:
        return table(document, name)
    except ValueFault as error:
        faults.append(str(error))
        return {}


def _route(name: str, document: Any, faults: list[str]) -> Route:
    if not isinstance(document, dict):
        raise ValueFault("expected a JSON object")
    if "split" in document:
        weighted_services = tuple(
            WeightedService(text(share, "backend"), number(share, "weight"))
            for share in document["split"]
        )
        if not sum(share.weight for share in weighted_services) > 0:
            raise ValueFault("split: expected a weight above 0")
    else:
        weighted_services = (WeightedService(text(document, "backend"), 1.0),)
    return Route(
        name=name,
        host=text(document, "host").lower(),
        prefix=text(document, "prefix"),
        kind=_kind(name, text(document, "kind"), faults),
        timeout_s=seconds(document, "timeout"),
        goal_s=seconds(document, "goal"),
        priority=integer(document, "priority"),
        attempts=integer(document, "attempts", 1),
        weighted_services=weighted_services,
        needs_key=not boolean(document, "no_auth"),
    )


def _kind(route: str, kind: str, faults: list[str]) -> RouteKind:
    try:
        return RouteKind(kind)
    except ValueError:
        faults.append(f"route {route}: unknown kind {kind!r}; its requests are not repeated")
        return RouteKind.UNSAFE


def _unreadable_route(name: str, document: Any, reason: str) -> UnreadableRoute:
    try:
        return UnreadableRoute(
            name, reason, text(document, "host").lower(), text(document, "prefix")
        )
    except ValueFault:
        return UnreadableRoute(name, reason)


def _address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueFault(f"addr: expected IP:port, found {address!r}")
    return address
