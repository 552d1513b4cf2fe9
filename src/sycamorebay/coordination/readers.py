"""Selection of the few daemons that read the store on behalf of the fleet.

There is no election or lock: every daemon ranks the live daemons in the same order, and reads the
store itself if no reader has confirmed for a while that its data is current. If the views of two
daemons differ, the only cost is a few additional reads.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from random import Random

import attrs

# Two readers in different failure domains; if both fail at once, the daemons read themselves.
READER_COUNT = 2
# A reader confirms once per second. A daemon that misses a confirmation has about half a second to
# read the store itself, so that its data is at most two seconds old.
STALE_AFTER_S = 1.3
STALE_JITTER_S = 0.3


@attrs.frozen
class Candidate:
    """A live daemon that could read the store.

    Attributes
    ----------
    name : str
        Name of the daemon.
    failure_domain : str
        Failure domain of the daemon.
    reaches_store : bool
        Whether the daemon's last call to the store succeeded.
    """

    name: str
    failure_domain: str
    reaches_store: bool


class ReaderSelection:
    """Decides whether this daemon should read the store.

    Parameters
    ----------
    rng : random.Random
        Seeded random source for the jitter.
    """

    def __init__(self, rng: Random) -> None:
        self._stale_s = STALE_AFTER_S + rng.random() * STALE_JITTER_S

    def should_read(
        self, now: float, own: Candidate, peers: Iterable[Candidate], confirmed_at: float
    ) -> bool:
        """Return whether to read the store now.

        Parameters
        ----------
        now : float
            Current time in seconds.
        own : Candidate
            This daemon.
        peers : iterable of Candidate
            The other live daemons.
        confirmed_at : float
            Time in seconds at which any reader last confirmed this daemon's data.
        """
        if now - confirmed_at > self._stale_s:
            return True
        return own.name in select_readers([own, *peers])


def select_readers(candidates: Iterable[Candidate]) -> list[str]:
    """Return the names of up to `READER_COUNT` daemons that reach the store, in order of rank.

    Daemons in different failure domains are preferred.
    """
    ranked = sorted((c for c in candidates if c.reaches_store), key=_rank)
    first_in_domain: list[Candidate] = []
    others: list[Candidate] = []
    domains: set[str] = set()
    for candidate in ranked:
        if candidate.failure_domain in domains:
            others.append(candidate)
        else:
            domains.add(candidate.failure_domain)
            first_in_domain.append(candidate)
    return [candidate.name for candidate in (first_in_domain + others)[:READER_COUNT]]


def _rank(candidate: Candidate) -> bytes:
    return hashlib.blake2b(candidate.name.encode(), digest_size=8).digest()
