"""Queue, refuse or place the requests of one daemon.

The policy is meant for load near or above a service's capacity, while other workloads on the same
machines slow some backend servers for fractions of a second. Daemons exchange their placements
within milliseconds, so each of them sees nearly the whole load.

A request is placed on the free backend server with the lowest expected completion time. If no
server is free, or none is fast enough for the request's goal, the request waits in a priority
queue. When waiting longer would miss the goal, the request is placed on any free server, or
refused at once if there is none.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from sycamorebay.coordination.placement import Decision, Place, PlacementRequest, Refuse, Wait
from sycamorebay.coordination.refusals import Refusals
from sycamorebay.coordination.server_load import REPORT_HORIZON_S, ServerLoad, ServerReport
from sycamorebay.coordination.server_pools import ServerPools
from sycamorebay.coordination.service_pool import ServicePool
from sycamorebay.coordination.spill import DEFAULT_CROSS_DOMAIN_PENALTY, LeavePolicy, Shortage
from sycamorebay.coordination.subset import ServerSubset
from sycamorebay.coordination.work import WorkEstimate, WorkTable
from sycamorebay.state.routing import RoutedService
from sycamorebay.state.server_entries import ServerEntry

__all__ = ["Decision", "Place", "PlacementRequest", "Placer", "Refuse", "Wait"]

_OVER_SHARE = "the account waits with more than its share of requests"
_LIMITED = "the servers' limits leave no time"
_THROTTLED = "throttled, as the servers reject most requests"
# The cost of a server is an expected time in seconds; penalties are added to it.
NEW_CONNECTION_PENALTY_S = 0.004
# A server that is slower by more than this misses the goals of most kinds of request, which are
# about three times their work.
_BUSY_SLOWDOWN = 3.0
# Multiples of it, modulo 1, are spread evenly however many there are.
_GOLDEN_RATIO = 0.6180339887498949
# Relative jitter keeps daemons that decide at the same moment from choosing the same server.
_COST_JITTER = 0.15
_FAILURE_PENALTY_S = 1.0
# Expected processing times that must fit between the start and the goal, as the time varies.
_WORK_HEADROOM_FACTOR = 1.25
# Delay of a hedge in expected processing times. Most requests have ended by then; the others were
# slowed by their server, or take long on any server.
HEDGE_DELAY_FACTOR = 1.5


class Placer:
    """Places, queues or refuses each request of one daemon.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this daemon.
    rng : random.Random
        Seeded random source.
    connected : callable
        Given the id of a backend server, returns whether an idle connection to it is open.

    Attributes
    ----------
    work : WorkTable
        Estimated work of each route.
    subset : ServerSubset or None
        The servers that this daemon uses; None if it uses all. Requests are then placed on those
        with a recent report, as the other daemons' requests are not known otherwise.
    cross_domain_penalty : CrossDomainPenalty
        What a server in another failure domain costs beside one in the own domain.
    sharers : callable
        Returns the number of daemons that send requests to a backend server, of which each uses an
        equal share of the server's limit.
    held_for_cold : int
        Number of requests that a cold server with free slots did not get, as its limit was used up.
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
        self._pools = ServerPools(rng)
        self._refusals = Refusals(rng)
        self.work = WorkTable()
        self.subset: ServerSubset | None = None
        self.cross_domain_penalty = DEFAULT_CROSS_DOMAIN_PENALTY
        self._first_draw: float | None = None
        self.sharers: Callable[[ServerEntry], float] = lambda _: 1.0
        self.held_for_cold = 0

    def on_servers(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """Replace the list of backend servers, see `ServerPools.on_servers`."""
        self._pools.on_servers(now, entries)

    def on_services(self, services: Iterable[RoutedService]) -> None:
        """Apply the configured limits of cold servers, see `ServerPools.on_services`."""
        self._pools.on_services(services)

    def on_evacuated(self, now: float, domains: frozenset[str]) -> None:
        """Replace the set of evacuated failure domains, see `ServerPools.on_evacuated`.

        The next tick refuses the waiting requests of services that have no other domain.
        """
        self._pools.on_evacuated(now, domains)

    def cold_changes(self, now: float) -> list[ServerLoad]:
        """Return the servers that became cold or warm since the last call."""
        return self._pools.cold_changes(now)

    def use_leave_policy(self, new_leave_policy: Callable[[], LeavePolicy]) -> None:
        """Use another policy of leaving the failure domain, for services not known yet."""
        self._pools.new_leave_policy = new_leave_policy

    def is_near(self, entry: ServerEntry) -> bool:
        """Return whether a backend server is in the failure domain of this daemon."""
        return entry.failure_domain == self._failure_domain

    def load(self, server_id: str) -> ServerLoad | None:
        """Return the load of a backend server, or None for an unknown id."""
        return self._pools.load(server_id)

    def loads(self) -> Iterable[ServerLoad]:
        """Return the loads of all backend servers."""
        return self._pools.loads()

    def on_report(self, at: float, server_id: str, report: ServerReport) -> None:
        """Record a load report made at time `at`; reports of unknown servers are ignored."""
        load = self.load(server_id)
        if load is not None:
            load.on_report(at, report)
            if self.subset is not None:
                busy = load.in_flight(at) >= load.target_slots or report.slowdown > _BUSY_SLOWDOWN
                policy = self._pools.of_server(server_id).leave_policy
                policy.on_report(at, self.is_near(load.entry), busy)

    def on_peer_load(self, peer: str, server_id: str, in_flight: int) -> None:
        """Record how many requests a peer has in flight at a backend server."""
        load = self.load(server_id)
        if load is not None:
            load.on_peer(peer, in_flight)

    def on_peer_lost(self, peer: str) -> None:
        """Drop the in-flight requests of a peer that is no longer connected."""
        for load in self.loads():
            load.on_peer(peer, 0)

    def on_request(self, now: float, request: PlacementRequest) -> Decision:
        """Decide whether a new request is placed, waits or is refused.

        A request waits only if the requests ahead of it leave enough time to meet its goal.
        """
        pool = self._pools.of_service(request.service)
        if not any(load.usable(now) for load in pool.loads_by_id.values()):
            return self._refusals.refuse_unusable(now, pool, request)
        if self._earliest_permit(now, pool) > max(now, self._latest_start(request)):
            cold = any(load.cold.is_limited(now) for load in pool.loads_by_id.values())
            reason = "the limits of cold servers leave no time" if cold else _LIMITED
            return self._refusals.refuse(pool, request, reason)
        if pool.use.exceeds_share(now, request.account) or pool.queue.exceeds_share(request):
            return self._refusals.refuse(pool, request, _OVER_SHARE)
        # Asked last, as the throttle counts what it admits as a trial.
        if pool.throttle.is_active(now) and not pool.throttle.admits(now, self._rng.random()):
            return self._refusals.refuse(pool, request, _THROTTLED)
        ahead = pool.queue.ahead_of(request)
        if not ahead:
            chosen = self._choose(now, pool, request, self._can_wait_for_goal(now, request))
            if chosen is not None:
                return self._place(now, request, chosen)
        if self._is_too_late(now, pool, request, ahead):
            return self._refusals.refuse(pool, request, "too many requests wait already")
        if not pool.queue:
            pool.busy_since = now
        pool.use.on_wait(now, request.account)
        pool.queue.push(request, self.work.get(request.route).seconds)
        return Wait(request.id)

    def hedge_at(self, request: PlacementRequest, sent_at: float) -> float | None:
        """Return when to hedge a safe request, in seconds.

        Returns
        -------
        float or None
            None if a hedge sent at that time would be expected to miss the goal.
        """
        work_s = self.work.get(request.route).seconds
        at = sent_at + HEDGE_DELAY_FACTOR * work_s
        return at if at + work_s <= request.goal_at else None

    def on_hedge(self, now: float, request: PlacementRequest) -> Place | None:
        """Place a hedge on a server that meets the goal.

        Returns
        -------
        Place or None
            None if no such server is free, or if other requests wait for the service.
        """
        pool = self._pools.of_service(request.service)
        if pool.queue or pool.throttle.is_active(now):
            return None
        chosen = self._choose(now, pool, request, meet_goal=True)
        return None if chosen is None else self._place(now, request, chosen)

    def on_end(self, now: float, server_id: str) -> list[Decision]:
        """Free a slot and return decisions for the requests that waited for one."""
        load = self.load(server_id)
        if load is None:
            return []
        load.own_in_flight = max(0, load.own_in_flight - 1)
        return self._dispatch_queue(now, self._pools.of_server(server_id))

    def on_outcome(self, now: float, service: str, *, accepted: bool) -> None:
        """Record whether a server of a service accepted a request that was sent to it."""
        self._pools.of_service(service).throttle.on_outcome(now, accepted=accepted)

    def is_throttled(self, now: float, service: str) -> bool:
        """Return whether requests of a service are held back, see `ShedThrottle`."""
        return self._pools.of_service(service).throttle.is_active(now)

    def accepted_share(self, now: float, service: str) -> float:
        """Return the share of recent requests that the servers of a service accepted."""
        return self._pools.of_service(service).throttle.accepted_share(now)

    def on_caller_gone(self, request_id: int) -> None:
        """Remove a waiting request whose caller closed its connection."""
        for pool in self._pools.all():
            pool.queue.replace([one for one in pool.queue if one.id != request_id])

    def on_tick(self, now: float) -> list[Decision]:
        """Place waiting requests on free servers and refuse those that waited too long."""
        decisions: list[Decision] = []
        for pool in self._pools.all():
            decisions += self._dispatch_queue(now, pool)
        return decisions

    def is_waiting(self, service: str | None = None) -> bool:
        """Return whether any request waits, for one service or for any."""
        if service is not None:
            return bool(self._pools.of_service(service).queue)
        return any(pool.queue for pool in self._pools.all())

    def waiting_count(self, service: str) -> int:
        """Return how many requests of a service wait."""
        return len(self._pools.of_service(service).queue)

    def seeks_far_servers(self, now: float, service: str) -> bool:
        """Return whether a waiting request of a service may go to another failure domain."""
        pool = self._pools.of_service(service)
        return any(self._may_leave(now, pool, request) for request in pool.queue)

    def shortage(self, now: float, service: str) -> Shortage | None:
        """Return what makes requests of a service leave the failure domain, for the log."""
        return self._pools.of_service(service).leave_policy.shortage(now)

    def _dispatch_queue(self, now: float, pool: ServicePool) -> list[Decision]:
        if pool.queue and pool.is_evacuated:
            evacuated = list(pool.queue)
            pool.queue.replace([])
            return [self._refusals.refuse_unusable(now, pool, request) for request in evacuated]
        decisions: list[Decision] = []
        remaining: list[PlacementRequest] = []
        queue_blocked, is_shared = False, pool.queue.is_shared
        for request in pool.queue:
            can_wait = self._can_wait_for_goal(now, request)
            chosen = None
            # Those ahead leave a server only if it is too slow for them; a request that cannot wait
            # any longer takes it.
            if not (queue_blocked and can_wait):
                chosen = self._choose(now, pool, request, meet_goal=can_wait)
            if chosen is not None:
                pool.on_start(now)
                pool.queue.on_start(request)
                decisions.append(self._place(now, request, chosen))
            elif not can_wait:
                reason = "no backend server became free in time"
                decisions.append(self._refusals.refuse(pool, request, reason))
            elif is_shared and self._is_too_late(now, pool, request, len(remaining)):
                is_over = pool.queue.is_over_share(request)
                reason = _OVER_SHARE if is_over else "too many requests wait already"
                decisions.append(self._refusals.refuse(pool, request, reason))
            else:
                # A request that may go to any server is not overtaken by those behind it.
                queue_blocked = queue_blocked or not request.tried
                remaining.append(request)
        pool.queue.replace(remaining)
        return decisions

    def _is_too_late(
        self, now: float, pool: ServicePool, request: PlacementRequest, ahead: int
    ) -> bool:
        """Return whether those ahead in the queue leave no time to meet a request's goal."""
        return now + ahead * pool.start_interval_s > self._latest_start(request)

    def _choose(
        self, now: float, pool: ServicePool, request: PlacementRequest, meet_goal: bool
    ) -> ServerLoad | None:
        """Return the free server with the lowest cost, or None.

        With `meet_goal`, only servers that are expected to meet the request's goal are candidates.
        """
        work, work_s = self.work.get(request.route), self._work_s(request)
        best, lowest_cost = None, float("inf")
        for load in self._candidates(now, pool, request, meet_goal):
            if not load.usable(now) or load.entry.id in request.tried:
                continue
            slots = load.target_slots
            if load.in_flight(now) >= slots:
                continue
            if load.own_in_flight >= load.announcements.own_slots(now, slots):
                continue
            if load.is_limited(now) and not self.has_permit(now, load):
                self._on_held(now, request, load)
                continue
            if meet_goal and now + work_s * load.slowdown(now) > request.goal_at:
                continue
            cost = self._cost(now, load, work)
            if cost < lowest_cost:
                best, lowest_cost = load, cost
        return best

    def _candidates(
        self, now: float, pool: ServicePool, request: PlacementRequest, meet_goal: bool
    ) -> Iterable[ServerLoad]:
        loads = pool.loads_by_id
        if self.subset is None:
            return loads.values()
        if meet_goal and not self._may_leave(now, pool, request):
            server_ids = self.subset.near(now, request.service)
        else:
            server_ids = self.subset.all(request.service)
        used = [loads[server_id] for server_id in server_ids if server_id in loads]
        # Servers with a limit are not probed, and cold ones seldom just before a permit lapses.
        limited = [load for load in used if load.is_limited(now)]
        others = [load for load in used if not load.is_limited(now)]
        reported = [load for load in others if now - load.reported_at <= REPORT_HORIZON_S]
        return (reported or others) + limited

    def _may_leave(self, now: float, pool: ServicePool, request: PlacementRequest) -> bool:
        """Return whether a request may go to another failure domain while it can still wait."""
        if self.subset is None:
            return True
        # Near servers are probed right before a request is placed; these do not answer.
        near = self.subset.near(now, request.service)
        if not any(self._has_answered(now, pool, one) for one in near):
            return True
        if self._first_draw is None:
            self._first_draw = self._rng.random()
        draw = (self._first_draw + request.id * _GOLDEN_RATIO) % 1.0
        slack_s = self._latest_start(request) - now
        cost_s = self.cross_domain_penalty.of(self.work.get(request.route).body_bytes)
        return pool.leave_policy.leaves(now, draw, slack_s, cost_s)

    @staticmethod
    def _has_answered(now: float, pool: ServicePool, server_id: str) -> bool:
        load = pool.loads_by_id.get(server_id)
        if load is None or not load.usable(now):
            return False
        return now - load.reported_at <= REPORT_HORIZON_S

    def _earliest_permit(self, now: float, pool: ServicePool) -> float:
        """Return from when the limits of the usable servers admit a request."""
        loads = pool.loads_by_id.values()
        if any(load.usable(now) and not load.is_limited(now) for load in loads):
            return now
        usable = (load for load in loads if load.usable(now))
        return min(load.next_permit_at(now, self.sharers(load.entry)) for load in usable)

    def has_permit(self, now: float, load: ServerLoad) -> bool:
        """Return whether the limits of a server, if it has any, admit a request now."""
        return not load.is_limited(now) or load.admits(now, self.sharers(load.entry))

    def _on_held(self, now: float, request: PlacementRequest, load: ServerLoad) -> None:
        """Count a request that a cold server does not get, once."""
        if load.cold.is_limited(now) and not request.held_for_cold:
            request.held_for_cold = True
            load.cold.held += 1
            self.held_for_cold += 1

    def _can_wait_for_goal(self, now: float, request: PlacementRequest) -> bool:
        """Return whether the request can still wait for a server that meets its goal."""
        return now <= self._latest_start(request)

    def _cost(self, now: float, load: ServerLoad, work: WorkEstimate) -> float:
        jitter = 1.0 + _COST_JITTER * self._rng.random()
        cost = work.seconds * load.slowdown(now) * jitter
        cost += load.failure_rate * _FAILURE_PENALTY_S
        if not self.is_near(load.entry):
            cost += self.cross_domain_penalty.of(work.body_bytes)
        if not self._connected(load.entry.id):
            cost += NEW_CONNECTION_PENALTY_S
        return cost

    def _place(self, now: float, request: PlacementRequest, load: ServerLoad) -> Place:
        load.own_in_flight += 1
        load.take_permit(now)
        if request.account:
            pool = self._pools.of_service(request.service)
            pool.use.on_start(now, request.account, request.weight, self._work_s(request))
        request.tried.add(load.entry.id)
        return Place(request.id, load.entry)

    def _work_s(self, request: PlacementRequest) -> float:
        """Return the expected processing time that a request's goal has to leave.

        For requests of accounts it is the typical time. A mean that rare long requests raise could
        exceed the route's goal, and all its requests would be refused as too late.
        """
        work = self.work.get(request.route)
        return work.typical_s if request.account else work.seconds

    def _latest_start(self, request: PlacementRequest) -> float:
        work_s = self._work_s(request) * _WORK_HEADROOM_FACTOR
        return min(request.goal_at, request.deadline) - work_s
