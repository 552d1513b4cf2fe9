"""Routing table: routes by host and path prefix, their services, and limits on requests."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from sycamorebay.state.accounts import AccountDirectory


class RouteKind(enum.Enum):
    """Kind of a route's requests, which determines whether they may be retried.

    Attributes
    ----------
    SAFE
        Requests without side effects.
    DOWNLOAD
        Requests without side effects, of which pipelined ones run one after the other.
    UNSAFE
        Requests that must not run more than once.
    UPLOAD
        Requests with a large body that must not run more than once.
    """

    SAFE = "safe"
    DOWNLOAD = "download"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


@attrs.frozen
class WeightedService:
    """Share of a route's requests that a service gets.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other services of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests to one host under one path prefix.

    Attributes
    ----------
    name : str
        Unique in the routing table.
    host : str
        Host in lower case, without a port.
    prefix : str
        Path prefix that begins and ends with a slash.
    kind : RouteKind
        Determines whether requests may be retried.
    timeout_s : float
        Maximum time to the answer in seconds.
    goal_s : float
        Latency goal in seconds, within which an answer has its full value.
    priority : int
        0 is the most urgent.
    attempts : int
        Maximum number of backend servers that one request is sent to.
    weighted_services : tuple of WeightedService
        Services that the requests are distributed to by weight.
    needs_key : bool
        Whether requests need the key of an account, in a table with accounts.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    priority: int
    attempts: int
    weighted_services: tuple[WeightedService, ...]
    needs_key: bool = True


@attrs.frozen
class UnreadableRoute:
    """A route that could not be decoded; its requests are refused without being run.

    Attributes
    ----------
    name : str
        Unique in the routing table.
    reason : str
        Why it could not be decoded.
    host : str or None
        Host in lower case, without a port; None if it could not be decoded either.
    prefix : str
        Path prefix; empty if it could not be decoded.
    """

    name: str
    reason: str
    host: str | None = None
    prefix: str = ""


@attrs.frozen
class RoutedService:
    """Configuration of one service.

    Attributes
    ----------
    name : str
        Unique in the routing table.
    health_path : str
        Path of the health endpoint of its backend servers.
    max_connections : int
        Configured maximum number of connections; no part of the gateway enforces it.
    warm_up_per_s : float or None
        Requests per second that a cold server takes from all gateways; None without limit.
    warm_up_s : float
        Usual time in seconds for which a server is cold after its start; 0 if unknown.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up_per_s: float | None = None
    warm_up_s: float = 0.0


@attrs.frozen
class RequestLimits:
    """Limits on what a caller may send.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Maximum size of a request's head and body in bytes.
    head_s : float
        Maximum time to receive a request's head in seconds.
    idle_s : float
        Maximum time that a connection may be idle in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class RoutingTable:
    """One version of the gateway's configuration.

    Attributes
    ----------
    version : int
        Version number that the operators assigned.
    services_by_name : mapping of str to RoutedService
        All services.
    routes : tuple of Route
        All routes.
    request_limits : RequestLimits
        Limits on what callers may send.
    unreadable_routes : tuple of UnreadableRoute
        Routes that could not be decoded.
    faults : tuple of str
        What else could not be decoded, and how it is handled.
    accounts : AccountDirectory or None
        Client accounts by key; None if requests need no key.
    """

    version: int
    services_by_name: Mapping[str, RoutedService]
    routes: tuple[Route, ...]
    request_limits: RequestLimits = attrs.field(factory=RequestLimits)
    unreadable_routes: tuple[UnreadableRoute, ...] = ()
    faults: tuple[str, ...] = ()
    accounts: AccountDirectory | None = attrs.field(default=None, eq=False)
    _by_host: dict[str | None, list[Route | UnreadableRoute]] = attrs.field(
        init=False, repr=False, eq=False
    )

    def __attrs_post_init__(self) -> None:
        by_host: dict[str | None, list[Route | UnreadableRoute]] = {}
        routes: list[Route | UnreadableRoute] = [*self.routes, *self.unreadable_routes]
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_by_host", by_host)

    def find(self, host: str, path: str) -> Route | UnreadableRoute | None:
        """Return the route of a host with the longest prefix that matches `path`, or None.

        A request without a match may belong to a route whose host could not be decoded; such a
        route is returned then.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return next(iter(self._by_host.get(None, ())), None)
