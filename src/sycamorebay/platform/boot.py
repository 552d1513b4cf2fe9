"""Reads the settings file that the platform writes.

Some of the wire names mislead: `zone` names a failure domain, `front` the listening address for
callers, `provider` the store, and `grace` the time between SIGTERM and SIGKILL.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from sycamorebay.coordination.account_limit import AccountLimitBound
from sycamorebay.coordination.connection_slots import DEFAULT_MAX_FDS
from sycamorebay.coordination.memory_budget import DEFAULT_RAM_MB
from sycamorebay.coordination.retry_budget import RetryLimits
from sycamorebay.decoding import UndecodableError, parse_json
from sycamorebay.errors import SettingsError
from sycamorebay.platform.values import ValueFault, number, seconds, table, text
from sycamorebay.state.faults import Fault
from sycamorebay.transport.gateway.settings import GatewaySettings

BOOT_VARIABLE = "SYCAMOREBAY_BOOT"


def read_boot(path: str) -> tuple[GatewaySettings, str]:
    """Read the settings file of a gateway.

    Parameters
    ----------
    path : str
        Path of the settings file.

    Returns
    -------
    tuple of (GatewaySettings, str)
        The settings, and the address of the store as ``IP:port``.

    Raises
    ------
    SettingsError
        With all faults found in the file.
    """
    try:
        document = parse_json(Path(path).read_bytes())
    except (OSError, UndecodableError) as error:
        raise SettingsError([Fault("", str(error), "a settings file in JSON")]) from error
    faults: list[Fault] = []

    def read_field(reader: Any, source: Any, name: str, *rest: Any) -> Any:
        """Return a decoded field; on a fault, record it and return a placeholder."""
        try:
            return reader(source, name, *rest)
        except ValueFault as error:
            faults.append(Fault(name, "", str(error)))
            return {} if reader is table else 0

    def read_optional(reader: Any, name: str, default: float) -> float:
        """Return a decoded parameter, or a default if it is missing."""
        return float(read_field(reader, parameters, name)) if name in parameters else default

    bind = read_field(table, document, "bind")
    parameters = read_field(table, document, "parameters")
    provider = read_field(table, document, "provider")
    ports = document.get("port_range") if isinstance(document, dict) else None
    if not (isinstance(ports, list) and len(ports) == 2 and all(type(p) is int for p in ports)):
        faults.append(Fault("port_range", "", "port_range: expected a list of two port numbers"))
        ports = [0, 0]
    address = str(read_field(text, document, "ip"))
    seeds = (
        [str(seed) for seed in document.get("seeds") or []] if isinstance(document, dict) else []
    )
    settings = GatewaySettings(
        name=str(read_field(text, document, "node_name")),
        failure_domain=str(read_field(text, document, "zone")),
        callers=str(read_field(text, bind, "front")),
        readiness=str(read_field(text, bind, "readiness")),
        control=str(bind.get("control", f"{address}:{ports[0] + 1}")),
        datagrams=f"{address}:{ports[0]}",
        # All machines use the same ports, so the datagram port of this one is also that of a seed.
        seeds=tuple(f"{seed.rpartition(':')[0]}:{ports[0]}" for seed in seeds),
        retries=RetryLimits(
            ratio=read_field(number, parameters, "retry_ratio"),
            slack=read_field(number, parameters, "retry_slack"),
            window_s=read_field(seconds, parameters, "retry_window"),
        ),
        stop_s=read_field(seconds, parameters, "grace"),
        domain_count=_domain_count(document),
        link_mbps=_limit(document, "link_mbps", 0.0),
        ram_mb=_limit(document, "ram_mb", DEFAULT_RAM_MB),
        max_fds=int(_limit(document, "max_fds", DEFAULT_MAX_FDS)),
        first_start=isinstance(document, dict) and document.get("bootstrap") is True,
        quota=AccountLimitBound(
            window_s=read_optional(seconds, "quota_window", 5.0),
            excess=read_optional(number, "quota_excess", 0.1),
            slack=read_optional(number, "quota_slack", 20.0),
        ),
    )
    store = str(read_field(text, provider, "addr"))
    if faults:
        raise SettingsError(faults)
    return settings, store


def _domain_count(document: Any) -> int:
    zones = document.get("zones") if isinstance(document, dict) else None
    return max(1, len(zones)) if isinstance(zones, dict) else 1


def _limit(document: Any, name: str, default: float) -> float:
    """Return a limit of the VM; the default if the settings do not tell it."""
    try:
        return number(table(document, "limits"), name)
    except ValueFault:
        return default


def boot_path() -> str:
    """Return the path of the settings file, or an empty string if the platform set none."""
    return os.environ.get(BOOT_VARIABLE, "")
