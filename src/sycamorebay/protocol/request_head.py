"""Validation of a request's head before the request is processed."""

from __future__ import annotations

import re
from urllib.parse import unquote_to_bytes

import attrs

from sycamorebay.protocol.header_names import RawHeaders

_HOST = re.compile(
    rb"[A-Za-z0-9._-]{1,253}(:[0-9]{1,5})?\Z|\[[0-9A-Fa-f:.]{2,45}\](:[0-9]{1,5})?\Z"
)
_ORIGIN_FORM = re.compile(rb"/[!-\"$-~]*\Z")
_ABSOLUTE_FORM = re.compile(rb"[hH][tT][tT][pP][sS]?://([^/?#@]*)(/[!-\"$-~]*)?\Z")
_DOT_SEGMENT = re.compile(rb"(?:\A|/)\.\.?(?:/|\Z)")
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")


@attrs.frozen
class HeadFault:
    """Reason to reject a request by its head.

    Attributes
    ----------
    status : int
        HTTP status of the refusal.
    reason : str
        Human-readable explanation, sent to the caller.
    """

    status: int
    reason: str


MALFORMED = HeadFault(400, "the request is malformed")
INTERNAL_ERROR = HeadFault(500, "the entry failed")
TOO_LARGE = HeadFault(431, "the request's headers are too large")
TARGET_TOO_LONG = HeadFault(414, "the request's target is too long")
NO_ROOM = HeadFault(503, "too many large requests are open")
TOO_SLOW = HeadFault(408, "the request's head took too long")


def find_head_fault(
    method: bytes, target: bytes, version: str, headers: RawHeaders
) -> HeadFault | None:
    """Return the first fault of a request's head, or None if it is valid.

    Parameters
    ----------
    method, target : bytes
        Method and request target as received.
    version : str
        HTTP version, such as ``1.1``.
    headers : list of (bytes, bytes)
        Headers with names in lower case.
    """
    if version != "1.1":
        return HeadFault(505, "only HTTP/1.1 is served")
    if method == b"CONNECT":
        return HeadFault(501, "tunnels are not served")
    return _target_fault(target) or _host_fault(target, headers) or _framing_fault(headers)


def _target_fault(target: bytes) -> HeadFault | None:
    origin = origin_form(target)
    if origin is None:
        return HeadFault(400, "the request's target is malformed")
    path = origin.partition(b"?")[0]
    if b"%" in path:
        path = unquote_to_bytes(path)
    if _CONTROL.search(path) or (b"/." in path and _DOT_SEGMENT.search(path)):
        return HeadFault(400, "the path has dot segments or control characters")
    return None


def _host_fault(target: bytes, headers: RawHeaders) -> HeadFault | None:
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) != 1:
        return HeadFault(400, "a request needs one host header")
    if not _HOST.match(hosts[0]):
        return HeadFault(400, "the host header is malformed")
    absolute = _ABSOLUTE_FORM.match(target)
    if absolute is not None and absolute[1].lower() != hosts[0].lower():
        return HeadFault(400, "the target and the host header name two hosts")
    return None


def _framing_fault(headers: RawHeaders) -> HeadFault | None:
    lengths = 0
    encodings = []
    for name, value in headers:
        if name == b"content-length":
            lengths += 1
        elif name == b"transfer-encoding":
            encodings.append(value)
        elif name == b"upgrade":
            return HeadFault(501, "upgrades are not served")
        elif name == b"expect" and value.lower() != b"100-continue":
            return HeadFault(417, "only 100-continue can be expected")
    if lengths > 1 or (lengths and encodings):
        return HeadFault(400, "the request has two lengths")
    if encodings and [value.lower() for value in encodings] != [b"chunked"]:
        return HeadFault(501, "only the chunked transfer encoding is served")
    return None


def origin_form(target: bytes) -> bytes | None:
    """Return a target's path and query without any decoding, or None if the target is malformed."""
    if _ORIGIN_FORM.match(target):
        return target
    absolute = _ABSOLUTE_FORM.match(target)
    return (absolute[2] or b"/") if absolute is not None else None


def host_name(host: str) -> str:
    """Return the host of a host header in lower case, without its port."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()
