"""Binary codec of the cold times of backend servers that daemons exchange."""

from __future__ import annotations

import struct

import attrs

from sycamorebay.coordination.cold_server import MAX_COLD_S

# First byte of a message; see `load_rows` and `limit_rows` for those of other messages.
COLD_TIMES = b"C"
_HEADER = struct.Struct("!cQ")
_ROW = struct.Struct("!IfH")
_AGE_RESOLUTION_S = 0.002
_MAX_AGE_STEPS = 65_535


@attrs.frozen
class ColdRow:
    """What one daemon knows of how long one backend server is cold.

    Attributes
    ----------
    server : int
        Hash of the server's id, see `load_rows.id_hash`.
    cold_s : float
        Time for which the server said that it is still cold, in seconds.
    age_s : float
        Time since it said so, in seconds; it is sent in steps of 2 ms up to 131 s.
    """

    server: int
    cold_s: float
    age_s: float


@attrs.frozen
class ColdMessage:
    """Cold times that one incarnation of a daemon knows."""

    incarnation: int
    rows: tuple[ColdRow, ...]


def encode_cold_times(message: ColdMessage) -> bytes:
    """Return a message's serialized bytes."""
    parts = [_HEADER.pack(COLD_TIMES, message.incarnation)]
    for row in message.rows:
        age = min(_MAX_AGE_STEPS, max(0, round(row.age_s / _AGE_RESOLUTION_S)))
        parts.append(_ROW.pack(row.server, min(MAX_COLD_S, max(0.0, row.cold_s)), age))
    return b"".join(parts)


def decode_cold_times(data: bytes) -> ColdMessage:
    """Return the message that was serialized as `data`.

    Raises
    ------
    ValueError
        If the header or a row is incomplete, or a time is not credible.
    """
    try:
        _, incarnation = _HEADER.unpack_from(data)
        rows = tuple(_decode_row(*row) for row in _ROW.iter_unpack(data[_HEADER.size :]))
    except struct.error as error:
        raise ValueError(f"the cold-time message is incomplete: {error}") from error
    return ColdMessage(incarnation, rows)


def _decode_row(server: int, cold_s: float, age: int) -> ColdRow:
    if not 0.0 <= cold_s <= MAX_COLD_S:
        raise ValueError(f"the cold time {cold_s} s is not credible")
    return ColdRow(server, cold_s, age * _AGE_RESOLUTION_S)
