"""A stand-in for a backend server that answers each request by a script, down to single bytes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import attrs

# Delay between an early answer and the reading of the request's body.
BODY_READ_DELAY_S = 0.2


@attrs.frozen
class ReceivedRequest:
    """A request as the server received it.

    Attributes
    ----------
    method, target : str
        Method and request target of the request line.
    headers : dict of str to str
        Values by lower-case name.
    body : bytes
        The body; empty where the server answers before it reads the body.
    connection_number : int
        Number of the connection, counted from 1 in the order of acceptance.
    at : float
        When it arrived, in seconds of the monotonic clock.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection_number: int
    at: float = attrs.field(factory=time.monotonic)

    @property
    def request_id(self) -> str:
        """The request id that the caller chose; empty if the request has none."""
        return self.headers.get("sycamorebay-request-id", "")


@attrs.define
class ServerConnection:
    """The server's side of one connection, on which a script answers.

    Attributes
    ----------
    writer : asyncio.StreamWriter
        Sends to the peer.
    closed : bool
        Whether the server reads no more requests from the connection.
    """

    writer: asyncio.StreamWriter
    closed: bool = False

    def answer(
        self,
        request: ReceivedRequest,
        status: int = 200,
        body: bytes = b"ok",
        *,
        signed: bool = True,
        request_id: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete answer.

        Parameters
        ----------
        request : ReceivedRequest
            The request to answer.
        status : int, optional
            Status code.
        body : bytes, optional
            Body of the answer.
        signed : bool, optional
            Whether the answer has the header of the server's signature.
        request_id : str, optional
            Request id in the answer; by default that of the request.
        headers : dict of str to str, optional
            Further headers; they replace default ones of the same name.
        """
        lines = {"Sycamorebay-Request-Id": request_id or request.request_id}
        if signed:
            lines["Sycamorebay-Server-Sig"] = "sig"
        lines["Content-Length"] = str(len(body))
        lines.update(headers or {})
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        self.write_raw(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body)

    def write_raw(self, data: bytes) -> None:
        """Send bytes as they are, without any framing."""
        self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        self.closed = True
        self.writer.transport.abort()


Script = Callable[[ReceivedRequest, ServerConnection], Awaitable[None]]


async def answer_all(request: ReceivedRequest, connection: ServerConnection) -> None:
    """Answer every request with status 200."""
    connection.answer(request)


class ScriptedServer:
    """A backend server that calls its script for each request except health checks.

    Parameters
    ----------
    server_id : str
        Its id in the store.
    script : callable, optional
        Answers a request.

    Attributes
    ----------
    requests : list of ReceivedRequest
        The requests received, without health checks.
    cancelled : int
        Number of requests whose connection ended while their script ran.
    connections : int
        Number of connections accepted.
    address : str
        Host and port that it listens on; empty before `start`.
    load : callable
        Returns the load that it reports in answers to health checks.
    health_checks_at : list of float
        When it received health checks, in seconds of the monotonic clock.
    limit : str
        Value of the server limit that it names in its answers, those to health checks included;
        empty for none. Scripts name it by `limit_headers`.
    cold_ms : str
        Cold time that it states in its answers to health checks; empty for none.
    failure_domain : str
        Failure domain that it registers.
    slots : int
        Number of concurrent requests that it registers as its capacity.
    answers_early : bool
        Whether it answers a request before it reads the body.
    answers_health_checks : bool
        Whether it answers health checks.
    """

    def __init__(self, server_id: str, script: Script = answer_all) -> None:
        self.id = server_id
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.cancelled = 0
        self.connections = 0
        self.address = ""
        self.load: Callable[[], str] = lambda: "0,0,4,100"
        self.health_checks_at: list[float] = []
        self.limit = ""
        self.cold_ms = ""
        self.failure_domain = "a"
        self.slots = 4
        self.answers_early = False
        self.answers_health_checks = True
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_down = False

    @property
    def health_checks(self) -> int:
        """Number of health checks received."""
        return len(self.health_checks_at)

    def limit_headers(self) -> dict[str, str]:
        """Return the header that names the limit, if there is one."""
        return {"Server-Limit": self.limit} if self.limit else {}

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop accepting connections."""
        assert self._server is not None
        self._server.close()

    async def crash(self, restart_after_s: float) -> None:
        """Reset all connections and accept none, until a restart at the same address."""
        self._is_down = True
        await self.stop()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(restart_after_s)
        self._is_down = False
        host, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def registration(self, service: str, **status: object) -> dict[str, object]:
        """Return the value that the server registers in the store.

        Parameters
        ----------
        service : str
            Name of its service.
        **status : object
            Fields of its status that differ from the default ones.
        """
        info = {
            "backend": service,
            "zone": self.failure_domain,
            "version": "v1",
            "capacity": self.slots,
        }
        full_status = {"state": "ready", "seq": 1, "warmup_time": "0ms", **status}
        return {"addr": self.address, "info": info, "status": full_status}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_down:
            # The connection was accepted just before the crash.
            writer.transport.abort()
            return
        self.connections += 1
        self._writers.add(writer)
        number = self.connections
        connection = ServerConnection(writer)
        try:
            while not connection.closed:
                request = await self._read(reader, number, connection)
                if request.target == "/healthz":
                    self._answer_health_check(connection)
                    continue
                self.requests.append(request)
                if not self.answers_early:
                    await self._run(request, connection, reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The event loop is shutting down; raised on, asyncio's streams would print it.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer_health_check(self, connection: ServerConnection) -> None:
        self.health_checks_at.append(time.monotonic())
        if not self.answers_health_checks:
            return
        lines = {"Sycamorebay-Instance-Id": self.id, "Sycamorebay-Load": self.load()}
        lines.update(self.limit_headers())
        if self.cold_ms:
            lines["Sycamorebay-Cold-Ms"] = self.cold_ms
        headers = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        connection.write_raw(f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{headers}\r\n".encode())

    async def _read(
        self, reader: asyncio.StreamReader, number: int, connection: ServerConnection
    ) -> ReceivedRequest:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        pairs = [line.partition(":") for line in rest if line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        if self.answers_early and target != "/healthz":
            await self.script(ReceivedRequest(method, target, headers, b"", number), connection)
            await asyncio.sleep(BODY_READ_DELAY_S)
        body = await reader.readexactly(length)
        return ReceivedRequest(method, target, headers, body, number)

    async def _run(
        self, request: ReceivedRequest, connection: ServerConnection, reader: asyncio.StreamReader
    ) -> None:
        """Run the script, and cancel it when the peer closes the connection."""
        work = asyncio.ensure_future(self.script(request, connection))
        while not work.done():
            await asyncio.wait([work], timeout=0.01)
            if reader.at_eof() and not work.done():
                work.cancel()
                self.cancelled += 1
                connection.closed = True
                return
        work.result()
