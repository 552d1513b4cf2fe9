"""Refusals as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import json

from sycamorebay.outcomes import Refusal

MEDIA_TYPE = "application/problem+json"


def problem_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the body of a refusal."""
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
