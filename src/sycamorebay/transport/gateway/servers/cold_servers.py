"""Logs and counts which backend servers become cold or warm."""

from __future__ import annotations

from sycamorebay import log
from sycamorebay.coordination.placing import Placer
from sycamorebay.transport.gateway.counters import Counters

_log = log.get_logger("cold")


def log_cold_servers(now: float, placer: Placer, counters: Counters) -> None:
    """Log and count the servers that became cold or warm since the last call.

    Parameters
    ----------
    now : float
        Current time in seconds on the event loop's clock.
    placer : Placer
        Knows the servers, and how many requests cold ones did not get.
    counters : Counters
        Metrics of this daemon.
    """
    counters.held_for_cold = placer.held_for_cold
    for load in placer.cold_changes(now):
        if load.cold.was_cold:
            load.cold.held = 0
            counters.servers_cold += 1
        else:
            counters.servers_warm += 1
        _log.info(
            "server cold" if load.cold.was_cold else "server warm",
            server=load.entry.id,
            left_s=round(load.cold.until - now, 3),
            limit_per_s=load.cold.per_s,
            source=load.cold.source.value,
            information_age_s=round(now - load.cold.known_at, 3),
            held=load.cold.held,
        )
