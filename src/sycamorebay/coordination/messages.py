"""Events that decisions take and actions that they return."""

from __future__ import annotations

import attrs

from sycamorebay.outcomes import Refusal
from sycamorebay.state.backends import LoadReport
from sycamorebay.state.document import BackendServer


@attrs.frozen
class Request:
    """What the decisions need to know of a caller's request.

    Attributes
    ----------
    id : int
        Number, unique in this entry.
    host : str
        ``Host`` without its port, in lower case.
    method : str
        HTTP method.
    path : str
        Path without the query.
    replayable : bool
        Whether its body can be sent a second time.
    deadline_s : float or None
        Time left in seconds that the caller named.
    """

    id: int
    host: str
    method: str
    path: str
    replayable: bool = True
    deadline_s: float | None = None


@attrs.frozen
class Answer:
    """The head of a backend server's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    shed : bool
        Whether the server says that it did not run the request.
    report : LoadReport or None
        Load piggybacked on the answer.
    """

    status: int
    shed: bool = False
    report: LoadReport | None = None


@attrs.frozen
class Failure:
    """An attempt that ended without an answer.

    Attributes
    ----------
    step : str
        Step at which it failed, such as ``connect``.
    written : bool
        Whether any byte of the request may have been written.
    reason : str
        One sentence for people.
    """

    step: str
    written: bool
    reason: str


@attrs.frozen
class Send:
    """Send the request to a backend server as a new attempt.

    Attributes
    ----------
    request_id, attempt_id : int
        Numbers of the request and of this attempt.
    backend_server : BackendServer
        Where to.
    deadline : float
        When the request's time is up, in seconds on the caller's clock of events.
    hedge : bool
        Whether it goes out beside an attempt that is still in flight.
    """

    request_id: int
    attempt_id: int
    backend_server: BackendServer
    deadline: float
    hedge: bool = False


@attrs.frozen
class Enqueue:
    """Hold the request until another action for it comes, at the latest at `until`."""

    request_id: int
    until: float


@attrs.frozen
class Deliver:
    """Pass the answer of an attempt on to the caller."""

    request_id: int
    attempt_id: int


@attrs.frozen
class Cancel:
    """Cancel an attempt; its answer must not reach any caller."""

    request_id: int
    attempt_id: int


@attrs.frozen
class Refuse:
    """Give the caller its final answer at once."""

    request_id: int
    refusal: Refusal


Action = Send | Enqueue | Deliver | Cancel | Refuse
