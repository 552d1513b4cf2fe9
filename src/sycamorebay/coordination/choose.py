"""Choice of a backend server among those that may take a request."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

from sycamorebay.state.backends import BackendState


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


class TwoChoices:
    """The less loaded of two random candidates.

    Load is this entry's own requests in flight plus the server's latest report while it is
    younger than `report_age_s` seconds.
    """

    def __init__(self, report_age_s: float = 0.5) -> None:
        self.report_age_s = report_age_s

    def choose(self, now: float, candidates: Sequence[BackendState], rng: Random) -> BackendState:
        """Return one of `candidates`."""
        count = len(candidates)
        first = candidates[int(rng.random() * count)]
        second = candidates[int(rng.random() * count)]
        return first if self._load(now, first) <= self._load(now, second) else second

    def _load(self, now: float, state: BackendState) -> float:
        load = float(state.in_flight)
        if state.report is not None and now - state.reported_at < self.report_age_s:
            load += state.report.in_flight + state.report.queued
        return load / state.server.slots
