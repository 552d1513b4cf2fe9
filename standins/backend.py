"""Stand-in for backend servers; one process runs several.

``POST /control/ID`` on the control port changes the behaviour of one server, or of all with the ID
``all``; ``GET /control`` returns the counters of each server. A request takes the time ``work_ms``
of its query, or by default that of the server.
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

NOT_RUN_HEADERS = {"sycamorebay-outcome": "not-run", "retry-after": "1"}


@attrs.define
class Behaviour:
    """Behaviour and injected faults of a server; the control endpoint sets them by these names.

    Attributes
    ----------
    work_ms : float
        Time in milliseconds that a request takes if its query has no ``work_ms``.
    slow : float
        Factor by which all work takes longer.
    queue : int
        Number of requests that may wait for a slot; further ones are shed.
    shed : bool
        Shed every request.
    leaving : bool
        Announce in each answer that the server is leaving, and shed new requests.
    fail : bool
        Answer every request with status 500 at once.
    frozen : bool
        Accept requests, but answer none until this ends.
    cut : bool
        Reset the connection in the middle of each answer.
    reports : bool
        Send the header with the server's load.
    lie : bool
        Report a load of zero, whatever the load is.
    cold_s : float
        Time after the start, in seconds, during which work takes ten times as long.
    jitter : float
        Largest share by which the time of a request varies at random.
    delay_ms : float
        One-way network delay to simulate, in milliseconds.
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
    """A backend server with slots and a queue.

    Parameters
    ----------
    server_id : str
        Its id in the document.
    slots : int
        Number of requests that it runs at the same time.
    journal : Path, optional
        File to which the key of each run is appended, so that the count survives the process.

    Attributes
    ----------
    behaviour : Behaviour
        How the server behaves from now on.
    counts : Counter
        Number of probes, of other requests (taken), and of the latter by result (failed, shed,
        cancelled, ran).
    runs_by_key : Counter
        Number of runs by idempotency key.
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
        """Answer a request as the behaviour says.

        Raises
        ------
        asyncio.CancelledError
            If the caller disconnects before the answer; the request counts as cancelled.
        """
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
        if behaviour.shed or behaviour.leaving or self._is_full():
            self.counts["shed"] += 1
            return web.Response(status=503, headers={**self._headers(), **NOT_RUN_HEADERS})
        body = await request.read()
        try:
            return await self._work(request, body)
        except asyncio.CancelledError:
            self.counts["cancelled"] += 1
            raise

    def _is_full(self) -> bool:
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
                self._record_run(key)
            await asyncio.sleep(self._work_s(request))
        finally:
            self._running -= 1
            self._slots.release()
        self.counts["ran"] += 1
        return await self._answer(request, body)

    def _record_run(self, key: str) -> None:
        self.runs_by_key[key] += 1
        if self._journal is not None:
            with self._journal.open("a") as journal:
                journal.write(key + "\n")

    def _work_s(self, request: web.Request) -> float:
        work_ms = float(request.query.get("work_ms", self.behaviour.work_ms))
        is_warming_up = time.monotonic() - self._started < self.behaviour.cold_s
        factor = self.behaviour.slow * (10.0 if is_warming_up else 1.0)
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
        remaining = response.content_length
        while remaining > 0:
            if self.behaviour.cut:
                await response.write(b"cut")
                if request.transport is not None:
                    request.transport.abort()
                raise ConnectionResetError
            await response.write(chunk[:remaining])
            remaining -= len(chunk)
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
    backends_by_id = {}
    for server in spec:
        backend = Backend(server["id"], server["slots"], journal)
        backend.behaviour = Behaviour(**server.get("behaviour", {}))
        backends_by_id[server["id"]] = backend
        app = web.Application(client_max_size=2**30)
        app.router.add_route("*", "/{path:.*}", backend.handle)
        host, _, port = server["address"].rpartition(":")
        await _listen(app, host, int(port))
    await _listen(_control_app(backends_by_id), address, control)
    await asyncio.Event().wait()


def _control_app(backends_by_id: dict[str, Backend]) -> web.Application:
    async def set_behaviour(request: web.Request) -> web.Response:
        server_id_or_all = request.match_info["id"]
        body = await request.json()
        for server_id in backends_by_id if server_id_or_all == "all" else [server_id_or_all]:
            backend = backends_by_id[server_id]
            backend.behaviour = attrs.evolve(backend.behaviour, **body)
        return web.json_response({})

    async def read_counts(_request: web.Request) -> web.Response:
        counts_by_id = {
            server_id: {"counts": dict(backend.counts), "runs_by_key": dict(backend.runs_by_key)}
            for server_id, backend in backends_by_id.items()
        }
        return web.json_response(counts_by_id)

    app = web.Application()
    app.router.add_post("/control/{id}", set_behaviour)
    app.router.add_get("/control", read_counts)
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
    """Run the servers of a spec file until the process ends."""
    asyncio.run(_run(json.loads(Path(spec).read_text()), address, control, journal))


if __name__ == "__main__":
    main()
