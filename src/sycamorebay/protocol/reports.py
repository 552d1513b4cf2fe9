"""What each member reports in the platform's service: the revision that it has in force."""

from __future__ import annotations

import json

import attrs

from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import reports_prefix


@attrs.frozen
class EntryReport:
    """One member's revision in force.

    Attributes
    ----------
    member_id : str
        The member.
    incarnation : int
        Which start of it.
    revision : int
        Number of its revision; 0 for none.
    digest : str
        SHA-256 of its document.
    """

    member_id: str
    incarnation: int
    revision: int
    digest: str


def report_key(environment: str, member_id: str) -> str:
    """Return the key of a member's report."""
    return reports_prefix(environment) + member_id


def encode_report(report: EntryReport) -> bytes:
    """Return the value to store."""
    return json.dumps(attrs.asdict(report)).encode()


def decode_report(value: bytes) -> EntryReport:
    """Return the report of a stored value.

    Raises
    ------
    PlatformError
        Where the value is no report.
    """
    try:
        return EntryReport(**json.loads(value))
    except (ValueError, TypeError) as error:
        raise PlatformError(f"a stored report is damaged: {error}", step="decode") from error
