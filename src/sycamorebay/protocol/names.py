"""Names of the product's own HTTP headers, in lower case, and what HTTP says of all messages."""

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
