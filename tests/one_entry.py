"""An entry in the test's process, in front of backend servers that answer by a script."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from random import Random
from typing import Any

import attrs
import uvloop

from bench.fleet import service
from sycamorebay import log
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.invariants import Invariants
from sycamorebay.metrics import Metrics
from sycamorebay.settings import CallerLimits, Listen, LogSettings
from sycamorebay.state.document import Document, load_document
from sycamorebay.transport.forwarding.forward import Forwarder
from sycamorebay.transport.forwarding.front import HttpServers
from sycamorebay.transport.forwarding.upstream import Upstream, open_upstream
from sycamorebay.transport.http.caller_guard import Uncounted
from tests.support import lone_operations

ROUTES = [
    {"methods": ["GET", "HEAD"], "path": "/prices", "idempotent": True, "deadline_ms": 2000},
    {"methods": ["GET"], "path": "/late", "deadline_ms": 300},
    {"methods": ["POST", "PUT"], "path": "/bids", "deadline_ms": 2000},
    {"methods": ["GET"], "path": "/bids", "deadline_ms": 2000},
]
log.configure(LogSettings(level="error"))

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def on_uvloop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a coroutine test on uvloop, the daemon's event loop, within 30 s."""

    @functools.wraps(test)
    def run(*args: Any) -> None:
        uvloop.run(asyncio.wait_for(test(*args), 30))

    return run


async def eventually(condition: Callable[[], bool], limit_s: float = 5.0) -> bool:
    """Whether a condition becomes true within a limit in seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
    return condition()


@attrs.define
class ReceivedRequest:
    """A request as a backend server received it; its body is read on demand."""

    head: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def target(self) -> str:
        """Target of the request line."""
        return self.head.split(b" ")[1].decode()

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Names and values of the headers, in order."""
        lines = self.head.decode("latin-1").split("\r\n")[1:-2]
        return [tuple(line.split(": ", 1)) for line in lines]  # type: ignore[misc]

    def header(self, name: str) -> str | None:
        """Return the last value of a header; None if it is missing."""
        return dict(self.headers).get(name)

    async def body(self) -> bytes:
        """Read the body, with or without chunked coding."""
        length = self.header("content-length")
        if length is not None:
            return await self.reader.readexactly(int(length))
        if self.header("transfer-encoding") is None:
            return b""
        body = b""
        while size := int(await self.reader.readuntil(), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return body

    def abort(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


Script = Callable[[ReceivedRequest], Awaitable[None]]


async def answer_ok(request: ReceivedRequest) -> None:
    """Read the whole request and answer it."""
    await request.body()
    request.writer.write(OK)


def answer(*parts: bytes) -> Script:
    """Return a script that reads the whole request and sends these parts one after another."""

    async def script(request: ReceivedRequest) -> None:
        await request.body()
        for part in parts:
            request.writer.write(part)
            await request.writer.drain()

    return script


class ScriptedBackend:
    """A backend server that runs a script for each request.

    Attributes
    ----------
    requests : list of ReceivedRequest
        All requests received.
    connections, open : int
        Number of connections accepted, and of those that are open now.
    """

    def __init__(self, script: Script = answer_ok) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.open = 0
        self.address = ""
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.address = "127.0.0.1:" + str(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = ReceivedRequest(head, reader, writer)
                self.requests.append(request)
                await self.script(request)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


class OneEntry:
    """An entry with one service, whose host is ``desk.test``."""

    def __init__(self, backends: list[ScriptedBackend], upstream: Upstream) -> None:
        self.backends = backends
        self.dispatcher = Dispatcher(Random(1), invariants=Invariants(strict=True))
        self.put_in_force(self.document())
        self.forwarder = Forwarder(self.dispatcher, *lone_operations(), upstream, Metrics())
        self.port = 0

    def document(self, domains: tuple[str, ...] = ("a", "b"), **limits: Any) -> Document:
        """Return a document of the backend servers, with limits of the service."""
        service_document = service("desk", len(self.backends), 2, ("a", "b"), ROUTES)
        service_document["failure_domains"] = list(domains)
        service_document["limits"] = limits
        for server, backend in zip(service_document["backend_servers"], self.backends, strict=True):
            server["address"] = backend.address
        return load_document(json.dumps({"format": 1, "services": [service_document]}).encode())

    def put_in_force(self, document: Document) -> None:
        """Apply a document at once."""
        self.dispatcher.on_document(0.0, document)

    @property
    def in_flight(self) -> int:
        """Number of requests in flight to all backend servers."""
        return sum(state.in_flight for state in self.dispatcher.backends)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a new connection to the entry."""
        return await asyncio.open_connection("127.0.0.1", self.port, limit=2**20)

    async def send_raw(self, raw: bytes) -> bytes:
        """Send bytes on a new connection and return all bytes that come back until it ends."""
        reader, writer = await self.connect()
        writer.write(raw)
        try:
            return await reader.read()
        finally:
            writer.close()

    async def get(self, target: str, method: str = "GET", headers: str = "") -> bytes:
        """Send a request without a body on a new connection and return the raw answer."""
        head = f"{method} {target} HTTP/1.1\r\nhost: desk.test\r\nconnection: close\r\n"
        return await self.send_raw((head + headers + "\r\n").encode("latin-1"))


@contextlib.asynccontextmanager
async def one_entry(
    *scripts: Script, limits: CallerLimits | None = None, upstream: Upstream | None = None
) -> AsyncIterator[OneEntry]:
    """Start an entry, with a backend server for each script."""
    async with contextlib.AsyncExitStack() as stack:
        backends = [ScriptedBackend(script) for script in scripts]
        for backend in backends:
            await backend.start()
            stack.callback(backend.stop)
        entry = OneEntry(backends, upstream or await stack.enter_async_context(open_upstream()))
        servers = HttpServers(limits or CallerLimits(), Uncounted())
        server = servers.caller_server(entry.forwarder, Listen("127.0.0.1", 0), 1.0)
        serving = asyncio.create_task(server.serve())
        assert await eventually(lambda: server.started)
        entry.port = server.servers[0].sockets[0].getsockname()[1]
        try:
            yield entry
        finally:
            server.should_exit = True
            await serving
