"""The entry daemon: connects its parts, starts them and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Callable

import uvicorn

from sycamorebay import log
from sycamorebay.coordination.assignment import Entry
from sycamorebay.coordination.choose import CHOOSERS_BY_NAME
from sycamorebay.coordination.dispatch import Dispatcher
from sycamorebay.metrics import Metrics
from sycamorebay.outcomes import Refusal
from sycamorebay.settings import Settings
from sycamorebay.transport import garbage_collection
from sycamorebay.transport.background import BackgroundTask, run_in_background
from sycamorebay.transport.entry.control import Control
from sycamorebay.transport.entry.operators import Status, operator_app
from sycamorebay.transport.entry.timing import Timers
from sycamorebay.transport.forwarding.forward import Forwarder
from sycamorebay.transport.forwarding.front import HttpServers
from sycamorebay.transport.forwarding.probing import ProbeTask
from sycamorebay.transport.forwarding.upstream import open_upstream
from sycamorebay.transport.operations.keyed import KeyedOperations, open_operations

_OPERATORS_STOP_TIMEOUT_S = 1.0

_log = log.get_logger("daemon")


class Daemon:
    """One entry daemon.

    Parameters
    ----------
    settings : Settings
        The daemon's validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._dispatcher = Dispatcher(random.Random(), CHOOSERS_BY_NAME[settings.chooser]())
        self._control = Control(settings, self._dispatcher, self._metrics)
        self._keyed_refusal_reason: Callable[[], str] = lambda: ""
        self._stopping = asyncio.Event()
        self._callers: uvicorn.Server | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        Returns once the requests in flight and all keyed operations have ended, or their time
        limits have passed.
        """
        self._install_signal_handlers()
        async with contextlib.AsyncExitStack() as stack:
            upstream = await stack.enter_async_context(open_upstream())
            control = await stack.enter_async_context(self._control.open())
            keyed = await stack.enter_async_context(self._open_keyed_operations())
            forwarder = Forwarder(
                self._dispatcher, keyed.operations, keyed.inquirer, upstream, self._metrics
            )
            self._control.messages.on("inquire", keyed.inquirer.on_inquire)
            self._keyed_refusal_reason = keyed.refusal_reason
            background: list[BackgroundTask] = [
                *control,
                ProbeTask(self._dispatcher, upstream, self._metrics),
                Timers(self._dispatcher, forwarder, self._entries),
                keyed.registry,
            ]
            await stack.enter_async_context(run_in_background(background))
            await self._serve(forwarder)
            await forwarder.operations.drain()
        _log.info("stopped")

    def _open_keyed_operations(self) -> contextlib.AbstractAsyncContextManager[KeyedOperations]:
        return open_operations(
            self._settings,
            self._control.membership,
            self._control.network,
            self._dispatcher.invariants,
            self._control.on_platform_call,
        )

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)

    async def _serve(self, forwarder: Forwarder) -> None:
        """Serve callers and operators until a signal arrives; the callers' listener stops first."""
        settings = self._settings
        servers = HttpServers(settings.limits, self._metrics)
        callers = servers.caller_server(forwarder, settings.callers, settings.stop.limit_s)
        self._callers = callers
        operators = servers.operator_server(
            operator_app(self._control.secrets, self._metrics, self._status),
            settings.operators,
            self._on_operator_refused,
            _OPERATORS_STOP_TIMEOUT_S,
        )
        listeners: list[uvicorn.Server] = [callers, operators]
        tasks = [asyncio.create_task(listener.serve()) for listener in listeners]
        _log.info("started", id=settings.id, callers=str(settings.callers))
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([stopping, *tasks], return_when=asyncio.FIRST_COMPLETED)
        _log.info("stopping")
        callers.start_draining()
        await asyncio.sleep(settings.stop.notice_s)
        for listener, task in zip(listeners, tasks, strict=True):
            listener.should_exit = True
            await task

    def _on_operator_refused(self, refusal: Refusal) -> None:
        self._metrics.on_refusal(refusal)
        _log.info("request of an operator refused", status=refusal.status, reason=refusal.reason)

    def _entries(self) -> list[Entry]:
        membership = self._control.membership
        members = [membership.own, *membership.peers()]
        return [Entry(member.id, member.failure_domain) for member in members]

    def _listener_refusal_reason(self) -> str:
        listening = self._callers is not None and self._callers.started
        return "" if listening else "the callers' listener is not open"

    def _status(self) -> Status:
        configuration = self._control.configuration
        refusal_reason = (
            self._control.refusal_reason()
            or self._keyed_refusal_reason()
            or self._listener_refusal_reason()
        )
        for name, count in self._dispatcher.invariants.violations_by_name.items():
            self._metrics.violations.labels(name).set(count)
        return Status(
            id=self._settings.id,
            ready=not refusal_reason and not self._stopping.is_set(),
            objection=refusal_reason,
            revision=configuration.number,
            digest=configuration.digest,
            peers=tuple(sorted(peer.id for peer in self._control.heartbeats.alive())),
        )


async def serve(settings: Settings) -> None:
    """Run one entry daemon until SIGTERM or SIGINT, then shut it down gracefully.

    Parameters
    ----------
    settings : Settings
        The daemon's validated settings.
    """
    garbage_collection.tune_for_latency()
    await Daemon(settings).run()
