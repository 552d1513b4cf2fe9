"""The platform's HTTP headers that carry metadata of requests and answers."""

from __future__ import annotations

import math

from sycamorebay.coordination.announcements import is_credible_rest
from sycamorebay.coordination.cold_server import MAX_COLD_S
from sycamorebay.coordination.server_load import ServerReport
from sycamorebay.protocol.header_codec import AnswerMetadata, RequestMetadata, SendMetadata
from sycamorebay.protocol.header_names import RawHeaders

_REQUEST_ID = b"sycamorebay-request-id"
_DEADLINE = b"sycamorebay-deadline-ms"
_TARGET = b"sycamorebay-target-instance"
_NOT_RUN = b"sycamorebay-not-executed"
_SIGNATURE = b"sycamorebay-server-sig"
_LOAD = b"sycamorebay-load"
_SERVER_ID = b"sycamorebay-instance-id"
# The platform's pages spell this name without the prefix that the other names have.
_LIMITS = (b"server-limit", b"sycamorebay-server-limit")
# As with the limit, the name may be spelled with the prefix.
_LEAVING = (b"server-leaving", b"sycamorebay-server-leaving")
_COLD = b"sycamorebay-cold-ms"
_REST = b"retry-after"
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"bearer"
# The platform's word for a client account is tenant.
_ACCOUNT = b"sycamorebay-tenant"
_METADATA_NAMES = frozenset(
    {_REQUEST_ID, _DEADLINE, _TARGET, _NOT_RUN, _SIGNATURE, _LOAD, _SERVER_ID, _COLD}
    | {*_LIMITS, *_LEAVING}
)
_REPLACED = frozenset({_DEADLINE, _TARGET})
# The load header gives the slowdown in hundredths.
_USUAL_SLOWDOWN = 100.0


class PlatformHeaderCodec:
    """The `HeaderCodec` of the platform."""

    metadata_names = _METADATA_NAMES

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Return the metadata in a caller's headers."""
        by_name = dict(headers)
        request_id = by_name.get(_REQUEST_ID, b"").decode("latin-1")
        return RequestMetadata(request_id, _deadline_s(by_name.get(_DEADLINE)), _key(headers))

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMetadata:
        """Return the metadata in the status and headers of a backend server's answer."""
        by_name = dict(headers)
        rest = by_name.get(_REST) if status == 503 else None
        rest_s = _seconds(rest)
        return AnswerMetadata(
            request_id=by_name.get(_REQUEST_ID, b"").decode("latin-1"),
            server_id=by_name.get(_SERVER_ID, b"").decode("latin-1"),
            # A server other than the target never runs the request, and answers 421 without the
            # header.
            not_run=_NOT_RUN in by_name or status == 421,
            signed=_SIGNATURE in by_name,
            report=_report(by_name.get(_LOAD)),
            requests_per_s=_requests_per_s(by_name),
            leaving=any(name in _LEAVING and value.strip() == b"1" for name, value in headers),
            rest_s=rest_s,
            rest_is_unreadable=rest is not None and rest_s is None,
            cold_s=_cold_s(by_name.get(_COLD)),
        )

    def outgoing_headers(self, headers: RawHeaders, metadata: SendMetadata) -> RawHeaders:
        """Return a caller's headers with the target, the remaining time and the account."""
        kept = [pair for pair in headers if pair[0] not in _REPLACED]
        if metadata.has_accounts:
            kept = [pair for pair in kept if pair[0] != _ACCOUNT and not _carries_key(*pair)]
        kept.append((_DEADLINE, b"%d" % max(1, int(metadata.deadline_s * 1000))))
        kept.append((_TARGET, metadata.server_id.encode("latin-1")))
        if metadata.account is not None:
            kept.append((_ACCOUNT, metadata.account.encode("latin-1")))
        return kept


def _key(headers: RawHeaders) -> str | None:
    """Decode the key of a client account; None unless exactly one header carries one."""
    values = [value for name, value in headers if name == _AUTHORIZATION]
    if len(values) != 1 or not _carries_key(_AUTHORIZATION, values[0]):
        return None
    try:
        return values[0].partition(b" ")[2].strip(b" \t").decode() or None
    except UnicodeDecodeError:
        return None


def _carries_key(name: bytes, value: bytes) -> bool:
    return name == _AUTHORIZATION and value.partition(b" ")[0].lower() == _KEY_SCHEME


def _deadline_s(value: bytes | None) -> float | None:
    deadline_ms = _number(value)
    return max(0.0, deadline_ms / 1000) if deadline_ms is not None else None


def _cold_s(value: bytes | None) -> float | None:
    """Decode for how long a server is cold; None if it is missing, malformed or not credible."""
    cold_ms = _number(value)
    if cold_ms is None or not 0 <= cold_ms / 1000 <= MAX_COLD_S:
        return None
    return cold_ms / 1000


def _number(value: bytes | None) -> float | None:
    """Decode a finite number; None if it is missing or malformed."""
    try:
        number = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _seconds(value: bytes | None) -> float | None:
    """Decode a number of seconds; None if it is missing, malformed or not credible."""
    try:
        seconds = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return seconds if is_credible_rest(seconds) else None


def _requests_per_s(by_name: dict[bytes, bytes]) -> float | None:
    """Decode a server's limit; None if the header is missing or malformed."""
    value = next((by_name[name] for name in _LIMITS if name in by_name), None)
    try:
        per_s = None if value is None else float(value)
    except ValueError:
        return None
    return per_s if per_s is not None and math.isfinite(per_s) and per_s >= 0 else None


def _report(value: bytes | None) -> ServerReport | None:
    """Decode a load report: running and queued requests, slots, and slowdown in hundredths.

    Return None if the header is missing or malformed. The slots are not used.
    """
    if value is None:
        return None
    try:
        numbers = [float(part) for part in value.split(b",")]
        if not all(math.isfinite(number) and number >= 0 for number in numbers):
            return None
        slowdown = numbers[3] / _USUAL_SLOWDOWN if len(numbers) > 3 else 1.0
        return ServerReport(int(numbers[0]), int(numbers[1]), max(0.1, slowdown))
    except (ValueError, IndexError):
        return None
