"""Links between entries: authenticated TCP connections that carry thrift messages."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import os
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from itertools import count

from sycamorebay import log
from sycamorebay.coordination.membership import Member
from sycamorebay.errors import PeerError
from sycamorebay.metrics import Metrics
from sycamorebay.protocol import frames
from sycamorebay.protocol.frames import FrameAuthenticator
from sycamorebay.protocol.generated.peers.ttypes import Body, Envelope, Failed
from sycamorebay.settings import Listen

HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKES = 64
MAX_LINKS = 512
MAX_UNSENT_BYTES = 4_000_000

_log = log.get_logger("peers")

Handler = Callable[[Body], Awaitable[Body | None]]


class Link:
    """One authenticated connection that carries concurrent calls in both directions.

    Correlation ids match answers to calls: positive for a call, negated for its answer, and 0 for
    a message that expects none.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection, after its handshake.
    incoming, outgoing : FrameAuthenticator
        Authenticate the frames of each direction.
    handler : callable
        Returns the answer to a message of the peer, or None for no answer.
    metrics : Metrics
        Counts frames and bytes of each direction.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        incoming: FrameAuthenticator,
        outgoing: FrameAuthenticator,
        handler: Handler,
        metrics: Metrics,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._incoming = incoming
        self._outgoing = outgoing
        self._handler = handler
        self._received = metrics.peer_bytes.labels("in")
        self._sent = metrics.peer_bytes.labels("out")
        self._frames_received = metrics.peer_frames.labels("in")
        self._frames_sent = metrics.peer_frames.labels("out")
        self._ids = count(1)
        self._by_correlation: dict[int, asyncio.Future[Body]] = {}

    def send(self, body: Body) -> None:
        """Send a message that expects no answer.

        Raises
        ------
        PeerError
            If the link is closed, or the peer does not read what was sent.
        """
        self._write(Envelope(0, body))

    async def call(self, body: Body, timeout_s: float) -> Body:
        """Send a message and return its answer.

        Raises
        ------
        PeerError
            If no answer came within `timeout_s` seconds, the peer reported a failure, or the
            link is closed or ended.
        """
        correlation = next(self._ids)
        future: asyncio.Future[Body] = asyncio.get_running_loop().create_future()
        self._by_correlation[correlation] = future
        try:
            self._write(Envelope(correlation, body))
            async with asyncio.timeout(timeout_s):
                answer = await future
        except TimeoutError as error:
            raise PeerError(f"no answer within {timeout_s} s", step="call") from error
        finally:
            del self._by_correlation[correlation]
        if answer.failed is not None:
            raise PeerError(answer.failed.reason, step="call")
        return answer

    def close(self) -> None:
        """Close the connection, which makes `run` return."""
        self._writer.close()

    async def run(self) -> None:
        """Read and handle messages until the connection ends; calls in flight then fail.

        Raises
        ------
        PeerError
            If a frame or message is invalid.
        EOFError, OSError
            If the peer closed the connection, or it failed.
        """
        try:
            while True:
                await self._on_envelope(frames.decode(await self._read()))
        finally:
            for future in self._by_correlation.values():
                if not future.done():
                    future.set_exception(PeerError("the link ended", step="call"))
            self._writer.close()

    async def _on_envelope(self, envelope: Envelope) -> None:
        correlation = envelope.correlation
        if correlation < 0:
            future = self._by_correlation.get(-correlation)
            if future is not None and not future.done():
                future.set_result(envelope.body)
            return
        try:
            answer = await self._handler(envelope.body)
        except (AttributeError, TypeError, ValueError) as error:
            raise PeerError(f"invalid message: {error}", step="handle") from error
        if correlation > 0:
            failed = Body(failed=Failed("no answer to this message"))
            self._write(Envelope(-correlation, answer or failed))

    async def _read(self) -> bytes:
        length = int.from_bytes(await self._reader.readexactly(frames.LENGTH_BYTES), "big")
        if not frames.FRAME_MAC_BYTES < length <= frames.MAX_FRAME_BYTES:
            raise PeerError(
                f"frame of {length} bytes, expected more than {frames.FRAME_MAC_BYTES} and at most "
                f"{frames.MAX_FRAME_BYTES}",
                step="read",
            )
        self._received.inc(length + frames.LENGTH_BYTES)
        self._frames_received.inc()
        return self._incoming.open(await self._reader.readexactly(length))

    def _write(self, envelope: Envelope) -> None:
        if self._writer.is_closing():
            raise PeerError("the link is closed", step="write")
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerError(
                f"more than {MAX_UNSENT_BYTES} bytes are unsent: the peer does not read",
                step="write",
            )
        data = self._outgoing.frame(frames.encode(envelope))
        self._sent.inc(len(data))
        self._frames_sent.inc()
        self._writer.write(data)


async def _accept_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, secrets: list[bytes]
) -> bytes:
    """Authenticate a dialer by one of the shared secrets, and return the key of the session.

    Raises
    ------
    PeerError
        If the dialer proved none of the secrets.
    """
    nonce = os.urandom(frames.NONCE_BYTES)
    writer.write(nonce)
    reply = await reader.readexactly(frames.NONCE_BYTES + frames.MAC_BYTES)
    dialer_nonce = reply[: frames.NONCE_BYTES]
    for secret in secrets:
        expected = frames.handshake_proof(secret, b"dial", nonce, dialer_nonce)
        if hmac.compare_digest(expected, reply[frames.NONCE_BYTES :]):
            writer.write(frames.handshake_proof(secret, b"listen", nonce, dialer_nonce))
            return frames.handshake_proof(secret, b"session", nonce, dialer_nonce)
    raise PeerError("the secret does not match", step="authenticate")


async def _dial_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, secret: bytes
) -> bytes:
    """Authenticate to a listener and verify its proof, and return the key of the session.

    Raises
    ------
    PeerError
        If the listener did not prove the same secret.
    """
    nonce = await reader.readexactly(frames.NONCE_BYTES)
    own_nonce = os.urandom(frames.NONCE_BYTES)
    writer.write(own_nonce + frames.handshake_proof(secret, b"dial", nonce, own_nonce))
    reply = await reader.readexactly(frames.MAC_BYTES)
    if not hmac.compare_digest(reply, frames.handshake_proof(secret, b"listen", nonce, own_nonce)):
        raise PeerError("the secret does not match", step="authenticate")
    return frames.handshake_proof(secret, b"session", nonce, own_nonce)


class PeerNetwork:
    """An entry's listener and its links to its peers.

    Parameters
    ----------
    listen : Listen
        Address and port on which peers connect to this entry.
    secrets : sequence of bytes
        Shared secrets, newest first; read again for each new link, so that they can be rotated.
    handler : callable
        Returns the answer to a message of a peer, or None for no answer.
    metrics : Metrics
        Counts frames, bytes, and dropped links.
    """

    def __init__(
        self, listen: Listen, secrets: Sequence[bytes], handler: Handler, metrics: Metrics
    ) -> None:
        self._listen = listen
        self._secrets = secrets
        self._handler = handler
        self._metrics = metrics
        self._links_by_address: dict[str, Link] = {}
        self._dials_by_address: dict[str, asyncio.Task[Link]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_handshakes = 0

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[PeerNetwork]:
        """Listen for peers, and close every link at the end of the context."""
        server = await asyncio.start_server(
            self._accept, self._listen.address, self._listen.port, backlog=256
        )
        try:
            yield self
        finally:
            server.close()
            tasks = [*self._tasks, *self._dials_by_address.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def link(self, peer: Member) -> Link:
        """Return the open link to a peer, or dial a new one; concurrent calls share a dial.

        Raises
        ------
        PeerError
            If the peer cannot be reached, or shares no secret with this entry.
        """
        link = self._links_by_address.get(peer.address)
        if link is not None:
            return link
        dial = self._dials_by_address.get(peer.address)
        if dial is None:
            dial = asyncio.create_task(self._dial(peer.address))
            self._dials_by_address[peer.address] = dial
            dial.add_done_callback(lambda done: self._on_dial_done(peer.address, done))
        try:
            return await asyncio.shield(dial)
        except (OSError, EOFError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise PeerError(reason, step="connect", peer=peer.id) from error

    def drop(self, peer: Member) -> None:
        """Close the link to a peer that does not answer; the next call of `link` dials again."""
        link = self._links_by_address.pop(peer.address, None)
        if link is not None:
            link.close()

    async def _dial(self, address: str) -> Link:
        last_error = PeerError("no shared secret is configured", step="authenticate")
        for secret in self._secrets:
            try:
                return await self._dial_with(secret, address)
            except (PeerError, asyncio.IncompleteReadError) as error:
                last_error = PeerError(
                    f"no shared secret was accepted: {error}", step="authenticate"
                )
        raise last_error

    async def _dial_with(self, secret: bytes, address: str) -> Link:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
            try:
                key = await _dial_handshake(reader, writer, secret)
            except BaseException:
                writer.close()
                raise
        incoming, outgoing = (
            FrameAuthenticator(key, b"to-dialer"),
            FrameAuthenticator(key, b"to-listener"),
        )
        link = Link(reader, writer, incoming, outgoing, self._handler, self._metrics)
        self._links_by_address[address] = link
        task = self._start_link(link)
        task.add_done_callback(lambda _: self._remove(address, link))
        return link

    def _on_dial_done(self, address: str, dial: asyncio.Task[Link]) -> None:
        self._dials_by_address.pop(address, None)
        if not dial.cancelled():
            dial.exception()

    def _remove(self, address: str, link: Link) -> None:
        if self._links_by_address.get(address) is link:
            del self._links_by_address[address]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open_handshakes >= MAX_HANDSHAKES or len(self._tasks) >= MAX_LINKS:
            self._reject_dialer(writer, "too many links", "crowded")
            return
        self._open_handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                key = await _accept_handshake(reader, writer, list(self._secrets))
        except (OSError, EOFError, TimeoutError, PeerError) as error:
            self._reject_dialer(writer, str(error) or type(error).__name__, "stranger")
            return
        finally:
            self._open_handshakes -= 1
        incoming, outgoing = (
            FrameAuthenticator(key, b"to-listener"),
            FrameAuthenticator(key, b"to-dialer"),
        )
        self._start_link(Link(reader, writer, incoming, outgoing, self._handler, self._metrics))

    def _reject_dialer(self, writer: asyncio.StreamWriter, reason: str, kind: str) -> None:
        self._metrics.peers_dropped.labels(kind).inc()
        _log.warning("dialer dropped", reason=reason)
        writer.close()

    def _start_link(self, link: Link) -> asyncio.Task[None]:
        task = asyncio.create_task(self._run_link(link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_link(self, link: Link) -> None:
        try:
            await link.run()
        except (OSError, EOFError):
            pass
        except PeerError as error:
            self._metrics.peers_dropped.labels(error.step).inc()
            _log.warning("link dropped", step=error.step, reason=str(error))
