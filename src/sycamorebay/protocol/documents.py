"""Compression of documents for peers and the store, with a limit on the decompressed size."""

from __future__ import annotations

import zlib

from sycamorebay.errors import PeerError
from sycamorebay.state.document import MAX_DOCUMENT_BYTES

_ZLIB_LEVEL = 6


def compress_document(text: bytes) -> bytes:
    """Return a document's bytes in compressed form."""
    return zlib.compress(text, _ZLIB_LEVEL)


def decompress_document(packed: bytes) -> bytes:
    """Return the bytes of a document that `compress_document` compressed.

    Raises
    ------
    PeerError
        If the data is damaged or cut off, or decompresses to more than `MAX_DOCUMENT_BYTES` bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, MAX_DOCUMENT_BYTES + 1)
    except zlib.error as error:
        raise PeerError(
            f"the compressed document can't be decompressed: {error}", step="decode"
        ) from error
    if len(text) > MAX_DOCUMENT_BYTES or not decompressor.eof:
        raise PeerError(
            f"the compressed document is cut off or holds more than {MAX_DOCUMENT_BYTES} bytes",
            step="decode",
        )
    return text
