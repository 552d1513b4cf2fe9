"""Fingerprints of requests, which stay the same when a request comes again with another id."""

from __future__ import annotations

import hashlib

import attrs

FINGERPRINT_BYTES = 16


@attrs.frozen
class Fingerprints:
    """Hashes of a request, in hexadecimal digits.

    Attributes
    ----------
    content : str
        Of the method, host, path and body. A caller may connect from several addresses.
    of_caller : str
        Of the content and the caller's address. Many callers may send the same content, and what
        distinguishes them may lie in headers.
    """

    content: str
    of_caller: str


def fingerprints(caller: str, method: str, host: str, path: str, body: bytes) -> Fingerprints:
    """Return the hashes of a request.

    Parameters
    ----------
    caller : str
        IP address of the caller.
    method, host, path : str
        As in the request line; the path without its query.
    body : bytes
        The whole body.
    """
    # None of the parts contains a line break, so different parts give different bytes.
    head = "\n".join((method, host, path, "")).encode("utf-8", "surrogateescape")
    content = hashlib.blake2b(head + body, digest_size=FINGERPRINT_BYTES).hexdigest()
    text = f"{content}\n{caller}".encode()
    of_caller = hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).hexdigest()
    return Fingerprints(content, of_caller)
