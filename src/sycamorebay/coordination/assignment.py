"""Which slots of a service each entry counts as its own.

Every entry works this out by itself from the same list of entries, with no message. Where lists
differ for a moment only the sharing of work suffers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from sycamorebay.state.document import BackendServer


@attrs.frozen
class Entry:
    """An entry as the others see it."""

    id: str
    failure_domain: str = ""


@attrs.frozen
class Entries:
    """All live entries, this one among them.

    Attributes
    ----------
    own : Entry
        This entry.
    by_domain : dict of str to list of Entry
        All entries, in the order of their names.
    """

    own: Entry = attrs.field(factory=lambda: Entry(""))
    by_domain: dict[str, list[Entry]] = attrs.field(factory=dict)

    @classmethod
    def of(cls, own: Entry, entries: Sequence[Entry]) -> Entries:
        """Return the entries, with `own` counted once."""
        by_id = {entry.id: entry for entry in (*entries, own)}
        by_domain: dict[str, list[Entry]] = {}
        for entry_id in sorted(by_id):
            entry = by_id[entry_id]
            by_domain.setdefault(entry.failure_domain, []).append(entry)
        return cls(own, by_domain)

    def __len__(self) -> int:
        return max(1, sum(map(len, self.by_domain.values())))

    def near(self, failure_domain: str) -> tuple[Entry, ...]:
        """Return the entries in a failure domain, or all where it has none."""
        found = self.by_domain.get(failure_domain)
        if found:
            return tuple(found)
        everyone = [entry for entries in self.by_domain.values() for entry in entries]
        return tuple(sorted(everyone, key=lambda entry: entry.id)) or (self.own,)


def long_slots(server: BackendServer, long_share: float) -> int:
    """Return how many slots of a server long work may hold."""
    return max(1, int(server.slots * long_share))


def assigned_slots(
    servers: Sequence[BackendServer], entries: Entries, slots_of: Callable[[BackendServer], int]
) -> Counter[str]:
    """Return how many slots of each server are this entry's.

    The slots of a failure domain are dealt in turn to the entries in it: the first slot of every
    server, then the second ones. The entry's slots are thus on as many servers as can be.

    Parameters
    ----------
    servers : sequence of BackendServer
        Whose slots.
    entries : Entries
        Who gets them.
    slots_of : callable
        Slots of one server that are dealt.
    """
    servers_by_entries: dict[tuple[Entry, ...], list[BackendServer]] = {}
    for server in servers:
        near = entries.near(server.failure_domain)
        servers_by_entries.setdefault(near, []).append(server)
    own: Counter[str] = Counter()
    for near, group in servers_by_entries.items():
        if entries.own in near:
            own.update(_in_turn(group, slots_of)[near.index(entries.own) :: len(near)])
    return own


def _in_turn(
    servers: Sequence[BackendServer], slots_of: Callable[[BackendServer], int]
) -> list[str]:
    ordered = sorted(servers, key=lambda server: server.id)
    turns = max(slots_of(server) for server in ordered)
    return [s.id for turn in range(turns) for s in ordered if slots_of(s) > turn]
