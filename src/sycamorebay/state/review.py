"""Faults that keep a document from being accepted, though an entry could run by it.

Entries take an accepted document without these checks: a release that adds one must not refuse
what an earlier release accepted.
"""

from __future__ import annotations

import json
from typing import Any

from sycamorebay.errors import DocumentError
from sycamorebay.state.document import Document, load_document
from sycamorebay.state.faults import Fault, fault_at

MAX_PORT = 65_535


def review_document(text: bytes) -> Document:
    """Parse a document that an operator wants accepted.

    Raises
    ------
    DocumentError
        With every fault found.
    """
    document = load_document(text)
    faults = review_faults(json.loads(text))
    if faults:
        raise DocumentError(faults)
    return document


def review_faults(data: dict[str, Any]) -> list[Fault]:
    """Return every fault of a document that has no fault of form."""
    faults: list[Fault] = []
    for index, service in enumerate(data["services"]):
        path = f"services/{index}"
        faults += _place_faults(path, service)
        faults += _host_faults(path, service)
        faults += _address_faults(path, service)
        faults += _hidden_routes(path, service)
    return faults


def _place_faults(path: str, service: dict[str, Any]) -> list[Fault]:
    """Find a service none of whose backend servers is in an allowed failure domain."""
    allowed = set(service["failure_domains"])
    servers = service["backend_servers"]
    if not servers or any(server["failure_domain"] in allowed for server in servers):
        return []
    found = sorted({server["failure_domain"] for server in servers})
    wanted = f"one of the failure domains of its backend servers ({', '.join(found)})"
    return [fault_at(f"{path}/failure_domains", service["failure_domains"], wanted)]


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


def _hidden_routes(path: str, service: dict[str, Any]) -> list[Fault]:
    """Find routes that never match, since an earlier one takes all their requests."""
    routes = service["routes"]
    faults = []
    for number, route in enumerate(routes):
        earlier = [one for one in routes[:number] if route["path"].startswith(one["path"])]
        taken = {method for one in earlier for method in one["methods"]}
        if set(route["methods"]) <= taken:
            wanted = "a route that no earlier route hides; put the longer path first"
            faults.append(fault_at(f"{path}/routes/{number}", route["path"], wanted))
    return faults
