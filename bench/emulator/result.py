"""Scores of a simulated run from the callers' view."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from bench.emulator.simulation import Call

# Length of the time windows whose two worst ones are scored.
WINDOW_S = 4.0


@attrs.frozen
class Result:
    """Scores of one run; each is a share from 0 to 1.

    Attributes
    ----------
    credit : float
        Worth of the answers over the worth of all requests, for the whole run.
    windows : float
        Mean credit of the two worst windows of `WINDOW_S`.
    worst_kind : float
        Credit of the kind of request with the lowest credit.
    served : float
        Share of requests answered before their deadline.
    refused_again : float
        Worth of the requests that were refused again after a retry and never served, over the
        worth of all requests.
    """

    credit: float
    windows: float
    worst_kind: float
    served: float
    refused_again: float

    @property
    def worth(self) -> float:
        """Return the weighted sum of the scores; both sites use these weights."""
        gained = 0.28 * self.credit + 0.4 * self.windows + 0.12 * self.worst_kind
        return gained + 0.2 * self.served - 0.3 * self.refused_again


def summarize(calls: list[Call]) -> Result:
    """Return the scores of all calls of a run."""
    by_kind: dict[str, list[Call]] = {}
    by_window: dict[int, list[Call]] = {}
    for call in calls:
        by_kind.setdefault(call.kind.name, []).append(call)
        by_window.setdefault(int(call.arrived_at / WINDOW_S), []).append(call)
    window_credits = sorted(_credit_of(group) for group in by_window.values() if len(group) > 20)
    total_worth = sum(call.kind.worth for call in calls)
    refused_worth = sum(call.kind.worth for call in calls if call.refused_again and not call.served)
    return Result(
        credit=_credit_of(calls),
        windows=sum(window_credits[:2]) / 2,
        worst_kind=min(_credit_of(group) for group in by_kind.values()),
        served=sum(call.served for call in calls) / len(calls),
        refused_again=refused_worth / total_worth,
    )


def _credit_of(calls: Iterable[Call]) -> float:
    calls = list(calls)
    earned_worth = 0.0
    for call in calls:
        if call.served and call.ended_at is not None:
            in_goal = call.ended_at - call.arrived_at <= call.kind.goal_s
            earned_worth += call.kind.worth if in_goal else call.kind.late_worth
    return earned_worth / sum(call.kind.worth for call in calls)
