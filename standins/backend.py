"""Stand-in for backend servers; one process runs several.

``POST /control/ID`` on the control port steers one server's behaviour, ``GET /control`` tells what
each one counted. A request's work takes ``work_ms`` from its query, else the server's own.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import attrs
import click
from aiohttp import web

NOT_RUN = {"sycamorebay-outcome": "not-run", "retry-after": "1"}


@attrs.define
class Behaviour:
    """How a server behaves now.

    Attributes
    ----------
    work_ms : float
        Time of a request that names none, in milliseconds.
    slow : float
        Factor on all work.
    queue : int
        Requests that may wait; more are shed.
    shed : bool
        Shed everything.
    leaving : bool
        Say so in each answer, and shed new work.
    fail : bool
        Answer 500 at once.
    frozen : bool
        Take requests and never answer.
    cut : bool
        Cut answers off in their middle.
    reports : bool
        Send the load header.
    lie : bool
        Report no load whatever it is.
    cold_s : float
        Seconds after the start in which work takes ten times as long.
    jitter : float
        Largest share by which the time of work varies.
    delay_ms : float
        One-way delay of the network in milliseconds.
    """

    work_ms: float = 5.0
    slow: float = 1.0
    queue: int = 16
    shed: bool = False
    leaving: bool = False
    fail: bool = False
    frozen: bool = False
    cut: bool = False
    reports: bool = True
    lie: bool = False
    cold_s: float = 0.0
    jitter: float = 0.5
    delay_ms: float = 0.0


class Backend:
    """One server.

    Parameters
    ----------
    server_id : str
        Its id in the document.
    slots : int
        Requests that it runs at the same time.
    journal : Path, optional
        File that gets the key of each run, so that the count outlives the process.
    """

    def __init__(self, server_id: str, slots: int, journal: Path | None = None) -> None:
        self.server_id = server_id
        self._journal = journal
        self.behaviour = Behaviour()
        self.counts: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self._slots = asyncio.Semaphore(slots)
        self._rng = random.Random(server_id)
        self._started = time.monotonic()
        self._running = 0
        self._queued = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one request."""
        behaviour = self.behaviour
        if behaviour.delay_ms:
            await asyncio.sleep(behaviour.delay_ms * 2 / 1000)
        if request.path == "/load":
            self.counts["probes"] += 1
            return web.Response(text="ok", headers=self._headers())
        self.counts["taken"] += 1
        while behaviour.frozen:
            await asyncio.sleep(0.05)
            behaviour = self.behaviour
        if behaviour.fail:
            self.counts["failed"] += 1
            return web.Response(status=500, headers=self._headers())
        if behaviour.shed or behaviour.leaving or self._full():
            self.counts["shed"] += 1
            return web.Response(status=503, headers={**self._headers(), **NOT_RUN})
        body = await request.read()
        try:
            return await self._work(request, body)
        except asyncio.CancelledError:
            self.counts["cancelled"] += 1
            raise

    def _full(self) -> bool:
        return self._slots.locked() and self._queued >= self.behaviour.queue

    async def _work(self, request: web.Request, body: bytes) -> web.StreamResponse:
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        try:
            key = request.headers.get("idempotency-key")
            if key is not None:
                self._count_run(key)
            await asyncio.sleep(self._work_s(request))
        finally:
            self._running -= 1
            self._slots.release()
        self.counts["ran"] += 1
        return await self._answer(request, body)

    def _count_run(self, key: str) -> None:
        self.runs_by_key[key] += 1
        if self._journal is not None:
            with self._journal.open("a") as journal:
                journal.write(key + "\n")

    def _work_s(self, request: web.Request) -> float:
        work_ms = float(request.query.get("work_ms", self.behaviour.work_ms))
        cold = time.monotonic() - self._started < self.behaviour.cold_s
        factor = self.behaviour.slow * (10.0 if cold else 1.0)
        return (
            work_ms
            * factor
            * self._rng.uniform(1 - self.behaviour.jitter, 1 + self.behaviour.jitter)
            / 1000
        )

    async def _answer(self, request: web.Request, body: bytes) -> web.StreamResponse:
        size = int(request.query.get("bytes", "0"))
        if not size and not self.behaviour.cut:
            echo = {"server": self.server_id, "path": request.raw_path, "bytes": len(body)}
            echo["echo"] = request.headers.get("x-echo", "")
            return web.json_response(echo, headers=self._headers())
        response = web.StreamResponse(headers=self._headers())
        response.content_length = size or 100
        await response.prepare(request)
        chunk = bytes(65_536)
        left = response.content_length
        while left > 0:
            if self.behaviour.cut:
                await response.write(b"cut")
                if request.transport is not None:
                    request.transport.abort()
                raise ConnectionResetError
            await response.write(chunk[:left])
            left -= len(chunk)
        return response

    def _headers(self) -> dict[str, str]:
        headers = {"x-server": self.server_id}
        if self.behaviour.reports:
            running = 0 if self.behaviour.lie else self._running
            queued = 0 if self.behaviour.lie else self._queued
            headers["endpoint-load-metrics"] = (
                f"TEXT named_metrics.in_flight={running}, named_metrics.queued={queued}"
            )
        if self.behaviour.leaving:
            headers["sycamorebay-leaving"] = "1"
        return headers


async def _run(
    spec: list[dict[str, Any]], address: str, control: int, journal: Path | None
) -> None:
    by_id = {}
    for one in spec:
        backend = Backend(one["id"], one["slots"], journal)
        backend.behaviour = Behaviour(**one.get("behaviour", {}))
        by_id[one["id"]] = backend
        app = web.Application(client_max_size=2**30)
        app.router.add_route("*", "/{path:.*}", backend.handle)
        host, _, port = one["address"].rpartition(":")
        await _listen(app, host, int(port))
    await _listen(_control_app(by_id), address, control)
    await asyncio.Event().wait()


def _control_app(by_id: dict[str, Backend]) -> web.Application:
    async def steer(request: web.Request) -> web.Response:
        wanted = request.match_info["id"]
        body = await request.json()
        for server_id in by_id if wanted == "all" else [wanted]:
            backend = by_id[server_id]
            backend.behaviour = attrs.evolve(backend.behaviour, **body)
        return web.json_response({})

    async def counted(_request: web.Request) -> web.Response:
        shown = {
            server_id: {"counts": dict(b.counts), "runs_by_key": dict(b.runs_by_key)}
            for server_id, b in by_id.items()
        }
        return web.json_response(shown)

    app = web.Application()
    app.router.add_post("/control/{id}", steer)
    app.router.add_get("/control", counted)
    return app


async def _listen(app: web.Application, host: str, port: int) -> None:
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, host, port, backlog=1024).start()


@click.command()
@click.option("--spec", type=click.Path(exists=True), required=True)
@click.option("--address", default="127.0.0.1", help="Address of the control endpoint.")
@click.option("--control", type=int, required=True, help="Port of the control endpoint.")
@click.option("--journal", type=click.Path(path_type=Path), help="File of keys that were run.")
def main(spec: str, address: str, control: int, journal: Path | None) -> None:
    """Run the servers of a spec file until ended."""
    asyncio.run(_run(json.loads(Path(spec).read_text()), address, control, journal))


if __name__ == "__main__":
    main()
