"""Handles one send of a keyed operation from its arrival to its answer.

An operation that has started continues after its caller disconnects, so that a later send finds its
answer.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import attrs
import xxhash

from sycamorebay import log
from sycamorebay.coordination.operation_messages import (
    Decision,
    Inquire,
    Operation,
    Reject,
    Replay,
    Run,
)
from sycamorebay.coordination.operations import STEP, Operations
from sycamorebay.outcomes import NotRun, Refusal, Unknown
from sycamorebay.protocol import header_names
from sycamorebay.protocol.headers import header_value
from sycamorebay.state.operations import KeptAnswer, OperationKey
from sycamorebay.transport.forwarding.exchange import (
    Exchange,
    ForwardedBody,
    OutgoingAnswer,
    PartiallyReadBody,
)
from sycamorebay.transport.forwarding.upstream import TruncatedAnswerError
from sycamorebay.transport.operations.inquire import Inquirer

MAX_KEPT_ANSWER_BYTES = 16_384  # larger answers are streamed to the caller and not kept

_log = log.get_logger("operations")


@attrs.frozen
class Forwarding:
    """Callbacks into the forwarding path that `OperationRunner` needs.

    Attributes
    ----------
    run : callable
        Sends a request to a backend server and returns its answer.
    refuse : callable
        Returns the HTTP answer for a refusal.
    replay : callable
        Returns a kept answer in the form that the caller receives.
    failure_domains : callable
        Returns the failure domains that may hold records of the service of a host.
    """

    run: Callable[[Exchange], Awaitable[OutgoingAnswer]]
    refuse: Callable[[Exchange, Refusal], OutgoingAnswer]
    replay: Callable[[KeptAnswer], OutgoingAnswer]
    failure_domains: Callable[[str], tuple[str, ...]]


class OperationRunner:
    """Carries out the decisions on keyed operations.

    Parameters
    ----------
    operations : Operations
        Decides whether an operation runs.
    inquirer : Inquirer
        Asks peers about operations that this entry alone cannot decide.
    forwarding : Forwarding
        Sends operations to backend servers.
    clock : callable
        UTC in seconds since 1970.
    """

    def __init__(
        self,
        operations: Operations,
        inquirer: Inquirer,
        forwarding: Forwarding,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._operations = operations
        self._inquirer = inquirer
        self._forwarding = forwarding
        self._clock = clock
        self._task_by_key: dict[str, asyncio.Task[OutgoingAnswer]] = {}

    async def run_operation(self, exchange: Exchange, key: str) -> OutgoingAnswer:
        """Return the answer to one send of a keyed operation.

        Cancelling the call does not stop an operation that has started. Refusals are returned as
        answers, not raised.

        Parameters
        ----------
        exchange : Exchange
            The request, with its body read.
        key : str
            The caller's ``Idempotency-Key``.
        """
        fingerprint = fingerprint_of(exchange)
        if fingerprint is None:
            reason = "the body of a keyed operation is too large or has no length"
            return self._refuse(exchange, NotRun(STEP, "", reason, 413))
        first_send = header_value(exchange.incoming.headers, header_names.ATTEMPT) == "1"
        operation = Operation(key, fingerprint, first_send)
        decision = self._operations.on_operation(self._clock(), operation)
        if isinstance(decision, Replay):
            return self._forwarding.replay(decision.answer)
        if isinstance(decision, Reject):
            return self._refuse(exchange, decision.refusal)
        if isinstance(decision, Run | Inquire):
            return await self._start(exchange, decision)
        return await self._wait_for_running(exchange, decision.key)

    async def drain(self) -> None:
        """Wait until every operation that has started has ended."""
        if self._task_by_key:
            await asyncio.wait(self._task_by_key.values())

    async def _start(self, exchange: Exchange, decision: Run | Inquire) -> OutgoingAnswer:
        key = decision.key
        task = asyncio.create_task(self._execute(exchange, decision))
        self._task_by_key[key.text] = task
        task.add_done_callback(lambda _: self._task_by_key.pop(key.text, None))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._close_unused_answer)
            raise

    async def _wait_for_running(self, exchange: Exchange, key: OperationKey) -> OutgoingAnswer:
        task = self._task_by_key.get(key.text)
        if task is not None:
            answer = await asyncio.shield(task)
            if isinstance(answer.body, bytes):
                return answer
        reason = "this operation has run or is running; its answer is not kept"
        return self._refuse(exchange, Unknown(STEP, "", reason, 409))

    async def _execute(self, exchange: Exchange, decision: Decision) -> OutgoingAnswer:
        if isinstance(decision, Inquire):
            decision = await self._inquirer.decide(decision)
        if isinstance(decision, Replay):
            return self._forwarding.replay(decision.answer)
        if isinstance(decision, Reject):
            return self._refuse(exchange, decision.refusal)
        assert isinstance(decision, Run)
        try:
            return await self._record_answer(
                decision.key, exchange, await self._forwarding.run(exchange)
            )
        except BaseException:
            self._operations.on_unknown_outcome(self._clock(), decision.key)
            raise

    async def _record_answer(
        self, key: OperationKey, exchange: Exchange, answer: OutgoingAnswer
    ) -> OutgoingAnswer:
        if isinstance(answer.body, bytes):
            self._record_refusal(key, answer)
            return answer
        try:
            start, rest = await _read_start(answer.body, time.monotonic())
        except (TruncatedAnswerError, TimeoutError) as error:
            answer.body.close()
            self._operations.on_unknown_outcome(self._clock(), key)
            reason = f"the answer was cut off: {str(error) or type(error).__name__}"
            return self._refuse(exchange, Unknown("body", "", reason))
        if rest is not None:
            self._operations.on_answer(self._clock(), key, None)
            return attrs.evolve(answer, body=rest)
        domains = self._forwarding.failure_domains(exchange.request.host)
        headers = [pair for pair in answer.headers if pair[0] != "content-length"]
        kept = KeptAnswer(answer.status, tuple(headers), start, domains)
        self._operations.on_answer(self._clock(), key, kept)
        return attrs.evolve(answer, headers=headers, body=start)

    def _record_refusal(self, key: OperationKey, answer: OutgoingAnswer) -> None:
        if (header_names.OUTCOME, NotRun.tag) in answer.headers:
            self._operations.on_not_run(self._clock(), key)
        else:
            self._operations.on_unknown_outcome(self._clock(), key)

    def _refuse(self, exchange: Exchange, refusal: Refusal) -> OutgoingAnswer:
        return self._forwarding.refuse(exchange, refusal)

    @staticmethod
    def _close_unused_answer(task: asyncio.Task[OutgoingAnswer]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        body = task.result().body
        if not isinstance(body, bytes):
            body.close()


async def _read_start(
    body: ForwardedBody | PartiallyReadBody, now: float
) -> tuple[bytes, PartiallyReadBody | None]:
    """Read a body up to `MAX_KEPT_ANSWER_BYTES`.

    Returns
    -------
    bytes
        The complete body, or the first bytes of a larger one.
    PartiallyReadBody or None
        The larger body, to be streamed from its first byte; None if the body was read completely.

    Raises
    ------
    TruncatedAnswerError
        If the body ended early.
    TimeoutError
        If it was not read before its deadline.
    """
    buffered = body.read_buffered()
    if buffered is not None and len(buffered) <= MAX_KEPT_ANSWER_BYTES:
        return buffered, None
    start = b""
    chunks = aiter(body)
    async with asyncio.timeout(body.deadline - now):
        async for chunk in chunks:
            start += chunk
            if len(start) > MAX_KEPT_ANSWER_BYTES:
                return start, PartiallyReadBody(start, chunks, body)
    return start, None


def fingerprint_of(exchange: Exchange) -> bytes | None:
    """Return a hash of the request that a key stands for, or None if its body is streamed.

    The 128-bit hash covers the method, the host, the target and the body.
    """
    body = exchange.body
    if body is not None and not isinstance(body, bytes):
        return None
    incoming = exchange.incoming
    digest = xxhash.xxh3_128(f"{incoming.method} {incoming.host} {incoming.target}\n".encode())
    digest.update(body or b"")
    return digest.digest()
