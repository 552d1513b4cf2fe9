"""Routes by host and path prefix, the services behind them, and bounds of what callers send."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs


class RouteKind(enum.Enum):
    """What a request does, which decides whether it may be repeated."""

    SAFE = "safe"
    DOWNLOAD = "download"
    UNSAFE = "unsafe"

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self is not RouteKind.UNSAFE


@attrs.frozen
class WeightedService:
    """A service's share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests of one host under one path prefix.

    Attributes
    ----------
    name : str
        Unique in its table.
    host : str
        In lower case, without a port.
    prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        Decides what may be repeated.
    timeout_s : float
        Longest time to the answer, in seconds.
    goal_s : float
        Time within which an answer is worth most, in seconds.
    priority : int
        0 is the most urgent.
    attempts : int
        Backend servers that one request may be sent to.
    weighted_services : tuple of WeightedService
        Where the requests go, by weight.
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


@attrs.frozen
class RoutedService:
    """What is configured of one service."""

    name: str
    health_path: str
    max_connections: int


@attrs.frozen
class RequestLimits:
    """Bounds of what a caller may send, in bytes and seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class RoutingTable:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        The operators' number of it.
    services_by_name : mapping of str to RoutedService
        The services.
    routes : tuple of Route
        All routes.
    request_limits : RequestLimits
        Of what callers send.
    """

    version: int
    services_by_name: Mapping[str, RoutedService]
    routes: tuple[Route, ...]
    request_limits: RequestLimits = attrs.field(factory=RequestLimits)
    _by_host: dict[str, list[Route]] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_by_host", by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins `path`, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
