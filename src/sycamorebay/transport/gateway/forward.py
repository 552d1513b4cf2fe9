"""One request from its arrival to its answer: route, place, send, judge, and maybe send again."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from collections.abc import AsyncIterator, Callable, Iterator
from itertools import count

import attrs

from sycamorebay import log
from sycamorebay.coordination.placing import Decision, Place, Placer, TurnAway, Wait, Waiting
from sycamorebay.coordination.retry_budget import RetryBounds, RetryBudget
from sycamorebay.coordination.splitting import Splitter
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.protocol.dialect import AnswerMarks, Dialect, RawHeaders
from sycamorebay.protocol.problem import problem_body, problem_headers
from sycamorebay.state.routing import Kind, Route, RoutingTable
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.client import (
    AnswerError,
    ClientAnswer,
    ConnectError,
    Pool,
    request_head,
)
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.listener import CallerAnswer, CallerRequest

# Sends that reached no backend server don't count as attempts, but they end some time.
MAX_UNSENT = 4
# Part of the retry budget that hedges may use; the rest is for requests that failed.
HEDGE_SHARE = 0.5
# Below this a send can't be answered any more.
MIN_TIME_LEFT_S = 0.005
_HOP_BY_HOP = frozenset(
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

_log = log.part("forward")


class Result(enum.Enum):
    """How one send ended."""

    DELIVER = "deliver"
    FAILED_STATUS = "failed status"
    NOT_RUN = "not run"
    NOT_SENT = "not sent"
    MISDIRECTED = "misdirected"
    MAY_HAVE_RUN = "may have run"
    OUT_OF_TIME = "out of time"


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
    route: Route
    service: str
    deadline: float
    waiting: Waiting
    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False


class Forwarder:
    """Forwards requests by the routes in force.

    Parameters
    ----------
    placer : Placer
        Decides where requests go.
    pool : Pool
        Connections to backend servers.
    dialect : Dialect
        Marks of requests and answers.
    bounds : RetryBounds
        What the fleet may send again.
    daemons : callable
        How many daemons share that.
    counters : Counters
        Counts what happens.
    """

    def __init__(
        self,
        placer: Placer,
        pool: Pool,
        dialect: Dialect,
        bounds: RetryBounds,
        daemons: Callable[[], int],
        counters: Counters,
    ) -> None:
        self._placer = placer
        self._pool = pool
        self._dialect = dialect
        self._bounds = bounds
        self._daemons = daemons
        self._counters = counters
        self._splitter = Splitter(random.Random())
        self._budgets_by_service: dict[str, RetryBudget] = {}
        self._waiters_by_id: dict[int, asyncio.Future[Decision]] = {}
        self._ids = count(1)
        self.routing: RoutingTable | None = None
        self.on_seen: Callable[[str, bool], None] = lambda _server, _failed: None

    def on_routing(self, routing: RoutingTable) -> None:
        """Put a configuration in force for every request that comes after."""
        self.routing = routing
        self._splitter.forget()

    def may_overlap(self, request: CallerRequest) -> bool:
        """Whether a pipelined request may run before those ahead of it are answered."""
        route = self._route(request)
        return route is not None and route.kind is Kind.SAFE

    async def forward(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer of one request; cancelling this tells that its caller has left."""
        marks = self._dialect.read_request(request.headers)
        try:
            return await self._forward(request, marks.request_id, marks.deadline_s)
        except Exception as error:
            _log.exception("request failed", request_id=marks.request_id, error=repr(error))
            refusal = Unknown("forward", "", "the gateway failed", 500)
            return self._refused(marks.request_id, refusal)

    def on_decisions(self, decisions: list[Decision]) -> None:
        """Hand decisions to the requests that wait for them."""
        for decision in decisions:
            waiter = self._waiters_by_id.get(decision.request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, Place):
                self._end(decision.server.id)

    # Inside

    def _route(self, request: CallerRequest) -> Route | None:
        return self.routing.find(request.host, request.path) if self.routing else None

    async def _forward(
        self, request: CallerRequest, request_id: str, deadline_s: float | None
    ) -> CallerAnswer:
        self._counters.requests += 1
        if self.routing is None:
            return self._refused(request_id, NotRun("route", "", "no configuration is known yet"))
        route = self._route(request)
        if route is None:
            return self._refused(request_id, NotRun("route", "", "no route matches", 404))
        exchange = self._open(request, request_id, route, deadline_s)
        if exchange.deadline - request.arrived < MIN_TIME_LEFT_S:
            return self._refused(request_id, NotRun("deadline", "", "no time is left", 408))
        refusal = Unknown("deadline", "", "the time is up", 504)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(exchange.deadline):
                return await self._run(exchange)
        if not exchange.may_have_run:
            return self._refused(request_id, NotRun("deadline", "", "the time is up"))
        return self._refused(request_id, refusal)

    def _open(
        self, request: CallerRequest, request_id: str, route: Route, deadline_s: float | None
    ) -> Exchange:
        allowed_s = route.timeout_s if deadline_s is None else min(route.timeout_s, deadline_s)
        deadline = request.arrived + allowed_s
        service = self._splitter.choose(route)
        number = next(self._ids)
        waiting = Waiting(
            id=number,
            service=service,
            route=route.name,
            priority=route.priority,
            goal_at=request.arrived + route.goal_s,
            deadline=deadline,
        )
        return Exchange(number, request, request_id, route, service, deadline, waiting)

    async def _run(self, exchange: Exchange) -> CallerAnswer:
        while True:
            decision = await self._decide(exchange)
            if isinstance(decision, TurnAway):
                return self._turned_away(exchange, decision)
            assert isinstance(decision, Place)
            sent = await self._send_or_hedge(exchange, decision.server)
            if sent.result is Result.DELIVER:
                assert sent.answer is not None
                return self._delivered(exchange, sent.answer)
            refusal = self._after(exchange, sent)
            if refusal is not None:
                if sent.answer is not None and sent.result is Result.FAILED_STATUS:
                    return self._delivered(exchange, sent.answer)
                return self._refused(exchange.request_id, refusal)

    async def _decide(self, exchange: Exchange) -> Decision:
        loop = asyncio.get_running_loop()
        decision = self._placer.on_request(loop.time(), exchange.waiting)
        if not isinstance(decision, Wait):
            return decision
        waiter: asyncio.Future[Decision] = loop.create_future()
        self._waiters_by_id[exchange.id] = waiter
        try:
            return await waiter
        except asyncio.CancelledError:
            self._placer.on_leave(exchange.id)
            if waiter.done() and not waiter.cancelled():
                left = waiter.result()
                if isinstance(left, Place):
                    self._end(left.server.id)
            raise
        finally:
            del self._waiters_by_id[exchange.id]

    def _after(self, exchange: Exchange, sent: Sent) -> Refusal | None:
        """Return None where the request may be sent again, else its refusal."""
        unknown = exchange.may_have_run
        outcome = Unknown if unknown else NotRun
        refusal = outcome("send", sent.server_id, sent.reason or sent.result.value)
        if sent.result is Result.OUT_OF_TIME:
            return Unknown("send", sent.server_id, "the time is up", 504) if unknown else refusal
        if unknown and not exchange.route.kind.idempotent:
            return refusal
        if exchange.unsent >= MAX_UNSENT:
            return refusal
        if sent.result is Result.NOT_SENT:
            return None
        if exchange.sends >= exchange.route.attempts:
            return refusal
        now = asyncio.get_running_loop().time()
        if not self._budget(exchange.service).take(now, self._daemons()):
            self._counters.budget_empty += 1
            return refusal
        return None

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = RetryBudget(self._bounds)
        return budget

    async def _send_or_hedge(self, exchange: Exchange, server: ServerEntry) -> Sent:
        """Send; where a safe request takes long, send it to a second server too."""
        loop = asyncio.get_running_loop()
        hedge_at = self._placer.hedge_at(exchange.waiting, loop.time())
        if hedge_at is None or not exchange.route.kind.idempotent:
            return await self._send(exchange, server)
        async with _cancelled_at_exit() as sends:
            first = loop.create_task(self._send(exchange, server))
            sends.append(first)
            await asyncio.wait([first], timeout=hedge_at - loop.time())
            if not first.done():
                place = self._hedge(exchange)
                if place is not None:
                    sends.append(loop.create_task(self._send(exchange, place.server)))
            return await _first_delivered(sends)

    def _hedge(self, exchange: Exchange) -> Place | None:
        now = asyncio.get_running_loop().time()
        if exchange.sends >= exchange.route.attempts:
            return None
        if not self._budget(exchange.service).take(now, self._daemons(), HEDGE_SHARE):
            return None
        place = self._placer.on_hedge(now, exchange.waiting)
        if place is not None:
            self._counters.hedges += 1
        return place

    async def _send(self, exchange: Exchange, server: ServerEntry) -> Sent:
        with self._slot(server.id):
            sent = await self._send_in_slot(exchange, server)
        self._log_send(exchange, server, sent)
        return attrs.evolve(sent, server_id=server.id)

    @contextlib.contextmanager
    def _slot(self, server_id: str) -> Iterator[None]:
        self.on_seen(server_id, False)
        try:
            yield
        finally:
            self._end(server_id)

    def _end(self, server_id: str) -> None:
        now = asyncio.get_running_loop().time()
        self.on_decisions(self._placer.on_end(now, server_id))
        self.on_seen(server_id, False)

    async def _send_in_slot(self, exchange: Exchange, server: ServerEntry) -> Sent:
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
            self._budget(exchange.service).on_request(loop.time())
        exchange.sends += 1
        exchange.may_have_run, ran_before = True, exchange.may_have_run
        started = loop.time()
        try:
            answer = await connection.ask(
                head,
                exchange.request.body,
                lambda status, headers: self._is_own(exchange, status, headers),
                exchange.request.method == "HEAD",
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
            self._on_cancelled(exchange, server, loop.time() - started)
            raise
        marks = self._dialect.read_answer(answer.status, answer.headers)
        self._take_report(server, marks)
        self._pool.give_back(server.address, connection)
        sent = self._judge(exchange, server, answer, marks)
        if sent.result in (Result.NOT_RUN, Result.MISDIRECTED):
            exchange.may_have_run = ran_before
        if sent.result is Result.DELIVER:
            self._learn(exchange, server, loop.time() - started, len(answer.body))
        return sent

    def _head(self, exchange: Exchange, server: ServerEntry, left_s: float) -> bytes:
        request = exchange.request
        headers = [pair for pair in request.headers if pair[0] not in _HOP_BY_HOP]
        headers = self._dialect.mark_request(headers, server.id, left_s)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        return request_head(request.method, request.target, headers)

    def _is_own(self, exchange: Exchange, status: int, headers: RawHeaders) -> bool:
        """Whether an answer belongs to this request, or to one before it on the connection."""
        answered = self._dialect.read_answer(status, headers).request_id
        if answered and answered != exchange.request_id:
            _log.warning(
                "answer of another request dropped",
                request_id=exchange.request_id,
                answered=answered,
            )
            return False
        return True

    def _judge(
        self, exchange: Exchange, server: ServerEntry, answer: ClientAnswer, marks: AnswerMarks
    ) -> Sent:
        if marks.not_run and answer.status == 421:
            self._on_failure(server)
            return Sent(Result.MISDIRECTED, reason="another server has the address")
        if marks.not_run:
            self._on_shed(server)
            return Sent(Result.NOT_RUN, reason="the backend server shed the request")
        fault = _answer_fault(answer, marks)
        if fault:
            self._on_failure(server)
            return Sent(Result.MAY_HAVE_RUN, reason=fault)
        if answer.status >= 500:
            self._on_failure(server)
            return Sent(Result.FAILED_STATUS, answer, f"status {answer.status}")
        self.on_seen(server.id, False)
        load = self._placer.load(server.id)
        if load is not None:
            load.on_success()
        return Sent(Result.DELIVER, answer)

    def _take_report(self, server: ServerEntry, marks: AnswerMarks) -> None:
        if marks.report is not None:
            # The request that is answered has left the server already.
            self._placer.on_report(asyncio.get_running_loop().time(), server.id, marks.report)

    def _learn(
        self, exchange: Exchange, server: ServerEntry, seconds: float, answer_bytes: int
    ) -> None:
        load = self._placer.load(server.id)
        pace = load.report.pace if load is not None and load.report is not None else 1.0
        self._placer.work.on_answer(exchange.route.name, seconds, pace, answer_bytes)
        self._counters.backend.observe(seconds)

    def _on_failure(self, server: ServerEntry) -> None:
        load = self._placer.load(server.id)
        if load is not None:
            load.on_failure(asyncio.get_running_loop().time())
        self._pool.drop(server.address)
        self.on_seen(server.id, True)

    def _on_shed(self, server: ServerEntry) -> None:
        load = self._placer.load(server.id)
        if load is not None:
            load.on_shed(asyncio.get_running_loop().time())

    def _on_cancelled(self, exchange: Exchange, server: ServerEntry, seconds: float) -> None:
        """Take a caller's leaving, or the deadline; a server that was silent to it is suspect."""
        now = asyncio.get_running_loop().time()
        if now >= exchange.deadline:
            self._on_failure(server)

    # Answers

    def _delivered(self, exchange: Exchange, answer: ClientAnswer) -> CallerAnswer:
        seconds = asyncio.get_running_loop().time() - exchange.request.arrived
        self._counters.answered.observe(seconds)
        headers = [pair for pair in answer.headers if pair[0] not in _HOP_BY_HOP]
        return CallerAnswer(answer.status, headers, answer.body)

    def _turned_away(self, exchange: Exchange, decision: TurnAway) -> CallerAnswer:
        if exchange.may_have_run:
            refusal: Refusal = Unknown("place", exchange.service, decision.reason)
        else:
            refusal = NotRun(
                "place", exchange.service, decision.reason, 503, round(decision.retry_after_s, 3)
            )
        return self._refused(exchange.request_id, refusal)

    def _refused(self, request_id: str, refusal: Refusal) -> CallerAnswer:
        self._counters.on_refusal(refusal)
        _log.info(
            "request refused",
            request_id=request_id,
            outcome=refusal.tag,
            status=refusal.status,
            step=refusal.step,
            peer=refusal.peer,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
        )
        pairs = problem_headers(refusal, request_id)
        headers = [(name.encode(), value.encode()) for name, value in pairs]
        return CallerAnswer(refusal.status, headers, problem_body(refusal, request_id))

    def _log_send(self, exchange: Exchange, server: ServerEntry, sent: Sent) -> None:
        now = asyncio.get_running_loop().time()
        load = self._placer.load(server.id)
        _log.info(
            "request sent",
            request_id=exchange.request_id,
            route=exchange.route.name,
            version=self.routing.version if self.routing else 0,
            server=server.id,
            send=exchange.sends,
            result=sent.result.value,
            reason=sent.reason,
            deadline_ms=round((exchange.deadline - exchange.request.arrived) * 1000),
            since_arrival_ms=round((now - exchange.request.arrived) * 1000, 1),
            in_flight=load.in_flight(now) if load else None,
            pace=round(load.pace(now), 2) if load else None,
            report_age_ms=round(min(99.0, now - load.reported_at) * 1000) if load else None,
        )


@contextlib.asynccontextmanager
async def _cancelled_at_exit() -> AsyncIterator[list[asyncio.Task[Sent]]]:
    """Yield a list of sends, and end those that still run."""
    sends: list[asyncio.Task[Sent]] = []
    try:
        yield sends
    finally:
        for send in sends:
            send.cancel()
        await asyncio.gather(*sends, return_exceptions=True)


async def _first_delivered(sends: list[asyncio.Task[Sent]]) -> Sent:
    """Return the first send that brought an answer to deliver, else the last that ended."""
    pending: set[asyncio.Task[Sent]] = set(sends)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for send in done:
            sent = send.result()
            if sent.result is Result.DELIVER or not pending:
                return sent


def _answer_fault(answer: ClientAnswer, marks: AnswerMarks) -> str:
    """Return why an answer can't be passed on, or nothing."""
    if not 200 <= answer.status <= 599:
        return f"the answer's status {answer.status} is not usable"
    if answer.status < 300 and not marks.signed:
        return "the answer is not marked as the server's own"
    if answer.status < 300 and not marks.request_id:
        return "the answer doesn't name its request"
    if any(name == b"content-encoding" for name, _ in answer.headers):
        return "the answer's body is encoded"
    if not marks.signed:
        return "the answer is not marked as the server's own"
    return ""
