"""Reports in the platform's service of the revision that each member has in force."""

from __future__ import annotations

import json

import attrs

from sycamorebay.decoding import UndecodableError, decoding, parse_json
from sycamorebay.errors import PlatformError
from sycamorebay.protocol.keys import reports_prefix


@attrs.frozen
class EntryReport:
    """Report of the revision that one member has in force.

    Attributes
    ----------
    member_id : str
        Id of the member.
    incarnation : int
        Number that distinguishes the member's starts.
    revision : int
        Number of the revision in force; 0 if there is none.
    digest : str
        SHA-256 of the document in force, in hexadecimal.
    """

    member_id: str
    incarnation: int
    revision: int
    digest: str


def report_key(environment: str, member_id: str) -> str:
    """Return the key of a member's report."""
    return reports_prefix(environment) + member_id


def encode_report(report: EntryReport) -> bytes:
    """Return a report as the JSON value to store."""
    return json.dumps(attrs.asdict(report)).encode()


def decode_report(value: bytes) -> EntryReport:
    """Return the report in a stored value.

    Raises
    ------
    PlatformError
        If the value is not the JSON of a report.
    """
    try:
        with decoding("report"):
            return EntryReport(**parse_json(value))
    except UndecodableError as error:
        raise PlatformError(
            f"the stored value is not a valid report: {error}", step="decode"
        ) from error
