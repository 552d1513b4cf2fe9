"""Specification of keyed operations that run at most once; ``python -m specs.operations``.

The model has one key, whose time is 1. Entries ``A`` and ``B`` are members from the start, ``C``
may join at any time. A message between entries stays deliverable once it is sent, which models
delay, duplication and loss; every step of an entry may be delayed, which models a pause. A caller
sends the key several times; it marks a send as the first one if all earlier sends were answered
``not-run``.
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

# Life cycle of an entry.
ABSENT, LISTED, UP, DEAD = "absent", "listed", "up", "dead"
# An entry's record of the key.
NO_RECORD, TOMBSTONE, ASKING, GRANTED, WRITTEN, RAN, FORGOTTEN = (
    "nothing",
    "tombstone",
    "asking",
    "granted",
    "written",
    "ran",
    "forgotten",
)
# Replies to an inquiry.
YIELDS, HAS_RECORD, BUSY = "yields", "has", "busy"
# States of a send.
IN_TRANSIT, RECEIVED, NOT_RUN = "flying", "taken", "not-run"


@attrs.frozen
class Variant:
    """Rules and bounds of the model; each rule that is off gives a broken variant.

    Attributes
    ----------
    tombstones : bool
        Whether an entry that yields to an inquiry refuses the key from then on.
    covers_unleased : bool
        Whether an inquiry also covers entries whose lease has lapsed.
    covers_dead : bool
        Whether an inquiry also covers dead entries, which may have run the key.
    joins_late : bool
        Whether a new entry accepts only keys later than its registration.
    synced_reads : bool
        Whether a read of the members reflects at least the inquirer's own last write.
    attempts_checked : bool
        Whether a reply counts only for the attempt that it answers.
    yield_aborts : bool
        Whether an entry that yields gives up its own inquiry.
    floor : bool
        Whether the eviction of a record makes the entry refuse its key from then on.
    margin, lag : int
        Margin of the first key time of a new entry, and the delay of its clock, in ticks.
    sends, crashes, evictions, attempts : int
        Largest numbers of sends, crashes and evictions, and of inquiries by each entry.
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
    """One entry: its life cycle, its record of the key and its current inquiry.

    Attributes
    ----------
    life : str
        State of its life cycle.
    in_range : bool
        Whether the key is in its range; for a dead entry, whether it died at the key's time or
        later.
    record : str
        Its record of the key.
    send : int
        The send that it works on; -1 for none.
    marked : bool
        Whether that send is marked as the first one.
    attempt : int
        Number of its latest inquiry.
    members : frozenset of int, optional
        The other entries that the inquiry found in the list of members; None before that read.
    listed_at_start : frozenset of int
        Members in the list when the inquiry began.
    yielded : frozenset of int
        Entries that yielded to the inquiry.
    """

    life: str
    in_range: bool
    record: str = NO_RECORD
    send: int = -1
    marked: bool = False
    attempt: int = 0
    members: frozenset[int] | None = None
    listed_at_start: frozenset[int] = frozenset()
    yielded: frozenset[int] = frozenset()


class State(NamedTuple):
    """State of the whole model.

    Attributes
    ----------
    clock : int
        The time in ticks.
    entries : tuple of Entry
        The entries in the order of `NAMES`.
    asks : frozenset of tuple
        Inquiries as inquirer, attempt and receiver.
    replies : frozenset of tuple
        Replies as sender, inquirer, attempt and kind.
    sends : tuple of tuple
        For each send whether it is marked, and its state.
    runs : int
        How often the operation ran.
    shed_after_run : bool
        Whether an entry ever recorded the operation as shed although it had run.
    crashes, evictions : int
        Numbers of crashes and evictions so far.
    """

    clock: int
    entries: tuple[Entry, ...]
    asks: frozenset[tuple[int, int, int]]
    replies: frozenset[tuple[int, int, int, str]]
    sends: tuple[tuple[bool, str], ...]
    runs: int = 0
    shed_after_run: bool = False
    crashes: int = 0
    evictions: int = 0

    def with_entry(self, index: int, **changes: object) -> State:
        """Return this state with one entry changed."""
        entry = self.entries[index]._replace(**changes)  # type: ignore[arg-type]
        return self._replace(entries=(*self.entries[:index], entry, *self.entries[index + 1 :]))

    def with_send_status(self, send: int, status: str) -> State:
        """Return this state with the status of one send changed."""
        sends = list(self.sends)
        sends[send] = (sends[send][0], status)
        return self._replace(sends=tuple(sends))

    def with_send_not_run(self, send: int) -> State:
        """Return this state with one send answered ``not-run``."""
        return self.with_send_status(send, NOT_RUN)


Step = tuple[str, State]

INITIAL = State(
    0,
    (Entry(UP, True), Entry(UP, True), Entry(ABSENT, False)),
    frozenset(),
    frozenset(),
    (),
)


def steps(variant: Variant, state: State) -> Iterator[Step]:
    """Yield the label and the next state of every enabled action."""
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
        yield "issue", state._replace(sends=(*state.sends, (False, IN_TRANSIT)))
        if all(status == NOT_RUN for _, status in state.sends):
            yield "issue marked", state._replace(sends=(*state.sends, (True, IN_TRANSIT)))
    for send, (marked, status) in enumerate(state.sends):
        if status == IN_TRANSIT:
            for index, entry in enumerate(state.entries):
                if entry.life == UP:
                    label = f"arrive {send} {NAMES[index]}"
                    yield label, _arrive(variant, state, index, send, marked)


def _arrive(variant: Variant, state: State, index: int, send: int, marked: bool) -> State:
    entry = state.entries[index]
    received = state.with_send_status(send, RECEIVED)
    if marked and entry.record == NO_RECORD and not entry.in_range:
        return state.with_send_not_run(send)
    if not entry.in_range or entry.record not in (NO_RECORD, TOMBSTONE):
        return received
    if marked and entry.record == NO_RECORD:
        return received.with_entry(index, record=GRANTED, send=send, marked=True)
    if entry.attempt == variant.attempts:
        return received
    asking = received.with_entry(
        index,
        record=ASKING,
        send=send,
        marked=False,
        attempt=entry.attempt + 1,
        members=None,
        listed_at_start=_listed(state),
        yielded=frozenset(),
    )
    return _ask(asking, index, _listed(state) - {index})


def _ask(state: State, index: int, others: frozenset[int]) -> State:
    attempt = state.entries[index].attempt
    new_asks = {(index, attempt, other) for other in others}
    return state._replace(asks=state.asks | new_asks)


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
        next_record = FORGOTTEN if variant.floor else NO_RECORD
        evicted = state._replace(evictions=state.evictions + 1)
        yield f"evict {name}", evicted.with_entry(index, record=next_record)


def _inquirer_steps(variant: Variant, state: State, index: int, entry: Entry) -> Iterator[Step]:
    if entry.record != ASKING:
        return
    name = NAMES[index]
    yield f"give up {name}", _give_up(state, index)
    if entry.members is None:
        for members in sorted(_readable_lists(variant, state, index), key=sorted):
            after_read = _ask(state.with_entry(index, members=members), index, members)
            names = "".join(NAMES[i] for i in sorted(members))
            yield f"read {name} {names}", _decide(after_read, index)


def _readable_lists(variant: Variant, state: State, index: int) -> set[frozenset[int]]:
    lists = {state.entries[index].listed_at_start, _listed(state)}
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
        index,
        record=TOMBSTONE,
        send=-1,
        members=None,
        listed_at_start=frozenset(),
        yielded=frozenset(),
    )


def _decide(state: State, index: int) -> State:
    entry = state.entries[index]
    if entry.members is None or not entry.members <= entry.yielded:
        return state
    return state.with_entry(
        index, record=GRANTED, members=None, listed_at_start=frozenset(), yielded=frozenset()
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
            after_yield = state.with_entry(asker, yielded=entry.yielded | {other})
            yield label, _decide(after_yield, asker)


def _on_ask(variant: Variant, state: State, asker: int, attempt: int, other: int) -> State:
    entry = state.entries[other]
    kind = YIELDS
    if entry.record == ASKING and variant.yield_aborts:
        if other < asker:
            kind = BUSY
        else:
            state = _give_up(state, other)
    elif entry.record == NO_RECORD and variant.tombstones:
        state = state.with_entry(other, record=TOMBSTONE)
    elif entry.record in (GRANTED, WRITTEN, RAN, FORGOTTEN):
        kind = HAS_RECORD
    return state._replace(replies=state.replies | {(other, asker, attempt, kind)})


def _backend_steps(state: State, index: int, entry: Entry) -> Iterator[Step]:
    name = NAMES[index]
    if entry.record == GRANTED:
        next_record = NO_RECORD if entry.marked else TOMBSTONE
        shed = state.with_entry(index, record=next_record, send=-1, marked=False)
        shed_after_run = state.shed_after_run or state.runs > 0
        yield f"shed {name}", shed.with_send_not_run(entry.send)._replace(
            shed_after_run=shed_after_run
        )
        written = state.with_entry(index, record=WRITTEN)
        yield f"write {name}", written._replace(runs=state.runs + 1)
    if entry.record in (GRANTED, WRITTEN):
        ended = state.with_entry(index, record=RAN, send=-1, marked=False)
        yield f"end {name}", ended


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "runs at most once": lambda s: s["runs"] <= 1,
    "a shed operation has not run": lambda s: not s["shed_after_run"],
    "not-run for every send means no run": lambda s: (
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
    """Explore all reachable states of a variant and return the model checker's result."""
    return check_safety(protocol(variant), max_states=MAX_STATES)


def first_violation(variant: Variant) -> tuple[str, list[str]] | None:
    """Return the first violated invariant and the shortest trace to it; None if all hold."""
    checked_protocol = protocol(variant)
    violated = False

    def transitions(state: State) -> list[Step]:
        nonlocal violated
        if violated:
            raise SearchIncomplete("an invariant is violated")
        after = list(steps(variant, state))
        violated = any(
            not holds(next_state._asdict())
            for _, next_state in after
            for holds in INVARIANTS.values()
        )
        return after

    checked_protocol.transitions = transitions
    result = check_safety(checked_protocol, max_states=MAX_STATES)
    for name, outcome in result["properties"].items():
        if outcome["holds"] is False:
            return name, [step["label"] for step in outcome["counterexample"][1:]]
    return None


BROKEN_BY_NAME = {
    "no tombstones": Variant(tombstones=False, sends=2, crashes=0, joins=False),
    "entries with a lapsed lease are left out": Variant(
        covers_unleased=False, sends=2, crashes=0, joins=False
    ),
    "dead entries are left out": Variant(covers_dead=False, sends=2, joins=False),
    "a new entry accepts older keys": Variant(joins_late=False, sends=2),
    "stale reads of the members": Variant(synced_reads=False, sends=2),
    "replies to earlier attempts count": Variant(attempts_checked=False, crashes=0, joins=False),
    "an entry that yields continues its inquiry": Variant(
        yield_aborts=False, sends=2, crashes=0, joins=False
    ),
    "records evicted without a floor": Variant(
        floor=False, evictions=1, sends=2, crashes=0, joins=False
    ),
    "a margin smaller than the clock skew": Variant(lag=1, sends=2),
}

SOUND_BY_NAME = {
    "two sends, a crash": Variant(sends=2, joins=False),
    "two sends, a join": Variant(sends=2, crashes=0),
    "two sends, a join, a crash": Variant(sends=2),
    "two sends, a join, a crash, a slow clock": Variant(sends=2, margin=2, lag=1),
    "two sends, a join, an eviction": Variant(sends=2, crashes=0, evictions=1),
    "three sends, a crash": Variant(joins=False),
    "three sends, a crash, an eviction": Variant(joins=False, evictions=1),
}


def main() -> int:
    """Check every variant, print the results, and return 1 if one isn't as expected, else 0.

    A broken variant has to violate an invariant, a sound one must not.
    """
    failed = 0
    for name, variant in BROKEN_BY_NAME.items():
        violation = first_violation(variant)
        failed += violation is None
        print(f"broken: {name}: {violation[0] if violation else 'NO VIOLATION'}")
        print("".join(f"    {step}\n" for step in (violation[1] if violation else [])), end="")
    for name, variant in SOUND_BY_NAME.items():
        started = time.monotonic()
        result = check(variant)
        holds = all(outcome["holds"] is True for outcome in result["properties"].values())
        seconds = time.monotonic() - started
        states = result["reachable_states"]
        print(f"sound: {name}: {'holds' if holds else 'FAILS'}, {states} states, {seconds:.1f} s")
        failed += not holds
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
