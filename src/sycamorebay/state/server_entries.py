"""Entries that backend servers publish about themselves; the latest one of each is kept."""

from __future__ import annotations

from collections.abc import Iterator

import attrs


@attrs.frozen
class ServerEntry:
    """Published entry of one start of a backend server.

    Attributes
    ----------
    id : str
        Identifies this start; a restarted server usually has another id.
    service : str
        Name of the service that the server runs.
    address : str
        ``IP:port``; a server of another service may use it later.
    failure_domain : str
        Failure domain in which the server runs.
    slots : int
        Number of requests that the server processes concurrently.
    leaving : bool
        Whether the server asks for no new requests.
    warm_up_s : float
        Remaining warm-up time in seconds, during which the server is slow.
    started_ms : int
        Unix time of the start in milliseconds; 0 if unknown.
    sequence : int
        Increases with each entry of the same start.
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
        """Return whether this entry is older than `other`, or belongs to an earlier start."""
        return (self.started_ms, self.sequence) < (other.started_ms, other.sequence)


class ServerEntries:
    """Latest entry of each backend server.

    During an outage of the store, the entries of live servers may expire. An entry that is missing
    right after an outage is therefore held until the `hold_until` of its removal.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, ServerEntry] = {}
        self._held_until_by_id: dict[str, float] = {}

    def put(self, entry: ServerEntry) -> bool:
        """Add or update an entry.

        Returns
        -------
        bool
            Whether the entry changed; False also if it is older than the known one.
        """
        known = self._by_id.get(entry.id)
        self._held_until_by_id.pop(entry.id, None)
        if known is not None and entry.precedes(known):
            return False
        self._by_id[entry.id] = entry
        return entry != known

    def remove(self, now: float, server_id: str, hold_until: float) -> bool:
        """Remove an entry that is missing in the store.

        Parameters
        ----------
        now : float
            Current time in seconds.
        server_id : str
            Id of the entry.
        hold_until : float
            Time in seconds until which the entry is held; it is removed at once if this is past.

        Returns
        -------
        bool
            Whether a known entry was removed.
        """
        if now >= hold_until:
            self._held_until_by_id.pop(server_id, None)
            return self._by_id.pop(server_id, None) is not None
        if server_id in self._by_id:
            self._held_until_by_id[server_id] = hold_until
        return False

    def expire(self, now: float) -> list[str]:
        """Remove held entries whose hold time has passed, and return their ids."""
        expired = [key for key, until in self._held_until_by_id.items() if until <= now]
        for server_id in expired:
            del self._held_until_by_id[server_id]
            self._by_id.pop(server_id, None)
        return expired

    def get(self, server_id: str) -> ServerEntry | None:
        """Return the entry with an id, or None."""
        return self._by_id.get(server_id)

    def __iter__(self) -> Iterator[ServerEntry]:
        return iter(self._by_id.values())

    def __len__(self) -> int:
        return len(self._by_id)
