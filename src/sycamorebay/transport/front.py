"""Callers' listener: falcon on uvicorn."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Any

import falcon.asgi
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from sycamorebay.protocol.headers import Headers
from sycamorebay.settings import Listen
from sycamorebay.transport.forward import Forwarder

_GONE = "sycamorebay.gone"
_BODY = "sycamorebay.body"
_BODILESS_STATUSES = (204, 304)


class FalconRequest:
    """An `IncomingRequest` over falcon."""

    def __init__(self, request: falcon.asgi.Request) -> None:
        scope = request.scope
        self._stream = request.stream
        self.method: str = request.method
        self.host = _host_name(request.get_header("host", default=""))
        raw_path: bytes = scope.get("raw_path") or scope["path"].encode()
        query: bytes = scope["query_string"]
        self.path: str = scope["path"]
        self.target = (raw_path + b"?" + query if query else raw_path).decode("latin-1")
        self.headers: Headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
        ]
        self.caller: str = request.remote_addr
        self.content_length = request.content_length
        self._chunked = request.get_header("transfer-encoding") is not None

    def has_body(self) -> bool:
        """Whether a body follows."""
        return self._chunked or bool(self.content_length)

    async def read(self) -> bytes:
        """Return the whole body."""
        return await self._stream.read()

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        return aiter(self._stream)


class CallerProtocol(HttpToolsProtocol):
    """Tells a request's task when its caller is gone."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        super().connection_lost(exc)
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            task = cycle.scope.get(_GONE)
            if isinstance(task, asyncio.Task):
                task.cancel()


class _ForwardSink:
    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    async def __call__(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **_: Any
    ) -> None:
        assert resp is not None
        req.scope[_GONE] = asyncio.current_task()
        answer = await self._forwarder.forward(FalconRequest(req))
        resp.status = answer.status
        for name, value in answer.headers:
            resp.append_header(name, value)
        if isinstance(answer.body, bytes):
            resp.data = answer.body
            return
        req.scope[_BODY] = answer.body
        if req.method != "HEAD" and answer.status not in _BODILESS_STATUSES:
            resp.stream = aiter(answer.body)


def caller_app(forwarder: Forwarder) -> Any:
    """Return the ASGI application that callers talk to."""
    app = falcon.asgi.App()
    app.add_sink(_ForwardSink(forwarder), prefix="/")

    async def closing_app(scope: Any, receive: Any, send: Any) -> None:
        try:
            await app(scope, receive, send)
        finally:
            body = scope.get(_BODY)
            if body is not None:
                await body.close()

    return closing_app


def _host_name(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


def server(app: Any, listen: Listen, stop_limit_s: float) -> QuietServer:
    """Return a server of an application; run it with ``serve()``."""
    config = uvicorn.Config(
        app,
        host=listen.address,
        port=listen.port,
        http=CallerProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        backlog=2048,
        timeout_keep_alive=75,
        timeout_graceful_shutdown=max(1, round(stop_limit_s)),
    )
    return QuietServer(config)
