"""Subset of the backend servers that one daemon of a large fleet sends requests to.

Each daemon keeps connections to a few servers of each service only, so the number of connections
does not grow with the product of daemons and servers. Rendezvous hashing spreads the daemons evenly
over the servers, and a server that joins or leaves changes few subsets.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Iterable

from sycamorebay.coordination.aperture import Aperture
from sycamorebay.state.server_entries import ServerEntry

# Servers of each service in the daemon's own failure domain.
NEAR_SERVERS = 16
# Servers in other failure domains, for the time when those near are busy or gone.
FAR_SERVERS = 6
# Standard deviations added to the expected number of daemons that use a server, since a request
# limit divided among too few daemons would be exceeded.
_SHARERS_DEVIATIONS = 3.5


class ServerSubset:
    """The servers of each service that one daemon uses.

    Parameters
    ----------
    daemon : str
        Name of the daemon.
    failure_domain : str
        Failure domain of the daemon.
    """

    def __init__(self, daemon: str, failure_domain: str) -> None:
        self._daemon = daemon
        self._failure_domain = failure_domain
        self._hashes_by_server: dict[str, bytes] = {}
        self._apertures_by_service: dict[str, Aperture] = {}
        self._near_by_service: dict[str, list[str]] = {}
        self._far_by_service: dict[str, list[str]] = {}
        self._counts_by_place: Counter[tuple[str, str]] = Counter()
        self._counts_by_service: Counter[str] = Counter()

    def on_servers(self, entries: Iterable[ServerEntry]) -> None:
        """Replace the list of backend servers; those that leave are not used."""
        staying = [entry for entry in entries if not entry.leaving]
        known = self._hashes_by_server
        self._hashes_by_server = {
            entry.id: known.get(entry.id) or self._hash(entry.id) for entry in staying
        }
        staying.sort(key=lambda entry: self._hashes_by_server[entry.id])
        self._near_by_service, self._far_by_service = {}, {}
        self._counts_by_place = Counter((one.service, one.failure_domain) for one in staying)
        self._counts_by_service = Counter(one.service for one in staying)
        for entry in staying:
            if entry.failure_domain == self._failure_domain:
                servers_by_service, limit = self._near_by_service, NEAR_SERVERS
            else:
                servers_by_service, limit = self._far_by_service, FAR_SERVERS
            servers = servers_by_service.setdefault(entry.service, [])
            if len(servers) < limit:
                servers.append(entry.id)

    def near(self, now: float, service: str) -> list[str]:
        """Return the ids of the servers to use for a request in the own failure domain.

        They are fewer again if no request has waited for a while.
        """
        aperture = self._aperture(service)
        aperture.on_request(now)
        return self._near_by_service.get(service, [])[: aperture.servers]

    def all(self, service: str) -> list[str]:
        """Return the ids of all servers of a service in the subset, those near first."""
        return self._near_by_service.get(service, []) + self._far_by_service.get(service, [])

    def on_wait(self, now: float, service: str) -> None:
        """Use more servers of a service, as a request has to wait for one."""
        self._aperture(service).on_wait(now)

    def _aperture(self, service: str) -> Aperture:
        aperture = self._apertures_by_service.get(service)
        if aperture is None:
            aperture = self._apertures_by_service[service] = Aperture(NEAR_SERVERS)
        return aperture

    def sharers(self, entry: ServerEntry, fleet_size: int, domain_count: int) -> float:
        """Return the estimated number of daemons that have a server in their subset.

        Parameters
        ----------
        entry : ServerEntry
            The server.
        fleet_size, domain_count : int
            Number of daemons, and of the failure domains over which they are spread.
        """
        domains = max(1, domain_count)
        near = max(1, self._counts_by_place[entry.service, entry.failure_domain])
        expected = fleet_size / domains * min(1.0, NEAR_SERVERS / near)
        expected += fleet_size / domains * self._far_users(entry, domains - 1)
        # Hashing spreads the daemons like independent draws, whose variance is about their mean.
        return min(float(fleet_size), expected + _SHARERS_DEVIATIONS * math.sqrt(expected))

    def _far_users(self, entry: ServerEntry, domains: int) -> float:
        """Return the sum over a number of other domains of the share that uses a server there.

        Those with most servers of their own choose among the fewest others. Domains without any
        are the last to be counted.
        """
        total = self._counts_by_service[entry.service]
        own = sorted(
            count
            for (service, domain), count in self._counts_by_place.items()
            if service == entry.service and domain != entry.failure_domain
        )
        padded = (own[::-1] + [0] * domains)[:domains]
        return sum(min(1.0, FAR_SERVERS / max(1, total - count)) for count in padded)

    def _hash(self, server_id: str) -> bytes:
        return hashlib.blake2b(f"{self._daemon}/{server_id}".encode(), digest_size=8).digest()
