"""Inputs of the capacity model: the design size, the platform's limits and the assumptions."""

from __future__ import annotations

import attrs

SECONDS_PER_DAY = 86_400


@attrs.frozen
class DesignSize:
    """The size that the users plan for, and the bounds that have to hold at it.

    The capacity page lists the fields by their names.

    Attributes
    ----------
    instances : int
        Instances of all services.
    services : int
        Services of the document.
    failure_domains : int
        Failure domains, one of which may be lost at peak load.
    regions : int
        Regions that the failure domains belong to.
    calls_per_s : float
        Calls a second through all entries at peak load.
    depth : int
        Calls that one request makes one after another.
    added_bound_s : float
        Bound of the time that an entry adds to a call, in seconds.
    added_share : float
        Share of calls that have to stay within `added_bound_s`.
    changes_per_day : float
        Changes of the document a day.
    in_force_s : float
        Bound of the time until a change is in force everywhere, in seconds.
    restarts_per_day : float
        Planned restarts or replacements of VMs a day.
    control_core_share : float
        Bound of the processor time of one daemon's control plane, as a share of a core.
    control_bytes : float
        Bound of the memory of one daemon's control plane, in bytes.
    control_bytes_per_s : float
        Bound of the traffic of one daemon's control plane, in bytes a second.
    """

    instances: int = 630
    services: int = 82
    failure_domains: int = 7
    regions: int = 2
    calls_per_s: float = 81_000.0
    depth: int = 11
    added_bound_s: float = 0.00062
    added_share: float = 0.99
    changes_per_day: float = 2_900.0
    in_force_s: float = 17.0
    restarts_per_day: float = 150.0
    control_core_share: float = 0.041
    control_bytes: float = 64e6
    control_bytes_per_s: float = 9_000.0


@attrs.frozen
class Platform:
    """Limits of the platform's key-value service.

    Attributes
    ----------
    reads_per_s : float
        Largest rate of reads a second.
    writes_per_s : float
        Largest rate of writes a second; stated as several hundred, read as 300.
    value_bytes : float
        Largest value, in bytes.
    """

    reads_per_s: float = 2_000.0
    writes_per_s: float = 300.0
    value_bytes: float = 1e6


@attrs.frozen
class Assumed:
    """Assumptions about values that are neither given nor measured; the page states each of them.

    Attributes
    ----------
    vms : int
        Entry VMs, the upper end of the range in use.
    cores_per_vm : int
        Cores of a small VM; one entry daemon for each.
    busy_share : float
        Largest share of a core that calls may use after the loss of a failure domain.
    keyed_share : float
        Share of calls that are non-idempotent operations with a key.
    resend_share : float
        Share of keyed operations that are sent again.
    largest_service_instances : int
        Instances of the largest service.
    slots_per_instance : int
        Requests that an instance runs at the same time.
    scrape_interval_s : float
        Time between two scrapes of an entry's metrics, in seconds.
    connections_per_entry : int
        Open connections of callers at one entry.
    changes_per_burst_minute : int
        Changes of the document in the busiest minute.
    """

    vms: int = 16
    cores_per_vm: int = 2
    busy_share: float = 0.6
    keyed_share: float = 0.05
    resend_share: float = 0.01
    largest_service_instances: int = 30
    slots_per_instance: int = 4
    scrape_interval_s: float = 15.0
    connections_per_entry: int = 1_000
    changes_per_burst_minute: int = 20


DESIGN = DesignSize()
PLATFORM = Platform()
ASSUMED = Assumed()
