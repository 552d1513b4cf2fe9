"""Refusals as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import http
import json

from sycamorebay.outcomes import Refusal
from sycamorebay.protocol import header_names
from sycamorebay.protocol.header_names import Headers

MEDIA_TYPE = "application/problem+json"


def problem_headers(refusal: Refusal, request_id: str) -> Headers:
    """Return the headers of a refusal, without ``content-length``."""
    return [
        ("content-type", MEDIA_TYPE),
        ("retry-after", str(refusal.retry_after_s)),
        (header_names.OUTCOME, refusal.tag),
        (header_names.REQUEST_ID, request_id),
    ]


def problem_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    problem = {
        "type": f"urn:sycamorebay:{refusal.tag}",
        "title": "Not run" if refusal.tag == "not-run" else "Outcome unknown",
        "status": refusal.status,
        "detail": refusal.reason,
        "outcome": refusal.tag,
        "step": refusal.step,
        "peer": refusal.peer,
        "request_id": request_id,
    }
    return json.dumps(problem).encode()


def raw_refusal(refusal: Refusal) -> bytes:
    """Return a refusal as a whole HTTP/1.1 message that closes its connection."""
    body = problem_body(refusal, "")
    headers = problem_headers(refusal, "")[:-1]
    headers += [("content-length", str(len(body))), ("connection", "close")]
    lines = [f"HTTP/1.1 {refusal.status} {http.HTTPStatus(refusal.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
