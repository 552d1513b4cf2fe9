"""How callers, daemons and backend servers mark requests and answers on the wire."""

from __future__ import annotations

from typing import Protocol

import attrs

from sycamorebay.coordination.server_load import ServerReport
from sycamorebay.protocol.names import RawHeaders


@attrs.frozen
class RequestMetadata:
    """What a caller's headers say.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt; empty where it has none.
    deadline_s : float or None
        Seconds that the caller waits.
    """

    request_id: str
    deadline_s: float | None


@attrs.frozen
class AnswerMetadata:
    """What a backend server's headers say.

    Attributes
    ----------
    request_id : str
        The request that is answered; empty where it isn't named.
    server_id : str
        The server that answers; empty where it isn't named.
    not_run : bool
        Whether the server says that it didn't run the request.
    signed : bool
        Whether the answer is marked as the server's own.
    report : ServerReport or None
        Its load.
    """

    request_id: str
    server_id: str
    not_run: bool
    signed: bool
    report: ServerReport | None


class HeaderCodec(Protocol):
    """Reads and writes the marks; names of headers are in lower case."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Return what a caller's headers say."""
        ...

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMetadata:
        """Return what a backend server's headers say."""
        ...

    def outgoing_headers(
        self, headers: RawHeaders, server_id: str, deadline_s: float
    ) -> RawHeaders:
        """Return a caller's headers as the named server gets them, with the time left."""
        ...
