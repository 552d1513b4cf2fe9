"""Settings of one entry daemon, checked before anything starts."""

from __future__ import annotations

import json
from importlib import resources
from pathlib import Path
from typing import Any

import attrs
import cattrs

from sycamorebay.coordination.choose import DEFAULT_CHOOSER
from sycamorebay.errors import SettingsError
from sycamorebay.state.faults import Fault, fault_at, schema_faults

MIN_SECRET_BYTES = 16


@attrs.frozen
class Listen:
    """An IP address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


@attrs.frozen
class PlatformSettings:
    """How to reach the platform's service.

    Attributes
    ----------
    url : str
        Base URL of the key-value service.
    vm_list_url : str
        URL of the list of VMs; empty for none.
    timeout_s : float
        Time limit of one call in seconds.
    lease_s : int
        Length of this entry's lease in seconds.
    calls_per_second : float
        Most calls that this entry may start in a second.
    poll_s : float
        Seconds between looks at the store that don't rely on the watch.
    """

    url: str
    vm_list_url: str = ""
    timeout_s: float = 2.0
    lease_s: int = 10
    calls_per_second: float = 5.0
    poll_s: float = 5.0


@attrs.frozen
class PeerSettings(Listen):
    """How this entry and its peers reach each other.

    Attributes
    ----------
    seeds : tuple of str
        ``IP:port`` of peers to ask when the platform's service names none.
    fan_out : int
        Peers that each round of heartbeats goes to.
    """

    seeds: tuple[str, ...] = ()
    fan_out: int = 6


@attrs.frozen
class FreshnessSettings:
    """When an entry stops to trust its own document.

    Attributes
    ----------
    pause_s : float
        Pause of the process, in seconds, after which it asks again before it serves.
    settle_s : float
        Longest wait, in seconds, for peers that don't answer after a start or a pause.
    isolated_s : float
        Seconds without a word from the store or any peer.
    behind_s : float
        Seconds that a newer revision may be known without being in force.
    """

    pause_s: float = 2.0
    settle_s: float = 1.5
    isolated_s: float = 15.0
    behind_s: float = 10.0


@attrs.frozen
class StopSettings:
    """How a planned stop goes.

    Attributes
    ----------
    notice_s : float
        Seconds of listening after readiness fails, for the platform's balancer.
    limit_s : float
        Seconds that requests in flight may take after that.
    """

    notice_s: float = 5.0
    limit_s: float = 30.0


@attrs.frozen
class OperationSettings:
    """How keyed operations run; see docs/operations-at-most-once.md.

    Attributes
    ----------
    trust_first_send : bool
        Whether a send that its caller marks as the first runs without asking peers.
    clock_skew_s : float
        Largest difference between the clocks of any two entries, in seconds.
    keys_ahead_s : float
        How long first sends run without the platform's service, in seconds.
    max_key_age_s : float
        Age in seconds from which a key is refused and its record may be dropped.
    max_records, max_kept_bytes : int
        Bounds on records and on the bytes of kept answers.
    """

    trust_first_send: bool = True
    clock_skew_s: float = 2.0
    keys_ahead_s: float = 900.0
    max_key_age_s: float = 900.0
    max_records: int = 20_000
    max_kept_bytes: int = 8_000_000


@attrs.frozen
class LogSettings:
    """Format and level of the log."""

    format: str = "json"
    level: str = "info"


@attrs.frozen
class CallerLimits:
    """Bounds of what callers may send, and how slowly.

    Attributes
    ----------
    head_bytes : int
        Most bytes of a request's headers.
    headers : int
        Most headers of a request.
    target_bytes : int
        Most bytes of a request's target.
    head_s : float
        Seconds that a request's head may take once its first byte has come.
    body_s : float
        Seconds that a short body may take whole, and a long one between two of its parts.
    idle_s : float
        Seconds that a connection may wait for its next request.
    linger_s : float
        Seconds that what is left of a body is read and dropped after an early answer.
    """

    head_bytes: int = 32_768
    headers: int = 100
    target_bytes: int = 8192
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 75.0
    linger_s: float = 2.0


@attrs.frozen
class Settings:
    """All settings of an entry daemon; see ``sycamorebay schema``."""

    id: str
    failure_domain: str
    callers: Listen
    operators: Listen
    peers: PeerSettings
    platform: PlatformSettings
    environment: str = "production"
    secret_file: str = ""
    heartbeat_s: float = 1.0
    freshness: FreshnessSettings = attrs.field(factory=FreshnessSettings)
    chooser: str = DEFAULT_CHOOSER
    stop: StopSettings = attrs.field(factory=StopSettings)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    log: LogSettings = attrs.field(factory=LogSettings)
    operations: OperationSettings = attrs.field(factory=OperationSettings)

    def secrets(self) -> list[bytes]:
        """Return the shared secrets, newest first; none where no file is named."""
        if not self.secret_file:
            return []
        lines = Path(self.secret_file).read_bytes().splitlines()
        return [line.strip() for line in lines if line.strip()]


def settings_schema() -> dict[str, Any]:
    """Return the JSON Schema of an entry's settings."""
    text = resources.files("sycamorebay.state").joinpath("settings.schema.json").read_text()
    return json.loads(text)


def settings_faults(data: Any) -> list[Fault]:
    """Return every fault of parsed settings."""
    faults = schema_faults(settings_schema(), data)
    if isinstance(data, dict) and isinstance(data.get("secret_file"), str):
        faults += _secret_faults(data["secret_file"])
    return faults


def _secret_faults(name: str) -> list[Fault]:
    try:
        lines = Path(name).read_bytes().split()
    except OSError as error:
        return [fault_at("secret_file", name, f"a readable file ({error.strerror})")]
    if not lines or any(len(line) < MIN_SECRET_BYTES for line in lines):
        return [fault_at("secret_file", name, f"lines of at least {MIN_SECRET_BYTES} bytes")]
    return []


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        With every fault found.
    """
    try:
        data = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError([fault_at("", str(path), f"a readable JSON file ({error})")]) from error
    faults = settings_faults(data)
    if faults:
        raise SettingsError(faults)
    return cattrs.structure(data, Settings)
