"""Membership of an environment's entries, as one entry knows it."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

DEAD_AFTER_ROUNDS = 5
FORGET_UNREGISTERED_S = 60.0


@attrs.frozen
class Member:
    """Registration of one entry.

    Attributes
    ----------
    id : str
        Name in the entry's settings.
    incarnation : int
        Start time in nanoseconds; it increases with each restart.
    address : str
        ``IP:port`` of the listener for peers.
    failure_domain : str
        Failure domain of the entry.
    """

    id: str
    incarnation: int
    address: str
    failure_domain: str


@attrs.define
class _Contact:
    member: Member
    at: float


class Membership:
    """Members that are registered in the platform's service, or known from heartbeats only.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    own : Member
        This entry.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._registered_by_id: dict[str, Member] = {}
        self._contacts_by_id: dict[str, _Contact] = {}
        self._remaining_targets: list[str] = []

    def on_registrations(self, now: float, members: Iterable[Member]) -> None:
        """Replace the registered members with those of the platform's service."""
        self._registered_by_id = {member.id: member for member in members}

    def on_heartbeat(self, now: float, member: Member) -> None:
        """Record a heartbeat from a peer; an older incarnation than the known one is ignored."""
        contact = self._contacts_by_id.get(member.id)
        if member.id == self.own.id:
            return
        if contact is None or member.incarnation >= contact.member.incarnation:
            self._contacts_by_id[member.id] = _Contact(member, now)

    def on_hints(self, now: float, members: Iterable[Member]) -> None:
        """Record members that a peer knows.

        A hint expires in half the time of a heartbeat, unless a heartbeat follows.
        """
        for member in members:
            if member.id not in self._contacts_by_id:
                self.on_heartbeat(now - FORGET_UNREGISTERED_S / 2, member)

    def on_tick(self, now: float) -> None:
        """Remove unregistered members without a heartbeat for `FORGET_UNREGISTERED_S` seconds."""
        for id_, contact in list(self._contacts_by_id.items()):
            silence_s = now - contact.at
            if id_ not in self._registered_by_id and silence_s > FORGET_UNREGISTERED_S:
                del self._contacts_by_id[id_]

    def registered(self) -> list[Member]:
        """Return the registered members, as last read from the platform's service."""
        return list(self._registered_by_id.values())

    def peers(self) -> list[Member]:
        """Return all members except this entry, each in its newest incarnation."""
        by_id = dict(self._registered_by_id)
        for id_, contact in self._contacts_by_id.items():
            known = by_id.get(id_)
            if known is None or contact.member.incarnation > known.incarnation:
                by_id[id_] = contact.member
        by_id.pop(self.own.id, None)
        return list(by_id.values())

    def alive(self, now: float, round_s: float) -> list[Member]:
        """Return the peers with a heartbeat within the last `DEAD_AFTER_ROUNDS` rounds.

        Parameters
        ----------
        now : float
            Current time in seconds.
        round_s : float
            Interval between rounds of heartbeats in seconds.
        """
        oldest = now - DEAD_AFTER_ROUNDS * round_s
        return [peer for peer in self.peers() if self._last_contact_at(peer.id) > oldest]

    def targets(self, rng: Random, number: int) -> list[Member]:
        """Return up to `number` peers for the next round of heartbeats.

        Every peer is chosen once, in random order, before any peer is chosen again.
        """
        by_id = {peer.id: peer for peer in self.peers()}
        if number >= len(by_id):
            return list(by_id.values())
        self._remaining_targets = [id_ for id_ in self._remaining_targets if id_ in by_id]
        if len(self._remaining_targets) < number:
            unlisted = [id_ for id_ in by_id if id_ not in self._remaining_targets]
            rng.shuffle(unlisted)
            self._remaining_targets = self._remaining_targets + unlisted
        chosen, self._remaining_targets = (
            self._remaining_targets[:number],
            self._remaining_targets[number:],
        )
        return [by_id[id_] for id_ in chosen]

    def _last_contact_at(self, member_id: str) -> float:
        contact = self._contacts_by_id.get(member_id)
        return contact.at if contact else 0.0
