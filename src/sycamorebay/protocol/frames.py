"""Framing of messages between entries: a length, a MAC and Thrift's compact serialization."""

from __future__ import annotations

import hashlib
import hmac

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from sycamorebay.errors import PeerError
from sycamorebay.protocol.generated.peers.ttypes import Envelope

NONCE_BYTES = 32
# Length of a handshake proof; the MACs of frames are truncated.
MAC_BYTES = 32
FRAME_MAC_BYTES = 16
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 2_000_000

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=100_000
)


def encode(envelope: Envelope) -> bytes:
    """Return an envelope's serialized bytes."""
    return serialize(envelope, _PROTOCOL_FACTORY)


def decode(payload: bytes) -> Envelope:
    """Return the envelope that was serialized as `payload`.

    Raises
    ------
    PeerError
        If the bytes are no envelope or the envelope lacks its correlation or its body.
    """
    try:
        envelope = deserialize(Envelope(), payload, _PROTOCOL_FACTORY)
    except Exception as error:
        raise PeerError(f"the message can't be deserialized: {error}", step="decode") from error
    if envelope.correlation is None or envelope.body is None:
        raise PeerError("the message lacks its correlation or its body", step="decode")
    return envelope


def handshake_proof(
    secret: bytes, role: bytes, listener_nonce: bytes, dialer_nonce: bytes
) -> bytes:
    """Return the MAC by which one side of a new link proves that it has the shared secret.

    With the role ``session`` the MAC is the key of the link's frames.

    Parameters
    ----------
    secret : bytes
        Shared secret.
    role : bytes
        ``dial``, ``listen`` or ``session``; it keeps one side's proof from being replayed as the
        other's.
    listener_nonce, dialer_nonce : bytes
        Random values of the two sides, `NONCE_BYTES` each.
    """
    return hmac.digest(secret, role + listener_nonce + dialer_nonce, hashlib.sha256)


class FrameAuthenticator:
    """Authenticates the frames of one direction of a link.

    The MAC covers the frame's sequence number, so a replayed or reordered frame fails, and so does
    the frame after a missing one.

    Parameters
    ----------
    key : bytes
        Session key of the link.
    direction : bytes
        Name of the direction; each direction has a MAC key of its own.
    """

    def __init__(self, key: bytes, direction: bytes) -> None:
        self._key = hmac.digest(key, direction, hashlib.sha256)
        self._sequence = 0

    def mac(self, payload: bytes) -> bytes:
        """Return the MAC of the next frame's payload and advance the sequence number."""
        sequence_bytes = self._sequence.to_bytes(8, "big")
        self._sequence += 1
        return hmac.digest(self._key, sequence_bytes + payload, hashlib.sha256)[:FRAME_MAC_BYTES]

    def frame(self, payload: bytes) -> bytes:
        """Return the next frame: its length, its MAC and the payload."""
        length = len(payload) + FRAME_MAC_BYTES
        return length.to_bytes(LENGTH_BYTES, "big") + self.mac(payload) + payload

    def open(self, frame: bytes) -> bytes:
        """Return the payload of the next frame, which is given without its length.

        Raises
        ------
        PeerError
            If the MAC does not match.
        """
        payload = frame[FRAME_MAC_BYTES:]
        if not hmac.compare_digest(frame[:FRAME_MAC_BYTES], self.mac(payload)):
            raise PeerError("the frame's MAC does not match", step="authenticate")
        return payload
