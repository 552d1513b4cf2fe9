"""HTTP header names in lower case, types of header lists, and statuses without a body."""

from __future__ import annotations

DEADLINE = "sycamorebay-deadline-ms"
ATTEMPT = "sycamorebay-attempt"
OUTCOME = "sycamorebay-outcome"
LEAVING = "sycamorebay-leaving"
REQUEST_ID = "x-request-id"
IDEMPOTENCY_KEY = "idempotency-key"

Headers = list[tuple[str, str]]
RawHeaders = list[tuple[bytes, bytes]]

BODILESS_STATUSES = (204, 304)
