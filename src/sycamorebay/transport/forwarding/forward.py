"""Forwards each caller's request to a backend server and returns the answer."""

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
from sycamorebay.protocol import header_names
from sycamorebay.protocol.headers import (
    Headers,
    header_value,
    headers_to_backend_server,
    headers_to_caller,
    parse_load_report,
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

# A longer body is streamed, so it cannot be sent again.
MAX_REPLAYABLE_BYTES = 65_536
# A queued request without a decision this long after its limit is an invariant violation.
DECISION_GRACE_S = 0.5

_log = log.get_logger("forward")


class Forwarder:
    """Passes the events of each request to the dispatcher and executes the returned actions.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses a backend server, queues, retries, hedges or refuses each request.
    operations : Operations
        Decides whether a keyed operation runs, replays its kept answer or is refused.
    inquirer : Inquirer
        Asks peers about keyed operations.
    upstream : Upstream
        Sends attempts to backend servers.
    metrics : Metrics
        Receives request, attempt, hedge and refusal counts and the latency histograms.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    operations : OperationRunner
        Runs requests that carry an idempotency key.
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
            self._run_request,
            self._refusal_answer,
            self._replayed_answer,
            dispatcher.failure_domains,
        )
        self.operations = OperationRunner(operations, inquirer, forwarding)
        self._upstream = upstream
        self._metrics = metrics
        self._clock = clock
        self._ids = count(1)
        self._id_prefix = uuid.uuid4().hex[:12]
        self._exchange_by_request_id: dict[int, Exchange] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests that have neither an answer head nor a refusal yet."""
        return len(self._exchange_by_request_id)

    async def forward(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Forward one request and return its answer or refusal.

        Cancel the call when the caller has disconnected. That cancels the request's attempts,
        except for a keyed operation, which runs to its end so that its answer can be kept.

        Parameters
        ----------
        incoming : IncomingRequest
            The caller's request. Its body is read here.

        Returns
        -------
        OutgoingAnswer
            The backend server's answer, a kept answer or a refusal.
        """
        arrived_at = self._clock()
        self._metrics.requests.inc()
        exchange = self._create_exchange(incoming, arrived_at)
        key = header_value(incoming.headers, header_names.IDEMPOTENCY_KEY)
        if key is None:
            return await self._run_request(exchange)
        try:
            await _read_body(exchange)
        except CallerBodyError as error:
            return self._refusal_answer(exchange, NotRun("read", "caller", str(error), 408))
        return await self.operations.run_operation(exchange, key)

    async def _run_request(self, exchange: Exchange) -> OutgoingAnswer:
        """Run a request in the current task; cancelling the task cancels the request's attempts."""
        self._exchange_by_request_id[exchange.request.id] = exchange
        try:
            await _read_body(exchange)
            return await self._run_attempts(exchange)
        except CallerBodyError as error:
            self._give_up(exchange)
            outcome = Unknown if exchange.sent else NotRun
            return self._refusal_answer(exchange, outcome("read", "caller", str(error), 408))
        except BaseException:
            self._give_up(exchange)
            raise
        finally:
            del self._exchange_by_request_id[exchange.request.id]

    def on_early_refusal(self, refusal: Refusal) -> None:
        """Count and log a refusal that the caller's connection wrote itself, as for bad input."""
        self._metrics.requests.inc()
        self._count_refusal(refusal, "")

    def on_actions(self, actions: list[Action]) -> None:
        """Execute actions that no event of a request returned, such as those of a timer."""
        self._execute_actions(actions)

    def _create_exchange(self, incoming: IncomingRequest, arrived_at: float) -> Exchange:
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
        exchange = Exchange(incoming, request, log_id, arrived_at, body)
        exchange.race = Race(
            lambda send: self._attempt(exchange, send),
            self._execute_actions,
            OutgoingAnswer.discard,
        )
        return exchange

    def _give_up(self, exchange: Exchange) -> None:
        self._execute_actions(self._dispatcher.on_caller_gone(self._clock(), exchange.request.id))

    async def _run_attempts(self, exchange: Exchange) -> OutgoingAnswer:
        actions = self._dispatcher.on_request(self._clock(), exchange.request)
        while True:
            action = self._first_action(exchange, actions)
            if isinstance(action, Enqueue):
                action = await self._wait_in_queue(exchange, action.until)
            if isinstance(action, Refuse):
                return self._refusal_answer(exchange, action.refusal)
            if not isinstance(action, Send):
                raise RuntimeError(f"expected Send or Refuse for a request, got {action}")
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
            exchange.attempt_started_at = self._clock()
        started_at = exchange.attempt_started_at
        attempt_id = send.attempt_id

        def may_send() -> bool:
            allowed = self._dispatcher.may_send(attempt_id)
            exchange.sent = exchange.sent or allowed
            return allowed

        try:
            answer = await self._upstream.send(self._outgoing_request(exchange, send), may_send)
        except AttemptError as error:
            exchange.on_attempt_end(started_at, self._clock())
            return None, self._on_attempt_failure(exchange, send, error.failure)
        now = self._clock()
        exchange.on_attempt_end(started_at, now)
        try:
            return self._on_attempt_answer(exchange, send, answer, now)
        except BaseException:
            answer.abort()
            raise

    def _on_attempt_answer(
        self, exchange: Exchange, send: Send, answer: BackendAnswer, now: float
    ) -> tuple[OutgoingAnswer | None, list[Action]]:
        headers_by_name = dict(answer.headers)
        shed = headers_by_name.get(header_names.OUTCOME) == NotRun.tag
        head = Answer(answer.status, shed, parse_load_report(headers_by_name))
        actions = self._dispatcher.on_answer(now, send.attempt_id, head)
        if not any(isinstance(action, Deliver) for action in actions):
            answer.abort()
            return None, actions
        self._observe_latency(exchange, now)
        return self._deliver(exchange, send, answer), actions

    def _on_attempt_failure(self, exchange: Exchange, send: Send, failure: Failure) -> list[Action]:
        _log.warning(
            "attempt failed",
            request_id=exchange.log_id,
            step=failure.step,
            peer=send.backend_server.id,
            reason=failure.reason,
        )
        return self._dispatcher.on_failure(self._clock(), send.attempt_id, failure)

    def _outgoing_request(self, exchange: Exchange, send: Send) -> OutgoingRequest:
        incoming = exchange.incoming
        return OutgoingRequest(
            address=send.backend_server.address,
            method=incoming.method,
            target=incoming.target,
            headers=headers_to_backend_server(incoming.headers, incoming.caller, exchange.log_id),
            body=exchange.body,
            length=incoming.content_length,
            deadline=send.deadline,
        )

    def _deliver(self, exchange: Exchange, send: Send, answer: BackendAnswer) -> OutgoingAnswer:
        def on_end() -> None:
            self._execute_actions(self._dispatcher.on_end(self._clock(), send.attempt_id))

        body = ForwardedBody(answer, send.deadline, exchange.log_id, send.backend_server.id, on_end)
        headers = headers_to_caller(answer.headers, answer.status, exchange.log_id)
        return OutgoingAnswer(answer.status, headers, body)

    def _observe_latency(self, exchange: Exchange, now: float) -> None:
        self._metrics.backend.observe(exchange.backend_s)
        self._metrics.added.observe(now - exchange.arrived_at - exchange.backend_s)

    def _replayed_answer(self, kept: KeptAnswer) -> OutgoingAnswer:
        return OutgoingAnswer(kept.status, list(kept.headers), kept.body)

    def _refusal_answer(self, exchange: Exchange, refusal: Refusal) -> OutgoingAnswer:
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

    def _first_action(self, exchange: Exchange, actions: list[Action]) -> Action:
        """Return the action for the request itself, and execute those for other requests."""
        first = actions[0]
        if len(actions) > 1:
            self._execute_actions(actions[1:])
        return first

    async def _wait_in_queue(self, exchange: Exchange, until: float) -> Action:
        exchange.next_action = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(until - self._clock() + DECISION_GRACE_S):
                return await exchange.next_action
        except TimeoutError:
            return self._on_decision_timeout(exchange)
        finally:
            exchange.next_action = None

    def _on_decision_timeout(self, exchange: Exchange) -> Refuse:
        """Record an invariant violation and return the refusal of a request left undecided."""
        self._dispatcher.invariants.check(False, "decided in time")
        self._give_up(exchange)
        outcome = Unknown if exchange.sent else NotRun
        reason = "no decision came before the deadline"
        return Refuse(exchange.request.id, outcome("wait", "", reason, 504))

    def _execute_actions(self, actions: list[Action]) -> None:
        for action in actions:
            exchange = self._exchange_by_request_id.get(action.request_id)
            if exchange is None:
                continue
            next_action = exchange.next_action
            if next_action is not None and not next_action.done():
                next_action.set_result(action)
            elif isinstance(action, Send) and exchange.race is not None:
                exchange.race.on_send(action)


def _deadline_s(headers: Headers) -> float | None:
    """Return the caller's time limit in seconds, or None if it is missing or not a number.

    Only the first nine digits of the milliseconds are read.
    """
    value = header_value(headers, header_names.DEADLINE)
    if value is None or not value.isdecimal():
        return None
    return int(value[:9]) / 1000


async def _read_body(exchange: Exchange) -> None:
    if exchange.body is None and exchange.incoming.has_body():
        exchange.body = await exchange.incoming.read()
