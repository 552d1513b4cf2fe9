"""One request from its arrival to its answer: route, place, send, judge, and maybe send again."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable, Iterator
from itertools import count

from sycamorebay import log
from sycamorebay.coordination.placing import Decision, Place, PlacementRequest, Placer, Refuse, Wait
from sycamorebay.coordination.retry_budget import RetryLimits, WindowedRetryBudget
from sycamorebay.coordination.splitting import Splitter
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.protocol.header_codec import HeaderCodec
from sycamorebay.protocol.problem import problem_body, problem_headers
from sycamorebay.state.routing import Route, RouteKind, RoutingTable
from sycamorebay.state.server_entries import ServerEntry
from sycamorebay.transport.gateway.client import ClientAnswer, Pool
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.listener import CallerAnswer, CallerRequest
from sycamorebay.transport.gateway.sending import (
    HOP_BY_HOP,
    MIN_TIME_LEFT_S,
    Exchange,
    Result,
    Sender,
    Sent,
)

# Sends that reached no backend server don't count as attempts, but they end some time.
MAX_UNSENT = 4
# Part of the retry budget that hedges may use; the rest is for requests that failed.
HEDGE_SHARE = 0.5
_log = log.get_logger("forward")


class Forwarder:
    """Forwards requests by the routes in force.

    Parameters
    ----------
    placer : Placer
        Decides where requests go.
    pool : Pool
        Connections to backend servers.
    header_codec : HeaderCodec
        Marks of requests and answers.
    limits : RetryLimits
        What the fleet may send again.
    daemons : callable
        How many daemons share that.
    counters : Counters
        Counts what happens.
    on_seen : callable
        Told a server's id, and whether it failed, for the other daemons.
    """

    def __init__(
        self,
        placer: Placer,
        pool: Pool,
        header_codec: HeaderCodec,
        limits: RetryLimits,
        daemons: Callable[[], int],
        counters: Counters,
        on_seen: Callable[[str, bool], None],
    ) -> None:
        self._placer = placer
        self._header_codec = header_codec
        self._limits = limits
        self._daemons = daemons
        self._counters = counters
        self._splitter = Splitter(random.Random())
        self._budgets_by_service: dict[str, WindowedRetryBudget] = {}
        self._waiters_by_id: dict[int, asyncio.Future[Decision]] = {}
        self._ids = count(1)
        self.routing: RoutingTable | None = None
        self._on_seen = on_seen
        self._sender = Sender(placer, pool, header_codec, counters, self._on_first_send, on_seen)

    def on_routing(self, routing: RoutingTable) -> None:
        """Put a configuration in force for every request that comes after."""
        self.routing = routing
        self._splitter.forget()

    def may_overlap(self, request: CallerRequest) -> bool:
        """Whether a pipelined request may run before those ahead of it are answered."""
        route = self._route(request)
        return route is not None and route.kind is RouteKind.SAFE

    async def forward(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer of one request; cancelling this tells that its caller has left."""
        metadata = self._header_codec.read_request(request.headers)
        try:
            return await self._forward(request, metadata.request_id, metadata.deadline_s)
        except Exception as error:
            _log.exception("request failed", request_id=metadata.request_id, error=repr(error))
            refusal = Unknown("forward", "", "the gateway failed", 500)
            return self._refused(metadata.request_id, refusal)

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
        placement_request = PlacementRequest(
            id=number,
            service=service,
            route=route.name,
            priority=route.priority,
            goal_at=request.arrived + route.goal_s,
            deadline=deadline,
        )
        version = self.routing.version if self.routing is not None else 0
        return Exchange(
            number, request, request_id, version, route, service, deadline, placement_request
        )

    async def _run(self, exchange: Exchange) -> CallerAnswer:
        while True:
            decision = await self._decide(exchange)
            if isinstance(decision, Refuse):
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
        decision = self._placer.on_request(loop.time(), exchange.placement_request)
        if not isinstance(decision, Wait):
            return decision
        waiter: asyncio.Future[Decision] = loop.create_future()
        self._waiters_by_id[exchange.id] = waiter
        try:
            return await waiter
        except asyncio.CancelledError:
            self._placer.on_caller_gone(exchange.id)
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

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = WindowedRetryBudget(self._limits)
        return budget

    def _on_first_send(self, service: str) -> None:
        self._budget(service).on_request(asyncio.get_running_loop().time())

    async def _send_or_hedge(self, exchange: Exchange, server: ServerEntry) -> Sent:
        """Send; where a safe request takes long, send it to a second server too."""
        loop = asyncio.get_running_loop()
        hedge_at = self._placer.hedge_at(exchange.placement_request, loop.time())
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
        place = self._placer.on_hedge(now, exchange.placement_request)
        if place is not None:
            self._counters.hedges += 1
        return place

    async def _send(self, exchange: Exchange, server: ServerEntry) -> Sent:
        with self._slot(server.id):
            return await self._sender.send(exchange, server)

    @contextlib.contextmanager
    def _slot(self, server_id: str) -> Iterator[None]:
        self._on_seen(server_id, False)
        try:
            yield
        finally:
            self._end(server_id)

    def _end(self, server_id: str) -> None:
        now = asyncio.get_running_loop().time()
        self.on_decisions(self._placer.on_end(now, server_id))
        self._on_seen(server_id, False)

    # Answers

    def _delivered(self, exchange: Exchange, answer: ClientAnswer) -> CallerAnswer:
        seconds = asyncio.get_running_loop().time() - exchange.request.arrived
        self._counters.answered.observe(seconds)
        headers = [pair for pair in answer.headers if pair[0] not in HOP_BY_HOP]
        return CallerAnswer(answer.status, headers, answer.body)

    def _turned_away(self, exchange: Exchange, decision: Refuse) -> CallerAnswer:
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
