"""What backend servers say of themselves, kept in the order in which they said it."""

from __future__ import annotations

from collections.abc import Iterator

import attrs


@attrs.frozen
class ServerEntry:
    """One start of a backend server, by its own word.

    Attributes
    ----------
    id : str
        Names this start; a restart mostly has another.
    service : str
        Which service it runs.
    address : str
        ``IP:port``; may later belong to a server of another service.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it runs at the same time.
    leaving : bool
        Whether it asks for no new work.
    warm_up_s : float
        How much longer it is slow after its start, in seconds.
    started_ms : int
        Unix time of its start in milliseconds; 0 where it doesn't say.
    sequence : int
        Grows with each word of the same start.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    warm_up_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0

    def precedes(self, other: ServerEntry) -> bool:
        """Whether this was said before `other`, by the same server or an earlier start of it."""
        return (self.started_ms, self.sequence) < (other.started_ms, other.sequence)


class ServerEntries:
    """The latest word of each backend server.

    While the store is away, entries of live servers may lapse. So an entry that goes missing
    right after an outage stays until `hold_until`.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, ServerEntry] = {}
        self._missing_by_id: dict[str, float] = {}

    def put(self, entry: ServerEntry) -> bool:
        """Take a server's word; False where it is older than what is known."""
        known = self._by_id.get(entry.id)
        self._missing_by_id.pop(entry.id, None)
        if known is not None and entry.precedes(known):
            return False
        self._by_id[entry.id] = entry
        return entry != known

    def remove(self, now: float, server_id: str, hold_until: float) -> bool:
        """Take the end of an entry; False where it is held until `hold_until`, in seconds."""
        if now >= hold_until:
            self._missing_by_id.pop(server_id, None)
            return self._by_id.pop(server_id, None) is not None
        if server_id in self._by_id:
            self._missing_by_id[server_id] = hold_until
        return False

    def expire(self, now: float) -> list[str]:
        """Drop held entries whose time is up, and return their ids."""
        gone = [key for key, until in self._missing_by_id.items() if until <= now]
        for server_id in gone:
            del self._missing_by_id[server_id]
            self._by_id.pop(server_id, None)
        return gone

    def get(self, server_id: str) -> ServerEntry | None:
        """Return a server's entry, or None."""
        return self._by_id.get(server_id)

    def __iter__(self) -> Iterator[ServerEntry]:
        return iter(self._by_id.values())

    def __len__(self) -> int:
        return len(self._by_id)
