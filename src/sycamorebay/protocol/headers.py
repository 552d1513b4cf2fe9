"""HTTP headers between callers, entries and backend servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sycamorebay.state.backends import LoadReport

DEADLINE = "sycamorebay-deadline-ms"
ATTEMPT = "sycamorebay-attempt"
OUTCOME = "sycamorebay-outcome"
LEAVING = "sycamorebay-leaving"
REQUEST_ID = "x-request-id"
IDEMPOTENCY_KEY = "idempotency-key"
LOAD = "endpoint-load-metrics"

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

Headers = list[tuple[str, str]]


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that travel past this hop (RFC 9110, section 7.6.1)."""
    kept = [(name.lower(), value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in kept
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named if named else HOP_BY_HOP
    return [(name, value) for name, value in kept if name not in dropped]


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
