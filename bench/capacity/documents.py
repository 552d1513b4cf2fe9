"""Generates documents with any number of instances and services."""

from __future__ import annotations

import json
from random import Random

from bench.capacity.size import DESIGN
from bench.fleet import service
from sycamorebay.state.document import Document, load_document

DOMAINS = tuple(f"region-{i % 2}-{chr(97 + i)}" for i in range(7))
SLOTS = 4
SEED = 17
ROUTES = [
    {"methods": ["GET"], "path": "/prices", "idempotent": True, "deadline_ms": 2000},
    {"methods": ["POST"], "path": "/bids", "deadline_ms": 3000},
]


def host(index: int) -> str:
    """Return the ``Host`` header of the service with an index."""
    return f"service-{index:03}.test"


def proportional_services(instances: int) -> int:
    """Return the number of services for some instances, in the proportion of the design size."""
    return max(1, round(instances * DESIGN.services / DESIGN.instances))


def document_text(instances: int, services: int, variant: int = 0) -> bytes:
    """Return a document whose instances are spread evenly over its services.

    Names and addresses contain random parts, as those assigned by a platform do, so that the
    document doesn't compress better than a real one.

    Parameters
    ----------
    instances : int
        Number of instances.
    services : int
        Number of services.
    variant : int
        Added to one deadline in milliseconds, so that documents differ in one number.

    Returns
    -------
    bytes
        The document as JSON.
    """
    rng = Random(SEED)
    rows = []
    for index in range(services):
        instance_count = instances // services + (index < instances % services)
        rows.append(service(f"service-{index:03}", instance_count, SLOTS, DOMAINS, ROUTES))
    servers = [server for row in rows for server in row["backend_servers"]]
    for server in servers:
        server["id"] += f"-{rng.getrandbits(32):08x}"
        octets = rng.getrandbits(24).to_bytes(3, "big")
        server["address"] = f"10.{octets[0]}.{octets[1]}.{octets[2]}:10080"
    rows[0]["routes"] = [*ROUTES[:-1], {**ROUTES[-1], "deadline_ms": 3000 + variant}]
    return json.dumps({"format": 1, "services": rows}).encode()


def document(instances: int, services: int) -> Document:
    """Return a validated document whose instances are spread evenly over its services."""
    return load_document(document_text(instances, services))
