"""Specification of keyed operations that run at most once; ``python -m specs.operations``.

One key whose time is 1. Entries ``A`` and ``B`` are members from the start, ``C`` joins at any
time. Messages between entries stay deliverable for ever, so that they come late, repeatedly or
never; every step of an entry may come arbitrarily late, which is a pause. A caller sends the key
several times; a marked send is one that follows nothing but sends answered ``not-run``.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety
from minicheck._core import SearchIncomplete

NAMES = "ABC"
KEY_TIME = 1
MAX_STATES = 3_000_000

# Life of an entry.
ABSENT, LISTED, UP, DEAD = "absent", "listed", "up", "dead"
# What an entry remembers of the key.
NOTHING, TOMBSTONE, ASKING, GRANTED, WRITTEN, RAN, FORGOTTEN = (
    "nothing",
    "tombstone",
    "asking",
    "granted",
    "written",
    "ran",
    "forgotten",
)
# What an inquiry is answered.
YIELDS, HAS, BUSY = "yields", "has", "busy"
# What became of a send.
FLYING, TAKEN, NOT_RUN = "flying", "taken", "not-run"


@attrs.frozen
class Variant:
    """The protocol, or one of its broken variants.

    Attributes
    ----------
    tombstones : bool
        An entry that denies an inquiry refuses the key from then on.
    covers_unleased : bool
        An inquiry asks entries whose lease has lapsed too.
    covers_dead : bool
        An entry that is gone counts as one that may have run the key.
    joins_late : bool
        A new entry takes only keys later than its registration.
    synced_reads : bool
        A read of the list shows the inquirer's own last write.
    attempts_checked : bool
        A reply counts for the attempt that asked for it alone.
    yield_aborts : bool
        An entry that yields gives its own inquiry up.
    floor : bool
        A record that is dropped for want of room leaves a floor behind.
    margin, lag : int
        Margin of a new entry's first key time; how far its clock is behind.
    sends, crashes, evictions, attempts : int
        Bounds; the last one is on the inquiries of each entry.
    joins : bool
        Whether ``C`` may join.
    """

    tombstones: bool = True
    covers_unleased: bool = True
    covers_dead: bool = True
    joins_late: bool = True
    synced_reads: bool = True
    attempts_checked: bool = True
    yield_aborts: bool = True
    floor: bool = True
    margin: int = 1
    lag: int = 0
    sends: int = 3
    crashes: int = 1
    evictions: int = 0
    attempts: int = 2
    joins: bool = True


class Entry(NamedTuple):
    """One entry: its life, whether the key is in its range, its record and its inquiry.

    The range of a dead entry holds the key if it died after the key's time.
    """

    life: str
    in_range: bool
    record: str = NOTHING
    send: int = -1
    marked: bool = False
    attempt: int = 0
    members: frozenset[int] | None = None
    floor_list: frozenset[int] = frozenset()
    yielded: frozenset[int] = frozenset()


class State(NamedTuple):
    """One state of the whole system."""

    clock: int
    entries: tuple[Entry, ...]
    asks: frozenset[tuple[int, int, int]]
    replies: frozenset[tuple[int, int, int, str]]
    sends: tuple[tuple[bool, str], ...]
    runs: int = 0
    lied: bool = False
    crashes: int = 0
    evictions: int = 0

    def with_entry(self, index: int, **changes: object) -> State:
        """Return this state with one entry changed."""
        entry = self.entries[index]._replace(**changes)  # type: ignore[arg-type]
        return self._replace(entries=(*self.entries[:index], entry, *self.entries[index + 1 :]))

    def tell(self, send: int, status: str) -> State:
        """Return this state with one send's fate changed."""
        sends = list(self.sends)
        sends[send] = (sends[send][0], status)
        return self._replace(sends=tuple(sends))

    def refuse(self, send: int) -> State:
        """Return this state with one send told that it was not run."""
        return self.tell(send, NOT_RUN)


Step = tuple[str, State]

INITIAL = State(
    0,
    (Entry(UP, True), Entry(UP, True), Entry(ABSENT, False)),
    frozenset(),
    frozenset(),
    (),
)


def steps(variant: Variant, state: State) -> Iterator[Step]:
    """Yield every step that may come next, with its label."""
    if state.clock < KEY_TIME:
        yield "tick", state._replace(clock=state.clock + 1)
    yield from _caller_steps(variant, state)
    for index, entry in enumerate(state.entries):
        yield from _life_steps(variant, state, index, entry)
        yield from _inquirer_steps(variant, state, index, entry)
        yield from _backend_steps(state, index, entry)
    yield from _message_steps(variant, state)


def _caller_steps(variant: Variant, state: State) -> Iterator[Step]:
    if state.clock >= KEY_TIME and len(state.sends) < variant.sends:
        yield "issue", state._replace(sends=(*state.sends, (False, FLYING)))
        if all(status == NOT_RUN for _, status in state.sends):
            yield "issue marked", state._replace(sends=(*state.sends, (True, FLYING)))
    for send, (marked, status) in enumerate(state.sends):
        if status == FLYING:
            for index, entry in enumerate(state.entries):
                if entry.life == UP:
                    label = f"arrive {send} {NAMES[index]}"
                    yield label, _arrive(variant, state, index, send, marked)


def _arrive(variant: Variant, state: State, index: int, send: int, marked: bool) -> State:
    entry = state.entries[index]
    taken = state.tell(send, TAKEN)
    if marked and entry.record == NOTHING and not entry.in_range:
        return state.refuse(send)
    if not entry.in_range or entry.record not in (NOTHING, TOMBSTONE):
        return taken
    if marked and entry.record == NOTHING:
        return taken.with_entry(index, record=GRANTED, send=send, marked=True)
    if entry.attempt == variant.attempts:
        return taken
    asking = taken.with_entry(
        index,
        record=ASKING,
        send=send,
        marked=False,
        attempt=entry.attempt + 1,
        members=None,
        floor_list=_listed(state),
        yielded=frozenset(),
    )
    return _ask(asking, index, _listed(state) - {index})


def _ask(state: State, index: int, others: frozenset[int]) -> State:
    attempt = state.entries[index].attempt
    asked = {(index, attempt, other) for other in others}
    return state._replace(asks=state.asks | asked)


def _listed(state: State) -> frozenset[int]:
    return frozenset(i for i, entry in enumerate(state.entries) if entry.life != ABSENT)


def _life_steps(variant: Variant, state: State, index: int, entry: Entry) -> Iterator[Step]:
    name = NAMES[index]
    if entry.life == ABSENT and variant.joins:
        yield f"register {name}", state.with_entry(index, life=LISTED)
    if entry.life == LISTED:
        first = max(0, state.clock - variant.lag) + variant.margin if variant.joins_late else 0
        changes = {"life": UP, "in_range": first <= KEY_TIME}
        yield f"confirm {name}", state.with_entry(index, **changes)
    if entry.life == UP and state.crashes < variant.crashes:
        dead = Entry(DEAD, state.clock >= KEY_TIME)
        entries = (*state.entries[:index], dead, *state.entries[index + 1 :])
        yield f"crash {name}", state._replace(entries=entries, crashes=state.crashes + 1)
    if entry.record in (TOMBSTONE, RAN) and state.evictions < variant.evictions:
        left = FORGOTTEN if variant.floor else NOTHING
        evicted = state._replace(evictions=state.evictions + 1)
        yield f"evict {name}", evicted.with_entry(index, record=left)


def _inquirer_steps(variant: Variant, state: State, index: int, entry: Entry) -> Iterator[Step]:
    if entry.record != ASKING:
        return
    name = NAMES[index]
    yield f"give up {name}", _give_up(state, index)
    if entry.members is None:
        for members in sorted(_readable_lists(variant, state, index), key=sorted):
            read = _ask(state.with_entry(index, members=members), index, members)
            shown = "".join(NAMES[i] for i in sorted(members))
            yield f"read {name} {shown}", _decide(read, index)


def _readable_lists(variant: Variant, state: State, index: int) -> set[frozenset[int]]:
    lists = {state.entries[index].floor_list, _listed(state)}
    if not variant.synced_reads:
        lists.add(_listed(INITIAL))
    lists = {members - {index} for members in lists}
    died_before = {
        i for i, entry in enumerate(state.entries) if entry.life == DEAD and not entry.in_range
    }
    lists |= {members - died_before for members in lists}
    if not variant.covers_dead:
        dead = {i for i, entry in enumerate(state.entries) if entry.life == DEAD}
        lists = {members - dead for members in lists}
    if not variant.covers_unleased:
        lists |= {members - {lapsed} for members in lists for lapsed in members}
    return lists


def _give_up(state: State, index: int) -> State:
    return state.with_entry(
        index, record=TOMBSTONE, send=-1, members=None, floor_list=frozenset(), yielded=frozenset()
    )


def _decide(state: State, index: int) -> State:
    entry = state.entries[index]
    if entry.members is None or not entry.members <= entry.yielded:
        return state
    return state.with_entry(
        index, record=GRANTED, members=None, floor_list=frozenset(), yielded=frozenset()
    )


def _message_steps(variant: Variant, state: State) -> Iterator[Step]:
    for asker, attempt, other in sorted(state.asks):
        if state.entries[other].life in (LISTED, UP):
            label = f"ask {NAMES[asker]} {attempt} {NAMES[other]}"
            yield label, _on_ask(variant, state, asker, attempt, other)
    for other, asker, attempt, kind in sorted(state.replies):
        entry = state.entries[asker]
        if entry.record != ASKING:
            continue
        if variant.attempts_checked and attempt != entry.attempt:
            continue
        label = f"reply {NAMES[other]} {NAMES[asker]} {attempt} {kind}"
        if kind != YIELDS:
            yield label, _give_up(state, asker)
        elif other not in entry.yielded:
            heard = state.with_entry(asker, yielded=entry.yielded | {other})
            yield label, _decide(heard, asker)


def _on_ask(variant: Variant, state: State, asker: int, attempt: int, other: int) -> State:
    entry = state.entries[other]
    kind = YIELDS
    if entry.record == ASKING and variant.yield_aborts:
        if other < asker:
            kind = BUSY
        else:
            state = _give_up(state, other)
    elif entry.record == NOTHING and variant.tombstones:
        state = state.with_entry(other, record=TOMBSTONE)
    elif entry.record in (GRANTED, WRITTEN, RAN, FORGOTTEN):
        kind = HAS
    return state._replace(replies=state.replies | {(other, asker, attempt, kind)})


def _backend_steps(state: State, index: int, entry: Entry) -> Iterator[Step]:
    name = NAMES[index]
    if entry.record == GRANTED:
        left = NOTHING if entry.marked else TOMBSTONE
        freed = state.with_entry(index, record=left, send=-1, marked=False)
        lied = state.lied or state.runs > 0
        yield f"shed {name}", freed.refuse(entry.send)._replace(lied=lied)
        written = state.with_entry(index, record=WRITTEN)
        yield f"write {name}", written._replace(runs=state.runs + 1)
    if entry.record in (GRANTED, WRITTEN):
        ended = state.with_entry(index, record=RAN, send=-1, marked=False)
        yield f"end {name}", ended


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "runs at most once": lambda s: s["runs"] <= 1,
    "freed means not run": lambda s: not s["lied"],
    "told not-run means not run": lambda s: (
        not s["runs"] or not s["sends"] or any(status != NOT_RUN for _, status in s["sends"])
    ),
}


def protocol(variant: Variant) -> Protocol:
    """Return the specification for the model checker."""
    return Protocol(
        name="operations",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(variant, state)),
        invariants=INVARIANTS,
    )


def check(variant: Variant) -> dict[str, Any]:
    """Check a variant over its whole bounded space."""
    return check_safety(protocol(variant), max_states=MAX_STATES)


def first_fault(variant: Variant) -> tuple[str, list[str]] | None:
    """Return the invariant that breaks first and the shortest steps to it; None for none."""
    made = protocol(variant)
    found = False

    def transitions(state: State) -> list[Step]:
        nonlocal found
        if found:
            raise SearchIncomplete("a fault was found")
        after = list(steps(variant, state))
        found = any(not holds(one._asdict()) for _, one in after for holds in INVARIANTS.values())
        return after

    made.transitions = transitions
    result = check_safety(made, max_states=MAX_STATES)
    for name, outcome in result["properties"].items():
        if outcome["holds"] is False:
            return name, [step["label"] for step in outcome["counterexample"][1:]]
    return None


BROKEN_BY_NAME = {
    "no tombstones": Variant(tombstones=False, sends=2, crashes=0, joins=False),
    "trust in a lease": Variant(covers_unleased=False, sends=2, crashes=0, joins=False),
    "the dead never ran anything": Variant(covers_dead=False, sends=2, joins=False),
    "a fresh entry believes its empty memory": Variant(joins_late=False, sends=2),
    "reads from the past": Variant(synced_reads=False, sends=2),
    "late replies count": Variant(attempts_checked=False, crashes=0, joins=False),
    "two inquiries at once": Variant(yield_aborts=False, sends=2, crashes=0, joins=False),
    "records dropped without a floor": Variant(
        floor=False, evictions=1, sends=2, crashes=0, joins=False
    ),
    "a margin below the clocks' difference": Variant(lag=1, sends=2),
}

SOUND_BY_NAME = {
    "two sends, a crash": Variant(sends=2, joins=False),
    "two sends, a join": Variant(sends=2, crashes=0),
    "two sends, a join, a crash": Variant(sends=2),
    "two sends, a join, a crash, a clock behind": Variant(sends=2, margin=2, lag=1),
    "two sends, a join, a dropped record": Variant(sends=2, crashes=0, evictions=1),
    "three sends, a crash": Variant(joins=False),
    "three sends, a crash, a dropped record": Variant(joins=False, evictions=1),
}


def main() -> int:
    """Check every variant and print what was found."""
    failed = 0
    for name, variant in BROKEN_BY_NAME.items():
        fault = first_fault(variant)
        failed += fault is None
        print(f"broken: {name}: {fault[0] if fault else 'NOTHING FOUND'}")
        print("".join(f"    {step}\n" for step in (fault[1] if fault else [])), end="")
    for name, variant in SOUND_BY_NAME.items():
        started = time.monotonic()
        result = check(variant)
        holds = all(found["holds"] is True for found in result["properties"].values())
        seconds = time.monotonic() - started
        states = result["reachable_states"]
        print(f"sound: {name}: {'holds' if holds else 'FAILS'}, {states} states, {seconds:.1f} s")
        failed += not holds
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
