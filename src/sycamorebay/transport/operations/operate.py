"""Keyed operations: one send from its arrival to its answer.

An operation that was begun goes on when its caller leaves, so that a later send finds its answer.
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
from sycamorebay.protocol import headers as names
from sycamorebay.protocol.headers import header_value
from sycamorebay.state.operations import KeptAnswer, OperationKey
from sycamorebay.transport.forwarding.exchange import (
    Exchange,
    ForwardedBody,
    OutgoingAnswer,
    StartedBody,
)
from sycamorebay.transport.forwarding.upstream import CutOffError
from sycamorebay.transport.operations.inquire import Inquirer

MAX_KEPT_ANSWER_BYTES = 16_384

_log = log.get_logger("operations")


@attrs.frozen
class Forwarding:
    """What an operator needs of the forwarding path.

    Attributes
    ----------
    run : callable
        Sends a request to a backend server and returns its answer.
    refuse : callable
        Returns the answer of a refusal.
    replay : callable
        Returns a kept answer as the caller gets it.
    failure_domains : callable
        Returns where the service of a host allows its records.
    """

    run: Callable[[Exchange], Awaitable[OutgoingAnswer]]
    refuse: Callable[[Exchange, Refusal], OutgoingAnswer]
    replay: Callable[[KeptAnswer], OutgoingAnswer]
    failure_domains: Callable[[str], tuple[str, ...]]


class OperationRunner:
    """Drives the decisions on keyed operations.

    Parameters
    ----------
    operations : Operations
        Decides whether they run.
    inquirer : Inquirer
        Asks peers.
    forwarding : Forwarding
        Runs them.
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

    async def operate(self, exchange: Exchange, key: str) -> OutgoingAnswer:
        """Return the answer of one send of a keyed operation."""
        fingerprint = fingerprint_of(exchange)
        if fingerprint is None:
            reason = "the body of a keyed operation is too large or has no length"
            return self._refuse(exchange, NotRun(STEP, "", reason, 413))
        first_send = header_value(exchange.incoming.headers, names.ATTEMPT) == "1"
        operation = Operation(key, fingerprint, first_send)
        decision = self._operations.on_operation(self._clock(), operation)
        if isinstance(decision, Replay):
            return self._forwarding.replay(decision.answer)
        if isinstance(decision, Reject):
            return self._refuse(exchange, decision.refusal)
        if isinstance(decision, Run | Inquire):
            return await self._begin(exchange, decision)
        return await self._join(exchange, decision.key)

    async def drain(self) -> None:
        """Wait for every operation that was begun."""
        if self._task_by_key:
            await asyncio.wait(self._task_by_key.values())

    async def _begin(self, exchange: Exchange, decision: Run | Inquire) -> OutgoingAnswer:
        key = decision.key
        task = asyncio.create_task(self._perform(exchange, decision))
        self._task_by_key[key.text] = task
        task.add_done_callback(lambda _: self._task_by_key.pop(key.text, None))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._discard)
            raise

    async def _join(self, exchange: Exchange, key: OperationKey) -> OutgoingAnswer:
        task = self._task_by_key.get(key.text)
        if task is not None:
            answer = await asyncio.shield(task)
            if isinstance(answer.body, bytes):
                return answer
        reason = "this operation has run or is running; its answer is not kept"
        return self._refuse(exchange, Unknown(STEP, "", reason, 409))

    async def _perform(self, exchange: Exchange, decision: Decision) -> OutgoingAnswer:
        if isinstance(decision, Inquire):
            decision = await self._inquirer.settle(decision)
        if isinstance(decision, Replay):
            return self._forwarding.replay(decision.answer)
        if isinstance(decision, Reject):
            return self._refuse(exchange, decision.refusal)
        assert isinstance(decision, Run)
        try:
            return await self._keep(decision.key, exchange, await self._forwarding.run(exchange))
        except BaseException:
            self._operations.on_in_doubt(self._clock(), decision.key)
            raise

    async def _keep(
        self, key: OperationKey, exchange: Exchange, answer: OutgoingAnswer
    ) -> OutgoingAnswer:
        if isinstance(answer.body, bytes):
            self._on_refused(key, answer)
            return answer
        try:
            start, rest = await _read_start(answer.body, time.monotonic())
        except (CutOffError, TimeoutError) as error:
            answer.body.close()
            self._operations.on_in_doubt(self._clock(), key)
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

    def _on_refused(self, key: OperationKey, answer: OutgoingAnswer) -> None:
        if (names.OUTCOME, NotRun.tag) in answer.headers:
            self._operations.on_not_run(self._clock(), key)
        else:
            self._operations.on_in_doubt(self._clock(), key)

    def _refuse(self, exchange: Exchange, refusal: Refusal) -> OutgoingAnswer:
        return self._forwarding.refuse(exchange, refusal)

    @staticmethod
    def _discard(task: asyncio.Task[OutgoingAnswer]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        body = task.result().body
        if not isinstance(body, bytes):
            body.close()


async def _read_start(
    body: ForwardedBody | StartedBody, now: float
) -> tuple[bytes, StartedBody | None]:
    """Return a small body whole, or the start of a large one and what carries it on."""
    whole = body.whole()
    if whole is not None and len(whole) <= MAX_KEPT_ANSWER_BYTES:
        return whole, None
    start = b""
    chunks = aiter(body)
    async with asyncio.timeout(body.deadline - now):
        async for chunk in chunks:
            start += chunk
            if len(start) > MAX_KEPT_ANSWER_BYTES:
                return start, StartedBody(start, chunks, body)
    return start, None


def fingerprint_of(exchange: Exchange) -> bytes | None:
    """Hash what a key stands for; None for a body that was not read whole."""
    body = exchange.body
    if body is not None and not isinstance(body, bytes):
        return None
    incoming = exchange.incoming
    digest = xxhash.xxh3_128(f"{incoming.method} {incoming.host} {incoming.target}\n".encode())
    digest.update(body or b"")
    return digest.digest()
