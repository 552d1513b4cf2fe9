"""Headers that concern a single connection, and are not forwarded."""

from __future__ import annotations

from collections.abc import Iterable

from sycamorebay.protocol.header_names import RawHeaders

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
# Each message gets its own length, and answers to `expect` are never forwarded.
_RAW_HOP_BY_HOP = frozenset(name.encode() for name in HOP_BY_HOP) | {b"expect", b"content-length"}
_USUAL_CONNECTION_VALUES = ("keep-alive", "close")
_PROTECTED = frozenset({b"host", b"content-type"})


def end_to_end_headers(headers: RawHeaders, metadata_names: Iterable[bytes]) -> RawHeaders:
    """Return the headers to forward, without the length of the body.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers of a message, with names in lower case.
    metadata_names : iterable of bytes
        Names that are forwarded even if ``connection`` lists them.
    """
    values = [value.decode("latin-1") for name, value in headers if name == b"connection"]
    dropped = _RAW_HOP_BY_HOP
    if listed := listed_in_connection(values):
        raw = frozenset(name.encode("latin-1") for name in listed)
        dropped = _RAW_HOP_BY_HOP | (raw - _PROTECTED - frozenset(metadata_names))
    return [pair for pair in headers if pair[0] not in dropped]


def listed_in_connection(values: Iterable[str]) -> frozenset[str]:
    """Return the names that ``connection`` headers list, in lower case; often none."""
    unusual = [value for value in values if value.lower() not in _USUAL_CONNECTION_VALUES]
    return frozenset(token.strip().lower() for value in unusual for token in value.split(","))
