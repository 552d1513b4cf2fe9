"""Settings of one gateway."""

from __future__ import annotations

import attrs

from sycamorebay.coordination.account_limit import AccountLimitBound
from sycamorebay.coordination.connection_slots import DEFAULT_MAX_FDS
from sycamorebay.coordination.memory_budget import DEFAULT_RAM_MB
from sycamorebay.coordination.retry_budget import RetryLimits
from sycamorebay.coordination.spill import DEFAULT_CROSS_DOMAIN_PENALTY, CrossDomainPenalty


@attrs.frozen
class GatewaySettings:
    """Checked settings of a gateway; addresses are ``IP:port``.

    Attributes
    ----------
    name : str
        Unique in the fleet.
    failure_domain : str
        Failure domain that this daemon runs in.
    callers : str
        Listening address for callers.
    readiness : str
        Listening address for the platform's readiness checks.
    control : str
        Listening address for peers that fetch a copy of the store, and for scrapes of metrics.
    datagrams : str
        Address for datagrams of peers.
    seeds : tuple of str
        Datagram addresses of daemons that may be running.
    retries : RetryLimits
        Limits of the retry budget of each service, for the whole fleet.
    stop_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    domain_count : int
        Number of failure domains that daemons may run in.
    link_mbps : float
        Bandwidth of the network link of this VM in Mbit/s; 0 if unknown.
    ram_mb : float
        Memory of this VM in MB of a million bytes.
    max_fds : int
        Descriptors that this process may open, those for files included.
    first_start : bool
        Whether the whole fleet starts for the first time.
    quota : AccountLimitBound
        Bound on the requests of a client account that all gateways together may run.
    cross_domain_penalty : CrossDomainPenalty
        What a backend server in another failure domain costs beside one in the own domain.
    """

    name: str
    failure_domain: str
    callers: str
    readiness: str
    control: str
    datagrams: str
    seeds: tuple[str, ...]
    retries: RetryLimits
    stop_s: float
    domain_count: int = 1
    link_mbps: float = 0.0
    ram_mb: float = DEFAULT_RAM_MB
    max_fds: int = DEFAULT_MAX_FDS
    first_start: bool = False
    quota: AccountLimitBound = attrs.field(factory=AccountLimitBound)
    cross_domain_penalty: CrossDomainPenalty = DEFAULT_CROSS_DOMAIN_PENALTY
