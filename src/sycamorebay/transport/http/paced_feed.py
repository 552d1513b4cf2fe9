"""Feeds received bytes to a parser so that no connection keeps the others waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sycamorebay.transport.http.turns import Turns

# A parser is fed so many bytes at a time.
SLICE_BYTES = 16 * 1024
# Steps of work that one connection may cause in a turn of the event loop.
MAX_STEPS_PER_TURN = 256
# What a slice counts for by its bytes alone.
STEPS_PER_SLICE = 16
_NOTHING = memoryview(b"")


def _take_nothing(_: bytes | memoryview) -> int:
    return 0


def _do_nothing() -> None:
    pass


def _whole_slice() -> int:
    return SLICE_BYTES


class PacedFeed:
    """The received bytes of one connection, fed in slices.

    Bytes cost little, but each header or chunk is a step of work, and a message is many. Once a
    turn of the event loop has had enough of them, from this connection or from all together, the
    connection is not read until a later turn; an event loop may read a fast connection many times
    in one turn otherwise.

    Parameters
    ----------
    feed : callable
        Takes a slice and returns how many steps of work it was.
    on_fed : callable
        Called after received bytes were fed or kept.
    turns : Turns, optional
        Shared with other connections; by default the connection has turns of its own.
    slice_bytes : callable
        Returns the size of the next slice, in bytes.

    Attributes
    ----------
    held_bytes : int
        Size of the object that holds bytes which were not fed yet, those fed already included.
    """

    def __init__(
        self,
        feed: Callable[[bytes | memoryview], int],
        on_fed: Callable[[], None] = lambda: None,
        turns: Turns | None = None,
        slice_bytes: Callable[[], int] = lambda: SLICE_BYTES,
    ) -> None:
        self._feed = feed
        self._on_fed = on_fed
        self._turns = turns or Turns()
        self._slice_bytes = slice_bytes
        self._transport: asyncio.Transport | None = None
        self._rest = _NOTHING
        self.held_bytes = 0
        self._waits = False
        self._busy_since: int | None = None
        self._is_held_back = False
        self._is_paused = False

    @property
    def has_rest(self) -> bool:
        """Whether received bytes have not been fed yet."""
        return len(self._rest) > 0

    def open(self, transport: asyncio.Transport) -> None:
        """Begin with the transport of an established connection."""
        self._transport = transport

    def receive(self, data: bytes) -> None:
        """Feed received bytes, some of them later if they are much work."""
        if self.has_rest:
            self._rest = memoryview(bytes(self._rest) + data)
        else:
            self._rest = memoryview(data)
        self.held_bytes = len(self._rest)
        if not self._waits:
            self._begin()
        self._on_fed()

    def hold_back(self, is_held_back: bool) -> None:
        """Read and feed nothing more, or go on."""
        if self._is_held_back == is_held_back:
            return
        self._is_held_back = is_held_back
        if not is_held_back and self.has_rest and not self._waits:
            # Not at once, as the owner may be in the middle of a step.
            self._wait_for_turn()
        self._update_reading()

    def flush(self) -> None:
        """Feed all that was received, for a connection that has ended."""
        rest, self._rest = self._rest, _NOTHING
        self._stop_waiting()
        if rest:
            self._feed(rest)

    def drop(self) -> None:
        """Drop what was received and not fed, and read on."""
        self._rest = _NOTHING
        self.held_bytes = 0
        self._stop_waiting()
        self._update_reading()

    def close(self) -> None:
        """Drop what was received, and refer to the connection no longer, which has ended.

        The connection refers to its feed; without this, only the collector would free both.
        """
        self.drop()
        self._feed, self._on_fed = _take_nothing, _do_nothing
        self._slice_bytes = _whole_slice
        self._transport = None

    def run(self) -> None:
        """Feed some of what was received, as its turn has come."""
        self._waits = False
        self._run()
        self._on_fed()

    def _begin(self) -> None:
        """Feed what was received, in a later turn if this one has had enough work."""
        if self._turns.has_room:
            self._run()
        else:
            self._wait_for_turn()
            self._update_reading()

    def _run(self) -> None:
        work = fed_bytes = 0
        while self.has_rest and not self._is_held_back and not self._is_closing():
            size = self._slice_bytes()
            data, self._rest = self._rest[:size], self._rest[size:]
            if not self._rest:
                # An empty part would still keep all the bytes that it was taken from.
                self._rest = _NOTHING
                self.held_bytes = 0
            fed_bytes += len(data)
            work += self._feed(data) + 1
            if work + STEPS_PER_SLICE * fed_bytes // SLICE_BYTES >= MAX_STEPS_PER_TURN:
                self._busy_since = self._turns.number
                self._wait_for_turn()
                break
        self._turns.spend(work)
        self._update_reading()

    def _wait_for_turn(self) -> None:
        self._waits = True
        self._turns.wait(self, self._busy_since)

    def _stop_waiting(self) -> None:
        if self._waits:
            self._waits = False
            self._turns.discard(self)

    def _update_reading(self) -> None:
        if self._transport is None or self._is_closing():
            return
        pauses = self._is_held_back or self._waits
        if pauses == self._is_paused:
            return
        self._is_paused = pauses
        if pauses:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _is_closing(self) -> bool:
        return self._transport is not None and self._transport.is_closing()
