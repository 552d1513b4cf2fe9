"""The task that probes backend servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from sycamorebay import log
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.coordination.probe import Probe
from sycamorebay.metrics import Metrics
from sycamorebay.protocol.headers import load_report
from sycamorebay.transport.upstream import AttemptError, OutgoingRequest, Upstream

LOAD_TARGET = "/load"
PROBE_TIMEOUT_S = 0.5
TICK_S = 0.02

_log = log.part("probing")


async def run_prober(
    dispatcher: Dispatcher,
    upstream: Upstream,
    metrics: Metrics,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Send probes as the budget allows, until cancelled."""
    async with asyncio.TaskGroup() as probes:
        while True:
            metrics.probe_budget.set(dispatcher.prober.rate)
            while (probe := dispatcher.prober.next_probe(clock())) is not None:
                metrics.probes.inc()
                probes.create_task(_ask(dispatcher, upstream, probe, clock))
            await asyncio.sleep(TICK_S)


async def _ask(
    dispatcher: Dispatcher, upstream: Upstream, probe: Probe, clock: Callable[[], float]
) -> None:
    server = probe.backend_server
    request = OutgoingRequest(
        address=server.address,
        method="GET",
        target=LOAD_TARGET,
        headers=[("host", server.address)],
        body=None,
        time_left_s=PROBE_TIMEOUT_S,
    )
    try:
        answer = await upstream.send(request, lambda: dispatcher.may_probe(server))
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                async for _ in answer.chunks():
                    pass
        finally:
            await answer.release()
        report = load_report(dict(answer.headers))
    except (AttemptError, OSError, ValueError, TimeoutError) as error:
        _log.info("probe failed", step="probe", peer=server.id, reason=str(error))
        dispatcher.on_probe_failure(clock(), server.id)
    else:
        dispatcher.on_probe_answer(clock(), server.id, report)
