"""Feeds received bytes to a parser so that no connection keeps the others waiting."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# A parser is fed so many bytes at a time.
SLICE_BYTES = 16 * 1024
# Headers, chunks and messages that one connection may have handled in a turn of the event loop.
MAX_STEPS_PER_TURN = 256
# What a slice counts for by its bytes alone.
STEPS_PER_SLICE = 16
_NOTHING = memoryview(b"")


def _take_nothing(_: bytes | memoryview) -> int:
    return 0


def _do_nothing() -> None:
    pass


class PacedFeed:
    """The received bytes of one connection, fed in slices.

    Bytes cost little, but each header, chunk or message is a step of work. Once a turn of the event
    loop has had enough of them, the connection is not read until the next turn; an event loop may
    read a fast connection many times in one turn otherwise.

    Parameters
    ----------
    feed : callable
        Takes a slice and returns how many steps of work it was.
    on_fed : callable
        Called after received bytes were fed or kept.

    Attributes
    ----------
    held_bytes : int
        Size of the object that holds bytes which were not fed yet, those fed already included.
    """

    def __init__(
        self,
        feed: Callable[[bytes | memoryview], int],
        on_fed: Callable[[], None] = lambda: None,
    ) -> None:
        self._feed = feed
        self._on_fed = on_fed
        self._transport: asyncio.Transport | None = None
        self._rest = _NOTHING
        self.held_bytes = 0
        self._next_turn: asyncio.Handle | None = None
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
        if self._next_turn is None:
            self._run()
        self._on_fed()

    def hold_back(self, is_held_back: bool) -> None:
        """Read and feed nothing more, or go on."""
        if self._is_held_back == is_held_back:
            return
        self._is_held_back = is_held_back
        if not is_held_back and self.has_rest and self._next_turn is None:
            # Not at once, as the owner may be in the middle of a step.
            self._wait_for_turn()
        self._update_reading()

    def flush(self) -> None:
        """Feed all that was received, for a connection that has ended."""
        rest, self._rest = self._rest, _NOTHING
        self._cancel_turn()
        if rest:
            self._feed(rest)

    def drop(self) -> None:
        """Drop what was received and not fed, and read on."""
        self._rest = _NOTHING
        self.held_bytes = 0
        self._cancel_turn()
        self._update_reading()

    def close(self) -> None:
        """Drop what was received, and refer to the connection no longer, which has ended.

        The connection refers to its feed; without this, only the collector would free both.
        """
        self.drop()
        self._feed, self._on_fed = _take_nothing, _do_nothing
        self._transport = None

    def _run(self) -> None:
        steps = 0
        while self.has_rest and not self._is_held_back and not self._is_closing():
            data, self._rest = self._rest[:SLICE_BYTES], self._rest[SLICE_BYTES:]
            if not self._rest:
                # An empty part would still keep all the bytes that it was taken from.
                self._rest = _NOTHING
                self.held_bytes = 0
            steps += self._feed(data) + STEPS_PER_SLICE * len(data) // SLICE_BYTES
            if steps >= MAX_STEPS_PER_TURN:
                self._wait_for_turn()
                break
        self._update_reading()

    def _wait_for_turn(self) -> None:
        self._next_turn = asyncio.get_running_loop().call_soon(self._on_turn)

    def _on_turn(self) -> None:
        self._next_turn = None
        self._run()
        self._on_fed()

    def _cancel_turn(self) -> None:
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None

    def _update_reading(self) -> None:
        if self._transport is None or self._is_closing():
            return
        pauses = self._is_held_back or self._next_turn is not None
        if pauses == self._is_paused:
            return
        self._is_paused = pauses
        if pauses:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _is_closing(self) -> bool:
        return self._transport is not None and self._transport.is_closing()
