"""Documents of any number of instances and services."""

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
    """Return the ``Host`` of a service."""
    return f"service-{index:03}.test"


def services_of(instances: int) -> int:
    """Return how many services some instances have in the proportion of the design size."""
    return max(1, round(instances * DESIGN.services / DESIGN.instances))


def document_text(instances: int, services: int, variant: int = 0) -> bytes:
    """Return a document whose instances are spread over its services.

    Names and addresses are random, as they would be where a platform gives them, so that they
    compress no better. Two variants differ in one number.
    """
    rng = Random(SEED)
    made = []
    for index in range(services):
        count = instances // services + (index < instances % services)
        made.append(service(f"service-{index:03}", count, SLOTS, DOMAINS, ROUTES))
    servers = [server for one in made for server in one["backend_servers"]]
    for server in servers:
        server["id"] += f"-{rng.getrandbits(32):08x}"
        numbers = rng.getrandbits(24).to_bytes(3, "big")
        server["address"] = f"10.{numbers[0]}.{numbers[1]}.{numbers[2]}:10080"
    made[0]["routes"] = [*ROUTES[:-1], {**ROUTES[-1], "deadline_ms": 3000 + variant}]
    return json.dumps({"format": 1, "services": made}).encode()


def document(instances: int, services: int) -> Document:
    """Return a checked document whose instances are spread over its services."""
    return load_document(document_text(instances, services))
