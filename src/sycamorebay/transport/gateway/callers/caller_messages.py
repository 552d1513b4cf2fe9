"""Requests of callers and the answers to them."""

from __future__ import annotations

import http

import attrs

from sycamorebay.protocol.header_names import BODILESS_STATUSES, RawHeaders
from sycamorebay.protocol.pieces import join_small
from sycamorebay.transport.gateway.body_stream import BodyStream


@attrs.frozen
class CallerRequest:
    """A whole request of a caller.

    Attributes
    ----------
    method, target : str
        As in the request line; the target in origin form.
    path : str
        The target without its query.
    host : str
        Host in lower case, without port.
    headers : list of (bytes, bytes)
        Headers with names in lower case.
    body : bytes
        The whole body.
    begun_at : float
        When its head was complete, in seconds on the event loop's clock. The caller's time runs
        from then on.
    arrived_at : float
        When the request was complete, in seconds on the same clock.
    caller : str
        IP address of the caller.
    held_bytes : int
        Memory that it takes, without what is reserved for its body.
    """

    method: str
    target: str
    path: str
    host: str
    headers: RawHeaders
    body: bytes
    begun_at: float
    arrived_at: float
    caller: str = ""
    held_bytes: int = 0


@attrs.frozen
class CallerAnswer:
    """An answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers without ``content-length`` and ``connection``, which the connection adds.
    body : bytes
        The whole body; empty if it is a stream.
    stream : BodyStream or None
        A body that is passed on while it arrives.
    """

    status: int
    headers: RawHeaders
    body: bytes = b""
    stream: BodyStream | None = None

    def drop(self) -> None:
        """Give up an answer that nobody takes."""
        if self.stream is not None:
            self.stream.abort()


def encode_answer(answer: CallerAnswer, keep_alive: bool, bodiless: bool) -> tuple[bytes, ...]:
    """Return the bytes of an answer in one or two parts; those of a stream end with its head.

    A large body is a part of its own, and not copied.

    Parameters
    ----------
    answer : CallerAnswer
        The answer.
    keep_alive : bool
        Whether the connection stays open after it.
    bodiless : bool
        Whether it is sent without its body, as for HEAD.
    """
    phrase = _PHRASES_BY_STATUS.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {phrase}".encode()]
    lines += [name + b": " + value for name, value in answer.headers]
    if answer.status not in BODILESS_STATUSES:
        size = len(answer.body) if answer.stream is None else answer.stream.size
        lines.append(b"content-length: %d" % size)
    if not keep_alive:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if bodiless:
        return (head,)
    return join_small(head, answer.body)


_PHRASES_BY_STATUS = {status.value: status.phrase for status in http.HTTPStatus}
