"""The body of a large answer, passed on to the caller while it arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from sycamorebay.protocol.pieces import PieceBuffer

# Bytes that are held before the server is held back, and below which it may go on.
HIGH_WATER_BYTES = 128 * 1024
LOW_WATER_BYTES = 32 * 1024


class StreamError(Exception):
    """The body ended early."""


class Source(Protocol):
    """The connection from which a body arrives."""

    def pause_reading(self) -> None:
        """Hold the server back."""
        ...

    def resume_reading(self) -> None:
        """Let the server go on."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class BodyStream:
    """A body that arrives in pieces, of which few are held at a time.

    One coroutine takes the pieces; the server is held back while it is slow.

    Parameters
    ----------
    source : Source
        The connection from which the body arrives.
    size : int
        Length of the whole body in bytes.

    Attributes
    ----------
    closed : bool
        Whether the body has arrived whole, or ended early.
    aborted : bool
        Whether it was given up here.
    """

    def __init__(self, source: Source, size: int) -> None:
        self._source = source
        self.size = size
        self.closed = False
        self.aborted = False
        self._error = ""
        self._pieces = PieceBuffer()
        self._paused = False
        self._changed = asyncio.Event()
        self._on_close: list[Callable[[bool], object]] = []

    def call_on_close(self, callback: Callable[[bool], object]) -> None:
        """Have a function called with whether the body arrived whole, once that is known."""
        if self.closed:
            callback(not self._error)
        else:
            self._on_close.append(callback)

    async def next(self) -> bytes:
        """Return the next piece; empty bytes at the end.

        Raises
        ------
        StreamError
            If the body ended early.
        """
        while not self._pieces and not self.closed:
            self._changed.clear()
            await self._changed.wait()
        if self._error:
            raise StreamError(self._error)
        piece = self._pieces.pop()
        if self._paused and self._pieces.size <= LOW_WATER_BYTES:
            self._paused = False
            self._source.resume_reading()
        return piece

    def feed(self, data: bytes) -> None:
        """Add bytes that arrived."""
        if self.closed:
            return
        self._pieces.add(data)
        if self._pieces.size > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._source.pause_reading()
        self._changed.set()

    def end(self) -> None:
        """Record that the body has arrived whole."""
        if self._paused:
            # The connection may carry another answer while the last pieces are taken.
            self._source.resume_reading()
            self._paused = False
        self._close("")

    def fail(self, reason: str) -> None:
        """Record that the body ended early."""
        self._close(reason)

    def abort(self) -> None:
        """Give up a body that has not arrived whole, and close its connection."""
        if self.closed:
            return
        self.aborted = True
        self._pieces.pop_all()
        self._close("given up")
        self._source.abort()

    def _close(self, error: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._error = error
        self._changed.set()
        callbacks, self._on_close = self._on_close, []
        for callback in callbacks:
            callback(not error)
