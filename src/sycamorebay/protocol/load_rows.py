"""Loads of backend servers as daemons tell them to each other: a few bytes a server."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

import attrs

from sycamorebay.coordination.server_load import ServerReport

# Tells these messages from those in JSON, which begin with a brace, and from compressed ones.
CHANGED = b"L"
COMPLETE = b"F"
_HEAD = struct.Struct("!cQ")
_ROW = struct.Struct("!IBBBBHB")
_SLOWDOWN_STEPS = 100
_AGE_STEP_S = 0.002
_NO_REPORT = 255


@attrs.frozen
class LoadRow:
    """One server's load as one daemon knows it.

    Attributes
    ----------
    server : int
        Short name of the server, see `id_hash`.
    in_flight : int
        The daemon's own requests there.
    failures : int
        Requests that failed there since the last message.
    report : ServerReport or None
        The server's word, where the daemon has a new one.
    age_s : float
        Age of that word in seconds.
    """

    server: int
    in_flight: int
    failures: int = 0
    report: ServerReport | None = None
    age_s: float = 0.0


@attrs.frozen
class LoadMessage:
    """Loads told by one start of a daemon.

    Attributes
    ----------
    incarnation : int
        Tells the daemon's starts apart.
    complete : bool
        Whether the daemon has nothing in flight at servers that aren't named.
    rows : tuple of LoadRow
        The loads.
    """

    incarnation: int
    complete: bool
    rows: tuple[LoadRow, ...]


def id_hash(server_id: str) -> int:
    """Return a server's name in four bytes; two servers hardly ever share one."""
    return zlib.crc32(server_id.encode())


def encode_loads(message: LoadMessage) -> bytes:
    """Return a message's bytes."""
    parts = [_HEAD.pack(COMPLETE if message.complete else CHANGED, message.incarnation)]
    parts += [_row(row) for row in message.rows]
    return b"".join(parts)


def decode_loads(data: bytes) -> LoadMessage:
    """Return the message of some bytes.

    Raises
    ------
    ValueError
        Where they are none.
    """
    try:
        kind, incarnation = _HEAD.unpack_from(data)
        rows = tuple(_read_row(row) for row in _ROW.iter_unpack(data[_HEAD.size :]))
    except struct.error as error:
        raise ValueError(f"not a message of loads: {error}") from error
    return LoadMessage(incarnation, kind == COMPLETE, rows)


def _row(row: LoadRow) -> bytes:
    running = waiting = slowdown = 0
    age = _NO_REPORT
    if row.report is not None:
        running, waiting = _byte(row.report.running), _byte(row.report.waiting)
        slowdown = min(65_535, round(row.report.slowdown * _SLOWDOWN_STEPS))
        age = min(_NO_REPORT - 1, round(row.age_s / _AGE_STEP_S))
    in_flight, failures = _byte(row.in_flight), _byte(row.failures)
    return _ROW.pack(row.server, in_flight, failures, running, waiting, slowdown, age)


def _read_row(fields: tuple[int, ...]) -> LoadRow:
    server, in_flight, failures, running, waiting, slowdown, age = fields
    if age == _NO_REPORT:
        return LoadRow(server, in_flight, failures)
    report = ServerReport(running, waiting, slowdown / _SLOWDOWN_STEPS)
    return LoadRow(server, in_flight, failures, report, age * _AGE_STEP_S)


def _byte(value: int) -> int:
    return max(0, min(255, value))


def rows_in_flight(loads: Iterable[tuple[str, int]]) -> tuple[LoadRow, ...]:
    """Return rows of what is in flight, without reports."""
    return tuple(LoadRow(id_hash(server_id), count) for server_id, count in loads if count)
