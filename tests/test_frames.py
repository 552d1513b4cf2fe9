from __future__ import annotations

import testtools

from sycamorebay.errors import PeerError
from sycamorebay.protocol import frames
from sycamorebay.protocol.frames import FrameAuthenticator
from sycamorebay.protocol.generated.peers.ttypes import Body, Envelope, Inquire


class FramesTest(testtools.TestCase):
    def test_encoding_an_envelope_round_trips(self):
        envelope = Envelope(7, Body(inquire=Inquire("key")))
        self.assertEqual(envelope, frames.decode(frames.encode(envelope)))

    def test_undecodable_bytes_raise_a_peer_error(self):
        self.assertRaises(PeerError, frames.decode, b"\xff" * 20)

    def test_a_replayed_or_changed_frame_is_rejected(self):
        sender, receiver = FrameAuthenticator(b"k" * 32, b"d"), FrameAuthenticator(b"k" * 32, b"d")
        frame = sender.frame(b"payload")[frames.LENGTH_BYTES :]
        self.assertEqual(b"payload", receiver.open(frame))
        self.assertRaises(PeerError, receiver.open, frame)
        changed = bytearray(sender.frame(b"payload")[frames.LENGTH_BYTES :])
        changed[-1] ^= 1
        self.assertRaises(PeerError, receiver.open, bytes(changed))
