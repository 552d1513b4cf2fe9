"""Which slots of a service each entry counts as its own.

Every entry works this out by itself from the same list of entries, with no message. Where lists
differ for a moment only the sharing of work suffers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import attrs

from sycamorebay.state.document import BackendServer


@attrs.frozen
class EntryPosition:
    """Place of this entry among all entries, in the order of their names."""

    index: int = 0
    entries: int = 1

    @classmethod
    def among(cls, own_id: str, entry_ids: Sequence[str]) -> EntryPosition:
        """Return the position of `own_id` among entries, itself counted once."""
        ids = sorted({own_id, *entry_ids})
        return cls(ids.index(own_id), len(ids))


def long_slots(server: BackendServer, long_share: float) -> int:
    """Return how many slots of a server long work may hold."""
    return max(1, int(server.slots * long_share))


def assigned_slots(
    slots_by_id: dict[str, int], position: EntryPosition, *, at_least_one: bool = False
) -> Counter[str]:
    """Return how many slots of each server are this entry's.

    Slots are dealt in turn: the first slot of every server, then the second ones. The entry's
    slots are thus on as many servers as can be.

    Parameters
    ----------
    slots_by_id : dict of str to int
        Slots to deal, by the server's id.
    position : EntryPosition
        Whose slots.
    at_least_one : bool
        Whether an entry that gets none takes one all the same.
    """
    ids = sorted(slots_by_id)
    most = max(slots_by_id.values(), default=0)
    dealt = [
        server_id for turn in range(most) for server_id in ids if slots_by_id[server_id] > turn
    ]
    own = Counter(dealt[position.index :: position.entries])
    if at_least_one and not own and dealt:
        own[dealt[position.index % len(dealt)]] = 1
    return own
