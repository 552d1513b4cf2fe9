"""The entries of an environment, as one of them sees it."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

DEAD_AFTER_ROUNDS = 5
FORGET_UNREGISTERED_S = 60.0


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


@attrs.define
class _Heard:
    member: Member
    at: float


class Membership:
    """Registered members, and members heard although the platform's service names them not.

    Parameters
    ----------
    own : Member
        This entry.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._registered_by_id: dict[str, Member] = {}
        self._heard_by_id: dict[str, _Heard] = {}
        self._round: list[str] = []

    def on_registrations(self, now: float, members: Iterable[Member]) -> None:
        """Take the registrations that the platform's service holds."""
        self._registered_by_id = {member.id: member for member in members}

    def on_heartbeat(self, now: float, member: Member) -> None:
        """Take a sign of life from a peer; an older incarnation than the known one is ignored."""
        heard = self._heard_by_id.get(member.id)
        if member.id == self.own.id:
            return
        if heard is None or member.incarnation >= heard.member.incarnation:
            self._heard_by_id[member.id] = _Heard(member, now)

    def on_hints(self, now: float, members: Iterable[Member]) -> None:
        """Take members that a peer knows; each counts as heard until it is forgotten again."""
        for member in members:
            if member.id not in self._heard_by_id:
                self.on_heartbeat(now - FORGET_UNREGISTERED_S / 2, member)

    def on_tick(self, now: float) -> None:
        """Forget members that are neither registered nor heard any more."""
        for id_, heard in list(self._heard_by_id.items()):
            silent_s = now - heard.at
            if id_ not in self._registered_by_id and silent_s > FORGET_UNREGISTERED_S:
                del self._heard_by_id[id_]

    def registered(self) -> list[Member]:
        """Return the members that the platform's service last named."""
        return list(self._registered_by_id.values())

    def peers(self) -> list[Member]:
        """Return every member but this one, each in its newest incarnation."""
        by_id = dict(self._registered_by_id)
        for id_, heard in self._heard_by_id.items():
            known = by_id.get(id_)
            if known is None or heard.member.incarnation > known.incarnation:
                by_id[id_] = heard.member
        by_id.pop(self.own.id, None)
        return list(by_id.values())

    def alive(self, now: float, round_s: float) -> list[Member]:
        """Return the peers heard within the last few rounds, each of `round_s` seconds."""
        oldest = now - DEAD_AFTER_ROUNDS * round_s
        return [peer for peer in self.peers() if self._heard_at(peer.id) > oldest]

    def targets(self, rng: Random, number: int) -> list[Member]:
        """Return the peers of the next round; each peer has its turn before any has its second."""
        by_id = {peer.id: peer for peer in self.peers()}
        if number >= len(by_id):
            return list(by_id.values())
        self._round = [id_ for id_ in self._round if id_ in by_id]
        if len(self._round) < number:
            rest = [id_ for id_ in by_id if id_ not in self._round]
            rng.shuffle(rest)
            self._round = self._round + rest
        chosen, self._round = self._round[:number], self._round[number:]
        return [by_id[id_] for id_ in chosen]

    def _heard_at(self, member_id: str) -> float:
        heard = self._heard_by_id.get(member_id)
        return heard.at if heard else 0.0
