"""Bounds on what a message may have beside its body: chunks and trailers cost work, not bytes."""

from __future__ import annotations

# Chunks that a body may have whatever their size, and the mean size of chunks in a longer body.
FREE_CHUNKS = 8192
MIN_MEAN_CHUNK_BYTES = 16
# Bytes outside the body, and how many more for each byte of it; a chunk of one byte needs five.
FREE_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_RATIO = 8


class FramingError(Exception):
    """The framing of a message is out of proportion to its body."""


class FramingMeter:
    """Measures one message while it arrives.

    Each of its methods raises `FramingError` if the framing is out of proportion.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin a new message."""
        self._chunks = 0
        self._body_bytes = 0
        self._received_bytes = 0

    @property
    def body_bytes(self) -> int:
        """Bytes of the body so far."""
        return self._body_bytes

    def on_chunk(self) -> None:
        """Count a chunk."""
        self._chunks += 1
        if self._chunks > FREE_CHUNKS + self._body_bytes // MIN_MEAN_CHUNK_BYTES:
            raise FramingError("the body has too many small chunks")

    def on_body(self, size: int) -> None:
        """Count bytes of the body."""
        self._body_bytes += size

    def on_received(self, size: int) -> None:
        """Count bytes that the parser has taken, those of the body included."""
        self._received_bytes += size
        framing_bytes = self._received_bytes - self._body_bytes
        if framing_bytes > FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * self._body_bytes:
            raise FramingError("too many bytes outside the body")
