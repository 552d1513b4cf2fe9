"""Selection of the few daemons that read the store on behalf of the fleet.

There is no election or lock: every daemon ranks the live daemons in the same order, and reads the
store itself if no reader has confirmed for a while that its data is current. If the views of two
daemons differ, the only cost is a few additional reads.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

from sycamorebay.coordination.fleet_view import Contact

# Two readers in different failure domains; if both fail at once, the daemons read themselves.
READER_COUNT = 2
# A reader confirms once per second. A daemon that misses a confirmation has about half a second to
# read the store itself, so that its data is at most two seconds old.
STALE_AFTER_S = 1.3
STALE_JITTER_S = 0.3
# A leaf waits until its relays have had the time to read the store and to pass on the result.
LEAF_STALE_AFTER_S = 1.65
LEAF_STALE_JITTER_S = 0.2
# A daemon that has just started hears of the others first, or each of them would read the store.
# When the whole fleet starts for the first time, no caller waits yet.
FIRST_ELECTION_DELAY_S = 0.3
# Applies as long as it has heard nobody, since the others may be slower to start.
LONELY_ELECTION_DELAY_S = 1.0
# After a restart, callers may wait; the time is drawn, so that daemons restarted together differ.
RESTART_ELECTION_DELAY_S = (0.02, 0.15)
# A daemon that has just started is given this time to receive a copy from a peer.
FIRST_COPY_S = 0.5


@attrs.frozen
class Candidate:
    """A live daemon that could read the store.

    Attributes
    ----------
    contact : Contact
        The daemon.
    reaches_store : bool
        Whether the daemon's last call to the store succeeded.
    """

    contact: Contact
    reaches_store: bool


class ReaderSelection:
    """Decides whether this daemon should read the store.

    Parameters
    ----------
    rng : random.Random
        Seeded random source for the jitter.
    started_at : float
        Time of this daemon's start in seconds; counts as its first confirmation.
    first_start : bool
        Whether the whole fleet starts for the first time.
    """

    def __init__(self, rng: Random, started_at: float, first_start: bool) -> None:
        self._started_at = started_at
        if first_start:
            self._election_delay_s = FIRST_ELECTION_DELAY_S
            self._lonely_delay_s = LONELY_ELECTION_DELAY_S
        else:
            self._election_delay_s = rng.uniform(*RESTART_ELECTION_DELAY_S)
            self._lonely_delay_s = self._election_delay_s
        self._jitter = rng.random()

    def is_selected(self, now: float, own: Candidate, relays: Iterable[Candidate]) -> bool:
        """Return whether this daemon, a relay, is among the selected readers.

        Parameters
        ----------
        now : float
            Current time in seconds.
        own : Candidate
            This daemon.
        relays : iterable of Candidate
            The other live relays.
        """
        others = list(relays)
        running_s = now - self._started_at
        if running_s < (self._election_delay_s if others else self._lonely_delay_s):
            return False
        return own.contact.name in select_readers([own, *others])

    def is_stale(self, now: float, confirmed_at: float, is_relay: bool) -> bool:
        """Return whether this daemon has to read the store because nobody has confirmed its data.

        Parameters
        ----------
        now : float
            Current time in seconds.
        confirmed_at : float
            Time in seconds at which any reader last confirmed this daemon's data.
        is_relay : bool
            Whether this daemon is a relay.
        """
        if is_relay:
            limit_s = STALE_AFTER_S + self._jitter * STALE_JITTER_S
        else:
            limit_s = LEAF_STALE_AFTER_S + self._jitter * LEAF_STALE_JITTER_S
        return now - max(confirmed_at, self._started_at + FIRST_COPY_S) > limit_s


def select_readers(candidates: Iterable[Candidate]) -> list[str]:
    """Return the names of up to `READER_COUNT` daemons that reach the store, in order of rank.

    Daemons in different failure domains are preferred. If none reaches the store, two of them keep
    trying.
    """
    known = list(candidates)
    reaching = [candidate for candidate in known if candidate.reaches_store]
    ranked = sorted(reaching or known, key=lambda candidate: candidate.contact.rank)
    first_in_domain: list[Candidate] = []
    others: list[Candidate] = []
    domains: set[str] = set()
    for candidate in ranked:
        if candidate.contact.failure_domain in domains:
            others.append(candidate)
        else:
            domains.add(candidate.contact.failure_domain)
            first_in_domain.append(candidate)
    return [candidate.contact.name for candidate in (first_in_domain + others)[:READER_COUNT]]
