"""Keys under which the platform's service keeps an environment."""

from __future__ import annotations


def environment_prefix(environment: str) -> str:
    """Return the prefix of all of an environment's keys."""
    return f"/sycamorebay/{environment}/"


def document_key(environment: str) -> str:
    """Return the key of an environment's document."""
    return environment_prefix(environment) + "document"


def members_prefix(environment: str) -> str:
    """Return the prefix of an environment's registrations."""
    return environment_prefix(environment) + "members/"
