"""Specification of a store that is restored from an older copy; ``python -m specs.restore``.

An operator writes numbered configurations to a store, and others write beside it. The store may
come back from a copy, whose revisions it then gives out again; the operator writes its last
configuration again. Two readers read the store, a relay hears them, and a leaf hears the relay.
Messages may come late, and a daemon may restart without its memory. All bounded states are
explored.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000
# Sources that each daemon hears; the store comes first for the readers.
READERS = (0, 1)
SOURCES_BY_DAEMON: dict[int, tuple[int, ...]] = {0: (1,), 1: (0,), 2: (0, 1), 3: (2,)}


@attrs.frozen
class Variant:
    """Rules and bounds; each rule that is off gives a broken variant.

    Attributes
    ----------
    compares_eras : bool
        Whether versions are ordered by era before revision.
    keeps_confirmed : bool
        Whether a daemon keeps a configuration with a later number than the restored one.
    refuses_earlier_eras : bool
        Whether messages of an earlier era are refused.
    daemons : int
        Number of daemons, out of two readers, a relay and a leaf.
    writes, restores, restarts : int
        Largest numbers of configurations and other writes together, of restores and of restarts.
    """

    compares_eras: bool = True
    keeps_confirmed: bool = True
    refuses_earlier_eras: bool = True
    daemons: int = 4
    writes: int = 3
    restores: int = 1
    restarts: int = 1


class Daemon(NamedTuple):
    """Version of a daemon's copy of the store, and its configuration in force; 0 for none."""

    era: int = 0
    revision: int = 0
    number: int = 0


class Store(NamedTuple):
    """The store: its version, its configuration, and the revision at which that was written."""

    era: int = 1
    revision: int = 1
    number: int = 1
    written_at: int = 1


class State(NamedTuple):
    """All of the system.

    Attributes
    ----------
    store : Store
        The store.
    copy : Store
        The copy that it may come back from.
    confirmed : int
        Number of the last configuration that the store has acknowledged.
    daemons : tuple of Daemon
        The daemons.
    late : Daemon or None
        What a daemon said, which may still arrive at any other.
    writes, restarts : int
        How many there were.
    went_back, missed : bool
        Whether a daemon has put an older configuration in force, and whether a reader has read the
        store and still lacks its configuration.
    """

    store: Store = Store()
    copy: Store = Store()
    confirmed: int = 1
    daemons: tuple[Daemon, ...] = ()
    late: Daemon | None = None
    writes: int = 0
    restarts: int = 0
    went_back: bool = False
    missed: bool = False

    def with_daemon(self, index: int, daemon: Daemon) -> State:
        """Return this state with one daemon changed, which went back if its number fell."""
        daemons = (*self.daemons[:index], daemon, *self.daemons[index + 1 :])
        went_back = self.went_back or daemon.number < self.daemons[index].number
        return self._replace(daemons=daemons, went_back=went_back)


def steps(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Yield the label and the next state of every enabled action."""
    yield from _store_steps(variant, state)
    for index, daemon in enumerate(state.daemons):
        if index in READERS:
            yield f"read {index}", read(variant, state, index)
        for source in SOURCES_BY_DAEMON[index]:
            if source < len(state.daemons):
                heard = merge(variant, daemon, state.daemons[source])
                yield f"hear {index} {source}", state.with_daemon(index, heard)
        if state.late is not None:
            merged = merge(variant, daemon, state.late)
            yield f"hear {index} late", state.with_daemon(index, merged)
        if daemon.revision and state.late is None:
            yield f"delay {index}", state._replace(late=daemon)
        if state.restarts < variant.restarts and daemon.revision:
            daemons = (*state.daemons[:index], Daemon(), *state.daemons[index + 1 :])
            yield f"restart {index}", state._replace(daemons=daemons, restarts=state.restarts + 1)


def _store_steps(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    store = state.store
    revision = store.revision + 1
    if state.writes < variant.writes:
        other = store._replace(revision=revision)
        yield "write other", state._replace(store=other, writes=state.writes + 1)
        if store.number == state.confirmed:
            number = state.confirmed + 1
            written = store._replace(revision=revision, number=number, written_at=revision)
            yield "write", state._replace(store=written, confirmed=number, writes=state.writes + 1)
    if store.number < state.confirmed:
        again = store._replace(revision=revision, number=state.confirmed, written_at=revision)
        yield "write again", state._replace(store=again)
    if state.copy != store and store.era == 1:
        yield "copy", state._replace(copy=store)
    if store.era <= variant.restores:
        yield "restore", state._replace(store=state.copy._replace(era=store.era + 1))


def read(variant: Variant, state: State, index: int) -> State:
    """Return the state after a reader has read the store: changes, or a listing if it must."""
    store, daemon = state.store, state.daemons[index]
    shown = Daemon(store.era, store.revision, store.number)
    if not variant.compares_eras and store.revision < daemon.revision:
        after = daemon
    elif daemon.era == store.era or not variant.compares_eras:
        is_news = store.written_at > daemon.revision
        after = shown._replace(number=_later(variant, daemon, shown) if is_news else daemon.number)
    else:
        after = shown._replace(number=_later(variant, daemon, shown))
    moved = state.with_daemon(index, after)
    return moved._replace(missed=moved.missed or after.number < store.number)


def merge(variant: Variant, daemon: Daemon, heard: Daemon) -> Daemon:
    """Return a daemon after it has heard what another one knows."""
    if not variant.compares_eras:
        if heard.revision <= daemon.revision:
            return daemon
        return heard._replace(number=max(daemon.number, heard.number))
    if heard.era < daemon.era:
        if variant.refuses_earlier_eras or heard.revision <= daemon.revision:
            return daemon
        return daemon._replace(revision=heard.revision, number=heard.number)
    if heard[:2] < daemon[:2]:
        return daemon
    return heard._replace(number=_later(variant, daemon, heard))


def _later(variant: Variant, daemon: Daemon, shown: Daemon) -> int:
    return max(daemon.number, shown.number) if variant.keeps_confirmed else shown.number


INVARIANTS: dict[str, Callable[[dict[str, Any]], bool]] = {
    "no daemon goes back to an older configuration": lambda s: not s["went_back"],
    "a reader that has read has the store's configuration": lambda s: not s["missed"],
}

SOUND = (
    Variant(writes=1, restarts=0),
    Variant(daemons=3, writes=1),
    Variant(daemons=2, writes=2, restores=2),
)
BROKEN_BY_NAME: dict[str, Variant] = {
    "revisions alone are compared": Variant(compares_eras=False, daemons=2, writes=2, restarts=0),
    "a restored configuration comes into force": Variant(
        keeps_confirmed=False, daemons=2, writes=2, restarts=0
    ),
    "messages of an earlier era are merged": Variant(
        refuses_earlier_eras=False, daemons=3, writes=2, restarts=0
    ),
}


def protocol(variant: Variant) -> Protocol:
    """Return the specification for the model checker."""
    initial = State(daemons=(Daemon(),) * variant.daemons)
    return Protocol(
        name="restore",
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
