"""Links between entries, and the encoding of their messages.

Guards against dialers without the shared secret, against forged, replayed, oversized and malformed
frames, and against messages of other releases.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import struct

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from sycamorebay import log
from sycamorebay.coordination.configuration import Configuration
from sycamorebay.coordination.leaving import LeavingNotice
from sycamorebay.coordination.membership import Member
from sycamorebay.errors import PeerError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol import frames
from sycamorebay.protocol.documents import compress_document, decompress_document
from sycamorebay.protocol.generated.peers.ttypes import Body, Envelope, FetchDocument, Heartbeat
from sycamorebay.protocol.heartbeats import (
    OLDEST_VERSION,
    VERSION,
    build_heartbeat,
    decode_members,
    decode_notices,
    validate_heartbeat,
)
from sycamorebay.settings import Listen, LogSettings
from sycamorebay.state.document import MAX_DOCUMENT_BYTES
from sycamorebay.transport.peering.peers import PeerNetwork
from tests.support import asynchronous

log.configure(LogSettings(level="critical"))

OLD, NEW = b"the old shared secret", b"the new shared secret"
OWN = Member("entry-1", 5, "127.0.0.1:7000", "a")
ADDRESS = f"127.{os.getpid() // 250 % 250 + 2}.{os.getpid() % 250 + 1}.252"
PORT = 7100


def heartbeat(**changes) -> Heartbeat:
    made = build_heartbeat(OWN, Configuration(), [LeavingNotice("s", 1.5)], [OWN])
    for name, value in changes.items():
        setattr(made, name, value)
    return made


class Peer:
    """A listener that answers each heartbeat with a heartbeat."""

    def __init__(self, port: int, *secrets: bytes) -> None:
        self.metrics = Metrics()
        self.member = Member(f"entry-{port}", 1, f"{ADDRESS}:{port}", "a")
        listen = Listen(ADDRESS, port)
        self.secrets = list(secrets)
        self.network = PeerNetwork(listen, self.secrets, self.answer, self.metrics)
        self.heartbeats_received = 0

    async def answer(self, body: Body) -> Body:
        validate_heartbeat(body.heartbeat)
        self.heartbeats_received += 1
        return Body(heartbeat=heartbeat())

    def dropped(self, reason: str) -> float:
        return self.metrics.peers_dropped.labels(reason)._value.get()


@contextlib.asynccontextmanager
async def peers(first: tuple[bytes, ...], second: tuple[bytes, ...]):
    a, b = Peer(PORT, *first), Peer(PORT + 1, *second)
    async with a.network.open(), b.network.open():
        yield a, b


async def exchange(a: Peer, b: Peer) -> Body:
    link = await a.network.link(b.member)
    return await link.call(Body(heartbeat=heartbeat()), 2.0)


async def until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class SecretsTest(testtools.TestCase):
    @asynchronous
    async def test_secrets_rotate_with_two_secrets_in_any_order(self):
        for first, second in (
            ((OLD,), (OLD, NEW)),
            ((OLD, NEW), (NEW, OLD)),
            ((NEW, OLD), (OLD, NEW)),
            ((NEW,), (NEW, OLD)),
        ):
            async with peers(first, second) as (a, b):
                self.assertIsNotNone((await exchange(a, b)).heartbeat)
                self.assertIsNotNone((await exchange(b, a)).heartbeat)

    @asynchronous
    async def test_a_dialer_without_the_secret_is_dropped_and_counted(self):
        async with peers((OLD,), (NEW,)) as (a, b):
            error = await failure(exchange(a, b))
            self.assertEqual("authenticate", error.step)
            await until(lambda: b.dropped("stranger") == 1)
            self.assertEqual(0, b.heartbeats_received)

    @asynchronous
    async def test_a_changed_secret_applies_to_the_next_link(self):
        async with peers((OLD,), (OLD,)) as (a, b):
            await exchange(a, b)
            a.secrets[:] = b.secrets[:] = [NEW]
            await exchange(a, b)
            a.network.drop(b.member)
            self.assertIsNotNone((await exchange(a, b)).heartbeat)
            self.assertEqual(3, b.heartbeats_received)


class InvalidFramesTest(testtools.TestCase):
    async def check_link_ends_after(self, data: bytes, reason: str) -> None:
        """Write raw bytes to an authenticated link; check that it ends and is counted."""
        async with peers((OLD,), (OLD,)) as (a, b):
            link = await a.network.link(b.member)
            await link.call(Body(heartbeat=heartbeat()), 2.0)
            link._writer.write(data)
            await until(lambda: b.dropped(reason) == 1)
            self.assertEqual(1, b.heartbeats_received)
            await until(lambda: b.member.address not in a.network._links_by_address)
            self.assertIsNotNone((await exchange(a, b)).heartbeat)

    @asynchronous
    async def test_an_oversized_frame_ends_the_link(self):
        await self.check_link_ends_after(struct.pack(">I", frames.MAX_FRAME_BYTES + 1), "read")

    @asynchronous
    async def test_a_forged_frame_ends_the_link(self):
        payload = frames.encode(Envelope(0, Body(heartbeat=heartbeat())))
        forged = struct.pack(">I", len(payload) + frames.FRAME_MAC_BYTES)
        await self.check_link_ends_after(
            forged + b"m" * frames.FRAME_MAC_BYTES + payload, "authenticate"
        )

    @asynchronous
    async def test_an_envelope_without_a_body_ends_the_link(self):
        async with peers((OLD,), (OLD,)) as (a, b):
            link = await a.network.link(b.member)
            link._write(Envelope(1, None))
            await until(lambda: b.dropped("decode") == 1)

    @asynchronous
    async def test_a_message_that_a_handler_fails_on_ends_the_link(self):
        async with peers((OLD,), (OLD,)) as (a, b):
            link = await a.network.link(b.member)
            link.send(Body(fetch_document=FetchDocument(1)))
            await until(lambda: b.dropped("handle") == 1)

    @asynchronous
    async def test_a_replayed_frame_ends_the_link(self):
        async with peers((OLD,), (OLD,)) as (a, b):
            link = await a.network.link(b.member)
            written = []
            write = link._writer.write
            link._writer.write = lambda data: (written.append(data), write(data))
            await link.call(Body(heartbeat=heartbeat()), 2.0)
            write(written[0])
            await until(lambda: b.dropped("authenticate") == 1)
            self.assertEqual(1, b.heartbeats_received)

    @asynchronous
    async def test_a_dialer_that_sends_nothing_is_dropped(self):
        async with peers((OLD,), (OLD,)) as (_, b):
            _, writer = await asyncio.open_connection(ADDRESS, PORT + 1)
            await until(lambda: b.dropped("stranger") == 1)
            writer.close()


class ReleasesTest(testtools.TestCase):
    def test_a_later_release_that_supports_this_version_is_accepted(self):
        made = heartbeat(version=VERSION + 1, oldest_version=VERSION)
        self.assertEqual(OWN, validate_heartbeat(made))

    def test_a_release_without_a_common_version_is_refused(self):
        for changes in ({"oldest_version": VERSION + 1}, {"version": OLDEST_VERSION - 1}):
            error = self.assertRaises(PeerError, validate_heartbeat, heartbeat(**changes))
            self.assertEqual("version", error.step)

    def test_fields_of_a_later_release_are_skipped(self):
        buffer = TMemoryBuffer()
        protocol = TCompactProtocol(buffer)
        protocol.writeStructBegin("FetchDocument")
        protocol.writeFieldBegin("newer_than", TType.I64, 1)
        protocol.writeI64(7)
        protocol.writeFieldEnd()
        protocol.writeFieldBegin("later", TType.STRING, 40)
        protocol.writeString("unknown here")
        protocol.writeFieldEnd()
        protocol.writeFieldStop()
        protocol.writeStructEnd()
        read = FetchDocument()
        read.read(TCompactProtocol(TMemoryBuffer(buffer.getvalue())))
        self.assertEqual(7, read.newer_than)

    def test_malformed_heartbeats_are_refused(self):
        wire = heartbeat().sender
        for name, value in (("address", "nowhere"), ("id", ""), ("id", "x" * 65)):
            made = heartbeat()
            setattr(made.sender, name, value)
            self.assertRaises(PeerError, validate_heartbeat, made)
        self.assertRaises(PeerError, validate_heartbeat, heartbeat(sender=None))
        self.assertRaises(PeerError, validate_heartbeat, heartbeat(revision=-1))
        self.assertEqual([LeavingNotice("s", 1.5)], decode_notices(heartbeat()))
        self.assertEqual([OWN], decode_members(heartbeat(sender=wire)))


class CodecTest(testtools.TestCase):
    @given(st.binary(max_size=300))
    @settings(derandomize=True, max_examples=500, deadline=None)
    def test_random_bytes_decode_or_raise_a_peer_error(self, random_bytes):
        with contextlib.suppress(PeerError):
            envelope = frames.decode(random_bytes)
            if envelope.body is not None and envelope.body.heartbeat is not None:
                decode_members(envelope.body.heartbeat)
                validate_heartbeat(envelope.body.heartbeat)

    @given(st.data())
    @settings(derandomize=True, max_examples=500, deadline=None)
    def test_a_damaged_heartbeat_decodes_or_raises_a_peer_error(self, data):
        payload = bytearray(frames.encode(Envelope(3, Body(heartbeat=heartbeat()))))
        for _ in range(data.draw(st.integers(1, 4))):
            payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
        with contextlib.suppress(PeerError):
            envelope = frames.decode(bytes(payload))
            if envelope.body is not None and envelope.body.heartbeat is not None:
                validate_heartbeat(envelope.body.heartbeat)
                decode_members(envelope.body.heartbeat)
                decode_notices(envelope.body.heartbeat)

    @given(st.binary(max_size=200))
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_a_packed_document_unpacks_and_random_bytes_raise_a_peer_error(self, text):
        self.assertEqual(text, decompress_document(compress_document(text)))
        with contextlib.suppress(PeerError):
            decompress_document(text)

    def test_the_unpacked_size_of_a_document_is_bounded(self):
        self.assertRaises(
            PeerError, decompress_document, compress_document(b"\0" * (MAX_DOCUMENT_BYTES + 1))
        )
        self.assertRaises(PeerError, decompress_document, compress_document(b"whole")[:-2])


async def failure(awaitable) -> PeerError:
    try:
        await awaitable
    except PeerError as error:
        return error
    raise AssertionError("no error")
