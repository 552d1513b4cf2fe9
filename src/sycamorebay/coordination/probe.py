"""Probes of backend servers within a budget."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

from sycamorebay.coordination.invariants import Invariants
from sycamorebay.state.backends import BackendState
from sycamorebay.state.document import BackendServer, Measuring

_MOST_SKIPPED = 32
_EXACT = 1e-6
_NEVER = float("-inf")


@attrs.frozen
class Probe:
    """Ask a backend server for its load."""

    backend_server: BackendServer


class ProbeBudget:
    """A token bucket that holds one token and starts empty: never a burst.

    Parameters
    ----------
    now : float
        Start, in seconds.
    rate : float
        Probes a second.
    """

    def __init__(self, now: float, rate: float) -> None:
        self.rate = rate
        self._tokens = 0.0
        self._at = now

    def set_rate(self, now: float, rate: float) -> None:
        """Change the rate from now on; what the old rate earned is dropped."""
        if rate != self.rate:
            self.rate = rate
            self._tokens = 0.0
            self._at = now

    def has_one(self, now: float) -> bool:
        """Whether a probe may be sent."""
        self._earn(now)
        return self._tokens >= 1.0 - _EXACT

    def take(self) -> None:
        """Spend one probe."""
        self._tokens = 0.0

    def _earn(self, now: float) -> None:
        self._tokens = min(1.0, self._tokens + max(0.0, now - self._at) * self.rate)
        self._at = now


class Prober:
    """Decides which backend server is asked next: in turn, those whose report is old.

    One that is leaving is asked first, so that its return is seen.

    Parameters
    ----------
    invariants : Invariants
        Where violations are counted.
    """

    def __init__(self, invariants: Invariants) -> None:
        self._invariants = invariants
        self._budget: ProbeBudget | None = None
        self._measuring = Measuring()
        self._turn: deque[BackendState] = deque()
        self._first: deque[BackendState] = deque()
        self._ids: set[str] = set()
        self._asked_at_by_id: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._last_at = float("-inf")

    @property
    def rate(self) -> float:
        """Probes a second that the budget allows."""
        return self._measuring.probes_per_entry

    def on_document(self, now: float, measuring: Measuring, states: Iterable[BackendState]) -> None:
        """Take over a new budget and new backend servers."""
        if self._budget is None:
            self._budget = ProbeBudget(now, measuring.probes_per_entry)
        self._budget.set_rate(now, measuring.probes_per_entry)
        self._measuring = measuring
        self._turn = deque(states)
        self._first = deque(state for state in self._turn if state.restricted)
        self._ids = {state.server.id for state in self._turn}
        self._asked_at_by_id = {k: v for k, v in self._asked_at_by_id.items() if k in self._ids}

    def next_probe(self, now: float) -> Probe | None:
        """Return the probe to send now, or None."""
        cap = self._measuring.probes_per_backend_server
        if self._budget is None or cap <= 0 or not self._budget.has_one(now):
            return None
        state = self._next_state(now, 1.0 / cap)
        if state is None:
            return None
        self._budget.take()
        server = state.server
        self._check(now, server.id, cap)
        self._asked_at_by_id[server.id] = now
        self._in_flight.add(server.id)
        return Probe(server)

    def may_probe(self, server: BackendServer) -> bool:
        """Whether a backend server is in an allowed place still; asked before the first byte."""
        return any(state.server == server for state in self._turn)

    def on_done(self, server_id: str) -> None:
        """Take the end of a probe, whether it brought an answer or not."""
        self._in_flight.discard(server_id)

    def prioritize(self, state: BackendState) -> None:
        """Ask a backend server before others until it takes its usual work again."""
        if state.server.id in self._ids and state not in self._first:
            self._first.append(state)

    def _next_state(self, now: float, interval_s: float) -> BackendState | None:
        while self._first and not self._first[0].restricted:
            self._first.popleft()
        return self._due(now, interval_s, self._first) or self._due(now, interval_s, self._turn)

    def _due(self, now: float, interval_s: float, turn: deque[BackendState]) -> BackendState | None:
        for _ in range(min(_MOST_SKIPPED, len(turn))):
            state = turn[0]
            turn.rotate(-1)
            heard_at = max(state.reported_at, self._asked_at_by_id.get(state.server.id, _NEVER))
            if now - heard_at >= interval_s and state.server.id not in self._in_flight:
                return state
        return None

    def _check(self, now: float, server_id: str, cap: float) -> None:
        spacing_s = now - self._last_at
        own_spacing_s = now - self._asked_at_by_id.get(server_id, float("-inf"))
        within = spacing_s * self._measuring.probes_per_entry >= 1.0 - 2 * _EXACT
        self._invariants.check(within, "measuring budget")
        self._invariants.check(own_spacing_s * cap >= 1.0 - 2 * _EXACT, "measuring budget")
        self._last_at = now
