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


def trail_key(environment: str) -> str:
    """Return the key of an environment's audit trail; entries don't watch it."""
    return f"/sycamorebay-audit/{environment}/trail"


def text_key(environment: str, number: int) -> str:
    """Return the key of one revision's document, kept for a rollback."""
    return f"/sycamorebay-audit/{environment}/texts/{number:012d}"


def reports_prefix(environment: str) -> str:
    """Return the prefix of the members' reports on the revision that each has in force."""
    return f"/sycamorebay-reports/{environment}/"
