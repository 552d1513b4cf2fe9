"""Policies that choose a backend server among the candidates for a request."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from sycamorebay.state.backends import BackendState

# Candidates compared for one choice; this bounds its cost for a service with many servers.
MAX_COMPARED = 24
# Assumed for a server that has not answered yet.
DEFAULT_ANSWER_TIME_S = 0.02


class Chooser(Protocol):
    """Policy that chooses a backend server."""

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`.

        Parameters
        ----------
        now : float
            Current time in seconds.
        candidates : sequence of BackendState
            Backend servers that may get the request; never empty.
        rng : random.Random
            Seeded random source.
        """
        ...


class RandomChoice:
    """Uniform random choice."""

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return a candidate; all are equally likely."""
        return candidates[int(rng.random() * len(candidates))]


class RoundRobin:
    """Round robin, starting at a random candidate."""

    def __init__(self) -> None:
        self._next = -1

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return the candidate that follows the previous choice."""
        if self._next < 0:
            self._next = int(rng.random() * len(candidates))
        self._next += 1
        return candidates[self._next % len(candidates)]


class OwnLeastOutstanding:
    """Power of two choices by the requests that this entry has in flight itself."""

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return the one of two random candidates with fewer own requests per slot."""
        first = candidates[int(rng.random() * len(candidates))]
        second = candidates[int(rng.random() * len(candidates))]
        first_load = first.in_flight / first.server.slots
        return first if first_load <= second.in_flight / second.server.slots else second


class LoadEstimate:
    """Estimate of the current load of backend servers from stale reports.

    The load of a server consists of this entry's requests in flight, which are known exactly, and
    those of other entries, which the latest report shows with a delay. For the latter, the
    estimate moves from the report to the mean of the candidates as the report ages.

    Parameters
    ----------
    horizon : float
        Age from which a report is ignored, in mean answer times of its server.
    """

    def __init__(self, horizon: float = 4.0) -> None:
        self.horizon = horizon

    def mean_others(self, candidates: Sequence[BackendState]) -> float:
        """Return the mean number of other entries' requests in the candidates' latest reports."""
        return sum(state.others_at_report for state in candidates) / len(candidates)

    def load(self, now: float, state: BackendState, mean_others: float) -> float:
        """Return the estimated load of a server in requests per slot."""
        age = (now - state.reported_at) / (
            (state.answer_time_s or DEFAULT_ANSWER_TIME_S) * self.horizon
        )
        others = mean_others
        if age < 1.0:
            others += (1.0 - age) * (state.others_at_report - mean_others)
        return (state.in_flight + others) / state.server.slots


class TwoChoices:
    """Power of two choices by the load estimated from aged reports."""

    def __init__(self, horizon: float = 4.0) -> None:
        self._estimate = LoadEstimate(horizon)

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return the one of two random candidates with the lower estimated load."""
        first = candidates[int(rng.random() * len(candidates))]
        second = candidates[int(rng.random() * len(candidates))]
        mean_others = self._estimate.mean_others((first, second))
        first_load = self._estimate.load(now, first, mean_others)
        return first if first_load <= self._estimate.load(now, second, mean_others) else second


class HotCold:
    """Choice from a pool of recent reports that is split into hot and cold servers.

    Each report is used for a few choices only. A server whose reported load is above a quantile of
    the pool is hot. Of the cold servers, the one with the shortest answer time is chosen.

    Parameters
    ----------
    pool_size : int
        Number of latest reports in the pool.
    quantile : float
        Share of the pool that counts as cold.
    max_uses : int
        Number of choices that one report is used for.
    max_age_s : float
        Maximum age of a report in seconds.
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
        """Return the fastest cold candidate; falls back to `OwnLeastOutstanding`."""
        pool = [state for state in candidates if self._is_usable(now, state)]
        pool.sort(key=lambda state: -state.reported_at)
        pool = pool[: self._pool_size]
        if not pool:
            return OwnLeastOutstanding().choose(now, candidates, rng)
        loads = sorted(self._load(state) for state in pool)
        threshold = loads[int(self._quantile * (len(loads) - 1))]
        cold = [state for state in pool if self._load(state) <= threshold]
        chosen = min(cold, key=lambda state: state.answer_time_s)
        self._use(chosen)
        return chosen

    def _is_usable(self, now: float, state: BackendState) -> bool:
        if state.report is None or now - state.reported_at > self._max_age_s:
            return False
        used_report_at, uses = self._uses_by_id.get(state.server.id, (0.0, 0))
        return used_report_at != state.reported_at or uses < self._max_uses

    def _use(self, state: BackendState) -> None:
        used_report_at, uses = self._uses_by_id.get(state.server.id, (0.0, 0))
        uses = uses + 1 if used_report_at == state.reported_at else 1
        self._uses_by_id[state.server.id] = (state.reported_at, uses)

    @staticmethod
    def _load(state: BackendState) -> float:
        sent_since = max(0, state.in_flight - state.own_at_report)
        return (state.own_at_report + state.others_at_report + sent_since) / state.server.slots


class OwnSlotsFirst:
    """Least estimated load, with a bonus for free slots that are assigned to this entry.

    Slots are assigned to one entry each. Entries that use their assigned slots first do not choose
    the same server at the same time, even if their reports are stale. Requests beyond the assigned
    slots are distributed by the estimated load.

    Parameters
    ----------
    horizon : float
        See `LoadEstimate`.
    own_slot_bonus : float
        Load per slot that is subtracted for a server with a free assigned slot.
    cross_domain_penalty : float
        Penalty in load per slot for a server in another failure domain.
    """

    def __init__(
        self, horizon: float = 4.0, own_slot_bonus: float = 1.0, cross_domain_penalty: float = 0.02
    ) -> None:
        self._estimate = LoadEstimate(horizon)
        self._own_slot_bonus = own_slot_bonus
        self._cross_domain_penalty = cross_domain_penalty

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return the candidate with the lowest load after bonus and penalty."""
        compared = self._compared(candidates, rng)
        mean_others = self._estimate.mean_others(compared)
        first = int(rng.random() * len(compared))
        best = compared[first]
        lowest_load = float("inf")
        # Starts at a random candidate, so that equal loads do not always give the same server.
        for index in range(first - len(compared), first):
            state = compared[index]
            load = self._estimate.load(now, state, mean_others)
            if state.in_flight < state.own_slots:
                load -= self._own_slot_bonus
            if not state.same_failure_domain:
                load += self._cross_domain_penalty
            if load < lowest_load:
                best, lowest_load = state, load
        return best

    @staticmethod
    def _compared(candidates: Sequence[BackendState], rng: Random) -> Sequence[BackendState]:
        if len(candidates) <= MAX_COMPARED:
            return candidates
        with_own_slot = [state for state in candidates if state.in_flight < state.own_slots]
        return with_own_slot[:MAX_COMPARED] or rng.sample(candidates, MAX_COMPARED)


CHOOSERS_BY_NAME: dict[str, Callable[[], Chooser]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "own-least-outstanding": OwnLeastOutstanding,
    "two-choices": TwoChoices,
    "hot-cold": HotCold,
    "own-slots-first": OwnSlotsFirst,
}
DEFAULT_CHOOSER = "own-slots-first"
