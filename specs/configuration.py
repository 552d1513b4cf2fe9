"""Specification of revisions and registrations; ``python -m specs.configuration``.

It consists of three small protocols, each of which is checked over its whole bounded state space:

- *changes*: operators replace the document by a compare-and-swap at the version that they read; a
  swap may be delayed, repeated or lost, its answer may be lost, and a read may be stale;
- *entries*: entries apply revisions from the store and from each other, and restart;
- *registration*: an old incarnation of an entry resumes after its replacement has registered.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000

IDLE, SENT, REFUSED, ACCEPTED, CONFLICT, UNKNOWN_OUTCOME = (
    "idle",
    "sent",
    "refused",
    "accepted",
    "conflict",
    "unsettled",
)


@attrs.frozen
class ChangeVariant:
    """Rules and bounds of the protocol of changes; each rule that is off gives a broken variant.

    Attributes
    ----------
    searches_trail : bool
        Whether a refused swap is searched for in the trail before it counts as a conflict.
    searches_whole_trail : bool
        Whether the whole trail is searched, and not only its last entry.
    requires_fresh_trail : bool
        Whether a trail that doesn't reach the swap's revision leaves the outcome open.
    resends_same_version : bool
        Whether a swap whose answer was lost is sent again at its first version only.
    operators, other_changes : int
        Number of operators in the model, and of changes by anyone else.
    """

    searches_trail: bool = True
    searches_whole_trail: bool = True
    requires_fresh_trail: bool = True
    resends_same_version: bool = True
    operators: int = 2
    other_changes: int = 1


class Operator(NamedTuple):
    """An operator's command: its outcome so far, and the version that its swap compares."""

    outcome: str = IDLE
    base: int = 0


class ChangeState(NamedTuple):
    """The trail of accepted changes, all swaps sent (each may still arrive), and the operators."""

    trail: tuple[int, ...]
    swaps: frozenset[tuple[int, int]]
    operators: tuple[Operator, ...]

    def with_operator(self, number: int, operator: Operator) -> ChangeState:
        """Return this state with one operator changed."""
        before, after = self.operators[:number], self.operators[number + 1 :]
        return self._replace(operators=(*before, operator, *after))


# Number in the trail of a change by someone outside the model.
OTHER = -1


def change_steps(variant: ChangeVariant, state: ChangeState) -> Iterator[tuple[str, ChangeState]]:
    """Yield the label and the next state of every enabled action."""
    for number, operator in enumerate(state.operators):
        if operator.outcome == IDLE:
            yield from _send(state, number, range(len(state.trail) + 1))
        if operator.outcome == SENT and not variant.resends_same_version and not state.trail[1:]:
            yield from _send(state, number, [len(state.trail)])
        if operator.outcome in (SENT, REFUSED):
            yield f"give up {number}", state.with_operator(
                number, operator._replace(outcome=UNKNOWN_OUTCOME)
            )
        if operator.outcome == REFUSED:
            yield from _settle(variant, state, number)
    for number, base in sorted(state.swaps):
        yield from _swap(variant, state, number, base)
    if state.trail.count(OTHER) < variant.other_changes:
        yield "another change", state._replace(trail=(*state.trail, OTHER))


def _send(state: ChangeState, number: int, bases: Any) -> Iterator[tuple[str, ChangeState]]:
    for base in bases:
        after_send = state.with_operator(number, Operator(SENT, base))
        yield f"send {number} {base}", after_send._replace(swaps=state.swaps | {(number, base)})


def _swap(
    variant: ChangeVariant, state: ChangeState, number: int, base: int
) -> Iterator[tuple[str, ChangeState]]:
    operator = state.operators[number]
    is_waiting = operator == Operator(SENT, base)
    if len(state.trail) == base:
        swapped = state._replace(trail=(*state.trail, number))
        yield f"swap {number} {base}, answer lost", swapped
        if is_waiting:
            answered = swapped.with_operator(number, operator._replace(outcome=ACCEPTED))
            yield f"swap {number} {base}", answered
    elif is_waiting:
        refused = REFUSED if variant.searches_trail else CONFLICT
        answered = state.with_operator(number, operator._replace(outcome=refused))
        yield f"refuse {number} {base}", answered


def _settle(
    variant: ChangeVariant, state: ChangeState, number: int
) -> Iterator[tuple[str, ChangeState]]:
    operator = state.operators[number]
    for length in range(len(state.trail) + 1):
        trail = state.trail[:length]
        if variant.requires_fresh_trail and length <= operator.base:
            continue
        if variant.searches_whole_trail:
            is_accepted = trail[operator.base : operator.base + 1] == (number,)
        else:
            is_accepted = trail[-1:] == (number,)
        settled = operator._replace(outcome=ACCEPTED if is_accepted else CONFLICT)
        yield f"settle {number} by {length}", state.with_operator(number, settled)


def _truthful(state: dict[str, Any]) -> bool:
    trail, operators = state["trail"], state["operators"]
    return all(
        (operator.outcome != ACCEPTED or number in trail)
        and (operator.outcome != CONFLICT or number not in trail)
        for number, operator in enumerate(operators)
    )


CHANGE_INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "applied at most once": lambda s: all(
        s["trail"].count(number) <= 1 for number in range(len(s["operators"]))
    ),
    "outcomes are reported truthfully": _truthful,
}

NEW, SERVING, DOWN = "new", "serving", "down"
# State of a new entry's question to its peers.
NOT_ASKED, NO_PEERS_KNOWN, PEERS = "", "no peers known", "peers"


@attrs.frozen
class EntryVariant:
    """Rules and bounds of the protocol of entries; each rule that is off gives a broken variant.

    Attributes
    ----------
    never_downgrades : bool
        Whether an entry ignores revisions older than its own.
    asks_peers : bool
        Whether a new entry asks its peers before it serves.
    learns_peers_first : bool
        Whether a new entry asks only after it has read who its peers are.
    ignores_old_answers : bool
        Whether a new entry ignores answers to questions that it sent before its start.
    revisions, restarts : int
        Largest revision, and largest number of restarts.
    """

    never_downgrades: bool = True
    asks_peers: bool = True
    learns_peers_first: bool = True
    ignores_old_answers: bool = True
    revisions: int = 2
    restarts: int = 2


class Entry(NamedTuple):
    """One entry.

    Attributes
    ----------
    life : str
        State of its life cycle.
    revision : int
        The revision in force; 0 for none.
    knows_peers : bool
        Whether it has read who its peers are.
    asked : str
        State of its question to the peers.
    answered : bool
        Whether the peer has answered.
    earlier_answer : int
        Revision in a delayed answer to a question before its start; 0 for none.
    min_revision : int
        Lowest revision that it may serve.
    """

    life: str = SERVING
    revision: int = 1
    knows_peers: bool = True
    asked: str = PEERS
    answered: bool = True
    earlier_answer: int = 0
    min_revision: int = 0


class EntryState(NamedTuple):
    """The latest revision in the store, two entries, and the number of restarts so far."""

    latest: int
    entries: tuple[Entry, Entry]
    restarts: int = 0

    def with_entry(self, index: int, **changes: Any) -> EntryState:
        """Return this state with one entry changed."""
        entries = list(self.entries)
        entries[index] = entries[index]._replace(**changes)
        return self._replace(entries=(entries[0], entries[1]))


def entry_steps(variant: EntryVariant, state: EntryState) -> Iterator[tuple[str, EntryState]]:
    """Yield the label and the next state of every enabled action."""
    if state.latest < variant.revisions:
        yield "accept", state._replace(latest=state.latest + 1)
    for index, entry in enumerate(state.entries):
        other = state.entries[1 - index]
        if entry.life == DOWN:
            yield f"start {index}", state.with_entry(
                index, life=NEW, min_revision=_peer_revision(other)
            )
            continue
        if state.restarts < variant.restarts:
            yield f"stop {index}", _stop(state, index)
        for stored in range(1, state.latest + 1):
            new_revision = stored if not variant.never_downgrades else max(stored, entry.revision)
            read = state.with_entry(index, revision=new_revision, knows_peers=True)
            yield f"read {index} {stored}", read
        if entry.life == NEW and entry.asked != PEERS:
            asked = PEERS if entry.knows_peers else NO_PEERS_KNOWN
            yield f"ask {index}", state.with_entry(index, asked=asked)
        if other.life == SERVING and entry.asked == PEERS:
            new_revision = max(entry.revision, other.revision)
            yield f"hear {index}", state.with_entry(index, revision=new_revision, answered=True)
        if not variant.ignores_old_answers and entry.life == NEW and entry.earlier_answer:
            new_revision = max(entry.revision, entry.earlier_answer)
            yield f"hear {index} late", state.with_entry(
                index, revision=new_revision, answered=True
            )
        if entry.life == NEW and entry.revision and _may_serve(variant, entry, other):
            yield f"serve {index}", state.with_entry(index, life=SERVING)


def _stop(state: EntryState, index: int) -> EntryState:
    """Return the state after an entry stopped, whose revision no longer binds its peer."""
    other = state.entries[1 - index]
    down = Entry(DOWN, 0, False, NOT_ASKED, False, other.revision)
    stopped = state.with_entry(index, **down._asdict()).with_entry(1 - index, min_revision=0)
    return stopped._replace(restarts=state.restarts + 1)


def _peer_revision(other: Entry) -> int:
    """Return the revision of a serving peer; 0 if it isn't serving."""
    return other.revision if other.life == SERVING else 0


def _may_serve(variant: EntryVariant, entry: Entry, other: Entry) -> bool:
    if not variant.asks_peers:
        return True
    if entry.asked == NO_PEERS_KNOWN:
        return not variant.learns_peers_first
    return entry.asked == PEERS and (entry.answered or other.life != SERVING)


ENTRY_INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "serves no older revision than a peer that has served since before its start": lambda s: all(
        entry.life != SERVING or entry.revision >= entry.min_revision for entry in s["entries"]
    ),
    "serves accepted revisions only": lambda s: all(
        entry.revision <= s["latest"] for entry in s["entries"]
    ),
}


@attrs.frozen
class RegistrationVariant:
    """The rule of the protocol of registration; without it the variant is broken.

    Attributes
    ----------
    compares : bool
        Whether an entry replaces only the registration that it read, and no newer incarnation's.
    """

    compares: bool = True


class RegistrationState(NamedTuple):
    """The key's holder and version, what each incarnation last read, and the newest holder ever."""

    holder: int = 0
    version: int = 0
    read_by: tuple[tuple[int, int] | None, ...] = (None, None)
    newest: int = 0


def registration_steps(
    variant: RegistrationVariant, state: RegistrationState
) -> Iterator[tuple[str, RegistrationState]]:
    """Yield the label and the next state of every enabled action."""
    if state.holder and state.version < MAX_VERSION:
        yield "lapse", state._replace(holder=0, version=state.version + 1)
    for index in range(len(state.read_by)):
        number = index + 1
        yield f"read {number}", _with_read(state, index, (state.holder, state.version))
        last_read = state.read_by[index]
        if last_read is None or state.version >= MAX_VERSION:
            continue
        holder, version = last_read
        if variant.compares and (holder > number or version != state.version):
            continue
        written = _with_read(state, index, None)
        yield (
            f"write {number}",
            written._replace(
                holder=number, version=state.version + 1, newest=max(state.newest, number)
            ),
        )


MAX_VERSION = 4


def _with_read(
    state: RegistrationState, index: int, last_read: tuple[int, int] | None
) -> RegistrationState:
    reads = list(state.read_by)
    reads[index] = last_read
    return state._replace(read_by=tuple(reads))


def is_overwritten(before: RegistrationState, after: RegistrationState) -> bool:
    """Whether a step replaced a newer incarnation with an older one."""
    return 0 < after.holder < before.holder


class TrackedState(NamedTuple):
    """State of the registration, and whether a newer incarnation was ever overwritten."""

    state: RegistrationState
    overwritten: bool = False


def _tracked_steps(
    variant: RegistrationVariant, tracked: TrackedState
) -> Iterator[tuple[str, TrackedState]]:
    for label, after in registration_steps(variant, tracked.state):
        was_overwritten = tracked.overwritten or is_overwritten(tracked.state, after)
        yield label, TrackedState(after, was_overwritten)


REGISTRATION_INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no older incarnation replaces a newer one": lambda s: not s["overwritten"],
}

Variant = ChangeVariant | EntryVariant | RegistrationVariant


def protocol(variant: Variant) -> Protocol:
    """Return the specification for the model checker."""
    if isinstance(variant, ChangeVariant):
        operators = (Operator(),) * variant.operators
        initial: Any = ChangeState((), frozenset(), operators)
        return _protocol(initial, lambda s: list(change_steps(variant, s)), CHANGE_INVARIANTS)
    if isinstance(variant, EntryVariant):
        initial = EntryState(1, (Entry(), Entry()))
        return _protocol(initial, lambda s: list(entry_steps(variant, s)), ENTRY_INVARIANTS)
    initial = TrackedState(RegistrationState())
    return _protocol(initial, lambda s: list(_tracked_steps(variant, s)), REGISTRATION_INVARIANTS)


def _protocol(initial: Any, transitions: Any, invariants: Any) -> Protocol:
    return Protocol(
        name="configuration",
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=transitions,
        invariants=invariants,
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


BROKEN_BY_NAME: dict[str, Variant] = {
    "a refused swap is a conflict": ChangeVariant(searches_trail=False, operators=1),
    "only the last entry of the trail is searched": ChangeVariant(
        searches_whole_trail=False, operators=1
    ),
    "a stale trail settles the outcome": ChangeVariant(requires_fresh_trail=False, operators=1),
    "a lost answer is followed by a new swap": ChangeVariant(
        resends_same_version=False, operators=1
    ),
    "revisions may decrease": EntryVariant(never_downgrades=False, restarts=1),
    "a new entry relies on the store alone": EntryVariant(asks_peers=False, restarts=1),
    "peers are asked before they are known": EntryVariant(learns_peers_first=False, restarts=1),
    "answers to questions before the start count": EntryVariant(
        ignores_old_answers=False, restarts=1
    ),
    "registrations are overwritten": RegistrationVariant(compares=False),
}

SOUND_BY_NAME: dict[str, Variant] = {
    "changes": ChangeVariant(other_changes=2),
    "entries": EntryVariant(revisions=3, restarts=3),
    "registration": RegistrationVariant(),
}


def main() -> int:
    """Check every variant, print the results, and return 1 if one isn't as expected, else 0.

    A broken variant has to violate an invariant, a sound one must not.
    """
    failed = 0
    for name, variant in BROKEN_BY_NAME.items():
        violation = find_violation(check(variant))
        failed += violation is None
        print(f"broken: {name}: {violation[0] if violation else 'NO VIOLATION'}")
        print("".join(f"    {step}\n" for step in (violation[1] if violation else [])), end="")
    for name, variant in SOUND_BY_NAME.items():
        result = check(variant)
        violation = find_violation(result)
        states = result["reachable_states"]
        print(f"sound: {name}: {violation or 'holds'}, {states} states")
        failed += violation is not None
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
