"""Names of the product's own HTTP headers, in lower case."""

from __future__ import annotations

DEADLINE = "sycamorebay-deadline-ms"
ATTEMPT = "sycamorebay-attempt"
OUTCOME = "sycamorebay-outcome"
LEAVING = "sycamorebay-leaving"
REQUEST_ID = "x-request-id"
IDEMPOTENCY_KEY = "idempotency-key"

Headers = list[tuple[str, str]]
