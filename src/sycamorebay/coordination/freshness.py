"""Whether an entry may trust its document: after a start, after a pause, and cut off."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import Protocol


class FreshnessLimits(Protocol):
    """Time limits in seconds; see `sycamorebay.settings.FreshnessSettings`."""

    @property
    def pause_s(self) -> float:
        """Pause after which to ask again."""
        ...

    @property
    def settle_s(self) -> float:
        """Longest wait for peers that don't answer."""
        ...

    @property
    def isolated_s(self) -> float:
        """Longest time without a word from the store or a peer."""
        ...

    @property
    def behind_s(self) -> float:
        """Longest time that a newer revision may be known without being in force."""
        ...


class Freshness:
    """Tells whether requests may be served by the document in force.

    After its start, and after each pause of its process, an entry asks the store and every peer
    that it knows. It serves once the store or a peer has answered, and every other peer has
    answered or has had its time. The round of heartbeats that asks them starts after the store's
    first answer, which names them. Only answers to questions asked after the pause count: what
    waited in a socket may be old.

    Parameters
    ----------
    now : float
        Time in seconds, on a clock that counts pauses.
    limits : FreshnessLimits
        Time limits.
    """

    def __init__(self, now: float, limits: FreshnessLimits) -> None:
        self._limits = limits
        self._seen_at = now
        self._asking_since = now
        self._settled = False
        self._store_asked_at = -inf
        self._asked_at_by_peer: dict[str, float] = {}
        self._peer_ids: frozenset[str] = frozenset()
        self._round_due = True
        self._revision = 0
        self._newest_known = 0
        self._behind_since = inf
        self.pauses = 0

    @property
    def settled(self) -> bool:
        """Whether enough answers came since the start or the latest pause."""
        return self._settled

    def on_tick(self, now: float) -> None:
        """Take the passing of time; called several times within `pause_s`."""
        self._notice_pause(now)
        self._settle(now)

    def on_heartbeat_round(self, now: float, peer_ids: Iterable[str]) -> None:
        """Take the start of a round of heartbeats to all peers that are known now."""
        self._notice_pause(now)
        self._round_due = False
        self._peer_ids = frozenset(peer_ids)
        kept = self._asked_at_by_peer.keys() & self._peer_ids
        self._asked_at_by_peer = {id_: self._asked_at_by_peer[id_] for id_ in kept}
        self._settle(now)

    def on_store(self, now: float, asked_at: float) -> None:
        """Take an answer of the store to a read that began at `asked_at`."""
        self._notice_pause(now)
        if self._store_asked_at < self._asking_since <= asked_at:
            self._round_due = True
        self._store_asked_at = max(self._store_asked_at, asked_at)
        self._settle(now)

    def on_peer(self, now: float, peer_id: str, asked_at: float) -> None:
        """Take a peer's answer to a heartbeat sent at `asked_at`."""
        self._notice_pause(now)
        self._asked_at_by_peer[peer_id] = asked_at
        self._settle(now)

    def on_known(self, now: float, number: int) -> None:
        """Take the number of a revision that exists somewhere."""
        self._notice_pause(now)
        if number > self._newest_known:
            self._newest_known = number
            if number > self._revision:
                self._behind_since = min(self._behind_since, now)

    def on_in_force(self, now: float, number: int) -> None:
        """Take the number of the revision that is now in force here."""
        self._notice_pause(now)
        self._revision = number
        self._newest_known = max(self._newest_known, number)
        if number == self._newest_known:
            self._behind_since = inf
        self._settle(now)

    def refusal_reason(self, now: float) -> str:
        """Return why nothing may be served now; empty where it may."""
        self._notice_pause(now)
        if self._revision == 0:
            return "no configuration is in force"
        if not self._settled:
            return "whether the configuration is current is being asked"
        if now - self._behind_since > self._limits.behind_s:
            return "a newer configuration is known but could not be put in force"
        if self._peer_ids and now - self._heard_at() > self._limits.isolated_s:
            return "neither the platform nor a peer has answered for too long"
        return ""

    def _heard_at(self) -> float:
        peers_at = max(self._asked_at_by_peer.values(), default=-inf)
        return max(self._store_asked_at, peers_at)

    def _notice_pause(self, now: float) -> None:
        if now - self._seen_at > self._limits.pause_s:
            self.pauses += 1
            self._settled = False
            self._round_due = True
            self._asking_since = now
        self._seen_at = max(self._seen_at, now)

    def _settle(self, now: float) -> None:
        if self._settled or self._round_due:
            return
        if self._revision == 0 or self._revision < self._newest_known:
            return
        answered = {id_ for id_, at in self._asked_at_by_peer.items() if at >= self._asking_since}
        anyone = bool(answered) or self._store_asked_at >= self._asking_since
        everyone = self._peer_ids <= answered
        self._settled = anyone and (everyone or self._waited(now))

    def _waited(self, now: float) -> bool:
        return now - self._asking_since >= self._limits.settle_s
