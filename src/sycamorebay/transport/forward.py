"""One caller's request from its arrival to its answer's last byte."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from itertools import count
from typing import Protocol

import attrs

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
from sycamorebay.coordination.operations import KeptAnswer, Operations
from sycamorebay.metrics import Metrics
from sycamorebay.outcomes import NotRun, Refusal
from sycamorebay.protocol import headers as names
from sycamorebay.protocol.headers import Headers, end_to_end, header_value, load_report
from sycamorebay.protocol.problem import MEDIA_TYPE, problem_body
from sycamorebay.transport.operate import Operator
from sycamorebay.transport.upstream import AttemptError, BackendAnswer, OutgoingRequest, Upstream

MAX_REPLAYABLE_BYTES = 65_536

_log = log.part("forward")


class IncomingRequest(Protocol):
    """A caller's request as its listener read it."""

    method: str
    host: str
    path: str
    target: str
    headers: Headers
    caller: str
    content_length: int | None

    def has_body(self) -> bool:
        """Whether a body follows."""
        ...

    async def read(self) -> bytes:
        """Return the whole body."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        ...


@attrs.frozen
class OutgoingAnswer:
    """What the caller gets.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        End-to-end headers.
    body : bytes or ForwardedBody
        Whole, or streamed; a stream that raises aborts the caller's connection.
    """

    status: int
    headers: Headers
    body: bytes | ForwardedBody


@attrs.define
class Exchange:
    """State of one request in flight."""

    incoming: IncomingRequest
    request: Request
    log_id: str
    arrived: float
    body: bytes | AsyncIterator[bytes] | None
    mailbox: asyncio.Future[Action] | None = None
    backend_s: float = 0.0

    @staticmethod
    def replay(kept: KeptAnswer) -> OutgoingAnswer:
        """Return a kept answer as the caller gets it."""
        return OutgoingAnswer(kept.status, list(kept.headers), kept.body)


class ForwardedBody:
    """The body of a backend server's answer on its way to the caller.

    Parameters
    ----------
    answer : BackendAnswer
        The answer.
    log_id, peer : str
        The request and the backend server, for logs.
    on_end : callable
        Called once, when the body was read whole or given up.
    """

    def __init__(
        self, answer: BackendAnswer, log_id: str, peer: str, on_end: Callable[[], None]
    ) -> None:
        self._answer = answer
        self._log_id = log_id
        self._peer = peer
        self._on_end = on_end
        self._closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._answer.chunks():
                yield chunk
        except Exception as error:
            _log.warning(
                "answer cut off",
                request_id=self._log_id,
                step="body",
                peer=self._peer,
                reason=str(error) or type(error).__name__,
            )
            raise
        finally:
            await self.close()

    async def close(self) -> None:
        """Free the slot and the connection; more than once does no harm."""
        if self._closed:
            return
        self._closed = True
        self._on_end()
        await self._answer.release()


class Forwarder:
    """Drives the decisions for every request and carries out their actions.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides where requests go.
    operations : Operations
        Decides whether keyed operations run.
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
        upstream: Upstream,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dispatcher = dispatcher
        self._operator = Operator(operations, self._run, self._refused, clock)
        self._upstream = upstream
        self._metrics = metrics
        self._clock = clock
        self._ids = count(1)
        self._by_request: dict[int, Exchange] = {}

    @property
    def in_flight(self) -> int:
        """Requests whose answer's head has not been decided yet."""
        return len(self._by_request)

    async def forward(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Return the answer of one request; cancelling it tells that the caller is gone."""
        arrived = self._clock()
        self._metrics.requests.inc()
        exchange = await self._open(incoming, arrived)
        key = header_value(incoming.headers, names.IDEMPOTENCY_KEY)
        self._by_request[exchange.request.id] = exchange
        try:
            if key is None:
                return await self._run(exchange)
            return await self._operator.operate(exchange, key)
        except asyncio.CancelledError:
            self._carry_out(self._dispatcher.on_caller_gone(self._clock(), exchange.request.id))
            raise
        finally:
            del self._by_request[exchange.request.id]

    def on_actions(self, actions: list[Action]) -> None:
        """Carry out actions that no request's own event returned, such as a timer's."""
        self._carry_out(actions)

    async def _open(self, incoming: IncomingRequest, arrived: float) -> Exchange:
        body: bytes | AsyncIterator[bytes] | None = None
        if incoming.has_body():
            length = incoming.content_length
            if length is not None and length <= MAX_REPLAYABLE_BYTES:
                body = await incoming.read()
            else:
                body = incoming.chunks()
        request_id = next(self._ids)
        request = Request(
            id=request_id,
            host=incoming.host,
            method=incoming.method,
            path=incoming.path,
            replayable=body is None or isinstance(body, bytes),
            deadline_s=_deadline_s(incoming.headers),
        )
        log_id = header_value(incoming.headers, names.REQUEST_ID) or f"{id(self):x}-{request_id}"
        return Exchange(incoming, request, log_id, arrived, body)

    async def _run(self, exchange: Exchange) -> OutgoingAnswer:
        actions = self._dispatcher.on_request(self._clock(), exchange.request)
        while True:
            action = self._own(exchange, actions)
            if isinstance(action, Enqueue):
                action = await self._wait(exchange)
            if isinstance(action, Refuse):
                return self._refused(exchange, action.refusal)
            if not isinstance(action, Send):
                raise RuntimeError(f"no request can follow {action}")
            answer, actions = await self._attempt(exchange, action)
            if answer is not None:
                return answer

    async def _attempt(
        self, exchange: Exchange, send: Send
    ) -> tuple[OutgoingAnswer | None, list[Action]]:
        self._metrics.attempts.inc()
        started = self._clock()
        attempt_id = send.attempt_id
        try:
            answer = await self._upstream.send(
                self._outgoing(exchange, send, started),
                lambda: self._dispatcher.may_send(attempt_id),
            )
        except AttemptError as error:
            exchange.backend_s += self._clock() - started
            return None, self._failed(exchange, send, error.failure)
        now = self._clock()
        exchange.backend_s += now - started
        by_name = dict(answer.headers)
        shed = by_name.get(names.OUTCOME) == NotRun.tag
        head = Answer(answer.status, shed, load_report(by_name))
        actions = self._dispatcher.on_answer(now, attempt_id, head)
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

    def _outgoing(self, exchange: Exchange, send: Send, now: float) -> OutgoingRequest:
        incoming = exchange.incoming
        time_left_s = max(0.0, send.deadline - now)
        headers = [
            pair
            for pair in end_to_end(incoming.headers)
            if pair[0] not in (names.DEADLINE, names.ATTEMPT, "content-length", "expect")
        ]
        if isinstance(exchange.body, bytes) or incoming.content_length is not None:
            length = incoming.content_length or 0
            headers.append(("content-length", str(length)))
        headers.append((names.DEADLINE, str(int(time_left_s * 1000))))
        headers.append(("x-forwarded-for", incoming.caller))
        headers.append(("via", "1.1 sycamorebay"))
        return OutgoingRequest(
            address=send.backend_server.address,
            method=incoming.method,
            target=incoming.target,
            headers=headers,
            body=exchange.body,
            time_left_s=time_left_s,
        )

    def _deliver(self, exchange: Exchange, send: Send, answer: BackendAnswer) -> OutgoingAnswer:
        def on_end() -> None:
            self._carry_out(self._dispatcher.on_end(self._clock(), send.attempt_id))

        body = ForwardedBody(answer, exchange.log_id, send.backend_server.id, on_end)
        return OutgoingAnswer(answer.status, end_to_end(answer.headers), body)

    def _observe(self, exchange: Exchange, now: float) -> None:
        self._metrics.backend.observe(exchange.backend_s)
        self._metrics.added.observe(now - exchange.arrived - exchange.backend_s)

    def _refused(self, exchange: Exchange, refusal: Refusal) -> OutgoingAnswer:
        self._metrics.on_refusal(refusal)
        _log.info(
            "request refused",
            request_id=exchange.log_id,
            outcome=refusal.tag,
            step=refusal.step,
            peer=refusal.peer,
            reason=refusal.reason,
        )
        headers = [
            ("content-type", MEDIA_TYPE),
            ("retry-after", str(refusal.retry_after_s)),
            (names.OUTCOME, refusal.tag),
        ]
        return OutgoingAnswer(refusal.status, headers, problem_body(refusal, exchange.log_id))

    def _own(self, exchange: Exchange, actions: list[Action]) -> Action:
        own = actions[0]
        if len(actions) > 1:
            self._carry_out(actions[1:])
        return own

    async def _wait(self, exchange: Exchange) -> Action:
        exchange.mailbox = asyncio.get_running_loop().create_future()
        try:
            return await exchange.mailbox
        finally:
            exchange.mailbox = None

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            exchange = self._by_request.get(action.request_id)
            mailbox = exchange.mailbox if exchange is not None else None
            if mailbox is not None and not mailbox.done():
                mailbox.set_result(action)


def _deadline_s(headers: Headers) -> float | None:
    value = header_value(headers, names.DEADLINE)
    if value is None or not value.isdecimal():
        return None
    return int(value[:9]) / 1000
