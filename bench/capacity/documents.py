"""Documents of any number of instances and services."""

from __future__ import annotations

import json

from bench.fleet import service
from sycamorebay.state.document import Document, load_document

DOMAINS = tuple(f"region-{i % 2}-{chr(97 + i)}" for i in range(7))
SLOTS = 4
ROUTES = [
    {"methods": ["GET"], "path": "/prices", "idempotent": True, "deadline_ms": 2000},
    {"methods": ["POST"], "path": "/bids", "deadline_ms": 3000},
]


def host(index: int) -> str:
    """Return the ``Host`` of a service."""
    return f"service-{index:03}.test"


def document_text(instances: int, services: int) -> bytes:
    """Return a document whose instances are spread over its services."""
    made = []
    for index in range(services):
        count = instances // services + (index < instances % services)
        made.append(service(f"service-{index:03}", count, SLOTS, DOMAINS, ROUTES))
    servers = [server for one in made for server in one["backend_servers"]]
    for number, server in enumerate(servers):
        server["address"] = f"10.{number // 250}.{number % 250}.17:10080"
    return json.dumps({"format": 1, "services": made}).encode()


def document(instances: int, services: int) -> Document:
    """Return a checked document whose instances are spread over its services."""
    return load_document(document_text(instances, services))
