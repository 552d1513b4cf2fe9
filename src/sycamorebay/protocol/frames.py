"""Frames between entries: thrift in the compact protocol, each with a keyed hash."""

from __future__ import annotations

import hashlib
import hmac

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from sycamorebay.errors import PeerError
from sycamorebay.protocol.generated.peers.ttypes import Envelope

NONCE_BYTES = 32
MAC_BYTES = 32
FRAME_MAC_BYTES = 16
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 2_000_000

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=100_000
)


def encode(envelope: Envelope) -> bytes:
    """Return an envelope's bytes."""
    return serialize(envelope, _FACTORY)


def decode(payload: bytes) -> Envelope:
    """Return the envelope of some bytes.

    Raises
    ------
    PeerError
        Where they are not one envelope.
    """
    try:
        envelope = deserialize(Envelope(), payload, _FACTORY)
    except Exception as error:
        raise PeerError(f"a message could not be decoded: {error}", step="decode") from error
    if envelope.correlation is None or envelope.body is None:
        raise PeerError("a message lacks its body", step="decode")
    return envelope


def handshake_proof(
    secret: bytes, role: bytes, listener_nonce: bytes, dialer_nonce: bytes
) -> bytes:
    """Return the hash by which one side of a new link shows that it has the secret."""
    return hmac.digest(secret, role + listener_nonce + dialer_nonce, hashlib.sha256)


class FrameAuthenticator:
    """Hashes the frames of one direction of a link; a frame counts only in its place."""

    def __init__(self, key: bytes, direction: bytes) -> None:
        self._key = hmac.digest(key, direction, hashlib.sha256)
        self._sequence = 0

    def mac(self, payload: bytes) -> bytes:
        """Return the hash of the next frame."""
        place = self._sequence.to_bytes(8, "big")
        self._sequence += 1
        return hmac.digest(self._key, place + payload, hashlib.sha256)[:FRAME_MAC_BYTES]

    def frame(self, payload: bytes) -> bytes:
        """Return the next frame with its length in front."""
        length = len(payload) + FRAME_MAC_BYTES
        return length.to_bytes(LENGTH_BYTES, "big") + self.mac(payload) + payload

    def open(self, frame: bytes) -> bytes:
        """Return the payload of the next frame.

        Raises
        ------
        PeerError
            Where the hash does not match.
        """
        payload = frame[FRAME_MAC_BYTES:]
        if not hmac.compare_digest(frame[:FRAME_MAC_BYTES], self.mac(payload)):
            raise PeerError("a frame's hash does not match", step="authenticate")
        return payload
