"""Interface of the codec for the platform's metadata headers of requests and answers."""

from __future__ import annotations

from typing import Protocol

import attrs

from sycamorebay.coordination.server_load import ServerReport
from sycamorebay.protocol.header_names import RawHeaders


@attrs.frozen
class RequestMetadata:
    """Metadata in a caller's headers.

    Attributes
    ----------
    request_id : str
        Caller's id of this attempt; empty if there is none.
    deadline_s : float or None
        Time for which the caller waits, in seconds; None if it sets no limit.
    key : str or None
        Key of a client account, which is a secret; None without exactly one.
    """

    request_id: str
    deadline_s: float | None
    key: str | None = attrs.field(default=None, repr=False)


@attrs.frozen
class AnswerMetadata:
    """Metadata in a backend server's headers.

    Attributes
    ----------
    request_id : str
        Id of the answered request; empty if the answer has none.
    server_id : str
        Id of the server that answered; empty if the answer has none.
    not_run : bool
        Whether the server did not run the request.
    signed : bool
        Whether the answer carries the server's signature header.
    report : ServerReport or None
        Load of the server; None if the answer has none.
    requests_per_s : float or None
        Requests per second that the server accepts from all daemons together; None without limit.
    leaving : bool
        Whether the server says that it leaves.
    rest_s : float or None
        Time in seconds for which the server, which has turned the request away, wants none of this
        daemon; None if it asks for no rest.
    rest_is_unreadable : bool
        Whether it asks for a rest of a time that cannot be read.
    cold_s : float or None
        Time in seconds for which the server says that it is still cold; None if it does not say.
    """

    request_id: str
    server_id: str
    not_run: bool
    signed: bool
    report: ServerReport | None
    requests_per_s: float | None = None
    leaving: bool = False
    rest_s: float | None = None
    rest_is_unreadable: bool = False
    cold_s: float | None = None


@attrs.frozen
class SendMetadata:
    """Metadata that a request to a backend server carries.

    Attributes
    ----------
    server_id : str
        Id of the server that is to run it.
    deadline_s : float
        Time left for it, in seconds.
    account : str or None
        Name of the client account that it belongs to.
    has_accounts : bool
        Whether the routing table has accounts. Keys, and account names that callers sent
        themselves, are then not forwarded.
    """

    server_id: str
    deadline_s: float
    account: str | None = None
    has_accounts: bool = False


class HeaderCodec(Protocol):
    """Reads and writes metadata headers; header names are in lower case."""

    @property
    def metadata_names(self) -> frozenset[bytes]:
        """Names of all metadata headers."""
        ...

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Return the metadata in a caller's headers."""
        ...

    def read_answer(self, status: int, headers: RawHeaders) -> AnswerMetadata:
        """Return the metadata in the headers of a backend server's answer."""
        ...

    def outgoing_headers(self, headers: RawHeaders, metadata: SendMetadata) -> RawHeaders:
        """Return a caller's headers with the metadata of one send to a backend server."""
        ...
