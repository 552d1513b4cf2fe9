"""Settings of one gateway."""

from __future__ import annotations

import attrs

from sycamorebay.coordination.retry_budget import RetryLimits


@attrs.frozen
class GatewaySettings:
    """Checked settings; addresses are ``IP:port``.

    Attributes
    ----------
    name : str
        Unique in the fleet.
    failure_domain : str
        Where this daemon runs.
    callers, readiness, control, datagrams : str
        Where it listens: to callers, to the platform's question whether it is ready, to peers and
        scrapes, and to peers' datagrams.
    seeds : tuple of str
        Where datagrams of other daemons may be taken.
    retries : RetryLimits
        What the fleet may send again.
    stop_s : float
        Time between SIGTERM and SIGKILL, in seconds.
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
