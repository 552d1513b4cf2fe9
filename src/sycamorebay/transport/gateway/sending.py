"""One send of a request to one backend server, and the judgement of what came back."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

import attrs

from sycamorebay import log
from sycamorebay.coordination.placing import PlacementRequest, Placer
from sycamorebay.protocol.header_codec import AnswerMetadata, HeaderCodec
from sycamorebay.protocol.names import RawHeaders
from sycamorebay.state.routing import Route
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.client import (
    AnswerError,
    ClientAnswer,
    ConnectError,
    Pool,
    request_head,
)
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.listener import CallerRequest

# Below this a send can't be answered any more.
MIN_TIME_LEFT_S = 0.005
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)

_log = log.get_logger("send")


class Result(enum.Enum):
    """How one send ended."""

    DELIVER = "deliver"
    FAILED_STATUS = "failed status"
    NOT_RUN = "not run"
    NOT_SENT = "not sent"
    MISDIRECTED = "misdirected"
    MAY_HAVE_RUN = "may have run"
    OUT_OF_TIME = "out of time"
    CANCELLED = "cancelled"


@attrs.frozen
class Sent:
    """One send's end, its answer where there is one, and the reason where there is none."""

    result: Result
    answer: ClientAnswer | None = None
    reason: str = ""
    server_id: str = ""


@attrs.define(eq=False)
class Exchange:
    """State of one request.

    Attributes
    ----------
    version : int
        Of the configuration that it is handled by.
    sends : int
        Sends that reached a backend server.
    unsent : int
        Sends that reached none.
    may_have_run : bool
        Whether any backend server may have run it.
    """

    id: int
    request: CallerRequest
    request_id: str
    version: int
    route: Route
    service: str
    deadline: float
    placement_request: PlacementRequest
    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False


@attrs.define
class _Reading:
    """Reads the marks of the answers on a connection, until the request's own has come."""

    header_codec: HeaderCodec
    request_id: str
    metadata: AnswerMetadata | None = None

    def is_own(self, status: int, headers: RawHeaders) -> bool:
        """Whether an answer belongs to this request, or to one before it on the connection."""
        self.metadata = self.header_codec.read_answer(status, headers)
        answered = self.metadata.request_id
        if answered and answered != self.request_id:
            _log.warning(
                "answer of another request dropped",
                request_id=self.request_id,
                answered=answered,
            )
            return False
        return True


class Sender:
    """Sends requests and tells what is learnt of servers.

    Parameters
    ----------
    placer : Placer
        Learns from what comes back.
    pool : Pool
        Connections to backend servers.
    header_codec : HeaderCodec
        Marks of requests and answers.
    counters : Counters
        Counts what happens.
    on_first_send : callable
        Told the service of each request that is sent for the first time.
    on_seen : callable
        Told a server's id, and whether it failed, for the other daemons.
    """

    def __init__(
        self,
        placer: Placer,
        pool: Pool,
        header_codec: HeaderCodec,
        counters: Counters,
        on_first_send: Callable[[str], None],
        on_seen: Callable[[str, bool], None],
    ) -> None:
        self._placer = placer
        self._pool = pool
        self._header_codec = header_codec
        self._counters = counters
        self._on_first_send = on_first_send
        self._on_seen = on_seen

    async def send(self, exchange: Exchange, server: ServerEntry) -> Sent:
        """Send a request whose slot at the server is taken; cancelling this ends the send."""
        sent = await self._send(exchange, server)
        self._log(exchange, server, sent)
        return attrs.evolve(sent, server_id=server.id)

    async def _send(self, exchange: Exchange, server: ServerEntry) -> Sent:
        loop = asyncio.get_running_loop()
        try:
            connection = await self._pool.take(server.address)
        except ConnectError as error:
            exchange.unsent += 1
            self._on_failure(server)
            return Sent(Result.NOT_SENT, reason=str(error))
        left_s = exchange.deadline - loop.time()
        if left_s < MIN_TIME_LEFT_S:
            self._pool.give_back(server.address, connection)
            return Sent(Result.OUT_OF_TIME)
        if not connection.open:
            exchange.unsent += 1
            return Sent(Result.NOT_SENT, reason="the connection was closed")
        head = self._head(exchange, server, left_s)
        self._counters.sends += 1
        if exchange.sends == 0:
            self._on_first_send(exchange.service)
        exchange.sends += 1
        exchange.may_have_run, ran_before = True, exchange.may_have_run
        reading = _Reading(self._header_codec, exchange.request_id)
        started = loop.time()
        try:
            answer = await connection.ask(
                head, exchange.request.body, reading.is_own, exchange.request.method == "HEAD"
            )
        except ConnectError as error:
            exchange.sends -= 1
            exchange.unsent += 1
            exchange.may_have_run = ran_before
            return Sent(Result.NOT_SENT, reason=str(error))
        except AnswerError as error:
            self._on_failure(server)
            return Sent(Result.MAY_HAVE_RUN, reason=str(error))
        except asyncio.CancelledError:
            self._on_cancelled(exchange, server)
            raise
        metadata = reading.metadata
        assert metadata is not None
        self._take_report(server, metadata)
        self._pool.give_back(server.address, connection)
        sent = self._judge(exchange, server, answer, metadata)
        if sent.result in (Result.NOT_RUN, Result.MISDIRECTED):
            exchange.may_have_run = ran_before
        if sent.result is Result.DELIVER:
            self._learn(exchange, server, loop.time() - started, len(answer.body))
        return sent

    def _head(self, exchange: Exchange, server: ServerEntry, left_s: float) -> bytes:
        request = exchange.request
        headers = [pair for pair in request.headers if pair[0] not in HOP_BY_HOP]
        headers = self._header_codec.outgoing_headers(headers, server.id, left_s)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        return request_head(request.method, request.target, headers)

    def _judge(
        self,
        exchange: Exchange,
        server: ServerEntry,
        answer: ClientAnswer,
        metadata: AnswerMetadata,
    ) -> Sent:
        if metadata.not_run and answer.status == 421:
            self._on_failure(server)
            return Sent(Result.MISDIRECTED, reason="another server has the address")
        if metadata.not_run:
            self._on_shed(server)
            return Sent(Result.NOT_RUN, reason="the backend server shed the request")
        fault = _answer_fault(answer, metadata)
        if fault:
            self._on_failure(server)
            return Sent(Result.MAY_HAVE_RUN, reason=fault)
        if answer.status >= 500:
            self._on_failure(server)
            return Sent(Result.FAILED_STATUS, answer, f"status {answer.status}")
        self._on_seen(server.id, False)
        load = self._placer.load(server.id)
        if load is not None:
            load.on_success()
        return Sent(Result.DELIVER, answer)

    def _take_report(self, server: ServerEntry, metadata: AnswerMetadata) -> None:
        if metadata.report is not None:
            # The request that is answered has left the server already.
            self._placer.on_report(asyncio.get_running_loop().time(), server.id, metadata.report)

    def _learn(
        self, exchange: Exchange, server: ServerEntry, seconds: float, answer_bytes: int
    ) -> None:
        load = self._placer.load(server.id)
        slowdown = load.report.slowdown if load is not None and load.report is not None else 1.0
        self._placer.work.on_answer(exchange.route.name, seconds, slowdown, answer_bytes)
        self._counters.backend.observe(seconds)

    def _on_failure(self, server: ServerEntry) -> None:
        load = self._placer.load(server.id)
        if load is not None:
            load.on_failure(asyncio.get_running_loop().time())
        self._pool.drop(server.address)
        self._on_seen(server.id, True)

    def _on_shed(self, server: ServerEntry) -> None:
        load = self._placer.load(server.id)
        if load is not None:
            load.on_shed(asyncio.get_running_loop().time())

    def _on_cancelled(self, exchange: Exchange, server: ServerEntry) -> None:
        """Take the end of a send without an answer; at the deadline its server is suspect."""
        if asyncio.get_running_loop().time() >= exchange.deadline:
            self._on_failure(server)
            reason = "the time was up"
        else:
            reason = "the caller left, or another send was faster"
        self._log(exchange, server, Sent(Result.CANCELLED, reason=reason))

    def _log(self, exchange: Exchange, server: ServerEntry, sent: Sent) -> None:
        now = asyncio.get_running_loop().time()
        load = self._placer.load(server.id)
        _log.info(
            "request sent",
            request_id=exchange.request_id,
            route=exchange.route.name,
            version=exchange.version,
            server=server.id,
            send=exchange.sends,
            result=sent.result.value,
            reason=sent.reason,
            deadline_ms=round((exchange.deadline - exchange.request.arrived) * 1000),
            since_arrival_ms=round((now - exchange.request.arrived) * 1000, 1),
            in_flight=load.in_flight(now) if load else None,
            pace=round(load.slowdown(now), 2) if load else None,
            report_age_ms=round(min(99.0, now - load.reported_at) * 1000) if load else None,
        )


def _answer_fault(answer: ClientAnswer, metadata: AnswerMetadata) -> str:
    """Return why an answer can't be passed on, or nothing."""
    if not 200 <= answer.status <= 599:
        return f"the answer's status {answer.status} is not usable"
    if not metadata.signed:
        return "the answer is not marked as the server's own"
    if answer.status < 300 and not metadata.request_id:
        return "the answer doesn't name its request"
    if any(name == b"content-encoding" for name, _ in answer.headers):
        return "the answer's body is encoded"
    return ""
