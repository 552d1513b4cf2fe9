"""Specification of revisions and registrations; ``python -m specs.configuration``.

Three small protocols, each over its whole bounded space:

- *changes*: operators swap the document at the version that they read; a swap may arrive late,
  repeatedly or never, its answer may be lost, and a read may show the past;
- *entries*: entries take revisions from the store and from each other, and restart;
- *registration*: an old incarnation of an entry wakes after its replacement has registered.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000

IDLE, SENT, REFUSED, ACCEPTED, CONFLICT, UNSETTLED = (
    "idle",
    "sent",
    "refused",
    "accepted",
    "conflict",
    "unsettled",
)


@attrs.frozen
class ChangeVariant:
    """The protocol of changes, or one of its broken variants.

    Attributes
    ----------
    asks_trail : bool
        A refused swap is looked up in the trail.
    whole_trail : bool
        The trail is searched, and not only its last entry.
    waits_for_news : bool
        A trail that does not reach the swap's revision settles nothing.
    same_version : bool
        A swap whose answer was lost is sent again at the version of the first.
    operators, others : int
        Operators whose commands are followed; changes by others.
    """

    asks_trail: bool = True
    whole_trail: bool = True
    waits_for_news: bool = True
    same_version: bool = True
    operators: int = 2
    others: int = 1


class Operator(NamedTuple):
    """One operator's command: what became of it, and the version that it was made from."""

    told: str = IDLE
    base: int = 0


class ChangeState(NamedTuple):
    """The trail of accepted changes, the swaps under way, and the operators."""

    trail: tuple[int, ...]
    swaps: frozenset[tuple[int, int]]
    operators: tuple[Operator, ...]

    def with_operator(self, number: int, operator: Operator) -> ChangeState:
        """Return this state with one operator changed."""
        before, after = self.operators[:number], self.operators[number + 1 :]
        return self._replace(operators=(*before, operator, *after))


OTHER = -1


def change_steps(variant: ChangeVariant, state: ChangeState) -> Iterator[tuple[str, ChangeState]]:
    """Yield every step that may come next."""
    for number, operator in enumerate(state.operators):
        if operator.told == IDLE:
            yield from _send(state, number, range(len(state.trail) + 1))
        if operator.told == SENT and not variant.same_version and not state.trail[1:]:
            yield from _send(state, number, [len(state.trail)])
        if operator.told in (SENT, REFUSED):
            yield f"give up {number}", state.with_operator(
                number, operator._replace(told=UNSETTLED)
            )
        if operator.told == REFUSED:
            yield from _settle(variant, state, number)
    for number, base in sorted(state.swaps):
        yield from _swap(variant, state, number, base)
    if state.trail.count(OTHER) < variant.others:
        yield "another change", state._replace(trail=(*state.trail, OTHER))


def _send(state: ChangeState, number: int, bases: Any) -> Iterator[tuple[str, ChangeState]]:
    for base in bases:
        sent = state.with_operator(number, Operator(SENT, base))
        yield f"send {number} {base}", sent._replace(swaps=state.swaps | {(number, base)})


def _swap(
    variant: ChangeVariant, state: ChangeState, number: int, base: int
) -> Iterator[tuple[str, ChangeState]]:
    operator = state.operators[number]
    waits = operator == Operator(SENT, base)
    if len(state.trail) == base:
        done = state._replace(trail=(*state.trail, number))
        yield f"swap {number} {base}, answer lost", done
        if waits:
            told = done.with_operator(number, operator._replace(told=ACCEPTED))
            yield f"swap {number} {base}", told
    elif waits:
        refused = REFUSED if variant.asks_trail else CONFLICT
        told = state.with_operator(number, operator._replace(told=refused))
        yield f"refuse {number} {base}", told


def _settle(
    variant: ChangeVariant, state: ChangeState, number: int
) -> Iterator[tuple[str, ChangeState]]:
    operator = state.operators[number]
    for shown in range(len(state.trail) + 1):
        trail = state.trail[:shown]
        if variant.waits_for_news and shown <= operator.base:
            continue
        if variant.whole_trail:
            won = trail[operator.base : operator.base + 1] == (number,)
        else:
            won = trail[-1:] == (number,)
        told = operator._replace(told=ACCEPTED if won else CONFLICT)
        yield f"settle {number} by {shown}", state.with_operator(number, told)


def _truthful(state: dict[str, Any]) -> bool:
    trail, operators = state["trail"], state["operators"]
    return all(
        (one.told != ACCEPTED or number in trail) and (one.told != CONFLICT or number not in trail)
        for number, one in enumerate(operators)
    )


CHANGE_INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "applied at most once": lambda s: all(
        s["trail"].count(number) <= 1 for number in range(len(s["operators"]))
    ),
    "told what is so": _truthful,
}

NEW, SERVING, DOWN = "new", "serving", "down"
# Whom a fresh entry asked.
NO_ONE, NO_PEERS_KNOWN, PEERS = "", "no peers known", "peers"


@attrs.frozen
class EntryVariant:
    """The protocol of entries, or one of its broken variants.

    Attributes
    ----------
    only_up : bool
        An entry takes no older revision than its own.
    asks_peers : bool
        A fresh entry asks its peers before it serves.
    names_first : bool
        It asks them once it knows them.
    fresh_answers : bool
        Only answers to questions since its start count.
    revisions, restarts : int
        Bounds.
    """

    only_up: bool = True
    asks_peers: bool = True
    names_first: bool = True
    fresh_answers: bool = True
    revisions: int = 2
    restarts: int = 2


class Entry(NamedTuple):
    """One entry: its revision, whom it knows, asked and heard, and its lowest allowed revision."""

    life: str = SERVING
    number: int = 1
    knows_peers: bool = True
    asked: str = PEERS
    heard: bool = True
    old_answer: int = 0
    floor: int = 0


class EntryState(NamedTuple):
    """The latest revision in the store, and two entries."""

    latest: int
    entries: tuple[Entry, Entry]
    restarts: int = 0

    def with_entry(self, index: int, **changes: Any) -> EntryState:
        """Return this state with one entry changed."""
        entries = list(self.entries)
        entries[index] = entries[index]._replace(**changes)
        return self._replace(entries=(entries[0], entries[1]))


def entry_steps(variant: EntryVariant, state: EntryState) -> Iterator[tuple[str, EntryState]]:
    """Yield every step that may come next."""
    if state.latest < variant.revisions:
        yield "accept", state._replace(latest=state.latest + 1)
    for index, entry in enumerate(state.entries):
        other = state.entries[1 - index]
        if entry.life == DOWN:
            yield f"start {index}", state.with_entry(index, life=NEW, floor=_floor(other))
            continue
        if state.restarts < variant.restarts:
            yield f"stop {index}", _stop(state, index)
        for shown in range(1, state.latest + 1):
            taken = shown if not variant.only_up else max(shown, entry.number)
            read = state.with_entry(index, number=taken, knows_peers=True)
            yield f"read {index} {shown}", read
        if entry.life == NEW and entry.asked != PEERS:
            asked = PEERS if entry.knows_peers else NO_PEERS_KNOWN
            yield f"ask {index}", state.with_entry(index, asked=asked)
        if other.life == SERVING and entry.asked == PEERS:
            higher = max(entry.number, other.number)
            yield f"hear {index}", state.with_entry(index, number=higher, heard=True)
        if not variant.fresh_answers and entry.life == NEW and entry.old_answer:
            higher = max(entry.number, entry.old_answer)
            yield f"hear {index} late", state.with_entry(index, number=higher, heard=True)
        if entry.life == NEW and entry.number and _may_serve(variant, entry, other):
            yield f"serve {index}", state.with_entry(index, life=SERVING)


def _stop(state: EntryState, index: int) -> EntryState:
    """Return the state after an entry stopped; what only it knew binds nobody any more."""
    other = state.entries[1 - index]
    down = Entry(DOWN, 0, False, NO_ONE, False, other.number)
    stopped = state.with_entry(index, **down._asdict()).with_entry(1 - index, floor=0)
    return stopped._replace(restarts=state.restarts + 1)


def _floor(other: Entry) -> int:
    """Return the revision that a live peer has in force."""
    return other.number if other.life == SERVING else 0


def _may_serve(variant: EntryVariant, entry: Entry, other: Entry) -> bool:
    if not variant.asks_peers:
        return True
    if entry.asked == NO_PEERS_KNOWN:
        return not variant.names_first
    return entry.asked == PEERS and (entry.heard or other.life != SERVING)


ENTRY_INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "serves by no older revision than a peer that lives since before its start": lambda s: all(
        entry.life != SERVING or entry.number >= entry.floor for entry in s["entries"]
    ),
    "serves by accepted revisions alone": lambda s: all(
        entry.number <= s["latest"] for entry in s["entries"]
    ),
}


@attrs.frozen
class RegistrationVariant:
    """The protocol of registration, or its broken variant.

    Attributes
    ----------
    compares : bool
        An entry writes only over the registration that it read, and over no newer incarnation.
    """

    compares: bool = True


class RegistrationState(NamedTuple):
    """The key, its version, what each incarnation last read of it, and the highest ever there."""

    holder: int = 0
    version: int = 0
    read_by: tuple[tuple[int, int] | None, ...] = (None, None)
    newest: int = 0


def registration_steps(
    variant: RegistrationVariant, state: RegistrationState
) -> Iterator[tuple[str, RegistrationState]]:
    """Yield every step that may come next."""
    if state.holder and state.version < MAX_VERSION:
        yield "lapse", state._replace(holder=0, version=state.version + 1)
    for index in range(len(state.read_by)):
        number = index + 1
        yield f"read {number}", _with_read(state, index, (state.holder, state.version))
        seen = state.read_by[index]
        if seen is None or state.version >= MAX_VERSION:
            continue
        holder, version = seen
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
    state: RegistrationState, index: int, seen: tuple[int, int] | None
) -> RegistrationState:
    reads = list(state.read_by)
    reads[index] = seen
    return state._replace(read_by=tuple(reads))


def overwritten(before: RegistrationState, after: RegistrationState) -> bool:
    """Whether a step put an older incarnation in the place of a newer one."""
    return 0 < after.holder < before.holder


class Watched(NamedTuple):
    """A state of the registration, and whether a newer incarnation was ever overwritten."""

    state: RegistrationState
    overwritten: bool = False


def _watched_steps(variant: RegistrationVariant, watched: Watched) -> Iterator[tuple[str, Watched]]:
    for label, after in registration_steps(variant, watched.state):
        broken = watched.overwritten or overwritten(watched.state, after)
        yield label, Watched(after, broken)


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
    initial = Watched(RegistrationState())
    return _protocol(initial, lambda s: list(_watched_steps(variant, s)), REGISTRATION_INVARIANTS)


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
    """Check a variant over its whole bounded space."""
    return check_safety(protocol(variant), max_states=MAX_STATES)


def fault(result: dict[str, Any]) -> tuple[str, list[str]] | None:
    """Return an invariant that breaks and the shortest steps to it; None for none."""
    for name, outcome in result["properties"].items():
        if outcome["holds"] is False:
            return name, [step["label"] for step in outcome["counterexample"][1:]]
    return None


BROKEN_BY_NAME: dict[str, Variant] = {
    "a refused swap is a conflict": ChangeVariant(asks_trail=False, operators=1),
    "only the last change is looked at": ChangeVariant(whole_trail=False, operators=1),
    "a trail from the past is believed": ChangeVariant(waits_for_news=False, operators=1),
    "a lost answer is followed by a new swap": ChangeVariant(same_version=False, operators=1),
    "numbers may go down": EntryVariant(only_up=False, restarts=1),
    "a fresh entry believes the store alone": EntryVariant(asks_peers=False, restarts=1),
    "peers are asked before they are known": EntryVariant(names_first=False, restarts=1),
    "answers from before the start count": EntryVariant(fresh_answers=False, restarts=1),
    "registrations are overwritten": RegistrationVariant(compares=False),
}

SOUND_BY_NAME: dict[str, Variant] = {
    "changes": ChangeVariant(others=2),
    "entries": EntryVariant(revisions=3, restarts=3),
    "registration": RegistrationVariant(),
}


def main() -> int:
    """Check every variant and print what was found."""
    failed = 0
    for name, variant in BROKEN_BY_NAME.items():
        found = fault(check(variant))
        failed += found is None
        print(f"broken: {name}: {found[0] if found else 'NOTHING FOUND'}")
        print("".join(f"    {step}\n" for step in (found[1] if found else [])), end="")
    for name, variant in SOUND_BY_NAME.items():
        result = check(variant)
        found = fault(result)
        states = result["reachable_states"]
        print(f"sound: {name}: {found or 'holds'}, {states} states")
        failed += found is not None
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
