"""A backend server that answers by script, byte by byte where a test wants it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

# Between an early answer and the reading of the rest of its request.
EARLY_S = 0.2


@attrs.frozen
class Seen:
    """A request as the server read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.headers.get("sycamorebay-request-id", "")


@attrs.define
class Line:
    """One connection, for a script to answer on."""

    writer: asyncio.StreamWriter
    closed: bool = False

    def answer(
        self,
        seen: Seen,
        status: int = 200,
        body: bytes = b"ok",
        *,
        signed: bool = True,
        request_id: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Write a whole answer."""
        lines = {"Sycamorebay-Request-Id": request_id or seen.request_id}
        if signed:
            lines["Sycamorebay-Server-Sig"] = "sig"
        lines["Content-Length"] = str(len(body))
        lines.update(headers or {})
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        self.raw(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body)

    def raw(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        self.closed = True
        self.writer.transport.abort()


Script = Callable[[Seen, Line], Awaitable[None]]


async def answer_all(seen: Seen, line: Line) -> None:
    """Answer everything well."""
    line.answer(seen)


class ScriptedServer:
    """A backend server whose script is called for each request.

    Parameters
    ----------
    server_id : str
        Its id in the store.
    script : callable, optional
        Answers a request.

    Attributes
    ----------
    load : callable
        Returns what the server tells of its load.
    slots : int
        Requests that it says it runs at once.
    answers_early : bool
        Whether it answers a request before it reads the body.
    """

    def __init__(self, server_id: str, script: Script = answer_all) -> None:
        self.id = server_id
        self.script = script
        self.seen: list[Seen] = []
        self.cancelled = 0
        self.connections = 0
        self.address = ""
        self.load: Callable[[], str] = lambda: "0,0,4,100"
        self.slots = 4
        self.answers_early = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    def entry(self, service: str, **status: object) -> dict[str, object]:
        """Return what the server says of itself in the store."""
        info = {"backend": service, "zone": "a", "version": "v1", "capacity": self.slots}
        said = {"state": "ready", "seq": 1, "warmup_time": "0ms", **status}
        return {"addr": self.address, "info": info, "status": said}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        line = Line(writer)
        try:
            while not line.closed:
                seen = await self._read(reader, number, line)
                if seen.target == "/healthz":
                    head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                    marks = f"Sycamorebay-Instance-Id: {self.id}\r\nSycamorebay-Load: {self.load()}"
                    line.raw(f"{head}{marks}\r\n\r\n".encode())
                    continue
                self.seen.append(seen)
                if not self.answers_early:
                    await self._run(seen, line, reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The loop ends; asyncio's streams print the cancelling of a connection otherwise.
            return
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader, connection: int, line: Line) -> Seen:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        pairs = [line.partition(":") for line in rest if line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        if self.answers_early and target != "/healthz":
            await self.script(Seen(method, target, headers, b"", connection), line)
            await asyncio.sleep(EARLY_S)
        body = await reader.readexactly(length)
        return Seen(method, target, headers, body, connection)

    async def _run(self, seen: Seen, line: Line, reader: asyncio.StreamReader) -> None:
        """Run the script, and stop it when the connection ends."""
        work = asyncio.ensure_future(self.script(seen, line))
        while not work.done():
            await asyncio.wait([work], timeout=0.01)
            if reader.at_eof() and not work.done():
                work.cancel()
                self.cancelled += 1
                line.closed = True
                return
        work.result()
