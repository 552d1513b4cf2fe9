"""Bytes that arrive in pieces, held in memory that is in proportion to them."""

from __future__ import annotations

from collections import deque

# An object of its own takes some 50 bytes beside its content.
SMALL_PIECE_BYTES = 1024
# Small pieces are joined up to this size.
JOINED_BYTES = 16 * 1024


# A body up to this size is copied into one object with its head, which costs less than two writes.
COPIED_BODY_BYTES = 16 * 1024


def join_small(head: bytes, body: bytes) -> tuple[bytes, ...]:
    """Return a head and a body as one object, or as two if the body is large."""
    if not body:
        return (head,)
    return (head + body,) if len(body) <= COPIED_BODY_BYTES else (head, body)


class PieceBuffer:
    """Pieces in order; small ones are joined, so that few objects hold them.

    Attributes
    ----------
    size : int
        Bytes that are held.
    """

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self._joined = bytearray()
        self.size = 0

    def __bool__(self) -> bool:
        return self.size > 0

    @property
    def object_count(self) -> int:
        """Number of objects that hold the pieces."""
        return len(self._pieces) + bool(self._joined)

    def add(self, piece: bytes) -> None:
        """Add a piece at the end."""
        self.size += len(piece)
        if len(piece) < SMALL_PIECE_BYTES:
            self._joined += piece
            if len(self._joined) >= JOINED_BYTES:
                self._close_joined()
            return
        self._close_joined()
        self._pieces.append(piece)

    def pop(self) -> bytes:
        """Remove and return the first bytes; empty if there are none."""
        if not self._pieces:
            self._close_joined()
        if not self._pieces:
            return b""
        piece = self._pieces.popleft()
        self.size -= len(piece)
        return piece

    def pop_all(self) -> bytes:
        """Remove and return all bytes."""
        self._close_joined()
        data = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self._pieces.clear()
        self.size = 0
        return data

    def _close_joined(self) -> None:
        if self._joined:
            self._pieces.append(bytes(self._joined))
            self._joined.clear()
