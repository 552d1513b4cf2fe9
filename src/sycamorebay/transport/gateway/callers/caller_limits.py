"""Limits that all listeners of a gateway share, as they follow from its settings."""

from __future__ import annotations

import time
from typing import Any

from sycamorebay.coordination.connection_slots import divide_descriptors
from sycamorebay.coordination.held_memory import CONNECTION_BYTES
from sycamorebay.coordination.memory_budget import divide_memory
from sycamorebay.transport.gateway.callers.body_reservations import BodyReservations
from sycamorebay.transport.gateway.callers.listener import Handler, Listener
from sycamorebay.transport.gateway.callers.slow_callers import SlowCallers
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.settings import GatewaySettings
from sycamorebay.transport.http.caller_guard import CallerGuard, CallerMemory
from sycamorebay.transport.http.turns import Turns

# Of the memory for requests, the share that connections may take before they send anything.
CONNECTION_MEMORY_SHARE = 1 / 2


class CallerLimits:
    """Creates the listeners of a gateway.

    Parameters
    ----------
    settings : GatewaySettings
        Their memory and descriptors.
    counters : Counters
        Metrics of this daemon.

    Attributes
    ----------
    connections : ConnectionLimits
        Most connections.
    """

    def __init__(self, settings: GatewaySettings, counters: Counters) -> None:
        budget = divide_memory(settings.ram_mb)
        connection_memory = int(CONNECTION_MEMORY_SHARE * budget.request_bytes)
        self.connections = divide_descriptors(settings.max_fds, connection_memory, CONNECTION_BYTES)
        self._counters = counters
        self._memory = CallerMemory(counters, budget.request_bytes)
        self._slow_callers = SlowCallers(counters, budget.unsent_bytes)
        self._bodies = BodyReservations(budget.body_bytes)
        self._turns = Turns()

    def caller_listener(self, handler: Handler, **changes: Any) -> Listener:
        """Return the listener for callers."""
        return self._listener(handler, self.connections.callers, **changes)

    def side_listener(self, handler: Handler) -> Listener:
        """Return a listener for readiness checks or for peers."""
        return self._listener(handler, self.connections.side)

    def _listener(self, handler: Handler, max_connections: int, **changes: Any) -> Listener:
        return Listener(
            handler,
            counters=self._counters,
            slow_callers=self._slow_callers,
            bodies=self._bodies,
            turns=self._turns,
            guard=CallerGuard(time.monotonic, self._counters, self._memory, max_connections),
            **changes,
        )
