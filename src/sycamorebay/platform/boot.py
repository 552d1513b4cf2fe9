"""Reads the settings file that the platform writes."""

from __future__ import annotations

import json
import os
from typing import Any

from sycamorebay.coordination.retry_budget import RetryLimits
from sycamorebay.errors import SettingsError
from sycamorebay.platform.values import ValueFault, number, seconds, table, text
from sycamorebay.state.faults import Fault
from sycamorebay.transport.gateway.settings import GatewaySettings

BOOT_VARIABLE = "SYCAMOREBAY_BOOT"


def read_boot(path: str) -> tuple[GatewaySettings, str]:
    """Return the gateway's settings and the store's address.

    Raises
    ------
    SettingsError
        With every fault found.
    """
    try:
        with open(path, encoding="utf-8") as file:
            found = json.load(file)
    except (OSError, ValueError) as error:
        raise SettingsError([Fault("", str(error), "a settings file in JSON")]) from error
    faults: list[Fault] = []

    def take(reader: Any, source: Any, name: str, *rest: Any) -> Any:
        try:
            return reader(source, name, *rest)
        except ValueFault as error:
            faults.append(Fault(name, "", str(error)))
            return {} if reader is table else 0

    bind = take(table, found, "bind")
    parameters = take(table, found, "parameters")
    provider = take(table, found, "provider")
    ports = found.get("port_range") if isinstance(found, dict) else None
    if not (isinstance(ports, list) and len(ports) == 2 and all(type(p) is int for p in ports)):
        faults.append(Fault("port_range", "", "port_range: two ports were expected"))
        ports = [0, 0]
    address = str(take(text, found, "ip"))
    seeds = [str(seed) for seed in found.get("seeds") or []] if isinstance(found, dict) else []
    settings = GatewaySettings(
        name=str(take(text, found, "node_name")),
        failure_domain=str(take(text, found, "zone")),
        callers=str(take(text, bind, "front")),
        readiness=str(take(text, bind, "readiness")),
        control=str(bind.get("control", f"{address}:{ports[0] + 1}")),
        datagrams=f"{address}:{ports[0]}",
        # Ports are the same on all machines, so a seed's address tells where its datagrams go.
        seeds=tuple(f"{seed.rpartition(':')[0]}:{ports[0]}" for seed in seeds),
        retries=RetryLimits(
            ratio=take(number, parameters, "retry_ratio"),
            slack=take(number, parameters, "retry_slack"),
            window_s=take(seconds, parameters, "retry_window"),
        ),
        stop_s=take(seconds, parameters, "grace"),
    )
    store = str(take(text, provider, "addr"))
    if faults:
        raise SettingsError(faults)
    return settings, store


def boot_path() -> str:
    """Return the settings file's path, or an empty string where the platform named none."""
    return os.environ.get(BOOT_VARIABLE, "")
