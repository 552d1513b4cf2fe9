"""Check that an entry's document is current: after a start, after a pause and in isolation."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import Protocol


class FreshnessLimits(Protocol):
    """Time limits in seconds; see `sycamorebay.settings.FreshnessSettings`."""

    @property
    def pause_s(self) -> float:
        """Pause of the process after which the document must be verified again."""
        ...

    @property
    def settle_s(self) -> float:
        """Maximum wait for peers that do not answer."""
        ...

    @property
    def isolated_s(self) -> float:
        """Maximum time without an answer from the store or any peer."""
        ...

    @property
    def behind_s(self) -> float:
        """Maximum time that a newer revision may be known without being in force."""
        ...


class Freshness:
    """Decides whether requests may be served with the document in force.

    After its start and after each pause of its process, an entry queries the store and every known
    peer. It serves once the newest known revision is in force, the store or a peer has answered,
    and every other peer has answered or timed out. The peers are queried by a round of heartbeats
    that starts after the store's first answer, since that answer lists them. Only answers to
    queries sent after the pause count, because data that waited in a socket may be outdated.

    Parameters
    ----------
    now : float
        Current time in seconds, on a clock that also advances while the process is paused.
    limits : FreshnessLimits
        Time limits.

    Attributes
    ----------
    pauses : int
        Number of pauses detected so far.
    """

    def __init__(self, now: float, limits: FreshnessLimits) -> None:
        self._limits = limits
        self._last_event_at = now
        self._verifying_since = now
        self._settled = False
        self._store_requested_at = -inf
        self._requested_at_by_peer: dict[str, float] = {}
        self._peer_ids: frozenset[str] = frozenset()
        self._round_due = True
        self._revision = 0
        self._newest_known = 0
        self._behind_since = inf
        self.pauses = 0

    @property
    def settled(self) -> bool:
        """Whether the document was verified since the start or the latest pause."""
        return self._settled

    def on_tick(self, now: float) -> None:
        """Detect pauses and timeouts; call it several times within `pause_s`."""
        self._detect_pause(now)
        self._check_settled(now)

    def on_heartbeat_round(self, now: float, peer_ids: Iterable[str]) -> None:
        """Record the start of a round of heartbeats to all known peers."""
        self._detect_pause(now)
        self._round_due = False
        self._peer_ids = frozenset(peer_ids)
        kept = self._requested_at_by_peer.keys() & self._peer_ids
        self._requested_at_by_peer = {id_: self._requested_at_by_peer[id_] for id_ in kept}
        self._check_settled(now)

    def on_store(self, now: float, requested_at: float) -> None:
        """Record an answer of the store to a read that began at `requested_at`, in seconds."""
        self._detect_pause(now)
        if self._store_requested_at < self._verifying_since <= requested_at:
            self._round_due = True
        self._store_requested_at = max(self._store_requested_at, requested_at)
        self._check_settled(now)

    def on_peer(self, now: float, peer_id: str, requested_at: float) -> None:
        """Record a peer's answer to a heartbeat sent at `requested_at`, in seconds."""
        self._detect_pause(now)
        self._requested_at_by_peer[peer_id] = requested_at
        self._check_settled(now)

    def on_known_revision(self, now: float, number: int) -> None:
        """Record the number of a revision that the store or a peer has."""
        self._detect_pause(now)
        if number > self._newest_known:
            self._newest_known = number
            if number > self._revision:
                self._behind_since = min(self._behind_since, now)

    def on_in_force(self, now: float, number: int) -> None:
        """Record the number of the revision that is now in force at this entry."""
        self._detect_pause(now)
        self._revision = number
        self._newest_known = max(self._newest_known, number)
        if number == self._newest_known:
            self._behind_since = inf
        self._check_settled(now)

    def refusal_reason(self, now: float) -> str:
        """Return why requests may not be served now, or an empty string if they may."""
        self._detect_pause(now)
        if self._revision == 0:
            return "no configuration is in force"
        if not self._settled:
            return "whether the configuration is current is being asked"
        if now - self._behind_since > self._limits.behind_s:
            return "a newer configuration is known but could not be put in force"
        if self._peer_ids and now - self._last_contact_at() > self._limits.isolated_s:
            return "neither the platform nor a peer has answered for too long"
        return ""

    def _last_contact_at(self) -> float:
        peers_at = max(self._requested_at_by_peer.values(), default=-inf)
        return max(self._store_requested_at, peers_at)

    def _detect_pause(self, now: float) -> None:
        if now - self._last_event_at > self._limits.pause_s:
            self.pauses += 1
            self._settled = False
            self._round_due = True
            self._verifying_since = now
        self._last_event_at = max(self._last_event_at, now)

    def _check_settled(self, now: float) -> None:
        if self._settled or self._round_due:
            return
        if self._revision == 0 or self._revision < self._newest_known:
            return
        answered = {
            id_ for id_, at in self._requested_at_by_peer.items() if at >= self._verifying_since
        }
        any_answered = bool(answered) or self._store_requested_at >= self._verifying_since
        all_answered = self._peer_ids <= answered
        self._settled = any_answered and (all_answered or self._settle_timed_out(now))

    def _settle_timed_out(self, now: float) -> bool:
        return now - self._verifying_since >= self._limits.settle_s
