"""Bounded view of the fleet: which daemons are relays, and which relays serve a leaf.

Up to `RELAY_LIMIT` daemons, spread over the failure domains, are relays and exchange heartbeats
with each other. Every other daemon is a leaf, which is attached to two relays of its own failure
domain and hears of changes through them. So the messages of a daemon do not grow with the fleet,
and in a small fleet every daemon is a relay.

A relay that knows enough better-ranked relays of its domain becomes a leaf. A leaf becomes a relay
when its relays report that their domain lacks one.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache
from random import Random

import attrs

Address = tuple[str, int]

# Relays of the whole fleet; a fleet of at most this size has no leaves.
RELAY_LIMIT = 40
MIN_RELAYS_PER_DOMAIN = 2
# Leaves attached to one relay; even with half of the relays lost, a fleet of 1,000 has fewer.
MAX_LEAVES = 256
# A second relay keeps a leaf informed when the first one fails.
RELAYS_PER_LEAF = 2
# A lost relay is not tried again for this time, as other daemons may still name it.
LOST_HOLD_S = 3.0
# A relay that another daemon named is forgotten unless it is heard or named again.
LISTED_HOLD_S = 8.0
# A relay that has been silent for this time is not named to others.
HEARD_HOLD_S = 3.0
# Leaves step in at different times, so that one vacancy is not filled by all of them.
_PROMOTION_DELAY_S = (0.3, 2.0)
# The largest recent size counts, since the share of a retry budget must not grow when a part of
# the fleet is unreachable.
_SIZE_HOLD_S = 10.0


@attrs.frozen
class Contact:
    """How to reach a daemon.

    Attributes
    ----------
    name : str
        Unique in the fleet.
    address : tuple of (str, int)
        Receives datagrams.
    failure_domain : str
        Failure domain that the daemon runs in.
    link_mbps : float
        Bandwidth of its network link in Mbit/s; 0 if unknown.
    """

    name: str
    address: Address
    failure_domain: str
    link_mbps: float = 0.0

    @property
    def rank(self) -> tuple[float, bytes]:
        """Sort key of candidates for a task: wide links first, then in the order of a hash."""
        return -self.link_mbps, _hash(self.name)


@attrs.define
class _KnownRelay:
    """A relay, with the times in seconds at which it was last heard or named, and last heard.

    `heard` states whether it was heard rather than only named, in the last seconds.
    """

    contact: Contact
    listed_at: float
    heard_at: float = float("-inf")
    heard: bool = False
    leaves: int = 0


class FleetView:
    """What one daemon knows of the fleet, and the role that follows from it.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    own : Contact
        This daemon.
    domain_count : int
        Number of failure domains that daemons may run in.
    rng : random.Random
        Seeded random source.

    Attributes
    ----------
    own : Contact
        This daemon.
    is_relay : bool
        Whether this daemon is a relay.
    """

    def __init__(self, own: Contact, domain_count: int, rng: Random) -> None:
        self.own = own
        self.is_relay = True
        self.relays_per_domain = max(MIN_RELAYS_PER_DOMAIN, RELAY_LIMIT // max(1, domain_count))
        # Failure domains are named by other daemons, so their number does not bound the view.
        self._max_relays = 2 * max(RELAY_LIMIT, self.relays_per_domain * domain_count)
        self._rng = rng
        self._relays_by_name: dict[str, _KnownRelay] = {}
        self._leaves_by_name: dict[str, bool] = {}
        self._lost_at_by_name: dict[str, float] = {}
        self._relay_counts_by_name: dict[str, int] = {}
        self._promote_at: float | None = None
        self._told_size = 0
        self._leaves_seen_at = float("-inf")
        self._size = RecentMaximum(_SIZE_HOLD_S)

    def relays(self, failure_domain: str | None = None) -> list[Contact]:
        """Return the other known relays, of one failure domain or of all, best first."""
        found = [known.contact for known in self._relays_by_name.values()]
        if failure_domain is not None:
            found = [contact for contact in found if contact.failure_domain == failure_domain]
        return sorted(found, key=lambda contact: contact.rank)

    def heard_relays(self, failure_domain: str | None = None) -> list[Contact]:
        """Return the relays that were heard; only these may be named to others.

        Daemons that named relays by hearsay would keep those alive that are gone.
        """
        return [
            contact
            for contact in self.relays(failure_domain)
            if self._relays_by_name[contact.name].heard
        ]

    def admits(self, contact: Contact) -> bool:
        """Return whether a relay is among the best of its failure domain, of those heard."""
        better = self._count_better(contact)
        own = self.own
        if self.is_relay and own.failure_domain == contact.failure_domain:
            better += own.name != contact.name and own.rank < contact.rank
        return better < self.relays_per_domain

    def on_relay(self, now: float, contact: Contact, leaves: int) -> bool:
        """Record a relay that was heard, and return whether it belongs to the view."""
        known = self._relays_by_name.get(contact.name)
        if known is not None and known.heard and known.contact == contact:
            known.listed_at = known.heard_at = now
            known.leaves = leaves
            return True
        self._lost_at_by_name.pop(contact.name, None)
        self._leaves_by_name.pop(contact.name, None)
        is_full = known is None and len(self.heard_relays()) >= self._max_relays
        if is_full or not self._is_of_interest(contact.failure_domain) or not self.admits(contact):
            self._relays_by_name.pop(contact.name, None)
            return False
        self._relays_by_name[contact.name] = _KnownRelay(contact, now, now, True, leaves)
        self._trim(contact.failure_domain)
        self._update_role(now)
        return True

    def on_listed(self, now: float, contact: Contact) -> bool:
        """Record a relay that another daemon named, and return whether to contact it."""
        if contact.name == self.own.name or not self._is_of_interest(contact.failure_domain):
            return False
        if now - self._lost_at_by_name.get(contact.name, float("-inf")) < LOST_HOLD_S:
            return False
        known = self._relays_by_name.get(contact.name)
        if known is not None:
            known.listed_at = now
            return False
        if len(self._relays_by_name) >= self._max_relays or not self.admits(contact):
            return False
        self._relays_by_name[contact.name] = _KnownRelay(contact, now)
        self._trim(contact.failure_domain)
        self._update_role(now)
        return True

    def on_leaf(self, contact: Contact, primary: bool) -> bool:
        """Record a leaf of the own failure domain, and return whether it is attached here.

        Parameters
        ----------
        contact : Contact
            The leaf.
        primary : bool
            Whether this daemon is its primary relay.
        """
        self._relays_by_name.pop(contact.name, None)
        is_full = len(self._leaves_by_name) >= MAX_LEAVES
        if is_full and contact.name not in self._leaves_by_name:
            return False
        if contact.failure_domain != self.own.failure_domain:
            return False
        self._leaves_by_name[contact.name] = primary
        return True

    def on_lost(self, now: float, name: str) -> None:
        """Record that a daemon is silent or has stopped."""
        self._leaves_by_name.pop(name, None)
        self._relay_counts_by_name.pop(name, None)
        if self._relays_by_name.pop(name, None) is not None:
            self._lost_at_by_name[name] = now

    def on_told(self, now: float, relay: str, relay_count: int, fleet_size: int) -> None:
        """Record what a relay of this leaf reports about its failure domain and the fleet."""
        self._relay_counts_by_name[relay] = relay_count
        self._told_size = fleet_size
        self._update_role(now)

    def on_tick(self, now: float) -> None:
        """Forget relays that are neither heard nor named any more, and update the own role."""
        expired = [n for n, k in self._relays_by_name.items() if now - k.listed_at > LISTED_HOLD_S]
        for name in expired:
            del self._relays_by_name[name]
        for known in self._relays_by_name.values():
            known.heard = now - known.heard_at < HEARD_HOLD_S
        lost = self._lost_at_by_name
        self._lost_at_by_name = {n: at for n, at in lost.items() if now - at < LOST_HOLD_S}
        self._update_role(now)

    def home_relays(self) -> list[Contact]:
        """Return the relays that this daemon is attached to as a leaf, the primary one first."""
        own_domain = self.relays(self.own.failure_domain)
        # Rendezvous hashing spreads the leaves evenly and moves few of them when relays change.
        own_domain.sort(key=lambda contact: _hash(f"{self.own.name}/{contact.name}"))
        return own_domain[:RELAYS_PER_LEAF]

    def own_leaf_count(self) -> int:
        """Return how many leaves have this daemon as their primary relay."""
        return sum(self._leaves_by_name.values())

    def relay_count(self) -> int:
        """Return the number of relays in the own failure domain, this daemon included."""
        domain = self.own.failure_domain
        return self.is_relay + sum(
            known.heard and known.contact.failure_domain == domain
            for known in self._relays_by_name.values()
        )

    def size(self, now: float) -> int:
        """Return the number of daemons in the fleet, at least the largest of the last seconds."""
        return self._size.update(now, self.present_size())

    def present_size(self) -> int:
        """Return the number of daemons in the fleet as it is known now."""
        if not self.is_relay:
            return max(self._told_size, 1 + len(self._relays_by_name))
        known = 1 + self.own_leaf_count()
        return known + sum(1 + relay.leaves for relay in self._relays_by_name.values())

    def has_leaves(self, now: float) -> bool:
        """Return whether some daemons of the fleet are leaves, or were a few seconds ago."""
        leaves = self._leaves_by_name or any(r.leaves for r in self._relays_by_name.values())
        if leaves or not self.is_relay:
            self._leaves_seen_at = now
        return now - self._leaves_seen_at < _SIZE_HOLD_S

    def _count_better(self, contact: Contact) -> int:
        """Return how many heard relays of a daemon's failure domain rank before it."""
        rank = contact.rank
        return sum(
            known.contact.failure_domain == contact.failure_domain
            and known.heard
            and known.contact.rank < rank
            for known in self._relays_by_name.values()
        )

    def _is_of_interest(self, failure_domain: str) -> bool:
        return self.is_relay or failure_domain == self.own.failure_domain

    def _trim(self, failure_domain: str) -> None:
        """Keep the best relays of a failure domain, and as many that were only named."""
        heard = self.heard_relays(failure_domain)
        listed = [contact for contact in self.relays(failure_domain) if contact not in heard]
        limit = self.relays_per_domain
        for contact in heard[limit:] + listed[limit:]:
            del self._relays_by_name[contact.name]

    def _update_role(self, now: float) -> None:
        if self.is_relay:
            self._demote_if_outranked()
        elif self._is_vacant():
            self._promote_when_due(now)
        elif self._relay_counts_by_name:
            self._promote_at = None

    def _demote_if_outranked(self) -> None:
        domain = self.own.failure_domain
        if self._count_better(self.own) < self.relays_per_domain:
            return
        self.is_relay = False
        self._promote_at = None
        self._leaves_by_name.clear()
        self._relay_counts_by_name.clear()
        self._relays_by_name = {
            name: known
            for name, known in self._relays_by_name.items()
            if known.contact.failure_domain == domain
        }

    def _is_vacant(self) -> bool:
        counts = self._relay_counts_by_name.values()
        return not self._relays_by_name or (bool(counts) and min(counts) < self.relays_per_domain)

    def _promote_when_due(self, now: float) -> None:
        if self._promote_at is None:
            alone = not self._relays_by_name
            self._promote_at = now + (0.0 if alone else self._rng.uniform(*_PROMOTION_DELAY_S))
        if now >= self._promote_at:
            self.is_relay = True
            self._promote_at = None


class RecentMaximum:
    """The largest value of the current and the previous period."""

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._started_at = float("-inf")
        self._current = 0
        self._previous = 0

    def update(self, now: float, value: int) -> int:
        """Add a value and return the largest recent one."""
        if now - self._started_at > self._period_s:
            self._previous, self._current = self._current, 0
            self._started_at = now
        self._current = max(self._current, value)
        return max(self._previous, self._current)


@lru_cache(maxsize=4096)
def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
