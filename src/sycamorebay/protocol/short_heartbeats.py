"""Binary codec of short heartbeats, which relays send each other between complete ones.

A short heartbeat holds only what changes while a daemon runs. Its receiver has the rest from a
complete heartbeat of the same sender, which it knows by its address and incarnation.
"""

from __future__ import annotations

import struct

import attrs

from sycamorebay.decoding import UndecodableError
from sycamorebay.protocol.peer_messages import PROTOCOL_VERSION, Heartbeat, OtherVersionError
from sycamorebay.state.store_versions import StoreVersion

# First byte of a message; see `load_rows` for those of other messages.
SHORT_HEARTBEAT = b"H"
# Kind, protocol, incarnation, era, revision, kept, age, interval, leaves, fleet, relays and reach.
_FORM = struct.Struct("!cBIHIBHHHHB")
_INCARNATION_MASK = 0xFFFF_FFFF
_TIME_RESOLUTION_S = 0.001
# Greater ages are sent as this one and read as a copy that was never confirmed.
_MAX_AGE_STEPS = 65_535
_NEVER_CONFIRMED_S = 1e6


@attrs.frozen
class ShortHeartbeat:
    """The part of a heartbeat that changes; the attributes are as in `Heartbeat`.

    The incarnation is that of the sender, modulo 2**32.
    """

    incarnation: int
    version: StoreVersion
    kept: int
    confirmed_age_s: float
    interval_s: float
    leaves: int
    fleet_size: int
    relays: int
    reaches_store: bool

    def is_of(self, incarnation: int) -> bool:
        """Return whether it was sent by this incarnation of its sender."""
        return self.incarnation == incarnation & _INCARNATION_MASK


def encode_short(heartbeat: Heartbeat) -> bytes | None:
    """Return the short form of a heartbeat; None if a number does not fit into it."""
    try:
        return _FORM.pack(
            SHORT_HEARTBEAT,
            PROTOCOL_VERSION,
            heartbeat.incarnation & _INCARNATION_MASK,
            heartbeat.version.era,
            heartbeat.version.revision,
            heartbeat.kept,
            min(_MAX_AGE_STEPS, round(heartbeat.confirmed_age_s / _TIME_RESOLUTION_S)),
            round(heartbeat.interval_s / _TIME_RESOLUTION_S),
            heartbeat.leaves,
            heartbeat.fleet_size,
            heartbeat.relays << 1 | heartbeat.reaches_store,
        )
    except struct.error:
        return None


def decode_short(data: bytes) -> ShortHeartbeat:
    """Return the short heartbeat that was encoded as `data`.

    Raises
    ------
    OtherVersionError
        If it is of another version of the protocol.
    UndecodableError
        If it is not a short heartbeat.
    """
    if len(data) > 1 and data[1] != PROTOCOL_VERSION:
        raise OtherVersionError(f"protocol version {data[1]}")
    try:
        fields = _FORM.unpack(data)
    except struct.error as error:
        raise UndecodableError(f"short heartbeat: {error}") from error
    kind, _, incarnation, era, revision, kept, age, interval, leaves, fleet_size, rest = fields
    if kind != SHORT_HEARTBEAT:
        raise UndecodableError(f"unknown kind of message: {kind!r}")
    return ShortHeartbeat(
        incarnation,
        StoreVersion(era, revision),
        kept,
        _NEVER_CONFIRMED_S if age == _MAX_AGE_STEPS else age * _TIME_RESOLUTION_S,
        interval * _TIME_RESOLUTION_S,
        leaves,
        fleet_size,
        rest >> 1,
        bool(rest & 1),
    )
