"""Probing of backend servers within a rate budget."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.state.backends import BackendState
from sycamorebay.state.document import BackendServer, Measuring

# Servers examined for one probe; this bounds its cost for a document with many servers.
_MAX_EXAMINED = 32
_ROUNDING_TOLERANCE = 1e-6
_NEVER = float("-inf")


@attrs.frozen
class Probe:
    """Request a load report from a backend server."""

    backend_server: BackendServer


class ProbeBudget:
    """Token bucket with a capacity of one token that starts empty, so it never allows a burst.

    Parameters
    ----------
    now : float
        Current time in seconds.
    rate : float
        Probes per second.
    """

    def __init__(self, now: float, rate: float) -> None:
        self.rate = rate
        self._tokens = 0.0
        self._refilled_at = now

    def set_rate(self, now: float, rate: float) -> None:
        """Change the rate in probes per second; tokens earned at the old rate are dropped."""
        if rate != self.rate:
            self.rate = rate
            self._tokens = 0.0
            self._refilled_at = now

    def has_token(self, now: float) -> bool:
        """Return whether a probe may be sent."""
        self._refill(now)
        return self._tokens >= 1.0 - _ROUNDING_TOLERANCE

    def consume(self) -> None:
        """Consume the token of one probe."""
        self._tokens = 0.0

    def _refill(self, now: float) -> None:
        self._tokens = min(1.0, self._tokens + max(0.0, now - self._refilled_at) * self.rate)
        self._refilled_at = now


class Prober:
    """Selects the backend server to probe next, in round robin among those with an old report.

    Restricted servers, such as leaving ones, are probed first, so that their recovery is noticed
    early.

    Parameters
    ----------
    invariants : Invariants
        Counter of invariant violations.
    """

    def __init__(self, invariants: Invariants) -> None:
        self._invariants = invariants
        self._budget: ProbeBudget | None = None
        self._measuring = Measuring()
        self._rotation: deque[BackendState] = deque()
        self._prioritized: deque[BackendState] = deque()
        self._ids: set[str] = set()
        self._probed_at_by_id: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._last_probe_at = float("-inf")

    @property
    def rate(self) -> float:
        """Probes per second that this entry may send."""
        return self._measuring.probes_per_entry

    def on_document(self, now: float, measuring: Measuring, states: Iterable[BackendState]) -> None:
        """Apply the budget and the backend servers of a new document."""
        if self._budget is None:
            self._budget = ProbeBudget(now, measuring.probes_per_entry)
        self._budget.set_rate(now, measuring.probes_per_entry)
        self._measuring = measuring
        self._rotation = deque(states)
        self._prioritized = deque(state for state in self._rotation if state.restricted)
        self._ids = {state.server.id for state in self._rotation}
        self._probed_at_by_id = {k: v for k, v in self._probed_at_by_id.items() if k in self._ids}

    def next_probe(self, now: float) -> Probe | None:
        """Return the probe to send now, or None if no server is due or the budget is used up."""
        cap = self._measuring.probes_per_backend_server
        if self._budget is None or cap <= 0 or not self._budget.has_token(now):
            return None
        state = self._next_state(now, 1.0 / cap)
        if state is None:
            return None
        self._budget.consume()
        server = state.server
        self._check(now, server.id, cap)
        self._probed_at_by_id[server.id] = now
        self._in_flight.add(server.id)
        return Probe(server)

    def may_probe(self, server: BackendServer) -> bool:
        """Return whether a backend server may still be probed; call it before the first byte.

        The document in force may have changed since the probe was chosen.
        """
        return any(state.server == server for state in self._rotation)

    def on_done(self, server_id: str) -> None:
        """Record the end of a probe, with or without an answer."""
        self._in_flight.discard(server_id)

    def prioritize(self, state: BackendState) -> None:
        """Probe a backend server before others until it is no longer restricted."""
        if state.server.id in self._ids and state not in self._prioritized:
            self._prioritized.append(state)

    def _next_state(self, now: float, interval_s: float) -> BackendState | None:
        while self._prioritized and not self._prioritized[0].restricted:
            self._prioritized.popleft()
        return self._due(now, interval_s, self._prioritized) or self._due(
            now, interval_s, self._rotation
        )

    def _due(
        self, now: float, interval_s: float, rotation: deque[BackendState]
    ) -> BackendState | None:
        for _ in range(min(_MAX_EXAMINED, len(rotation))):
            state = rotation[0]
            rotation.rotate(-1)
            last_at = max(state.reported_at, self._probed_at_by_id.get(state.server.id, _NEVER))
            if now - last_at >= interval_s and state.server.id not in self._in_flight:
                return state
        return None

    def _check(self, now: float, server_id: str, cap: float) -> None:
        spacing_s = now - self._last_probe_at
        server_spacing_s = now - self._probed_at_by_id.get(server_id, float("-inf"))
        within_rate = spacing_s * self._measuring.probes_per_entry >= 1.0 - 2 * _ROUNDING_TOLERANCE
        self._invariants.check(within_rate, "measuring budget")
        self._invariants.check(
            server_spacing_s * cap >= 1.0 - 2 * _ROUNDING_TOLERANCE, "measuring budget"
        )
        self._last_probe_at = now
