"""Inquiries: this entry's to its peers, and theirs to this entry."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.operation_messages import Ask, Inquire, Inquiry, InquiryReply, Settled
from sycamorebay.coordination.operations import Operations
from sycamorebay.coordination.ranges import EntryRange
from sycamorebay.errors import PeerError, PlatformError
from sycamorebay.protocol.generated.peers.ttypes import Body
from sycamorebay.protocol.inquiries import (
    decode_inquiry,
    decode_reply,
    encode_inquiry,
    encode_reply,
)
from sycamorebay.transport.peering.peers import PeerNetwork

ASK_TIMEOUT_S = 0.5
LIST_TIMEOUT_S = 0.5


ReadRanges = Callable[[], Awaitable[tuple[EntryRange, ...]]]


class DeadPeerError(PeerError):
    """The process that was asked has ended."""


class Peers(Protocol):
    """Reaches the other entries that may have run a key."""

    async def ranges(self) -> tuple[EntryRange, ...]:
        """Return the registered ranges, read after this call.

        Raises
        ------
        PlatformError
            Where they could not be read.
        """
        ...

    async def ask(self, peer: Member, inquiry: Inquiry) -> InquiryReply:
        """Return a peer's answer.

        Raises
        ------
        PeerError
            Where there is none; `DeadPeerError` where there never will be.
        """
        ...


class NetworkPeers:
    """`Peers` over the links between entries.

    Parameters
    ----------
    network : PeerNetwork
        Links.
    read_ranges : callable
        Reads the registered ranges.
    """

    def __init__(self, network: PeerNetwork, read_ranges: ReadRanges) -> None:
        self._network = network
        self._read_ranges = read_ranges

    async def ranges(self) -> tuple[EntryRange, ...]:
        """Return the registered ranges, read after this call."""
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                return await self._read_ranges()
        except TimeoutError as error:
            raise PlatformError("no answer in time", step="ranges") from error

    async def ask(self, peer: Member, inquiry: Inquiry) -> InquiryReply:
        """Return a peer's answer."""
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                reply = await self._call(peer, encode_inquiry(inquiry))
        except TimeoutError as error:
            raise PeerError("no answer in time", step="inquire", peer=peer.id) from error
        if reply.inquire_reply is None:
            raise PeerError("an answer of another kind", step="inquire", peer=peer.id)
        if reply.inquire_reply.incarnation != peer.incarnation:
            raise DeadPeerError("another process answered", step="inquire", peer=peer.id)
        return decode_reply(reply.inquire_reply)

    async def _call(self, peer: Member, body: Body) -> Body:
        try:
            return await self._call_once(peer, body)
        except DeadPeerError:
            raise
        except PeerError:
            # The link may have been dead already; a new one tells whether the peer is.
            return await self._call_once(peer, body)

    async def _call_once(self, peer: Member, body: Body) -> Body:
        try:
            link = await self._network.link(peer)
        except PeerError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise DeadPeerError(str(error), step="connect", peer=peer.id) from error
            raise
        return await link.call(body, ASK_TIMEOUT_S)


class NoPeers:
    """`Peers` of a process that has none to ask."""

    async def ranges(self) -> tuple[EntryRange, ...]:
        """Raise."""
        raise PlatformError("this process has no registry of entries", step="ranges")

    async def ask(self, peer: Member, inquiry: Inquiry) -> InquiryReply:
        """Raise."""
        raise PeerError("this process has no links", step="inquire", peer=peer.id)


class Inquirer:
    """Carries out one entry's inquiries.

    Parameters
    ----------
    operations : Operations
        Takes what they bring.
    own : Member
        This entry.
    peers : Peers
        Reaches the others.
    clock : callable
        UTC in seconds since 1970.
    """

    def __init__(
        self,
        operations: Operations,
        own: Member,
        peers: Peers,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._operations = operations
        self._own = own
        self._peers = peers
        self._clock = clock

    async def settle(self, inquire: Inquire) -> Settled:
        """Ask until it is settled what becomes of a send."""
        inquiry = Inquiry(inquire.key, inquire.attempt, inquire.fingerprint, self._own)
        settled: asyncio.Future[Settled] = asyncio.get_running_loop().create_future()
        tasks: set[asyncio.Task[None]] = set()

        async def follow(step: Awaitable[Settled | Ask | None]) -> None:
            outcome = await step
            if isinstance(outcome, Ask):
                begin([self._ask(peer, inquiry) for peer in outcome.peers])
            elif outcome is not None and not settled.done():
                # Outcomes that follow the first one are about an attempt that is over.
                settled.set_result(outcome)

        def begin(steps: Sequence[Awaitable[Settled | Ask | None]]) -> None:
            for step in steps:
                task = asyncio.create_task(follow(step))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        begin([self._read(inquiry), *(self._ask(peer, inquiry) for peer in inquire.known)])
        try:
            return await settled
        finally:
            for task in list(tasks):
                task.cancel()

    async def on_inquire(self, body: Body) -> Body:
        """Answer a peer."""
        reply = self._operations.on_inquiry(self._clock(), decode_inquiry(body.inquire))
        return encode_reply(reply, self._own.incarnation)

    async def _read(self, inquiry: Inquiry) -> Settled | Ask | None:
        key, attempt = inquiry.key, inquiry.attempt
        try:
            ranges = await self._peers.ranges()
        except PlatformError:
            return self._operations.on_no_ranges(self._clock(), key, attempt)
        return self._operations.on_ranges(self._clock(), key, attempt, ranges)

    async def _ask(self, peer: Member, inquiry: Inquiry) -> Settled | Ask | None:
        key, attempt = inquiry.key, inquiry.attempt
        try:
            reply = await self._peers.ask(peer, inquiry)
        except PeerError as error:
            dead = isinstance(error, DeadPeerError)
            return self._operations.on_silence(self._clock(), key, attempt, peer, dead=dead)
        return self._operations.on_reply(self._clock(), key, attempt, peer, reply)
