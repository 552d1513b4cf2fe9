"""Queueing, refusing and placing of requests on one daemon.

Answers loads that come near what a service can take, or pass it, while parts of it are slowed by
their neighbours for fractions of a second. Daemons tell each other within milliseconds what they
have placed, so each sees nearly the whole load: a request goes to the free server where it is
expected to end first; where none is free, or none fast enough for its goal, it waits, the most
urgent first. When its goal can no longer be met so, it takes any free server, and is refused at
once where there is none.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import attrs

from sycamorebay.coordination.server_load import MeanSlowdown, ServerLoad, ServerReport
from sycamorebay.state.server_entries import ServerEntry

# Work of a route of which nothing is known yet.
DEFAULT_WORK_S = 0.1
_WORK_SMOOTHING = 0.05
# Shortest and longest time after which a refused caller is asked back.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Costs are expected seconds; these are added to them.
NEW_CONNECTION_S = 0.004
FAR_S = 0.003
# Links between failure domains are slower and cost operators; a large answer had better be near.
FAR_S_PER_BYTE = 1e-6
# Daemons that decide at the same moment shouldn't meet at the same server.
_SCATTER = 0.15
_FAILURE_COST_S = 1.0
# Times of work that have to fit between a request's start and its goal; work varies.
_WORK_MARGIN = 1.25
_START_SMOOTHING = 0.2
# By then most work is done; what is not was slowed at its server, or is long wherever it runs.
HEDGE_AFTER_WORK = 1.5


@attrs.define(eq=False)
class PlacementRequest:
    """A request on its way to a place.

    Attributes
    ----------
    id : int
        Unique on this daemon.
    service : str
        Where it goes.
    route : str
        Route's name, by which the length of its work is learnt.
    priority : int
        0 is the most urgent.
    goal_at, deadline : float
        When its answer stops being worth most, and anything; in seconds.
    tried : set of str
        Servers that had it already.
    """

    id: int
    service: str
    route: str
    priority: int
    goal_at: float
    deadline: float
    tried: set[str] = attrs.field(factory=set)


@attrs.frozen
class Place:
    """Send the request to a server; its slot is taken until `Placer.on_end`."""

    request_id: int
    server: ServerEntry


@attrs.frozen
class Wait:
    """Wait for a `Place` or `Refuse` of `Placer.on_tick`."""

    request_id: int


@attrs.frozen
class Refuse:
    """Refuse the request, and say when to come back, in seconds."""

    request_id: int
    reason: str
    retry_after_s: float


Decision = Place | Wait | Refuse


@attrs.define
class Work:
    """What a route's requests take: seconds at the usual pace, and bytes of their answers."""

    seconds: float = DEFAULT_WORK_S
    answer_bytes: float = 0.0


_UNKNOWN_WORK = Work()


class WorkTable:
    """The work of each route, learnt from answers."""

    def __init__(self) -> None:
        self._by_route: dict[str, Work] = {}

    def on_answer(self, route: str, seconds: float, slowdown: float, answer_bytes: int = 0) -> None:
        """Take an answer's time, the pace of its server, and its size."""
        usual = seconds / max(1.0, slowdown)
        work = self._by_route.get(route)
        if work is None:
            self._by_route[route] = Work(usual, answer_bytes)
            return
        work.seconds += _WORK_SMOOTHING * (usual - work.seconds)
        work.answer_bytes += _WORK_SMOOTHING * (answer_bytes - work.answer_bytes)

    def get(self, route: str) -> Work:
        """Return what is expected of a route's next request."""
        return self._by_route.get(route, _UNKNOWN_WORK)


class _Pool:
    """The servers of one service and what waits for them."""

    def __init__(self) -> None:
        self.mean_slowdown = MeanSlowdown()
        self.loads_by_id: dict[str, ServerLoad] = {}
        self.queue: list[PlacementRequest] = []
        self.start_gap_s = 0.0
        self.started_at = 0.0

    def on_start(self, now: float) -> None:
        """Learn how often a waiting request gets a place."""
        gap = min(1.0, now - self.started_at)
        self.started_at = now
        self.start_gap_s += _START_SMOOTHING * (gap - self.start_gap_s)


class Placer:
    """Decides for each request of one daemon where it goes, or that it goes nowhere.

    Parameters
    ----------
    failure_domain : str
        Where this daemon runs.
    rng : random.Random
        Seeded random source.
    connected : callable
        Whether a connection to a server, named by its id, is open and idle.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: Random,
        connected: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._connected = connected
        self._pools_by_service: dict[str, _Pool] = {}
        self._pool_by_server: dict[str, _Pool] = {}
        self.work = WorkTable()

    # Servers

    def on_servers(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """Take the list of backend servers."""
        by_id = {entry.id: entry for entry in entries}
        for server_id in [key for key in self._pool_by_server if key not in by_id]:
            del self._pool_by_server.pop(server_id).loads_by_id[server_id]
        for entry in by_id.values():
            self._put(now, entry)

    def _put(self, now: float, entry: ServerEntry) -> None:
        pool = self._pool_by_server.get(entry.id)
        load = pool.loads_by_id[entry.id] if pool is not None else None
        if load is None or not _same_start(load.entry, entry):
            if pool is not None:
                del pool.loads_by_id[entry.id]
            pool = self._pool(entry.service)
            load = ServerLoad(entry, pool.mean_slowdown, warm_at=now + entry.warm_up_s)
            pool.loads_by_id[entry.id] = load
            self._pool_by_server[entry.id] = pool
        load.entry = entry

    def load(self, server_id: str) -> ServerLoad | None:
        """Return what is known of a server, or None."""
        pool = self._pool_by_server.get(server_id)
        return None if pool is None else pool.loads_by_id[server_id]

    def loads(self) -> Iterable[ServerLoad]:
        """Return what is known of all servers."""
        return [
            load for pool in self._pools_by_service.values() for load in pool.loads_by_id.values()
        ]

    def on_report(self, at: float, server_id: str, report: ServerReport) -> None:
        """Take a server's word on its load, made at a time."""
        load = self.load(server_id)
        if load is not None:
            load.on_report(at, report)

    def on_peer_load(self, peer: str, server_id: str, in_flight: int) -> None:
        """Take what a peer has in flight at a server."""
        load = self.load(server_id)
        if load is not None:
            load.on_peer(peer, in_flight)

    def on_peer_gone(self, peer: str) -> None:
        """Forget what a peer had in flight."""
        for load in self.loads():
            load.on_peer(peer, 0)

    # Requests

    def on_request(self, now: float, request: PlacementRequest) -> Decision:
        """Place a request, have it wait, or turn it away."""
        pool = self._pool(request.service)
        if not any(load.usable(now) for load in pool.loads_by_id.values()):
            return self._refuse(pool, request, "no backend server of the service is usable")
        if not any(other.priority <= request.priority for other in pool.queue):
            chosen = self._choose(now, pool, request, self._may_wait_for_fast(now, request))
            if chosen is not None:
                return self._place(request, chosen)
        ahead = sum(1 for other in pool.queue if other.priority <= request.priority)
        if now + ahead * pool.start_gap_s > self._start_by(request):
            return self._refuse(pool, request, "too many requests wait already")
        pool.queue.append(request)
        pool.queue.sort(key=lambda other: (other.priority, other.id))
        return Wait(request.id)

    def hedge_at(self, request: PlacementRequest, sent_at: float) -> float | None:
        """Return when a second send of a safe request becomes worth its work, or None for never."""
        work_s = self.work.get(request.route).seconds
        at = sent_at + HEDGE_AFTER_WORK * work_s
        return at if at + work_s <= request.goal_at else None

    def on_hedge(self, now: float, request: PlacementRequest) -> Place | None:
        """Place a second send of a request where it still meets its goal, or nowhere."""
        pool = self._pool(request.service)
        if pool.queue:
            return None
        chosen = self._choose(now, pool, request, in_goal=True)
        return None if chosen is None else self._place(request, chosen)

    def on_end(self, now: float, server_id: str) -> list[Decision]:
        """Free a slot; return what goes into it."""
        load = self.load(server_id)
        if load is None:
            return []
        load.own = max(0, load.own - 1)
        return self._pump(now, self._pool_by_server[server_id])

    def on_caller_gone(self, request_id: int) -> None:
        """Take a waiting request out, as its caller has left."""
        for pool in self._pools_by_service.values():
            pool.queue = [request for request in pool.queue if request.id != request_id]

    def on_tick(self, now: float) -> list[Decision]:
        """Place what waits where there is room, and turn away what has waited too long."""
        decisions: list[Decision] = []
        for pool in self._pools_by_service.values():
            decisions += self._pump(now, pool)
        return decisions

    def is_waiting(self) -> bool:
        """Whether any request waits."""
        return any(pool.queue for pool in self._pools_by_service.values())

    # Inside

    def _pool(self, service: str) -> _Pool:
        pool = self._pools_by_service.get(service)
        if pool is None:
            pool = self._pools_by_service[service] = _Pool()
        return pool

    def _pump(self, now: float, pool: _Pool) -> list[Decision]:
        decisions: list[Decision] = []
        left: list[PlacementRequest] = []
        full = False
        for request in pool.queue:
            in_goal = self._may_wait_for_fast(now, request)
            chosen = None if full else self._choose(now, pool, request, in_goal)
            if chosen is not None:
                pool.on_start(now)
                decisions.append(self._place(request, chosen))
            elif now > self._start_by(request):
                reason = "no backend server became free in time"
                decisions.append(self._refuse(pool, request, reason))
            else:
                full = full or not request.tried
                left.append(request)
        pool.queue = left
        return decisions

    def _choose(
        self, now: float, pool: _Pool, request: PlacementRequest, in_goal: bool
    ) -> ServerLoad | None:
        """Return the best free server, or of those that meet the goal."""
        work = self.work.get(request.route)
        best, least = None, float("inf")
        for load in pool.loads_by_id.values():
            if not load.usable(now) or load.entry.id in request.tried:
                continue
            if load.in_flight(now) >= load.comfortable_slots:
                continue
            if in_goal and now + work.seconds * load.slowdown(now) > request.goal_at:
                continue
            cost = self._cost(now, load, work)
            if cost < least:
                best, least = load, cost
        return best

    def _may_wait_for_fast(self, now: float, request: PlacementRequest) -> bool:
        """Whether there is time to wait for a server that meets the goal."""
        return now <= self._start_by(request)

    def _cost(self, now: float, load: ServerLoad, work: Work) -> float:
        scatter = 1.0 + _SCATTER * self._rng.random()
        cost = work.seconds * load.slowdown(now) * scatter
        cost += load.failure_rate * _FAILURE_COST_S
        if load.entry.failure_domain != self._failure_domain:
            cost += FAR_S + FAR_S_PER_BYTE * work.answer_bytes
        if not self._connected(load.entry.id):
            cost += NEW_CONNECTION_S
        return cost

    def _place(self, request: PlacementRequest, load: ServerLoad) -> Place:
        load.own += 1
        request.tried.add(load.entry.id)
        return Place(request.id, load.entry)

    def _start_by(self, request: PlacementRequest) -> float:
        work_s = self.work.get(request.route).seconds * _WORK_MARGIN
        return min(request.goal_at, request.deadline) - work_s

    def _refuse(self, pool: _Pool, request: PlacementRequest, reason: str) -> Refuse:
        backlog_s = len(pool.queue) * pool.start_gap_s
        spread = self._rng.uniform(0.75, 1.25)
        after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s) * spread)
        return Refuse(request.id, reason, after_s)


def _same_start(known: ServerEntry, entry: ServerEntry) -> bool:
    return (known.address, known.service, known.started_ms) == (
        entry.address,
        entry.service,
        entry.started_ms,
    )
