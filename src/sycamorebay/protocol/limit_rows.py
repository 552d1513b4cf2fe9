"""Binary codec of the limits of backend servers that daemons exchange."""

from __future__ import annotations

import math
import struct

import attrs

# First byte of a message; see `load_rows` for those of other messages.
LIMITS = b"R"
_HEADER = struct.Struct("!cQ")
_ROW = struct.Struct("!IfH")
_AGE_RESOLUTION_S = 0.002
_MAX_AGE_STEPS = 65_535
_NO_LIMIT = -1.0
# Larger limits are sent as this one, since a row cannot hold all of them.
_MAX_PER_S = 1e9


@attrs.frozen
class LimitRow:
    """What one daemon knows of one backend server's limit.

    Attributes
    ----------
    server : int
        Hash of the server's id, see `load_rows.id_hash`.
    per_s : float or None
        Requests per second that the server accepts from all daemons together; None if its limit
        has ended.
    age_s : float
        Time since the answer that told so, in seconds; it is sent in steps of 2 ms up to 131 s.
    """

    server: int
    per_s: float | None
    age_s: float


@attrs.frozen
class LimitMessage:
    """Request limits that one incarnation of a daemon knows."""

    incarnation: int
    rows: tuple[LimitRow, ...]


def encode_limits(message: LimitMessage) -> bytes:
    """Return a message's serialized bytes."""
    parts = [_HEADER.pack(LIMITS, message.incarnation)]
    for row in message.rows:
        per_s = _NO_LIMIT if row.per_s is None else min(_MAX_PER_S, row.per_s)
        age = min(_MAX_AGE_STEPS, max(0, round(row.age_s / _AGE_RESOLUTION_S)))
        parts.append(_ROW.pack(row.server, per_s, age))
    return b"".join(parts)


def decode_limits(data: bytes) -> LimitMessage:
    """Return the message that was serialized as `data`.

    Raises
    ------
    ValueError
        If the header or a row is incomplete, or a limit is not a finite number.
    """
    try:
        _, incarnation = _HEADER.unpack_from(data)
        rows = tuple(_decode_row(*row) for row in _ROW.iter_unpack(data[_HEADER.size :]))
    except struct.error as error:
        raise ValueError(f"the limit message has an incomplete header or row: {error}") from error
    return LimitMessage(incarnation, rows)


def _decode_row(server: int, per_s: float, age: int) -> LimitRow:
    if not math.isfinite(per_s):
        raise ValueError(f"the limit {per_s} is not a finite number")
    return LimitRow(server, None if per_s < 0 else per_s, age * _AGE_RESOLUTION_S)
