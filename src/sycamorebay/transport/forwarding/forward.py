"""One caller's request from its arrival to its answer's last byte."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable
from itertools import count

from sycamorebay import log
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.messages import (
    Action,
    Answer,
    Deliver,
    Enqueue,
    Failure,
    Refuse,
    Request,
    Send,
)
from sycamorebay.coordination.operations import Operations
from sycamorebay.metrics import Metrics
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.protocol import headers as names
from sycamorebay.protocol.headers import (
    Headers,
    answer_headers,
    header_value,
    load_report,
    request_headers,
    request_id_of,
)
from sycamorebay.protocol.problem import problem_body, problem_headers
from sycamorebay.state.operations import KeptAnswer
from sycamorebay.transport.forwarding.exchange import (
    Exchange,
    ForwardedBody,
    IncomingRequest,
    OutgoingAnswer,
)
from sycamorebay.transport.forwarding.hedging import Race
from sycamorebay.transport.forwarding.upstream import (
    AttemptError,
    BackendAnswer,
    CallerBodyError,
    OutgoingRequest,
    Upstream,
)
from sycamorebay.transport.operations.inquire import Inquirer
from sycamorebay.transport.operations.operate import Forwarding, OperationRunner

MAX_REPLAYABLE_BYTES = 65_536
WAIT_GRACE_S = 0.5

_log = log.get_logger("forward")


class Forwarder:
    """Drives the decisions for every request and carries out their actions.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides where requests go.
    operations : Operations
        Decides whether keyed operations run.
    inquirer : Inquirer
        Asks peers about keyed operations.
    upstream : Upstream
        Reaches backend servers.
    metrics : Metrics
        Counts what happens.
    clock : callable
        Time in seconds, never going back.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        operations: Operations,
        inquirer: Inquirer,
        upstream: Upstream,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dispatcher = dispatcher
        forwarding = Forwarding(
            self._run_owned, self._refused, self._replayed, dispatcher.failure_domains
        )
        self.operations = OperationRunner(operations, inquirer, forwarding)
        self._upstream = upstream
        self._metrics = metrics
        self._clock = clock
        self._ids = count(1)
        self._id_prefix = uuid.uuid4().hex[:12]
        self._by_request: dict[int, Exchange] = {}

    @property
    def in_flight(self) -> int:
        """Requests whose answer's head has not been decided yet."""
        return len(self._by_request)

    async def forward(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Return the answer of one request; cancelling it tells that the caller is gone."""
        arrived = self._clock()
        self._metrics.requests.inc()
        exchange = self._open(incoming, arrived)
        key = header_value(incoming.headers, names.IDEMPOTENCY_KEY)
        if key is None:
            return await self._run_owned(exchange)
        try:
            await _read_body(exchange)
        except CallerBodyError as error:
            return self._refused(exchange, NotRun("read", "caller", str(error), 408))
        return await self.operations.operate(exchange, key)

    async def _run_owned(self, exchange: Exchange) -> OutgoingAnswer:
        """Run a request; cancelling this gives it up."""
        self._by_request[exchange.request.id] = exchange
        try:
            await _read_body(exchange)
            return await self._run(exchange)
        except CallerBodyError as error:
            self._give_up(exchange)
            outcome = Unknown if exchange.sent else NotRun
            return self._refused(exchange, outcome("read", "caller", str(error), 408))
        except BaseException:
            self._give_up(exchange)
            raise
        finally:
            del self._by_request[exchange.request.id]

    def on_early_refusal(self, refusal: Refusal) -> None:
        """Take a refusal of something that could not be read as a request."""
        self._metrics.requests.inc()
        self._count_refusal(refusal, "")

    def on_actions(self, actions: list[Action]) -> None:
        """Carry out actions that no request's own event returned, such as a timer's."""
        self._carry_out(actions)

    def _open(self, incoming: IncomingRequest, arrived: float) -> Exchange:
        length = incoming.content_length
        streamed = incoming.has_body() and (length is None or length > MAX_REPLAYABLE_BYTES)
        request_id = next(self._ids)
        request = Request(
            id=request_id,
            host=incoming.host,
            method=incoming.method,
            path=incoming.path,
            replayable=not streamed,
            deadline_s=_deadline_s(incoming.headers),
        )
        log_id = request_id_of(incoming.headers) or f"{self._id_prefix}-{request_id}"
        body = incoming.chunks() if streamed else None
        exchange = Exchange(incoming, request, log_id, arrived, body)
        exchange.race = Race(
            lambda send: self._attempt(exchange, send), self._carry_out, OutgoingAnswer.discard
        )
        return exchange

    def _give_up(self, exchange: Exchange) -> None:
        self._carry_out(self._dispatcher.on_caller_gone(self._clock(), exchange.request.id))

    async def _run(self, exchange: Exchange) -> OutgoingAnswer:
        actions = self._dispatcher.on_request(self._clock(), exchange.request)
        while True:
            action = self._own(exchange, actions)
            if isinstance(action, Enqueue):
                action = await self._wait(exchange, action.until)
            if isinstance(action, Refuse):
                return self._refused(exchange, action.refusal)
            if not isinstance(action, Send):
                raise RuntimeError(f"no request can follow {action}")
            assert exchange.race is not None
            answer, actions = await exchange.race.run(action)
            if answer is not None:
                return answer

    async def _attempt(
        self, exchange: Exchange, send: Send
    ) -> tuple[OutgoingAnswer | None, list[Action]]:
        self._metrics.attempts.inc()
        if send.hedge:
            self._metrics.hedges.inc()
        else:
            exchange.first_sent = self._clock()
        started = exchange.first_sent
        attempt_id = send.attempt_id

        def may_send() -> bool:
            allowed = self._dispatcher.may_send(attempt_id)
            exchange.sent = exchange.sent or allowed
            return allowed

        try:
            answer = await self._upstream.send(self._outgoing(exchange, send), may_send)
        except AttemptError as error:
            exchange.backend_s += self._clock() - started
            return None, self._failed(exchange, send, error.failure)
        now = self._clock()
        exchange.backend_s += now - started
        try:
            return self._judge(exchange, send, answer, now)
        except BaseException:
            answer.abort()
            raise

    def _judge(
        self, exchange: Exchange, send: Send, answer: BackendAnswer, now: float
    ) -> tuple[OutgoingAnswer | None, list[Action]]:
        by_name = dict(answer.headers)
        shed = by_name.get(names.OUTCOME) == NotRun.tag
        head = Answer(answer.status, shed, load_report(by_name))
        actions = self._dispatcher.on_answer(now, send.attempt_id, head)
        if not any(isinstance(action, Deliver) for action in actions):
            answer.abort()
            return None, actions
        self._observe(exchange, now)
        return self._deliver(exchange, send, answer), actions

    def _failed(self, exchange: Exchange, send: Send, failure: Failure) -> list[Action]:
        _log.warning(
            "attempt failed",
            request_id=exchange.log_id,
            step=failure.step,
            peer=send.backend_server.id,
            reason=failure.reason,
        )
        return self._dispatcher.on_failure(self._clock(), send.attempt_id, failure)

    def _outgoing(self, exchange: Exchange, send: Send) -> OutgoingRequest:
        incoming = exchange.incoming
        return OutgoingRequest(
            address=send.backend_server.address,
            method=incoming.method,
            target=incoming.target,
            headers=request_headers(incoming.headers, incoming.caller, exchange.log_id),
            body=exchange.body,
            length=incoming.content_length,
            deadline=send.deadline,
        )

    def _deliver(self, exchange: Exchange, send: Send, answer: BackendAnswer) -> OutgoingAnswer:
        def on_end() -> None:
            self._carry_out(self._dispatcher.on_end(self._clock(), send.attempt_id))

        body = ForwardedBody(answer, send.deadline, exchange.log_id, send.backend_server.id, on_end)
        headers = answer_headers(answer.headers, answer.status, exchange.log_id)
        return OutgoingAnswer(answer.status, headers, body)

    def _observe(self, exchange: Exchange, now: float) -> None:
        self._metrics.backend.observe(exchange.backend_s)
        self._metrics.added.observe(now - exchange.arrived - exchange.backend_s)

    def _replayed(self, kept: KeptAnswer) -> OutgoingAnswer:
        return OutgoingAnswer(kept.status, list(kept.headers), kept.body)

    def _refused(self, exchange: Exchange, refusal: Refusal) -> OutgoingAnswer:
        self._count_refusal(refusal, exchange.log_id)
        headers = problem_headers(refusal, exchange.log_id)
        return OutgoingAnswer(refusal.status, headers, problem_body(refusal, exchange.log_id))

    def _count_refusal(self, refusal: Refusal, log_id: str) -> None:
        self._metrics.on_refusal(refusal)
        _log.info(
            "request refused",
            request_id=log_id,
            outcome=refusal.tag,
            step=refusal.step,
            peer=refusal.peer,
            reason=refusal.reason,
        )

    def _own(self, exchange: Exchange, actions: list[Action]) -> Action:
        own = actions[0]
        if len(actions) > 1:
            self._carry_out(actions[1:])
        return own

    async def _wait(self, exchange: Exchange, until: float) -> Action:
        exchange.mailbox = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(until - self._clock() + WAIT_GRACE_S):
                return await exchange.mailbox
        except TimeoutError:
            return self._overdue(exchange)
        finally:
            exchange.mailbox = None

    def _overdue(self, exchange: Exchange) -> Refuse:
        """Give up a request for which no decision came in its time."""
        self._dispatcher.invariants.check(False, "decided in time")
        self._give_up(exchange)
        outcome = Unknown if exchange.sent else NotRun
        reason = "no decision came before the deadline"
        return Refuse(exchange.request.id, outcome("wait", "", reason, 504))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            exchange = self._by_request.get(action.request_id)
            if exchange is None:
                continue
            mailbox = exchange.mailbox
            if mailbox is not None and not mailbox.done():
                mailbox.set_result(action)
            elif isinstance(action, Send) and exchange.race is not None:
                exchange.race.on_send(action)


def _deadline_s(headers: Headers) -> float | None:
    value = header_value(headers, names.DEADLINE)
    if value is None or not value.isdecimal():
        return None
    return int(value[:9]) / 1000


async def _read_body(exchange: Exchange) -> None:
    if exchange.body is None and exchange.incoming.has_body():
        exchange.body = await exchange.incoming.read()
