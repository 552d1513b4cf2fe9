"""HTTP headers that an entry forwards between callers and backend servers."""

from __future__ import annotations

import re
from collections.abc import Mapping

from sycamorebay.protocol.header_names import (
    ATTEMPT,
    BODILESS_STATUSES,
    DEADLINE,
    IDEMPOTENCY_KEY,
    LEAVING,
    OUTCOME,
    REQUEST_ID,
    Headers,
)
from sycamorebay.protocol.hop_by_hop import HOP_BY_HOP, listed_in_connection
from sycamorebay.state.backends import LoadReport

LOAD_METRICS = "endpoint-load-metrics"
FORWARDED_FOR = "x-forwarded-for"
FORWARDED_HOST = "x-forwarded-host"
FORWARDED_PROTO = "x-forwarded-proto"
VIA = "via"

_OWN_VIA_VALUE = "1.1 sycamorebay"
_VALID_REQUEST_ID = re.compile(r"[!-~]{1,128}\Z")
# A connection header that names these does not remove them, since the entry relies on them.
_PROTECTED_HEADERS = frozenset(
    {"host", "content-length", "content-type", IDEMPOTENCY_KEY, ATTEMPT, DEADLINE, OUTCOME}
)
_REPLACED_HEADERS = frozenset({DEADLINE, ATTEMPT, REQUEST_ID, "content-length", "expect"})


def headers_to_backend_server(headers: Headers, caller: str, request_id: str) -> Headers:
    """Return the headers to send to a backend server.

    The length and the deadline are left out: they are known only when the request is written.

    Parameters
    ----------
    headers : list of (str, str)
        The caller's headers, with names in lower case.
    caller : str
        The caller's IP address, which is appended to ``x-forwarded-for``.
    request_id : str
        Id that identifies the request in the logs of all daemons and servers.
    """
    dropped = _hop_by_hop_names(headers) | _REPLACED_HEADERS
    forwarded_for, via = [], []
    proto = host = None
    kept = []
    for pair in headers:
        name, value = pair
        if name in dropped:
            continue
        if name == FORWARDED_FOR:
            forwarded_for.append(value)
        elif name == VIA:
            via.append(value)
        else:
            kept.append(pair)
            if name == FORWARDED_PROTO:
                proto = value
            elif name == FORWARDED_HOST:
                host = value
    forwarded_for.append(caller)
    via.append(_OWN_VIA_VALUE)
    kept.append((FORWARDED_FOR, ", ".join(forwarded_for)))
    kept.append((VIA, ", ".join(via)))
    kept.append((REQUEST_ID, request_id))
    if proto is None:
        kept.append((FORWARDED_PROTO, "http"))
    if host is None:
        kept.append((FORWARDED_HOST, header_value(headers, "host") or ""))
    return kept


def headers_to_caller(headers: Headers, status: int, request_id: str) -> Headers:
    """Return the headers to send to a caller.

    Parameters
    ----------
    headers : list of (str, str)
        The backend server's headers, with names in lower case.
    status : int
        HTTP status of the answer; one without a body gets no ``content-length``.
    request_id : str
        Id of the request.
    """
    dropped = _hop_by_hop_names(headers) | {REQUEST_ID}
    if status in BODILESS_STATUSES:
        dropped |= {"content-length"}
    kept = [pair for pair in headers if pair[0] not in dropped]
    kept.append((REQUEST_ID, request_id))
    return kept


def request_id_of(headers: Headers) -> str | None:
    """Return the caller's request id, or None if it is missing or invalid.

    A valid id has 1 to 128 visible ASCII characters.
    """
    value = header_value(headers, REQUEST_ID)
    return value if value is not None and _VALID_REQUEST_ID.match(value) else None


def _hop_by_hop_names(headers: Headers) -> frozenset[str]:
    listed = listed_in_connection(value for name, value in headers if name == "connection")
    return HOP_BY_HOP | (listed - _PROTECTED_HEADERS) if listed else HOP_BY_HOP


def parse_load_report(headers: Mapping[str, str]) -> LoadReport | None:
    """Return the load report in an answer's headers, or None if it is missing or invalid.

    The header is ``endpoint-load-metrics`` in its text form (Open Request Cost Aggregation):
    ``TEXT named_metrics.in_flight=2, named_metrics.queued=0``. An answer that says only that the
    server is leaving gives a report without load.
    """
    value = headers.get(LOAD_METRICS)
    leaving = headers.get(LEAVING) == "1"
    if value is None:
        return LoadReport(0, 0, leaving=True) if leaving else None
    try:
        pairs = dict(item.strip().split("=", 1) for item in value.removeprefix("TEXT ").split(","))
        in_flight = int(float(pairs["named_metrics.in_flight"]))
        queued = int(float(pairs.get("named_metrics.queued", "0")))
    except (KeyError, ValueError, OverflowError):
        return None
    if in_flight < 0 or queued < 0:
        return None
    return LoadReport(in_flight, queued, leaving)


def header_value(headers: Headers, wanted: str) -> str | None:
    """Return the first value of the header with this lower-case name, or None."""
    for name, value in headers:
        if name == wanted:
            return value
    return None
