"""Binary codec of the loads of backend servers that daemons exchange, 11 bytes per server."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

import attrs

from sycamorebay.coordination.server_load import ServerReport

# First byte of a message; JSON messages begin with a brace, and zlib data with neither of these.
CHANGED_LOADS = b"L"
COMPLETE_LOADS = b"F"
_HEADER = struct.Struct("!cQ")
_ROW = struct.Struct("!IBBBBHB")
_SLOWDOWN_STEPS = 100
_AGE_RESOLUTION_S = 0.002
_NO_REPORT_AGE = 255


@attrs.frozen
class LoadRow:
    """One backend server's load as one daemon sees it.

    Counts are sent in one byte, so larger ones arrive as 255.

    Attributes
    ----------
    server : int
        Hash of the server's id, see `id_hash`.
    in_flight : int
        Requests that the daemon itself has in flight there.
    failures : int
        Requests of the daemon that failed there since its last message.
    report : ServerReport or None
        The server's own load report, if the daemon has a new one.
    age_s : float
        Age of the report, in seconds; it is sent in steps of 2 ms up to 508 ms.
    """

    server: int
    in_flight: int
    failures: int = 0
    report: ServerReport | None = None
    age_s: float = 0.0


@attrs.frozen
class LoadMessage:
    """Loads that one incarnation of a daemon sends.

    Attributes
    ----------
    incarnation : int
        Number that distinguishes the daemon's starts.
    complete : bool
        Whether the daemon has no requests in flight at servers without a row.
    rows : tuple of LoadRow
        Loads, one row per server.
    """

    incarnation: int
    complete: bool
    rows: tuple[LoadRow, ...]


def id_hash(server_id: str) -> int:
    """Return the CRC-32 of a server's id; collisions are possible but rare."""
    return zlib.crc32(server_id.encode())


def encode_loads(message: LoadMessage) -> bytes:
    """Return a message's serialized bytes."""
    parts = [
        _HEADER.pack(COMPLETE_LOADS if message.complete else CHANGED_LOADS, message.incarnation)
    ]
    parts += [_encode_row(row) for row in message.rows]
    return b"".join(parts)


def decode_loads(data: bytes) -> LoadMessage:
    """Return the message that was serialized as `data`.

    Raises
    ------
    ValueError
        If the header or a row is incomplete.
    """
    try:
        kind, incarnation = _HEADER.unpack_from(data)
        rows = tuple(_decode_row(row) for row in _ROW.iter_unpack(data[_HEADER.size :]))
    except struct.error as error:
        raise ValueError(f"the load message has an incomplete header or row: {error}") from error
    return LoadMessage(incarnation, kind == COMPLETE_LOADS, rows)


def _encode_row(row: LoadRow) -> bytes:
    running = waiting = slowdown = 0
    age = _NO_REPORT_AGE
    if row.report is not None:
        running, waiting = _clamp_to_byte(row.report.running), _clamp_to_byte(row.report.waiting)
        slowdown = min(65_535, round(row.report.slowdown * _SLOWDOWN_STEPS))
        age = min(_NO_REPORT_AGE - 1, round(row.age_s / _AGE_RESOLUTION_S))
    in_flight, failures = _clamp_to_byte(row.in_flight), _clamp_to_byte(row.failures)
    return _ROW.pack(row.server, in_flight, failures, running, waiting, slowdown, age)


def _decode_row(fields: tuple[int, ...]) -> LoadRow:
    server, in_flight, failures, running, waiting, slowdown, age = fields
    if age == _NO_REPORT_AGE:
        return LoadRow(server, in_flight, failures)
    report = ServerReport(running, waiting, slowdown / _SLOWDOWN_STEPS)
    return LoadRow(server, in_flight, failures, report, age * _AGE_RESOLUTION_S)


def _clamp_to_byte(value: int) -> int:
    return max(0, min(255, value))


def rows_in_flight(loads: Iterable[tuple[str, int]]) -> tuple[LoadRow, ...]:
    """Return rows without reports for the servers that have requests in flight.

    Parameters
    ----------
    loads : iterable of (str, int)
        Server ids with the number of requests in flight there.
    """
    return tuple(LoadRow(id_hash(server_id), count) for server_id, count in loads if count)
