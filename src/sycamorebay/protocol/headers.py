"""HTTP headers between callers, entries and backend servers."""

from __future__ import annotations

import re
from collections.abc import Mapping

from sycamorebay.protocol.names import (
    ATTEMPT,
    BODILESS_STATUSES,
    DEADLINE,
    IDEMPOTENCY_KEY,
    LEAVING,
    OUTCOME,
    REQUEST_ID,
    Headers,
)
from sycamorebay.state.backends import LoadReport

LOAD = "endpoint-load-metrics"
FORWARDED_FOR = "x-forwarded-for"
FORWARDED_HOST = "x-forwarded-host"
FORWARDED_PROTO = "x-forwarded-proto"
VIA = "via"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_OWN_VIA = "1.1 sycamorebay"
_REQUEST_ID = re.compile(r"[!-~]{1,128}\Z")
_NEVER_NAMED = frozenset(
    {"host", "content-length", "content-type", IDEMPOTENCY_KEY, ATTEMPT, DEADLINE, OUTCOME}
)
_REPLACED = frozenset({DEADLINE, ATTEMPT, REQUEST_ID, "content-length", "expect"})


def request_headers(headers: Headers, caller: str, request_id: str) -> Headers:
    """Return what a backend server gets of a caller's headers, whose names are in lower case.

    The length and the deadline are left out: they are known only when the request is written.

    Parameters
    ----------
    headers : list of (str, str)
        The caller's.
    caller : str
        The caller's address.
    request_id : str
        Names the request in every log.
    """
    dropped = _dropped(headers) | _REPLACED
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
    via.append(_OWN_VIA)
    kept.append((FORWARDED_FOR, ", ".join(forwarded_for)))
    kept.append((VIA, ", ".join(via)))
    kept.append((REQUEST_ID, request_id))
    if proto is None:
        kept.append((FORWARDED_PROTO, "http"))
    if host is None:
        kept.append((FORWARDED_HOST, header_value(headers, "host") or ""))
    return kept


def answer_headers(headers: Headers, status: int, request_id: str) -> Headers:
    """Return what a caller gets of a backend server's headers, whose names are in lower case."""
    dropped = _dropped(headers) | {REQUEST_ID}
    if status in BODILESS_STATUSES:
        dropped |= {"content-length"}
    kept = [pair for pair in headers if pair[0] not in dropped]
    kept.append((REQUEST_ID, request_id))
    return kept


def request_id_of(headers: Headers) -> str | None:
    """Return the caller's own request id, or None where it named none that can be passed on."""
    value = header_value(headers, REQUEST_ID)
    return value if value is not None and _REQUEST_ID.match(value) else None


def _dropped(headers: Headers) -> frozenset[str]:
    for name, value in headers:
        if name == "connection" and value.lower() not in ("keep-alive", "close"):
            break
    else:
        return HOP_BY_HOP
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    return HOP_BY_HOP | (named - _NEVER_NAMED)


def load_report(headers: Mapping[str, str]) -> LoadReport | None:
    """Return the load that an answer carries, or None.

    The header is ``endpoint-load-metrics`` in its text form (Open Request Cost Aggregation):
    ``TEXT named_metrics.in_flight=2, named_metrics.queued=0``.
    """
    value = headers.get(LOAD)
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
    """Return the first value of a header named in lower case, or None."""
    for name, value in headers:
        if name == wanted:
            return value
    return None
