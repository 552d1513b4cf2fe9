"""Specification of the limit of a client account; ``python -m specs.account_limit``.

Two gateways run the requests of one account. Gateway 0 owns the account while both see each other;
gateway 1 takes over when it does not see gateway 0. The network between them may be cut, and
gateway 0 may be restarted or suspended. Each notices a loss of contact after some time, and its
end some time later. Callers may want any number of requests at any moment. All bounded states are
explored, with a window that begins at any moment.

The bound holds with two faults in a window, but for two cuts of the network.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000
GATEWAYS = (0, 1)
# A tick is 0.8 s, by which the times at which two gateways notice a loss of contact differ at most.
# Per tick; a quarter of it is a fallback share, as two gateways each use half of their share.
RATE = 4
BURST = 8
NEW_OWNER_TOKENS = 1
WINDOW_TICKS = 6
SLACK = 4 * NEW_OWNER_TOKENS
BOUND = int((RATE * WINDOW_TICKS + BURST) * 1.1 + SLACK)
# A loss of contact is noticed after one tick at the earliest, and within this time.
LOSS_TICKS = 2
# A gateway that was restarted becomes an owner after this time.
CANDIDATE_TICKS = 2
# A larger fleet counts after this time, so that two owners do not both grant the whole limit.
RISE_TICKS = 3


@attrs.frozen
class Variant:
    """Rules and bounds; each rule that is off gives a broken variant.

    Attributes
    ----------
    starts_empty : bool
        Whether a new owner starts with few tokens.
    drops_bucket : bool
        Whether an owner drops its bucket when another one may have owned the account.
    grants_share : bool
        Whether an owner that sees a part of the fleet grants a part of the limit.
    rises_late : bool
        Whether a larger fleet counts after `RISE_TICKS` only.
    losses, restarts, suspensions : int
        Largest numbers of cuts, restarts and suspensions.
    """

    starts_empty: bool = True
    drops_bucket: bool = True
    grants_share: bool = True
    rises_late: bool = True
    losses: int = 1
    restarts: int = 1
    suspensions: int = 1


class Gateway(NamedTuple):
    """One gateway.

    Attributes
    ----------
    sees : bool
        Whether it sees the other one.
    tokens : int
        Tokens of its bucket as an owner.
    alone : int
        Permits of its own share, while it reaches no owner.
    rises_in : int
        Ticks for which it still counts the fleet as a part.
    settles_in : int
        Ticks until it may be an owner again.
    """

    sees: bool = True
    tokens: int = 0
    alone: int = 0
    rises_in: int = 0
    settles_in: int = 0


class State(NamedTuple):
    """All of the system.

    Attributes
    ----------
    gateways : tuple of Gateway
        The gateways.
    cut, suspended, restarted : bool
        Whether the network is cut, whether gateway 0 is suspended, and whether gateway 1 waits for
        its candidacy after a restart.
    changed : int
        Ticks since contact was lost or came back.
    run, age : int
        Requests that ran in the window, and its age in ticks; -1 before it begins.
    losses, restarts, suspensions : int
        How many there were.
    """

    gateways: tuple[Gateway, Gateway] = (Gateway(tokens=BURST), Gateway())
    cut: bool = False
    suspended: bool = False
    restarted: bool = False
    changed: int = 0
    run: int = 0
    age: int = -1
    losses: int = 0
    restarts: int = 0
    suspensions: int = 0

    @property
    def apart(self) -> bool:
        """Whether the gateways do not reach each other."""
        return self.cut or self.suspended

    def having(self, index: int, **changes: Any) -> State:
        """Return this state with one gateway changed."""
        gateways = list(self.gateways)
        gateways[index] = gateways[index]._replace(**changes)
        return self._replace(gateways=(gateways[0], gateways[1]))


def owner(state: State, index: int) -> int | None:
    """Return the owner that decides on the requests of a gateway; None if it reaches none."""
    chosen = 0 if index == 0 or state.gateways[1].sees else 1
    if chosen != index and state.apart:
        return None
    return None if state.gateways[chosen].settles_in else chosen


def steps(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Yield the label and the next state of every enabled action."""
    if state.age == WINDOW_TICKS:
        return
    if state.age < 0:
        yield "window begins", state._replace(age=0)
    yield from _loss_steps(variant, state)
    for index in GATEWAYS:
        if index or not state.suspended:
            yield from _run_steps(state, index)
            yield from _notice_steps(variant, state, index)
    if not _is_overdue(state):
        yield "tick", tick(variant, state)


def _is_overdue(state: State) -> bool:
    """Return whether a gateway has to notice a change before time goes on."""
    awake = state.gateways[1:] if state.suspended else state.gateways
    unnoticed = [gateway for gateway in awake if gateway.sees == state.apart]
    if state.apart or state.restarted:
        return bool(unnoticed) and state.changed >= LOSS_TICKS
    return bool(unnoticed) and state.changed >= 1


def _loss_steps(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    if not state.apart and state.losses < variant.losses:
        yield "cut", state._replace(cut=True, changed=0, losses=state.losses + 1)
    if state.cut and not state.suspended:
        yield "heal", state._replace(cut=False, changed=0)
    if not state.suspended and state.restarts < variant.restarts:
        started = Gateway(False, 0, 0, RISE_TICKS, CANDIDATE_TICKS)
        other = state.gateways[1]
        if other.sees and not state.apart:
            other = _lose(variant, state, 1).gateways[1]
        yield (
            "restart",
            state._replace(
                gateways=(started, other), restarted=True, changed=0, restarts=state.restarts + 1
            ),
        )
    if not state.apart and state.suspensions < variant.suspensions:
        suspensions = state.suspensions + 1
        yield "suspend", state._replace(suspended=True, changed=0, suspensions=suspensions)
    if state.suspended:
        resumed = state._replace(suspended=False, changed=0)
        if variant.drops_bucket:
            resumed = resumed.having(0, tokens=NEW_OWNER_TOKENS)
        yield "resume", resumed


def _run_steps(state: State, index: int) -> Iterator[tuple[str, State]]:
    chosen = owner(state, index)
    gateway = state.gateways[index if chosen is None else chosen]
    number = gateway.alone if chosen is None else gateway.tokens
    if not number:
        return
    used = state.having(index, alone=0) if chosen is None else state.having(chosen, tokens=0)
    yield f"run {index}", used._replace(run=used.run + (number if used.age >= 0 else 0))


def _notice_steps(variant: Variant, state: State, index: int) -> Iterator[tuple[str, State]]:
    gateway = state.gateways[index]
    if state.apart and gateway.sees:
        if not state.changed:
            return
        yield f"lose {index}", _lose(variant, state, index)
    elif not state.apart and not gateway.sees:
        if index and state.restarted and state.changed < CANDIDATE_TICKS:
            return
        rises_in = RISE_TICKS if variant.rises_late else 0
        found = state.having(index, sees=True, rises_in=rises_in)
        found = found._replace(restarted=found.restarted and not index)
        if index and variant.drops_bucket:
            found = found.having(index, tokens=0)
        yield f"find {index}", found


def _lose(variant: Variant, state: State, index: int) -> State:
    tokens = state.gateways[index].tokens
    if index:
        kept = tokens if not variant.drops_bucket else 0
        tokens = max(kept, NEW_OWNER_TOKENS if variant.starts_empty else BURST)
    share = BURST // 2 if variant.grants_share else BURST
    return state.having(index, sees=False, tokens=min(share, tokens))


def tick(variant: Variant, state: State) -> State:
    """Return the state after a tick: buckets and own shares fill, and times pass."""
    after = state._replace(
        changed=min(LOSS_TICKS, state.changed + 1),
        age=state.age + 1 if state.age >= 0 else -1,
    )
    for index, gateway in enumerate(state.gateways):
        is_whole = gateway.sees and not gateway.rises_in
        part = 1 if is_whole or not variant.grants_share else 2
        owns = (index == 0 or not gateway.sees) and not gateway.settles_in
        tokens = min(BURST // part, gateway.tokens + RATE // part) if owns else gateway.tokens
        is_alone = owner(state, index) is None
        after = after.having(
            index,
            tokens=tokens,
            alone=1 if is_alone else 0,
            rises_in=max(0, gateway.rises_in - 1),
            settles_in=max(0, gateway.settles_in - 1),
        )
    return after


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no window has more requests than the bound": lambda s: s["run"] <= BOUND,
}

SOUND = (
    Variant(losses=1, restarts=1, suspensions=0),
    Variant(losses=1, restarts=0, suspensions=1),
    Variant(losses=0, restarts=1, suspensions=1),
)
BROKEN_BY_NAME: dict[str, Variant] = {
    "a new owner starts with a full bucket": Variant(
        starts_empty=False, losses=1, restarts=1, suspensions=0
    ),
    "an owner keeps its bucket while another owned the account": Variant(
        drops_bucket=False, losses=1, restarts=0, suspensions=1
    ),
    "both parts of a fleet grant the whole limit": Variant(
        grants_share=False, losses=1, restarts=0, suspensions=0
    ),
}


def protocol(variant: Variant) -> Protocol:
    """Return the specification for the model checker."""
    initial = State()
    return Protocol(
        name="account limit",
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=lambda state: list(steps(variant, state)),
        invariants=INVARIANTS,
    )


def check(variant: Variant) -> dict[str, Any]:
    """Explore all reachable states of a variant and return the model checker's result."""
    return check_safety(protocol(variant), max_states=MAX_STATES)


def find_violation(result: dict[str, Any]) -> tuple[str, list[str]] | None:
    """Return a violated invariant and the shortest trace to it; None if all hold."""
    for name, outcome in result["properties"].items():
        if outcome["holds"] is False:
            return name, [step["label"] for step in outcome["counterexample"][1:]]
    return None


def main() -> int:
    """Check every variant, print the results, and return the exit status."""
    failed = False
    for name, variant in BROKEN_BY_NAME.items():
        violation = find_violation(check(variant))
        failed |= violation is None
        print(f"broken, {name}: {violation or 'no violation found'}")
    for variant in SOUND:
        result = check(variant)
        violation = find_violation(result)
        failed |= violation is not None or not result["exhaustive"]
        print(f"sound: {result['reachable_states']} states, {violation or 'all hold'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
