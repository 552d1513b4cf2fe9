"""Inquiries between entries: whether a peer has run, or may yet run, the operation of a key."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.operation_messages import (
    Ask,
    FinalDecision,
    Inquire,
    Inquiry,
    InquiryReply,
)
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

INQUIRY_TIMEOUT_S = 0.5
RANGES_TIMEOUT_S = 0.5


ReadRanges = Callable[[], Awaitable[tuple[EntryRange, ...]]]


class DeadPeerError(PeerError):
    """The process of the peer has ended, so it will never answer."""


class Peers(Protocol):
    """Access to the other entries that may have run the operation of a key."""

    async def ranges(self) -> tuple[EntryRange, ...]:
        """Return the registered ranges, from a read that began after this call.

        Raises
        ------
        PlatformError
            If they could not be read.
        """
        ...

    async def ask(self, peer: Member, inquiry: Inquiry) -> InquiryReply:
        """Send an inquiry to a peer and return its reply.

        Raises
        ------
        DeadPeerError
            If the peer's process has ended, so that it will never reply.
        PeerError
            If no usable reply came for another reason.
        """
        ...


class NetworkPeers:
    """`Peers` over the links between entries.

    Parameters
    ----------
    network : PeerNetwork
        Links to the other entries.
    read_ranges : callable
        Returns the registered ranges, from a read that began after the call.
    """

    def __init__(self, network: PeerNetwork, read_ranges: ReadRanges) -> None:
        self._network = network
        self._read_ranges = read_ranges

    async def ranges(self) -> tuple[EntryRange, ...]:
        """Return the registered ranges, from a read that began after this call.

        Raises
        ------
        PlatformError
            If the store failed or did not answer within `RANGES_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(RANGES_TIMEOUT_S):
                return await self._read_ranges()
        except TimeoutError as error:
            raise PlatformError(
                f"registered ranges not read within {RANGES_TIMEOUT_S} s", step="ranges"
            ) from error

    async def ask(self, peer: Member, inquiry: Inquiry) -> InquiryReply:
        """Send an inquiry to a peer and return its reply.

        A call that fails is repeated once over a new link.

        Raises
        ------
        DeadPeerError
            If the peer refuses connections, or another incarnation replied in its place.
        PeerError
            If the peer cannot be reached, or gave no valid reply within `INQUIRY_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(INQUIRY_TIMEOUT_S):
                reply = await self._call(peer, encode_inquiry(inquiry))
        except TimeoutError as error:
            raise PeerError(
                f"no reply within {INQUIRY_TIMEOUT_S} s", step="inquire", peer=peer.id
            ) from error
        if reply.inquire_reply is None:
            raise PeerError(
                "unexpected type of reply, expected inquire_reply", step="inquire", peer=peer.id
            )
        if reply.inquire_reply.incarnation != peer.incarnation:
            raise DeadPeerError(
                f"reply of incarnation {reply.inquire_reply.incarnation}, "
                f"expected {peer.incarnation}",
                step="inquire",
                peer=peer.id,
            )
        return decode_reply(reply.inquire_reply)

    async def _call(self, peer: Member, body: Body) -> Body:
        try:
            return await self._call_once(peer, body)
        except DeadPeerError:
            raise
        except PeerError:
            # An existing link may have failed earlier; a new one shows whether the peer is alive.
            return await self._call_once(peer, body)

    async def _call_once(self, peer: Member, body: Body) -> Body:
        try:
            link = await self._network.link(peer)
        except PeerError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise DeadPeerError(str(error), step="connect", peer=peer.id) from error
            raise
        return await link.call(body, INQUIRY_TIMEOUT_S)


class NoPeers:
    """`Peers` of a process that is not part of a fleet; every call fails."""

    async def ranges(self) -> tuple[EntryRange, ...]:
        """Raise `PlatformError`."""
        raise PlatformError("this process has no registry of entries", step="ranges")

    async def ask(self, peer: Member, inquiry: Inquiry) -> InquiryReply:
        """Raise `PeerError`."""
        raise PeerError("this process has no links", step="inquire", peer=peer.id)


class Inquirer:
    """Sends one entry's inquiries and answers those of its peers.

    Parameters
    ----------
    operations : Operations
        Decides by the replies, and keeps the records that answer peers.
    own : Member
        This entry.
    peers : Peers
        Access to the other entries.
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

    async def decide(self, inquire: Inquire) -> FinalDecision:
        """Ask peers until one send of an operation is decided, and return the decision.

        The registered ranges are read while the peers known so far are asked; peers that only the
        ranges name are asked as they become known. Calls still in flight are cancelled at the end.

        Parameters
        ----------
        inquire : Inquire
            The key, the attempt, and the peers known so far.

        Returns
        -------
        Run, Replay or Reject
            Whether to run the operation, replay a kept answer, or refuse the send.
        """
        inquiry = Inquiry(inquire.key, inquire.attempt, inquire.fingerprint, self._own)
        decision: asyncio.Future[FinalDecision] = asyncio.get_running_loop().create_future()
        tasks: set[asyncio.Task[None]] = set()

        async def run_step(step: Awaitable[FinalDecision | Ask | None]) -> None:
            outcome = await step
            if isinstance(outcome, Ask):
                start([self._ask(peer, inquiry) for peer in outcome.peers])
            elif outcome is not None and not decision.done():
                # Later decisions belong to an attempt that has ended.
                decision.set_result(outcome)

        def start(steps: Sequence[Awaitable[FinalDecision | Ask | None]]) -> None:
            for step in steps:
                task = asyncio.create_task(run_step(step))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        start([self._read(inquiry), *(self._ask(peer, inquiry) for peer in inquire.known)])
        try:
            return await decision
        finally:
            for task in list(tasks):
                task.cancel()

    async def on_inquire(self, body: Body) -> Body:
        """Return the reply to a peer's inquiry, from this entry's records."""
        reply = self._operations.on_inquiry(self._clock(), decode_inquiry(body.inquire))
        return encode_reply(reply, self._own.incarnation)

    async def _read(self, inquiry: Inquiry) -> FinalDecision | Ask | None:
        key, attempt = inquiry.key, inquiry.attempt
        try:
            ranges = await self._peers.ranges()
        except PlatformError:
            return self._operations.on_ranges_unavailable(self._clock(), key, attempt)
        return self._operations.on_ranges(self._clock(), key, attempt, ranges)

    async def _ask(self, peer: Member, inquiry: Inquiry) -> FinalDecision | Ask | None:
        key, attempt = inquiry.key, inquiry.attempt
        try:
            reply = await self._peers.ask(peer, inquiry)
        except PeerError as error:
            dead = isinstance(error, DeadPeerError)
            return self._operations.on_no_reply(self._clock(), key, attempt, peer, dead=dead)
        return self._operations.on_reply(self._clock(), key, attempt, peer, reply)
