"""The pools of all services, with the load of each backend server that is listed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from sycamorebay.coordination.announcements import Announcements
from sycamorebay.coordination.cold_server import ColdState
from sycamorebay.coordination.removed_starts import RemovedStarts
from sycamorebay.coordination.server_limit import RemovedLimits, ServerLimit
from sycamorebay.coordination.server_load import ServerLoad
from sycamorebay.coordination.service_pool import ServicePool
from sycamorebay.coordination.spill import LeavePolicy, SpillShare
from sycamorebay.state.routing import RoutedService
from sycamorebay.state.server_entries import ServerEntry


class ServerPools:
    """Pools by service and by backend server.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.

    Attributes
    ----------
    new_leave_policy : callable
        Returns a new policy of leaving the failure domain, for one service.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.new_leave_policy: Callable[[], LeavePolicy] = SpillShare
        self._by_service: dict[str, ServicePool] = {}
        self._by_server: dict[str, ServicePool] = {}
        self._removed_limits = RemovedLimits()
        self._removed_announcements: RemovedStarts[Announcements] = RemovedStarts()
        self._removed_cold: RemovedStarts[ColdState] = RemovedStarts()
        self._evacuated: frozenset[str] = frozenset()

    def on_servers(self, now: float, entries: Iterable[ServerEntry]) -> None:
        """Replace the list of backend servers.

        The load of a server is kept, unless its entry belongs to another start. Of a server that
        is removed and returns, only the limit, the cold time and what it has announced are kept.
        """
        by_id = {entry.id: entry for entry in entries}
        for server_id in [key for key in self._by_server if key not in by_id]:
            load = self._by_server.pop(server_id).loads_by_id.pop(server_id)
            self._removed_limits.put(_start(load.entry), load.limit)
            if now < load.cold.until:
                self._removed_cold.put(_start(load.entry), load.cold)
            if load.announcements.are_any:
                self._removed_announcements.put(_start(load.entry), load.announcements)
        for entry in by_id.values():
            self._put(now, entry)

    def _put(self, now: float, entry: ServerEntry) -> None:
        pool = self._by_server.get(entry.id)
        load = pool.loads_by_id[entry.id] if pool is not None else None
        if load is None or _start(load.entry) != _start(entry):
            if pool is not None:
                del pool.loads_by_id[entry.id]
            pool = self.of_service(entry.service)
            load = ServerLoad(
                entry,
                pool.mean_slowdown,
                self._removed_limits.pop(_start(entry)) or ServerLimit(self._rng),
                self._removed_announcements.pop(_start(entry)) or Announcements(),
                self._removed_cold.pop(_start(entry)) or ColdState(self._rng, pool.warm_up),
                warm_up_until=now + entry.warm_up_s,
            )
            pool.loads_by_id[entry.id] = load
            self._by_server[entry.id] = pool
        load.entry = entry
        load.cold.on_entry(now, entry)
        load.evacuated = entry.failure_domain in self._evacuated

    def on_services(self, services: Iterable[RoutedService]) -> None:
        """Apply what the configuration says of services; those that are missing have no limit."""
        by_name = {service.name: service for service in services}
        for name in [*self._by_service, *by_name]:
            warm_up, service = self.of_service(name).warm_up, by_name.get(name)
            warm_up.per_s = service.warm_up_per_s if service is not None else None
            warm_up.duration_s = service.warm_up_s if service is not None else 0.0

    def on_evacuated(self, now: float, domains: frozenset[str]) -> None:
        """Replace the set of evacuated failure domains.

        Servers of one that is returned to use may have been restarted or idle, so they count as
        cold until they state for how long they are.
        """
        self._evacuated = domains
        for load in self.loads():
            was_evacuated, load.evacuated = load.evacuated, load.entry.failure_domain in domains
            if was_evacuated and not load.evacuated:
                load.cold.on_returned(now)

    def cold_changes(self, now: float) -> list[ServerLoad]:
        """Return the servers that became cold or warm since the last call.

        Only those of services with a limit for cold servers are looked at.
        """
        limited = [pool for pool in self.all() if pool.warm_up.per_s is not None]
        loads = [load for pool in limited for load in pool.loads_by_id.values()]
        return [load for load in loads if load.cold.poll(now)]

    def load(self, server_id: str) -> ServerLoad | None:
        """Return the load of a backend server, or None for an unknown id."""
        pool = self._by_server.get(server_id)
        return None if pool is None else pool.loads_by_id[server_id]

    def loads(self) -> list[ServerLoad]:
        """Return the loads of all backend servers."""
        return [load for pool in self.all() for load in pool.loads_by_id.values()]

    def all(self) -> Iterable[ServicePool]:
        """Return the pools of all services."""
        return self._by_service.values()

    def of_server(self, server_id: str) -> ServicePool:
        """Return the pool of a listed backend server."""
        return self._by_server[server_id]

    def of_service(self, service: str) -> ServicePool:
        """Return the pool of a service, which is created if need be."""
        pool = self._by_service.get(service)
        if pool is None:
            pool = self._by_service[service] = ServicePool(self.new_leave_policy())
        return pool


def _start(entry: ServerEntry) -> tuple[str, str, str, int]:
    """Return what distinguishes one start of a server from all others."""
    return entry.id, entry.address, entry.service, entry.started_ms
