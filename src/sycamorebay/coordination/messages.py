"""Events and actions of `sycamorebay.coordination.dispatch`."""

from __future__ import annotations

import attrs

from sycamorebay.outcomes import Refusal
from sycamorebay.state.backends import LoadReport
from sycamorebay.state.document import BackendServer


@attrs.frozen
class Request:
    """Properties of a caller's request that decisions depend on.

    Attributes
    ----------
    id : int
        Unique in this entry.
    host : str
        ``Host`` without its port, in lower case.
    method : str
        HTTP method.
    path : str
        Path without the query.
    replayable : bool
        Whether the body can be sent a second time.
    deadline_s : float or None
        Remaining time in seconds, if the caller gave a deadline.
    """

    id: int
    host: str
    method: str
    path: str
    replayable: bool = True
    deadline_s: float | None = None


@attrs.frozen
class Answer:
    """Head of a backend server's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    shed : bool
        Whether the server states that it did not run the request.
    report : LoadReport or None
        Load report in the answer's headers.
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
        Description for callers and operators.
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
        Ids of the request and of this attempt.
    backend_server : BackendServer
        Backend server to send to.
    deadline : float
        Deadline of the request in seconds, on the clock of the event's `now`.
    hedge : bool
        Whether another attempt of the request is still in flight.
    """

    request_id: int
    attempt_id: int
    backend_server: BackendServer
    deadline: float
    hedge: bool = False


@attrs.frozen
class Enqueue:
    """Hold the request until another action for it follows, at the latest at time `until`."""

    request_id: int
    until: float


@attrs.frozen
class Deliver:
    """Deliver the answer of an attempt to the caller."""

    request_id: int
    attempt_id: int


@attrs.frozen
class Cancel:
    """Cancel an attempt; its answer must not reach the caller."""

    request_id: int
    attempt_id: int


@attrs.frozen
class Refuse:
    """Refuse the request with a final answer."""

    request_id: int
    refusal: Refusal


Action = Send | Enqueue | Deliver | Cancel | Refuse
