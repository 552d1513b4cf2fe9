"""Session for programs that embed the placement decisions and use their own transport."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path

import attrs

from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.messages import Answer, Enqueue, Failure, Refuse, Request, Send
from sycamorebay.errors import Refused
from sycamorebay.outcomes import NotRun
from sycamorebay.state.document import BackendServer, Document, load_document


@attrs.frozen
class Placement:
    """Backend server chosen for one request.

    Attributes
    ----------
    request : Request
        Placed request.
    backend_server : BackendServer
        Server to send it to.
    deadline : float
        End of the request's time limit, in seconds of `time.monotonic`.
    """

    request: Request
    backend_server: BackendServer
    deadline: float


class Session:
    """Places requests according to one document.

    Parameters
    ----------
    document : Document or str or Path
        Document, or the path of its file.
    seed : int, optional
        Seed of the random number generator; random if it is None.

    Raises
    ------
    DocumentError
        If the document has faults.
    """

    def __init__(self, document: Document | str | Path, seed: int | None = None) -> None:
        if not isinstance(document, Document):
            document = load_document(Path(document).read_bytes())
        self._dispatcher = Dispatcher(random.Random(seed))
        self._dispatcher.on_document(time.monotonic(), document)
        self._ids = count(1)

    def __enter__(self) -> Session:
        return self

    def __exit__(self, *_: object) -> None:
        return None

    @contextmanager
    def request(self, method: str, host: str, path: str) -> Iterator[Placement]:
        """Place one request and hold its slot until the ``with`` block ends.

        A block that raises counts as a failed attempt, any other as an answer with status 200.

        Parameters
        ----------
        method : str
            HTTP method.
        host : str
            Host in lower case without its port.
        path : str
            Path without the query.

        Yields
        ------
        Placement
            Chosen backend server and the request's deadline.

        Raises
        ------
        Refused
            If no backend server may serve the request or all slots are taken.
        """
        request = Request(next(self._ids), host, method, path)
        action = self._dispatcher.on_request(time.monotonic(), request)[0]
        if isinstance(action, Enqueue):
            self._dispatcher.on_caller_gone(time.monotonic(), request.id)
            raise Refused(NotRun("admit", host, "all slots are taken"), request)
        if isinstance(action, Refuse):
            raise Refused(action.refusal, request)
        if not isinstance(action, Send):
            raise RuntimeError(f"expected Send, Enqueue or Refuse, got {action}")
        try:
            yield Placement(request, action.backend_server, action.deadline)
        except BaseException:
            failure = Failure("call", True, "the block raised")
            self._dispatcher.on_failure(time.monotonic(), action.attempt_id, failure)
            raise
        self._dispatcher.on_answer(time.monotonic(), action.attempt_id, Answer(200))
        self._dispatcher.on_end(time.monotonic(), action.attempt_id)
