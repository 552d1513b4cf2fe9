"""The design size, the platform's limits and what is assumed about the rest."""

from __future__ import annotations

import attrs

SECONDS_PER_DAY = 86_400


@attrs.frozen
class DesignSize:
    """The size that the users plan for, and the bounds that hold at it.

    Attributes
    ----------
    calls_per_s : float
        Calls through entries at the crest.
    depth : int
        Calls that one request makes one after another.
    added_bound_s : float
        Time that an entry may add to a call.
    added_share : float
        Share of calls that keep `added_bound_s`.
    in_force_s : float
        Time in which a change is in force everywhere, in seconds.
    control_core_share, control_bytes, control_bytes_per_s : float
        What control may cost one daemon: cores, bytes, bytes a second.
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
    """What the platform's key-value service takes.

    Attributes
    ----------
    writes_per_s : float
        "Several hundred", read as 300.
    value_bytes : float
        Largest value.
    """

    reads_per_s: float = 2_000.0
    writes_per_s: float = 300.0
    value_bytes: float = 1e6


@attrs.frozen
class Assumed:
    """What nobody has told us or measured here; each figure is stated on the page.

    Attributes
    ----------
    vms : int
        Entry VMs, the upper end of today's range.
    cores_per_vm : int
        Cores of a small VM; one entry daemon for each.
    busy_share : float
        Largest share of a core that calls may use once a failure domain is lost.
    keyed_share : float
        Share of calls that are non-idempotent operations with a key.
    resend_share : float
        Share of keyed operations that are sent again.
    largest_service_instances : int
        Instances of the largest service.
    slots_per_instance : int
        Requests that an instance runs at the same time.
    scrape_interval_s : float
        Time between two scrapes of an entry's metrics.
    connections_per_entry : int
        Callers' connections open at one entry.
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
