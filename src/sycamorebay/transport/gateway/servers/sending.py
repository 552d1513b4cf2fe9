"""Sends a request to one backend server and classifies the answer."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

import attrs

from sycamorebay import log
from sycamorebay.coordination.placing import PlacementRequest, Placer
from sycamorebay.protocol.fingerprint import Fingerprints, fingerprints
from sycamorebay.protocol.header_codec import AnswerMetadata, HeaderCodec, SendMetadata
from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.protocol.hop_by_hop import end_to_end_headers
from sycamorebay.state.accounts import ClientAccount
from sycamorebay.state.routing import Route
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.body_stream import BodyStream
from sycamorebay.transport.gateway.callers.caller_messages import CallerRequest
from sycamorebay.transport.gateway.counters import Counters, TrafficKind
from sycamorebay.transport.gateway.peers.crash_reports import CrashReports
from sycamorebay.transport.gateway.servers.announcement_recorder import AnnouncementRecorder
from sycamorebay.transport.gateway.servers.client import (
    AnswerError,
    ClientAnswer,
    ConnectError,
    Connection,
    ConnectionLostError,
    request_head,
)
from sycamorebay.transport.gateway.servers.connection_pool import ConnectionPool

# With less time left than this, an answer cannot arrive before the deadline.
MIN_TIME_LEFT_S = 0.005
# Larger bodies are rarely sent twice, and hashing them takes time.
MAX_REMEMBERED_BODY_BYTES = 64 * 1024
# Smaller answers are held whole, so that a safe request can be repeated if its answer ends early.
STREAM_ABOVE_BYTES = 1024 * 1024
# A full server may reset the connection at once. One that crashes later breaks off many requests
# together, which are no sign that its service rejects others.
QUICK_RESET_S = 0.05

_log = log.get_logger("send")


class Result(enum.Enum):
    """How one send ended.

    The values are written to the log. `NOT_RUN`, `NOT_SENT` and `MISDIRECTED` mean that the backend
    server did not run the request; after `MAY_HAVE_RUN` only an idempotent request may be retried.
    """

    DELIVER = "deliver"
    FAILED_STATUS = "failed status"
    NOT_RUN = "not run"
    NOT_SENT = "not sent"
    MISDIRECTED = "misdirected"
    MAY_HAVE_RUN = "may have run"
    OUT_OF_TIME = "out of time"
    CANCELLED = "cancelled"


@attrs.frozen
class SendOutcome:
    """The outcome of one send.

    Attributes
    ----------
    result : Result
        How the send ended.
    answer : ClientAnswer or None
        The backend server's answer, if it may be passed to the caller.
    reason : str
        Why there is no answer to deliver; empty for `Result.DELIVER`.
    server_id : str
        Id of the backend server.
    """

    result: Result
    answer: ClientAnswer | None = None
    reason: str = ""
    server_id: str = ""

    def drop(self) -> None:
        """Give up the answer, as it is not needed."""
        if self.answer is not None and self.answer.stream is not None:
            self.answer.stream.abort()


@attrs.define(eq=False)
class Exchange:
    """State of one request over all its sends.

    Attributes
    ----------
    id : int
        Unique on this daemon; also the id of its placement request.
    request : CallerRequest
        The caller's request.
    request_id : str
        Id from the caller's headers; empty if there is none.
    version : int
        Version of the routing table that the request is handled by.
    route : Route
        The matching route.
    service : str
        Service that the route's split selected.
    deadline : float
        When the answer is due, in seconds on the event loop's clock.
    placement_request : PlacementRequest
        The request as the placer sees it.
    account : ClientAccount or None
        Client account that the request belongs to.
    has_accounts : bool
        Whether the routing table has accounts.
    sends : int
        Sends that reached a backend server.
    unsent : int
        Sends that reached no backend server.
    may_have_run : bool
        Whether a backend server may have run the request.
    on_trial : bool
        Whether the request is blocked and runs as a trial.
    """

    id: int
    request: CallerRequest
    request_id: str
    version: int
    route: Route
    service: str
    deadline: float
    placement_request: PlacementRequest
    account: ClientAccount | None = None
    has_accounts: bool = False
    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False
    on_trial: bool = False
    _fingerprints: Fingerprints | None = None

    @property
    def fingerprints(self) -> Fingerprints:
        """Hashes of the request, the same for each attempt of the caller."""
        if self._fingerprints is None:
            request = self.request
            self._fingerprints = fingerprints(
                request.caller, request.method, request.host, request.path, request.body
            )
        return self._fingerprints


@attrs.define
class _AnswerMatcher:
    """Decodes the metadata of answers on a connection until the answer to the request arrives."""

    header_codec: HeaderCodec
    request_id: str
    metadata: AnswerMetadata | None = None

    def matches(self, status: int, headers: RawHeaders) -> bool:
        """Return False for an answer that names another request, such as an earlier one."""
        self.metadata = self.header_codec.read_answer(status, headers)
        answered_id = self.metadata.request_id
        if answered_id and answered_id != self.request_id:
            _log.warning(
                "answer of another request dropped",
                request_id=self.request_id,
                answered=answered_id,
            )
            return False
        return True


class Sender:
    """Sends requests and records what the answers show about backend servers.

    Parameters
    ----------
    placer : Placer
        Receives load reports, failures and latencies.
    pool : ConnectionPool
        Connections to backend servers.
    header_codec : HeaderCodec
        Decodes and encodes the headers that carry metadata of requests and answers.
    counters : Counters
        Metrics of this daemon.
    limits : AnnouncementRecorder
        Receives the server limits in answers.
    crashes : CrashReports
        Receives crashes of servers, and answers that refute them.
    on_first_send : callable
        Called with the service of each request that is sent for the first time.
    on_load_changed : callable
        Called with a server's id and whether a request to it failed, so that the load is sent to
        the other daemons.
    """

    def __init__(
        self,
        placer: Placer,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        counters: Counters,
        limits: AnnouncementRecorder,
        crashes: CrashReports,
        on_first_send: Callable[[str], None],
        on_load_changed: Callable[[str, bool], None],
    ) -> None:
        self._placer = placer
        self._pool = pool
        self._header_codec = header_codec
        self._counters = counters
        self._on_first_send = on_first_send
        self._on_load_changed = on_load_changed
        self._limits = limits
        self._crashes = crashes
        self._throttled_services: set[str] = set()

    async def send(self, exchange: Exchange, server: ServerEntry) -> SendOutcome:
        """Send a request to a backend server and return the outcome.

        The caller holds a slot at the server. Cancelling this coroutine closes the connection, by
        which the server learns that the request is cancelled.
        """
        outcome = await self._send(exchange, server)
        self._log(exchange, server, outcome)
        return attrs.evolve(outcome, server_id=server.id)

    async def _send(self, exchange: Exchange, server: ServerEntry) -> SendOutcome:
        loop = asyncio.get_running_loop()
        try:
            connection = await self._pool.acquire(server.address)
        except ConnectError as error:
            exchange.unsent += 1
            self._on_failure(server)
            return SendOutcome(Result.NOT_SENT, reason=str(error))
        left_s = exchange.deadline - loop.time()
        if left_s < MIN_TIME_LEFT_S:
            self._pool.release(server.address, connection)
            return SendOutcome(Result.OUT_OF_TIME)
        if not connection.open:
            exchange.unsent += 1
            return SendOutcome(Result.NOT_SENT, reason="the connection was closed")
        head = self._head(exchange, server, left_s)
        self._counters.sends += 1
        load = self._placer.load(server.id)
        self._counters.limited_sends += load is not None and load.limit.per_s is not None
        if exchange.sends == 0:
            self._on_first_send(exchange.service)
        exchange.sends += 1
        exchange.may_have_run, may_have_run_before = True, exchange.may_have_run
        matcher = _AnswerMatcher(self._header_codec, exchange.request_id)
        is_near = self._placer.is_near(server)
        request_bytes = len(head) + len(exchange.request.body)
        self._counters.on_traffic(TrafficKind.REQUESTS, is_near, request_bytes)
        started = loop.time()
        try:
            answer = await connection.send_request(
                head,
                exchange.request.body,
                matcher.matches,
                bodiless=exchange.request.method == "HEAD",
                stream_above=STREAM_ABOVE_BYTES,
            )
        except ConnectError as error:
            exchange.sends -= 1
            exchange.unsent += 1
            exchange.may_have_run = may_have_run_before
            return SendOutcome(Result.NOT_SENT, reason=str(error))
        except AnswerError as error:
            if isinstance(error, ConnectionLostError):
                self._crashes.on_crash(exchange.fingerprints, server)
                if loop.time() - started <= QUICK_RESET_S:
                    self._record_outcome(exchange, accepted=False)
            self._on_failure(server)
            return SendOutcome(Result.MAY_HAVE_RUN, reason=str(error))
        except asyncio.CancelledError:
            self._on_cancelled(exchange, server)
            raise
        self._counters.on_traffic(TrafficKind.ANSWERS, is_near, answer.size)
        metadata = matcher.metadata
        assert metadata is not None
        if exchange.request_id and not metadata.request_id:
            # It may be a late copy of an earlier answer; the one to this request may still come.
            connection.abort()
            self._on_failure(server)
            return SendOutcome(Result.MAY_HAVE_RUN, reason="the answer doesn't name its request")
        self._record_report(server, metadata)
        if answer.status != 421:
            self._limits.on_answer(server.id, metadata)
            self._crashes.on_answer(server)
        if answer.stream is None:
            self._pool.release(server.address, connection)
        else:
            self._follow_stream(exchange, server, connection, answer.stream)
        outcome = self._classify(exchange, server, answer, metadata)
        if outcome.result in (Result.NOT_RUN, Result.MISDIRECTED):
            exchange.may_have_run = may_have_run_before
        if outcome.result is Result.DELIVER:
            self._record_survival(exchange)
            self._record_latency(exchange, server, loop.time() - started, answer)
        elif answer.stream is not None:
            answer.stream.abort()
        return outcome

    def _follow_stream(
        self, exchange: Exchange, server: ServerEntry, connection: Connection, stream: BodyStream
    ) -> None:
        """End a stream at the deadline, and return its connection to the pool if it ends well.

        The server has processed the request, so its slot does not wait for the caller.
        """
        timer = asyncio.get_running_loop().call_at(exchange.deadline, stream.abort)

        def on_close(whole: bool) -> None:
            timer.cancel()
            if whole:
                self._pool.release(server.address, connection)
                return
            if not stream.aborted:
                self._on_failure(server)
            self._counters.answers_ended_early += 1
            _log.info(
                "answer ended early",
                request_id=exchange.request_id,
                server=server.id,
                given_up=stream.aborted,
            )

        stream.call_on_close(on_close)

    def _head(self, exchange: Exchange, server: ServerEntry, left_s: float) -> bytes:
        request = exchange.request
        headers = end_to_end_headers(request.headers, self._header_codec.metadata_names)
        account = exchange.account.name if exchange.account is not None else None
        metadata = SendMetadata(server.id, left_s, account, exchange.has_accounts)
        headers = self._header_codec.outgoing_headers(headers, metadata)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        return request_head(request.method, request.target, headers)

    def _classify(
        self,
        exchange: Exchange,
        server: ServerEntry,
        answer: ClientAnswer,
        metadata: AnswerMetadata,
    ) -> SendOutcome:
        if metadata.not_run and answer.status == 421:
            self._on_failure(server)
            return SendOutcome(Result.MISDIRECTED, reason="another server has the address")
        if metadata.not_run:
            self._on_shed(server)
            self._record_outcome(exchange, accepted=False)
            return SendOutcome(Result.NOT_RUN, reason="the backend server shed the request")
        fault = _answer_fault(answer, metadata)
        if fault:
            self._on_failure(server)
            return SendOutcome(Result.MAY_HAVE_RUN, reason=fault)
        if answer.status >= 500:
            self._on_failure(server)
            return SendOutcome(Result.FAILED_STATUS, answer, f"status {answer.status}")
        self._record_outcome(exchange, accepted=True)
        self._on_load_changed(server.id, False)
        load = self._placer.load(server.id)
        if load is not None:
            load.on_success()
        return SendOutcome(Result.DELIVER, answer)

    def _record_report(self, server: ServerEntry, metadata: AnswerMetadata) -> None:
        if metadata.report is not None:
            # The server does not count the answered request in its report any more.
            self._placer.on_report(asyncio.get_running_loop().time(), server.id, metadata.report)

    def _record_survival(self, exchange: Exchange) -> None:
        is_small = len(exchange.request.body) <= MAX_REMEMBERED_BODY_BYTES
        if is_small or self._crashes.any_suspected:
            self._crashes.on_survived(exchange.fingerprints)

    def _record_latency(
        self, exchange: Exchange, server: ServerEntry, seconds: float, answer: ClientAnswer
    ) -> None:
        load = self._placer.load(server.id)
        slowdown = load.report.slowdown if load is not None and load.report is not None else 1.0
        body_bytes = len(exchange.request.body) + answer.body_size
        self._placer.work.on_answer(exchange.route.name, seconds, slowdown, body_bytes)
        self._counters.backend.observe(seconds)

    def _record_outcome(self, exchange: Exchange, *, accepted: bool) -> None:
        """Record whether a server accepted the request, and log what changes by that."""
        now = asyncio.get_running_loop().time()
        service = exchange.service
        self._placer.on_outcome(now, service, accepted=accepted)
        is_throttled = self._placer.is_throttled(now, service)
        if is_throttled == (service in self._throttled_services):
            return
        self._throttled_services ^= {service}
        self._counters.throttles += is_throttled
        _log.warning(
            "service throttled" if is_throttled else "service no longer throttled",
            service=service,
            accepted_share=round(self._placer.accepted_share(now, service), 3),
        )

    def _on_failure(self, server: ServerEntry) -> None:
        load = self._placer.load(server.id)
        if load is not None:
            load.on_failure(asyncio.get_running_loop().time())
        self._pool.close_idle(server.address)
        self._on_load_changed(server.id, True)

    def _on_shed(self, server: ServerEntry) -> None:
        load = self._placer.load(server.id)
        if load is not None:
            load.on_shed(asyncio.get_running_loop().time())

    def _on_cancelled(self, exchange: Exchange, server: ServerEntry) -> None:
        """Log a cancelled send; one that reached the deadline counts as a failure of the server."""
        if asyncio.get_running_loop().time() >= exchange.deadline:
            self._on_failure(server)
            reason = "the time was up"
        else:
            reason = "the caller left, or another send was faster"
        self._log(exchange, server, SendOutcome(Result.CANCELLED, reason=reason))

    def _log(self, exchange: Exchange, server: ServerEntry, outcome: SendOutcome) -> None:
        now = asyncio.get_running_loop().time()
        load = self._placer.load(server.id)
        if outcome.result is Result.MAY_HAVE_RUN:
            _log.info(
                "no answer came",
                request_id=exchange.request_id,
                server=server.id,
                fingerprint=exchange.fingerprints.content,
                caller=exchange.request.caller,
            )
        _log.info(
            "request sent",
            request_id=exchange.request_id,
            route=exchange.route.name,
            version=exchange.version,
            server=server.id,
            send=exchange.sends,
            result=outcome.result.value,
            reason=outcome.reason,
            deadline_ms=round((exchange.deadline - exchange.request.arrived_at) * 1000),
            since_arrival_ms=round((now - exchange.request.arrived_at) * 1000, 1),
            in_flight=load.in_flight(now) if load else None,
            pace=round(load.slowdown(now), 2) if load else None,
            limit_per_s=load.limit.per_s if load else None,
            report_age_ms=round(min(99.0, now - load.reported_at) * 1000) if load else None,
        )


def _answer_fault(answer: ClientAnswer, metadata: AnswerMetadata) -> str:
    """Return why an answer cannot be passed to the caller, or an empty string if it can."""
    if not 200 <= answer.status <= 599:
        return f"the answer's status {answer.status} is not usable"
    if not metadata.signed:
        return "the answer is not marked as the server's own"
    if answer.status < 300 and not metadata.request_id:
        return "the answer doesn't name its request"
    if any(name == b"content-encoding" for name, _ in answer.headers):
        return "the answer's body is encoded"
    return ""
