"""The environment's document: services, failure domains, backend servers and routes."""

from __future__ import annotations

import hashlib
import json
from importlib import resources
from typing import Any

import attrs
import cattrs

from sycamorebay.decoding import UndecodableError, parse_json
from sycamorebay.errors import DocumentError
from sycamorebay.state.faults import Fault, fault_at, schema_faults

MAX_DOCUMENT_BYTES = 1_000_000


@attrs.frozen
class BackendServer:
    """One instance of a service.

    Attributes
    ----------
    id : str
        Name, unique in the document.
    address : str
        ``IP:port``.
    failure_domain : str
        Failure domain in which the server runs.
    slots : int
        Number of requests that the server processes concurrently.
    """

    id: str
    address: str
    failure_domain: str
    slots: int


@attrs.frozen
class Route:
    """One class of requests of a service; the first matching route is used.

    Attributes
    ----------
    methods : tuple of str
        HTTP methods in upper case.
    path : str
        Prefix of the request's path.
    work : str
        Class of work, ``short`` or ``long``.
    idempotent : bool
        Whether a request may safely run more than once.
    deadline_ms : int
        Time limit in milliseconds; a caller may set a shorter one.
    """

    methods: tuple[str, ...]
    path: str
    work: str = "short"
    idempotent: bool = False
    deadline_ms: int = 10_000


@attrs.frozen
class Limits:
    """Limits on one service's requests at one entry.

    Attributes
    ----------
    queue_length : int
        Maximum number of requests that wait for a slot.
    long_share : float
        Share of the slots that long work may hold.
    retry_ratio : float
        Retries allowed per served request.
    hedge_ratio : float
        Hedges allowed per served request.
    eject_share : float
        Maximum share of the backend servers that may be ejected.
    """

    queue_length: int = 16
    long_share: float = 0.25
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05
    eject_share: float = 0.3


@attrs.frozen
class Measuring:
    """Rate limits on probes.

    Attributes
    ----------
    probes_per_entry : float
        Maximum rate of probes that one entry sends, in probes per second.
    probes_per_backend_server : float
        Maximum rate of probes from one entry to one backend server, in probes per second.
    """

    probes_per_entry: float = 5.0
    probes_per_backend_server: float = 1.0


@attrs.frozen
class Service:
    """One service, its allowed failure domains and its backend servers.

    Attributes
    ----------
    name : str
        Unique in the document.
    hosts : tuple of str
        Values of ``Host``, without a port, that belong to the service.
    failure_domains : tuple of str
        Failure domains in which the service may be served.
    backend_servers : tuple of BackendServer
        Instances of the service.
    routes : tuple of Route
        Routes in order of precedence.
    limits : Limits
        Limits on the service's requests at one entry.
    """

    name: str
    hosts: tuple[str, ...]
    failure_domains: tuple[str, ...]
    backend_servers: tuple[BackendServer, ...]
    routes: tuple[Route, ...]
    limits: Limits = attrs.field(factory=Limits)

    def route_for(self, method: str, path: str) -> Route | None:
        """Return the first route that matches a method and path, or None."""
        for route in self.routes:
            if method in route.methods and path.startswith(route.path):
                return route
        return None

    def allows(self, backend_server: BackendServer) -> bool:
        """Return whether the service may be served in the backend server's failure domain."""
        return backend_server.failure_domain in self.failure_domains


@attrs.frozen
class Document:
    """A validated document.

    Attributes
    ----------
    format : int
        Version of the document's format.
    services : tuple of Service
        All services of the environment.
    measuring : Measuring
        Rate limits on probes.
    """

    format: int
    services: tuple[Service, ...]
    measuring: Measuring = attrs.field(factory=Measuring)
    _by_host: dict[str, Service] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_host = {host: service for service in self.services for host in service.hosts}
        object.__setattr__(self, "_by_host", by_host)

    def service_for(self, host: str) -> Service | None:
        """Return the service for a value of ``Host`` without its port, or None."""
        return self._by_host.get(host)


_CONVERTER = cattrs.Converter()


def document_schema() -> dict[str, Any]:
    """Return the JSON Schema of a document."""
    text = resources.files("sycamorebay.state").joinpath("document.schema.json").read_text()
    return json.loads(text)


def document_faults(data: Any) -> list[Fault]:
    """Return every fault of a parsed document.

    Semantic faults are only looked for in a document that matches the schema.
    """
    faults = schema_faults(document_schema(), data)
    if faults:
        return faults
    return _semantic_faults(data)


def _semantic_faults(data: dict[str, Any]) -> list[Fault]:
    faults: list[Fault] = []
    names: set[str] = set()
    hosts: set[str] = set()
    ids: set[str] = set()
    for index, service in enumerate(data["services"]):
        path = f"services/{index}"
        faults += _duplicate_faults(f"{path}/name", [service["name"]], names)
        faults += _duplicate_faults(f"{path}/hosts", service["hosts"], hosts)
        server_ids = [server["id"] for server in service["backend_servers"]]
        faults += _duplicate_faults(f"{path}/backend_servers", server_ids, ids)
        if not service["failure_domains"]:
            faults.append(
                fault_at(f"{path}/failure_domains", [], "at least one allowed failure domain")
            )
    return faults


def _duplicate_faults(path: str, values: list[str], seen: set[str]) -> list[Fault]:
    faults = []
    for value in values:
        if value in seen:
            faults.append(fault_at(path, value, "a value used once in the document"))
        seen.add(value)
    return faults


def load_document(text: bytes) -> Document:
    """Parse and validate a document.

    Parameters
    ----------
    text : bytes
        JSON, at most `MAX_DOCUMENT_BYTES`.

    Raises
    ------
    DocumentError
        If the document has faults; the error contains all faults that were found.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise DocumentError([fault_at("", len(text), f"at most {MAX_DOCUMENT_BYTES} bytes")])
    try:
        data = parse_json(text)
    except UndecodableError as error:
        raise DocumentError([fault_at("", text[:40], f"JSON ({error})")]) from error
    faults = document_faults(data)
    if faults:
        raise DocumentError(faults)
    return _CONVERTER.structure(data, Document)


def digest_of(text: bytes) -> str:
    """Return the SHA-256 of a document's bytes in hexadecimal."""
    return hashlib.sha256(text).hexdigest()
