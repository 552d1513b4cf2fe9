"""Documents on their way between entries and in the store: compressed, and bounded once opened."""

from __future__ import annotations

import zlib

from sycamorebay.errors import PeerError
from sycamorebay.state.document import MAX_DOCUMENT_BYTES

_LEVEL = 6


def pack(text: bytes) -> bytes:
    """Return a document's bytes compressed."""
    return zlib.compress(text, _LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the bytes of a packed document.

    Raises
    ------
    PeerError
        Where they are damaged or more than `MAX_DOCUMENT_BYTES`.
    """
    opener = zlib.decompressobj()
    try:
        text = opener.decompress(packed, MAX_DOCUMENT_BYTES + 1)
    except zlib.error as error:
        raise PeerError(f"a packed document is damaged: {error}", step="decode") from error
    if len(text) > MAX_DOCUMENT_BYTES or not opener.eof:
        raise PeerError("a packed document is too long or cut off", step="decode")
    return text
