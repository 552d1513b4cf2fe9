"""Assignment of a service's slots to entries.

Every entry computes the assignment from the list of entries, without communication. If the lists
of two entries differ for a moment, requests are only distributed less evenly.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from sycamorebay.state.document import BackendServer


@attrs.frozen
class Entry:
    """Id and failure domain of an entry."""

    id: str
    failure_domain: str = ""


@attrs.frozen
class Entries:
    """All live entries, including this one.

    Attributes
    ----------
    own : Entry
        This entry.
    by_domain : dict of str to list of Entry
        All entries by failure domain, sorted by id.
    """

    own: Entry = attrs.field(factory=lambda: Entry(""))
    by_domain: dict[str, list[Entry]] = attrs.field(factory=dict)

    @classmethod
    def of(cls, own: Entry, entries: Sequence[Entry]) -> Entries:
        """Group entries by failure domain; `own` is added if it is not among them."""
        by_id = {entry.id: entry for entry in (*entries, own)}
        by_domain: dict[str, list[Entry]] = {}
        for entry_id in sorted(by_id):
            entry = by_id[entry_id]
            by_domain.setdefault(entry.failure_domain, []).append(entry)
        return cls(own, by_domain)

    def __len__(self) -> int:
        return max(1, sum(map(len, self.by_domain.values())))

    def entries_for(self, failure_domain: str) -> tuple[Entry, ...]:
        """Return the entries in a failure domain, or all entries if it has none."""
        entries_in_domain = self.by_domain.get(failure_domain)
        if entries_in_domain:
            return tuple(entries_in_domain)
        all_entries = [entry for entries in self.by_domain.values() for entry in entries]
        return tuple(sorted(all_entries, key=lambda entry: entry.id)) or (self.own,)


def long_slots(server: BackendServer, long_share: float) -> int:
    """Return how many slots of a server may run long work; at least one."""
    return max(1, int(server.slots * long_share))


def assigned_slots(
    servers: Sequence[BackendServer], entries: Entries, slots_of: Callable[[BackendServer], int]
) -> Counter[str]:
    """Return how many slots of each server are assigned to this entry.

    The slots of a failure domain are assigned to its entries in round robin: the first slot of
    every server, then the second ones. This spreads the entry's slots over as many servers as
    possible.

    Parameters
    ----------
    servers : sequence of BackendServer
        Backend servers whose slots are assigned.
    entries : Entries
        Entries that the slots are assigned to.
    slots_of : callable
        Returns the number of slots to assign of one server.

    Returns
    -------
    Counter of str
        Number of slots by backend server id.
    """
    servers_by_entries: dict[tuple[Entry, ...], list[BackendServer]] = {}
    for server in servers:
        sharing = entries.entries_for(server.failure_domain)
        servers_by_entries.setdefault(sharing, []).append(server)
    own_slots: Counter[str] = Counter()
    for sharing, group in servers_by_entries.items():
        if entries.own in sharing:
            own_slots.update(
                _interleaved_slots(group, slots_of)[sharing.index(entries.own) :: len(sharing)]
            )
    return own_slots


def _interleaved_slots(
    servers: Sequence[BackendServer], slots_of: Callable[[BackendServer], int]
) -> list[str]:
    ordered = sorted(servers, key=lambda server: server.id)
    rounds = max(slots_of(server) for server in ordered)
    return [s.id for round_ in range(rounds) for s in ordered if slots_of(s) > round_]
