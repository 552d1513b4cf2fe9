"""Additional checks that a new document must pass before it is accepted.

Entries load accepted documents without these checks. Otherwise a release that adds a check could
refuse a document that an earlier release accepted.
"""

from __future__ import annotations

import json
from typing import Any

from sycamorebay.errors import DocumentError
from sycamorebay.state.document import Document, load_document
from sycamorebay.state.faults import Fault, fault_at

MAX_PORT = 65_535


def review_document(text: bytes) -> Document:
    """Parse, validate and review a document that an operator proposes.

    Raises
    ------
    DocumentError
        If the document has faults; the error contains all faults that were found.
    """
    document = load_document(text)
    faults = review_faults(json.loads(text))
    if faults:
        raise DocumentError(faults)
    return document


def review_faults(data: dict[str, Any]) -> list[Fault]:
    """Return the faults of a parsed document that `document_faults` accepts."""
    faults: list[Fault] = []
    for index, service in enumerate(data["services"]):
        path = f"services/{index}"
        faults += _failure_domain_faults(path, service)
        faults += _host_faults(path, service)
        faults += _address_faults(path, service)
        faults += _unreachable_route_faults(path, service)
    return faults


def _failure_domain_faults(path: str, service: dict[str, Any]) -> list[Fault]:
    """Check that at least one backend server is in an allowed failure domain."""
    allowed = set(service["failure_domains"])
    servers = service["backend_servers"]
    if not servers or any(server["failure_domain"] in allowed for server in servers):
        return []
    found = sorted({server["failure_domain"] for server in servers})
    expected = f"one of the failure domains of its backend servers ({', '.join(found)})"
    return [fault_at(f"{path}/failure_domains", service["failure_domains"], expected)]


def _host_faults(path: str, service: dict[str, Any]) -> list[Fault]:
    return [
        fault_at(f"{path}/hosts/{number}", host, "a name in lower case, without a port")
        for number, host in enumerate(service["hosts"])
        if host != host.lower() or (":" in host and not host.startswith("["))
    ]


def _address_faults(path: str, service: dict[str, Any]) -> list[Fault]:
    return [
        fault_at(
            f"{path}/backend_servers/{number}/address", server["address"], "a port up to 65535"
        )
        for number, server in enumerate(service["backend_servers"])
        if not 0 < int(server["address"].rpartition(":")[2]) <= MAX_PORT
    ]


def _unreachable_route_faults(path: str, service: dict[str, Any]) -> list[Fault]:
    """Check that no route is unreachable because earlier routes match all its requests."""
    routes = service["routes"]
    faults = []
    for number, route in enumerate(routes):
        earlier = [other for other in routes[:number] if route["path"].startswith(other["path"])]
        matched_methods = {method for other in earlier for method in other["methods"]}
        if set(route["methods"]) <= matched_methods:
            expected = "a route that no earlier route hides; put the longer path first"
            faults.append(fault_at(f"{path}/routes/{number}", route["path"], expected))
    return faults
