"""Choice of a backend server among those that may take a request."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from sycamorebay.state.backends import BackendState

MAX_COMPARED = 24
DEFAULT_ANSWER_S = 0.02


class Chooser(Protocol):
    """Chooses a backend server."""

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`, which are never empty."""
        ...


class RandomChoice:
    """Any candidate, each as likely."""

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`."""
        return candidates[int(rng.random() * len(candidates))]


class RoundRobin:
    """One candidate after the other, from a random first one."""

    def __init__(self) -> None:
        self._next = -1

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`."""
        if self._next < 0:
            self._next = int(rng.random() * len(candidates))
        self._next += 1
        return candidates[self._next % len(candidates)]


class OwnLeastOutstanding:
    """Of two random candidates the one with fewer of this entry's own requests in flight."""

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`."""
        first = candidates[int(rng.random() * len(candidates))]
        second = candidates[int(rng.random() * len(candidates))]
        first_load = first.in_flight / first.server.slots
        return first if first_load <= second.in_flight / second.server.slots else second


class LoadEstimate:
    """The load of backend servers now, guessed from stale reports.

    A server's load is this entry's own requests in flight, which it knows, and those of others.
    The latter were reported a while ago: the guess moves from the report to the candidates' mean
    as the report ages.

    Parameters
    ----------
    horizon : float
        Age at which a report says nothing any more, in mean times of an answer.
    """

    def __init__(self, horizon: float = 4.0) -> None:
        self.horizon = horizon

    def others(self, candidates: Sequence[BackendState]) -> float:
        """Return the mean of what candidates last reported of other entries' requests."""
        return sum(state.others_at_report for state in candidates) / len(candidates)

    def load(self, now: float, state: BackendState, mean_others: float) -> float:
        """Return the guessed requests per slot."""
        age = (now - state.reported_at) / ((state.answer_s or DEFAULT_ANSWER_S) * self.horizon)
        others = mean_others
        if age < 1.0:
            others += (1.0 - age) * (state.others_at_report - mean_others)
        return (state.in_flight + others) / state.server.slots


class TwoChoices:
    """The less loaded of two random candidates, by their aged reports."""

    def __init__(self, horizon: float = 4.0) -> None:
        self._estimate = LoadEstimate(horizon)

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`."""
        first = candidates[int(rng.random() * len(candidates))]
        second = candidates[int(rng.random() * len(candidates))]
        others = self._estimate.others((first, second))
        first_load = self._estimate.load(now, first, others)
        return first if first_load <= self._estimate.load(now, second, others) else second


class HotCold:
    """Pooled reports with a hot and cold rule.

    Each report serves for a few choices only. A server whose reported load is above a quantile
    of the pool is hot. Of the others the one with the shortest answers is chosen.

    Parameters
    ----------
    pool_size : int
        Latest reports that are compared.
    quantile : float
        Share of the pool that is cold.
    max_uses : int
        Choices that one report serves for.
    max_age_s : float
        Age in seconds from which a report is left out.
    """

    def __init__(
        self,
        pool_size: int = 16,
        quantile: float = 0.8,
        max_uses: int = 2,
        max_age_s: float = 0.2,
    ) -> None:
        self._pool_size = pool_size
        self._quantile = quantile
        self._max_uses = max_uses
        self._max_age_s = max_age_s
        self._uses_by_id: dict[str, tuple[float, int]] = {}

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`."""
        pool = [state for state in candidates if self._is_usable(now, state)]
        pool.sort(key=lambda state: -state.reported_at)
        pool = pool[: self._pool_size]
        if not pool:
            return OwnLeastOutstanding().choose(now, candidates, rng)
        loads = sorted(self._load(state) for state in pool)
        bound = loads[int(self._quantile * (len(loads) - 1))]
        cold = [state for state in pool if self._load(state) <= bound]
        chosen = min(cold, key=lambda state: state.answer_s)
        self._use(chosen)
        return chosen

    def _is_usable(self, now: float, state: BackendState) -> bool:
        if state.report is None or now - state.reported_at > self._max_age_s:
            return False
        at, uses = self._uses_by_id.get(state.server.id, (0.0, 0))
        return at != state.reported_at or uses < self._max_uses

    def _use(self, state: BackendState) -> None:
        at, uses = self._uses_by_id.get(state.server.id, (0.0, 0))
        uses = uses + 1 if at == state.reported_at else 1
        self._uses_by_id[state.server.id] = (state.reported_at, uses)

    @staticmethod
    def _load(state: BackendState) -> float:
        own = max(0, state.in_flight - state.own_at_report)
        return (state.own_at_report + state.others_at_report + own) / state.server.slots


class OwnSlotsFirst:
    """The least loaded candidate, where a free slot dealt to this entry counts as less load.

    Entries that each start at their own slots do not meet at the same server, however stale
    their reports are; what goes beyond them is spread by the aged reports.

    Parameters
    ----------
    horizon : float
        See `LoadEstimate`.
    own_slot_bonus : float
        Load per slot that a free slot of this entry's own outweighs.
    far_cost : float
        Load per slot that a server in another failure domain counts for.
    """

    def __init__(
        self, horizon: float = 4.0, own_slot_bonus: float = 1.0, far_cost: float = 0.02
    ) -> None:
        self._estimate = LoadEstimate(horizon)
        self._own_slot_bonus = own_slot_bonus
        self._far_cost = far_cost

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`."""
        compared = self._compared(candidates, rng)
        others = self._estimate.others(compared)
        first = int(rng.random() * len(compared))
        best = compared[first]
        least = float("inf")
        for index in range(first - len(compared), first):
            state = compared[index]
            load = self._estimate.load(now, state, others)
            if state.in_flight < state.own_slots:
                load -= self._own_slot_bonus
            if not state.near:
                load += self._far_cost
            if load < least:
                best, least = state, load
        return best

    @staticmethod
    def _compared(candidates: Sequence[BackendState], rng: Random) -> Sequence[BackendState]:
        if len(candidates) <= MAX_COMPARED:
            return candidates
        own = [state for state in candidates if state.in_flight < state.own_slots]
        return own[:MAX_COMPARED] or rng.sample(candidates, MAX_COMPARED)


CHOOSERS_BY_NAME: dict[str, Callable[[], Chooser]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "own-least-outstanding": OwnLeastOutstanding,
    "two-choices": TwoChoices,
    "hot-cold": HotCold,
    "own-slots-first": OwnSlotsFirst,
}
DEFAULT_CHOOSER = "own-slots-first"
