"""Tells where a request of a service would be placed now, and why, without placing it."""

from __future__ import annotations

import attrs

from sycamorebay.coordination.placing import Placer
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.state.routing import Route

FREE = "free"


@attrs.frozen
class ServerExplanation:
    """What the daemon knows of one backend server, and what it means for a request.

    Attributes
    ----------
    server, failure_domain : str
        Id of the server, and where it runs.
    near : bool
        Whether that is the daemon's own failure domain.
    verdict : str
        `FREE`, or why the server would not get the request now.
    in_flight, slots : int
        Requests that all daemons have in flight there as far as is known, and how many it takes.
    expected_s : float
        Expected time from the start of the request to its answer, in seconds.
    report_age_s : float or None
        Age of the server's latest load report in seconds; None without one.
    """

    server: str
    failure_domain: str
    near: bool
    verdict: str
    in_flight: int
    slots: int
    expected_s: float
    report_age_s: float | None


@attrs.frozen
class ServiceExplanation:
    """Where a request would go if its route's split selected a service.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight of the service in the split.
    waiting : int
        Requests of the service that wait at this daemon.
    outcome : str
        What would happen to the request.
    servers : tuple of ServerExplanation
        All servers, those that would get the request first ahead of the others.
    """

    service: str
    weight: float
    waiting: int
    outcome: str
    servers: tuple[ServerExplanation, ...]


def explain_route(now: float, placer: Placer, route: Route) -> list[ServiceExplanation]:
    """Return where a new request of a route would go.

    Parameters
    ----------
    now : float
        Current time in seconds on the placer's clock.
    placer : Placer
        Knows the servers; no request is placed and no permit is used.
    route : Route
        The request's route.
    """
    return [
        _explain_service(now, placer, route, share.service, share.weight)
        for share in route.weighted_services
    ]


def _explain_service(
    now: float, placer: Placer, route: Route, service: str, weight: float
) -> ServiceExplanation:
    loads = [load for load in placer.loads() if load.entry.service == service]
    servers = [_explain_server(now, placer, route, load) for load in loads]
    servers.sort(key=lambda one: (one.verdict != FREE, not one.near, one.expected_s))
    waiting = placer.waiting_count(service)
    outcome = _outcome(placer, servers, waiting, service)
    return ServiceExplanation(service, weight, waiting, outcome, tuple(servers))


def _explain_server(
    now: float, placer: Placer, route: Route, load: ServerLoad
) -> ServerExplanation:
    expected_s = placer.work.get(route.name).seconds * load.slowdown(now)
    age_s = now - load.reported_at if load.report is not None else None
    return ServerExplanation(
        server=load.entry.id,
        failure_domain=load.entry.failure_domain,
        near=placer.is_near(load.entry),
        verdict=_verdict(now, placer, route, load, expected_s),
        in_flight=load.in_flight(now),
        slots=load.target_slots,
        expected_s=round(expected_s, 4),
        report_age_s=None if age_s is None else round(age_s, 3),
    )


def _verdict(now: float, placer: Placer, route: Route, load: ServerLoad, expected_s: float) -> str:
    if load.evacuated:
        return "its failure domain is evacuated"
    if load.entry.leaving or load.announcements.leaving:
        return "it is draining"
    if now < load.announcements.resting_until:
        return f"it asked for a rest of {load.announcements.resting_until - now:.2f} s more"
    if now < load.suspended_until:
        return f"it is suspended for {load.suspended_until - now:.2f} s after a failure"
    if load.in_flight(now) >= load.target_slots:
        return "it is full"
    if load.is_limited(now) and not placer.has_permit(now, load):
        return "this gateway's share of its limit is used up"
    if expected_s > route.goal_s:
        return "it is too slow for the goal"
    return FREE


def _outcome(placer: Placer, servers: list[ServerExplanation], waiting: int, service: str) -> str:
    if not servers:
        return "refused: no backend server of the service is known"
    if waiting:
        return f"waits behind {waiting} requests, unless it is more urgent"
    free = [one for one in servers if one.verdict == FREE]
    if not free:
        return "waits for a server, or is refused if that leaves no time for its goal"
    if placer.subset is not None:
        used = len(placer.subset.all(service))
        return f"placed on the best of a few of {used} servers, once they have told their load"
    return f"placed, most likely on {free[0].server}"
