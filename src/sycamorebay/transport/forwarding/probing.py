"""The background task that asks backend servers for their load."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from sycamorebay import log
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.probe import Probe
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.headers import parse_load_report
from sycamorebay.state.backends import LoadReport
from sycamorebay.transport.forwarding.upstream import AttemptError, OutgoingRequest, Upstream

LOAD_PATH = "/load"
PROBE_TIMEOUT_S = 0.5
TICK_S = 0.02

_log = log.get_logger("probing")


class ProbeTask:
    """Sends the probes that the prober schedules within its budget.

    Parameters
    ----------
    dispatcher : Dispatcher
        Schedules the probes and receives their results.
    upstream : Upstream
        Sends the probes.
    metrics : Metrics
        Receives the number of probes and the probe budget.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        upstream: Upstream,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._metrics = metrics
        self._clock = clock

    async def run(self) -> None:
        """Send probes until cancelled."""
        prober = self._dispatcher.prober
        async with asyncio.TaskGroup() as probes:
            while True:
                self._metrics.probe_budget.set(prober.rate)
                while (probe := prober.next_probe(self._clock())) is not None:
                    self._metrics.probes.inc()
                    probes.create_task(self._ask(probe))
                await asyncio.sleep(TICK_S)

    async def _ask(self, probe: Probe) -> None:
        server = probe.backend_server
        request = OutgoingRequest(
            address=server.address,
            method="GET",
            target=LOAD_PATH,
            headers=[("host", server.address)],
            body=None,
            length=None,
            deadline=self._clock() + PROBE_TIMEOUT_S,
        )
        try:
            report = await self._fetch_report(
                request, lambda: self._dispatcher.prober.may_probe(server)
            )
        except (AttemptError, OSError, ValueError, TimeoutError) as error:
            _log.info("probe failed", step="probe", peer=server.id, reason=str(error))
            self._dispatcher.on_probe_failure(self._clock(), server.id)
        else:
            self._dispatcher.on_probe_answer(self._clock(), server.id, report)

    async def _fetch_report(
        self, request: OutgoingRequest, may_send: Callable[[], bool]
    ) -> LoadReport | None:
        answer = await self._upstream.send(request, may_send)
        try:
            async with asyncio.timeout(request.deadline - self._clock()):
                async for _ in answer.chunks():
                    pass
        finally:
            answer.release()
        return parse_load_report(dict(answer.headers))
