"""The entries of an environment, as one of them sees it."""

from __future__ import annotations

import attrs

DEAD_AFTER_HEARTBEATS = 5


@attrs.frozen
class Member:
    """One entry's registration.

    Attributes
    ----------
    id : str
        Name from its settings.
    incarnation : int
        Start time in nanoseconds; a restart has a higher one.
    address : str
        ``IP:port`` of its peers' listener.
    failure_domain : str
        Where it runs.
    """

    id: str
    incarnation: int
    address: str
    failure_domain: str


class Membership:
    """Registered members and when each was last heard.

    Parameters
    ----------
    own : Member
        This entry.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._by_id: dict[str, Member] = {own.id: own}
        self._heard_by_id: dict[str, float] = {}

    def on_registrations(self, now: float, members: list[Member]) -> None:
        """Take the registrations that the platform's service holds."""
        self._by_id = {member.id: member for member in members}
        self._by_id[self.own.id] = self.own

    def on_heartbeat(self, now: float, member_id: str) -> None:
        """Take a peer's heartbeat."""
        self._heard_by_id[member_id] = now

    def peers(self) -> list[Member]:
        """Return every member but this one."""
        return [member for member in self._by_id.values() if member.id != self.own.id]

    def alive(self, now: float, heartbeat_s: float) -> list[Member]:
        """Return the peers heard within the last few heartbeats."""
        oldest = now - DEAD_AFTER_HEARTBEATS * heartbeat_s
        return [peer for peer in self.peers() if self._heard_by_id.get(peer.id, oldest) > oldest]
