"""Keys in the platform's key-value service, by environment."""

from __future__ import annotations


def environment_prefix(environment: str) -> str:
    """Return the prefix of the keys that an environment's entries watch."""
    return f"/sycamorebay/{environment}/"


def document_key(environment: str) -> str:
    """Return the key of the record of an environment's latest revision."""
    return environment_prefix(environment) + "document"


def members_prefix(environment: str) -> str:
    """Return the prefix of the registrations of an environment's members."""
    return environment_prefix(environment) + "members/"


def trail_key(environment: str) -> str:
    """Return the key of an environment's audit trail, which entries do not watch."""
    return f"/sycamorebay-audit/{environment}/trail"


def text_key(environment: str, number: int) -> str:
    """Return the key of the document of one revision, which is kept for rollbacks."""
    return f"/sycamorebay-audit/{environment}/texts/{number:012d}"


def reports_prefix(environment: str) -> str:
    """Return the prefix of the members' reports of the revision that each has in force."""
    return f"/sycamorebay-reports/{environment}/"
