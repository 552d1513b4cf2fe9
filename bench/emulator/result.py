"""What callers got in a play."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from bench.emulator.world import Call

WINDOW_S = 4.0


@attrs.frozen
class Result:
    """Parts of a play's worth.

    Attributes
    ----------
    credit : float
        Earned of what could be earned, over the whole play.
    windows : float
        The same over the two worst windows of `WINDOW_S`.
    worst_kind : float
        The same of the worst kind of request.
    served : float
        Share of requests that were served at all.
    refused_again : float
        Share of worth that came back after a refusal and was refused again.
    """

    credit: float
    windows: float
    worst_kind: float
    served: float
    refused_again: float

    @property
    def worth(self) -> float:
        """Return the parts, weighed as both sites weigh them."""
        parts = 0.28 * self.credit + 0.4 * self.windows + 0.12 * self.worst_kind
        return parts + 0.2 * self.served - 0.3 * self.refused_again


def result_of(calls: list[Call]) -> Result:
    """Return the result of a play."""
    by_kind: dict[str, list[Call]] = {}
    by_window: dict[int, list[Call]] = {}
    for call in calls:
        by_kind.setdefault(call.kind.name, []).append(call)
        by_window.setdefault(int(call.born / WINDOW_S), []).append(call)
    windows = sorted(_credit(found) for found in by_window.values() if len(found) > 20)
    owed = sum(call.kind.worth for call in calls)
    again = sum(call.kind.worth for call in calls if call.refused_again and not call.served)
    return Result(
        credit=_credit(calls),
        windows=sum(windows[:2]) / 2,
        worst_kind=min(_credit(found) for found in by_kind.values()),
        served=sum(call.served for call in calls) / len(calls),
        refused_again=again / owed,
    )


def _credit(calls: Iterable[Call]) -> float:
    calls = list(calls)
    earned = 0.0
    for call in calls:
        if call.served and call.ended_at is not None:
            in_goal = call.ended_at - call.born <= call.kind.goal_s
            earned += call.kind.worth if in_goal else call.kind.late_worth
    return earned / sum(call.kind.worth for call in calls)
