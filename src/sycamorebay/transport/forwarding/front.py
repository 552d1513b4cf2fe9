"""The HTTP listener for callers: an ASGI application that runs on uvicorn."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

import uvicorn

from sycamorebay import log
from sycamorebay.coordination.memory_budget import MEGABYTE
from sycamorebay.outcomes import Refusal
from sycamorebay.protocol.headers import Headers
from sycamorebay.protocol.request_head import host_name
from sycamorebay.settings import CallerLimits, Listen
from sycamorebay.transport.forwarding.caller_protocol import CONNECTION_EXTENSION, CallerProtocol
from sycamorebay.transport.forwarding.exchange import (
    ForwardedBody,
    OutgoingAnswer,
    PartiallyReadBody,
)
from sycamorebay.transport.forwarding.forward import Forwarder
from sycamorebay.transport.forwarding.listener import Listener
from sycamorebay.transport.forwarding.upstream import CallerBodyError, TruncatedAnswerError
from sycamorebay.transport.http.caller_guard import CallerGuard, CallerMemory, ClosureCounters
from sycamorebay.transport.http.turns import Turns

MAX_OPERATOR_CONNECTIONS = 512
# Connections that the kernel accepts before the daemon takes them.
CALLERS_BACKLOG = 512
OPERATORS_BACKLOG = 64

_log = log.get_logger("front")

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class AsgiRequest:
    """An `IncomingRequest` over ASGI, with the attributes of that protocol.

    Parameters
    ----------
    scope : dict
        The ASGI scope of the request.
    receive : callable
        Returns the next ASGI message of the request.
    body_timeout_s : float
        Limit in seconds for reading the complete body, or for each part of a streamed body.
    """

    def __init__(self, scope: dict[str, Any], receive: Receive, body_timeout_s: float) -> None:
        self._receive = receive
        self._body_timeout_s = body_timeout_s
        query: bytes = scope["query_string"]
        raw_path: bytes = scope["raw_path"]
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.target = (raw_path + b"?" + query if query else raw_path).decode("latin-1")
        self.caller: str = scope["client"][0] if scope["client"] else ""
        self.headers: Headers = []
        self.host = ""
        self.content_length: int | None = None
        self._chunked = False
        for name, value in scope["headers"]:
            text = value.decode("latin-1")
            self.headers.append((name.decode("latin-1"), text))
            if name == b"host":
                self.host = host_name(text)
            elif name == b"content-length":
                self.content_length = int(text)
            elif name == b"transfer-encoding":
                self._chunked = True

    def has_body(self) -> bool:
        """Return whether the request has a body."""
        return self._chunked or bool(self.content_length)

    async def read(self) -> bytes:
        """Read and return the complete body.

        Raises
        ------
        CallerBodyError
            If the caller disconnects, or the complete body takes too long.
        """
        try:
            async with asyncio.timeout(self._body_timeout_s):
                return b"".join([chunk async for chunk in self._body_chunks()])
        except TimeoutError as error:
            raise CallerBodyError("the caller's body took too long") from error

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        CallerBodyError
            If the caller disconnects, or the next part takes too long.
        """
        body_chunks = self._body_chunks()
        while True:
            try:
                async with asyncio.timeout(self._body_timeout_s):
                    chunk = await anext(body_chunks, None)
            except TimeoutError as error:
                raise CallerBodyError("the caller's body stopped coming") from error
            if chunk is None:
                return
            yield chunk

    async def _body_chunks(self) -> AsyncIterator[bytes]:
        more = True
        while more:
            message = await self._receive()
            if message["type"] != "http.request":
                raise CallerBodyError("the caller left in the middle of its body")
            more = message["more_body"]
            if message["body"]:
                yield message["body"]


class CallerApp:
    """The ASGI application that serves callers.

    Parameters
    ----------
    forwarder : Forwarder
        Returns the answer of each request.
    limits : CallerLimits
        Provides the timeout for request bodies.
    """

    def __init__(self, forwarder: Forwarder, limits: CallerLimits) -> None:
        self._forwarder = forwarder
        self._limits = limits

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Answer one request.

        After an unexpected error the request is refused, or its connection reset if the answer has
        begun. The connection is also reset if the request is cancelled.
        """
        connection: CallerProtocol = scope["extensions"][CONNECTION_EXTENSION]
        request = AsgiRequest(scope, receive, self._limits.body_s)
        try:
            answer = await self._forwarder.forward(request)
            await self._deliver(connection, answer, send)
        except asyncio.CancelledError:
            connection.abort()
        except Exception:
            _log.exception("request failed", target=request.target)
            connection.fail()

    async def _deliver(
        self, connection: CallerProtocol, answer: OutgoingAnswer, send: Send
    ) -> None:
        body = answer.body
        connection.decide_keep_alive()
        if isinstance(body, bytes):
            await _send_complete(connection, send, answer, body)
            return
        with contextlib.closing(body):
            buffered = body.read_buffered()
            if buffered is not None:
                await _send_complete(connection, send, answer, buffered)
                return
            try:
                async with asyncio.timeout(body.deadline - time.monotonic()):
                    await _send_head(send, answer.status, answer.headers)
                    await _send_body(send, body)
            except TimeoutError:
                body.on_truncated("the deadline passed")
                connection.abort()
            except TruncatedAnswerError:
                connection.abort()


async def _send_complete(
    connection: CallerProtocol, send: Send, answer: OutgoingAnswer, body: bytes
) -> None:
    if not connection.write_complete_answer(answer.status, answer.headers, body):
        await _send_head(send, answer.status, answer.headers)
        await send({"type": "http.response.body", "body": body})


async def _send_head(send: Send, status: int, headers: Headers) -> None:
    encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    await send({"type": "http.response.start", "status": status, "headers": encoded})


async def _send_body(send: Send, body: ForwardedBody | PartiallyReadBody) -> None:
    async for chunk in body:
        if body.is_complete():
            await send({"type": "http.response.body", "body": chunk})
            return
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon.

    Parameters
    ----------
    config : uvicorn.Config
        The server's configuration.
    listener : Listener
        State shared by its connections.
    """

    def __init__(self, config: uvicorn.Config, listener: Listener) -> None:
        super().__init__(config)
        self._listener = listener

    def start_draining(self) -> None:
        """Close each connection after its next answer, so that callers move before the shutdown."""
        self._listener.draining = True

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServers:
    """Creates the servers of one daemon, which share the memory for connections.

    Parameters
    ----------
    limits : CallerLimits
        Limits and timeouts of requests and connections.
    counters : ClosureCounters
        Counts the connections that are closed for a limit.
    """

    def __init__(self, limits: CallerLimits, counters: ClosureCounters) -> None:
        self._limits = limits
        self._counters = counters
        held_bytes = int(limits.memory_mb * MEGABYTE)
        self._memory = CallerMemory(counters, held_bytes, max_sampled_bytes=held_bytes)
        self._turns = Turns()

    def caller_server(
        self, forwarder: Forwarder, listen: Listen, stop_timeout_s: float
    ) -> EmbeddedServer:
        """Return the server for callers; run it with ``serve()``.

        Parameters
        ----------
        forwarder : Forwarder
            Returns the answer of each request.
        listen : Listen
            Address and port to listen on.
        stop_timeout_s : float
            How long a shutdown waits for requests in flight, in seconds.
        """
        guard = self._guard(self._limits.connections)
        listener = Listener(self._limits, forwarder.on_early_refusal, guard, self._turns)
        app = CallerApp(forwarder, self._limits)
        return _embedded_server(app, listen, listener, CALLERS_BACKLOG, stop_timeout_s)

    def operator_server(
        self,
        app: Any,
        listen: Listen,
        on_refusal: Callable[[Refusal], None],
        stop_timeout_s: float,
    ) -> EmbeddedServer:
        """Return the server for operators; run it with ``serve()``.

        Requests are bounded as those of callers are. Their heads are not checked otherwise, since
        health checks may come without a host or with an older version of HTTP.

        Parameters
        ----------
        app : callable
            The ASGI application.
        listen : Listen
            Address and port to listen on.
        on_refusal : callable
            Called with each refusal of a request that was malformed, too large or too slow.
        stop_timeout_s : float
            How long a shutdown waits for requests in flight, in seconds.
        """
        guard = self._guard(MAX_OPERATOR_CONNECTIONS)
        listener = Listener(
            self._limits, on_refusal, guard, self._turns, "operator", lambda *_: None
        )
        return _embedded_server(app, listen, listener, OPERATORS_BACKLOG, stop_timeout_s)

    def _guard(self, max_connections: int) -> CallerGuard:
        return CallerGuard(time.monotonic, self._counters, self._memory, max_connections)


def _embedded_server(
    app: Any, listen: Listen, listener: Listener, backlog: int, stop_timeout_s: float
) -> EmbeddedServer:
    config = _uvicorn_config(app, listen, backlog, stop_timeout_s)
    config.http = functools.partial(CallerProtocol, listener=listener)  # type: ignore[assignment]
    config.timeout_keep_alive = max(1, round(listener.limits.idle_s))
    return EmbeddedServer(config, listener)


def _uvicorn_config(
    app: Any, listen: Listen, backlog: int, stop_timeout_s: float
) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        host=listen.address,
        port=listen.port,
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=backlog,
        timeout_graceful_shutdown=max(1, round(stop_timeout_s)),
    )
