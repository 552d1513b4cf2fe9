"""Settings of one entry daemon, checked before the daemon starts."""

from __future__ import annotations

import json
from importlib import resources
from pathlib import Path
from typing import Any

import attrs
import cattrs

from sycamorebay.coordination.choose import DEFAULT_CHOOSER
from sycamorebay.decoding import UndecodableError, parse_json
from sycamorebay.errors import SettingsError
from sycamorebay.state.faults import Fault, fault_at, schema_faults

MIN_SECRET_BYTES = 16


@attrs.frozen
class Listen:
    """Address of a listener.

    Attributes
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    """

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


@attrs.frozen
class PlatformSettings:
    """Connection to the platform's service and limits on its use.

    Attributes
    ----------
    url : str
        Base URL of the key-value service.
    vm_list_url : str
        URL of the list of VMs; empty if there is none.
    timeout_s : float
        Timeout of one call, in seconds.
    lease_s : int
        Time to live of this entry's lease, in seconds.
    calls_per_second : float
        Maximum rate at which this entry starts calls, in calls per second.
    poll_s : float
        Interval, in seconds, between reads of the store that do not rely on the watch.
    """

    url: str
    vm_list_url: str = ""
    timeout_s: float = 2.0
    lease_s: int = 10
    calls_per_second: float = 5.0
    poll_s: float = 5.0


@attrs.frozen
class PeerSettings(Listen):
    """Listener for peers, and how this entry finds and contacts them.

    Attributes
    ----------
    seeds : tuple of str
        ``IP:port`` of peers to contact when the platform's service lists none.
    fan_out : int
        Number of peers that get a heartbeat in each round.
    """

    seeds: tuple[str, ...] = ()
    fan_out: int = 6


@attrs.frozen
class FreshnessSettings:
    """Time limits after which an entry no longer trusts its own document.

    Attributes
    ----------
    pause_s : float
        Shortest pause of the process, in seconds, after which the entry asks the store and its
        peers for the newest revision again before it serves.
    settle_s : float
        Timeout, in seconds, for peers that do not answer after a start or a pause.
    isolated_s : float
        Time without an answer from the store or any peer, in seconds, after which the entry
        refuses requests.
    behind_s : float
        Time for which a newer revision may be known without being in force, in seconds, before
        the entry refuses requests.
    """

    pause_s: float = 2.0
    settle_s: float = 1.5
    isolated_s: float = 15.0
    behind_s: float = 10.0


@attrs.frozen
class StopSettings:
    """Time limits of a graceful stop.

    Attributes
    ----------
    notice_s : float
        Time in seconds for which the entry still listens after its readiness check fails, so
        that the platform's load balancer can remove it.
    limit_s : float
        Timeout after that, in seconds, for requests in flight.
    """

    notice_s: float = 5.0
    limit_s: float = 30.0


@attrs.frozen
class OperationSettings:
    """Rules and limits of keyed operations; see docs/operations-at-most-once.md.

    Attributes
    ----------
    trust_first_send : bool
        Whether a send that its caller marks as the first runs without an inquiry to the peers.
    clock_skew_s : float
        Maximum difference between the clocks of any two entries, in seconds.
    keys_ahead_s : float
        Time for which first sends still run while the platform's service is unreachable, in
        seconds.
    max_key_age_s : float
        Age from which a key is refused and its record may be dropped, in seconds.
    max_records : int
        Maximum number of records.
    max_kept_bytes : int
        Maximum total size of the kept answers, in bytes.
    """

    trust_first_send: bool = True
    clock_skew_s: float = 2.0
    keys_ahead_s: float = 900.0
    max_key_age_s: float = 900.0
    max_records: int = 20_000
    max_kept_bytes: int = 8_000_000


@attrs.frozen
class LogSettings:
    """Format and verbosity of the log.

    Attributes
    ----------
    format : str
        ``json`` or ``console``.
    level : str
        Lowest level that is written, such as ``info``.
    """

    format: str = "json"
    level: str = "info"


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts of callers' requests.

    Attributes
    ----------
    head_bytes : int
        Maximum size of a request's headers, in bytes.
    headers : int
        Maximum number of a request's headers.
    target_bytes : int
        Maximum length of a request's target, in bytes.
    head_s : float
        Timeout for a request's head after its first byte, in seconds.
    body_s : float
        Timeout for a whole short body, and between two parts of a long one, in seconds.
    idle_s : float
        Timeout for the next request on a connection, in seconds.
    linger_s : float
        Time in seconds for which the rest of a body is read and discarded after an early answer.
    connections : int
        Maximum number of open connections of callers.
    memory_mb : float
        Maximum memory, in MB of a million bytes, that the connections of callers and operators
        take together.
    """

    head_bytes: int = 32_768
    headers: int = 100
    target_bytes: int = 8192
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 75.0
    linger_s: float = 2.0
    connections: int = 2000
    memory_mb: float = 64.0


@attrs.frozen
class Settings:
    """All settings of an entry daemon; ``sycamorebay schema`` prints their JSON Schema.

    Attributes
    ----------
    id : str
        Name of this entry, unique in its environment.
    failure_domain : str
        Failure domain in which this entry runs.
    callers, operators : Listen
        Listeners for callers and for operators.
    peers : PeerSettings
        Listener for peers and how to find them.
    platform : PlatformSettings
        Connection to the platform's service.
    environment : str
        Environment whose document this entry uses.
    secret_file : str
        Path of the file of shared secrets, one per line, newest first; empty if there is none.
    heartbeat_s : float
        Interval between two rounds of heartbeats, in seconds.
    freshness : FreshnessSettings
        When this entry no longer trusts its document.
    chooser : str
        Name of the policy that chooses backend servers.
    stop : StopSettings
        Time limits of a graceful stop.
    limits : CallerLimits
        Size limits and timeouts of callers' requests.
    log : LogSettings
        Format and level of the log.
    operations : OperationSettings
        Rules and limits of keyed operations.
    """

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
        """Read the shared secrets, newest first; the list is empty if no file is set.

        Raises
        ------
        OSError
            If the file cannot be read.
        """
        if not self.secret_file:
            return []
        lines = Path(self.secret_file).read_bytes().splitlines()
        return [line.strip() for line in lines if line.strip()]


def settings_schema() -> dict[str, Any]:
    """Return the JSON Schema of an entry's settings."""
    text = resources.files("sycamorebay.state").joinpath("settings.schema.json").read_text()
    return json.loads(text)


def settings_faults(data: Any) -> list[Fault]:
    """Return every fault of parsed settings; the list is empty if they are valid."""
    faults = schema_faults(settings_schema(), data)
    if isinstance(data, dict) and isinstance(data.get("secret_file"), str):
        faults += _secret_faults(data["secret_file"])
    return faults


def _secret_faults(path: str) -> list[Fault]:
    try:
        lines = Path(path).read_bytes().split()
    except OSError as error:
        return [fault_at("secret_file", path, f"a readable file ({error.strerror})")]
    if not lines or any(len(line) < MIN_SECRET_BYTES for line in lines):
        return [fault_at("secret_file", path, f"lines of at least {MIN_SECRET_BYTES} bytes")]
    return []


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or has faults; it carries every fault.
    """
    try:
        data = parse_json(Path(path).read_bytes())
    except (OSError, UndecodableError) as error:
        raise SettingsError([fault_at("", str(path), f"a readable JSON file ({error})")]) from error
    faults = settings_faults(data)
    if faults:
        raise SettingsError(faults)
    return cattrs.structure(data, Settings)
