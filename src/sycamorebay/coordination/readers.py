"""Which daemons read the store, so that the others learn from them.

Nothing is claimed or voted on: each daemon ranks the live ones alike, and reads for itself when it
has heard no reader for a while. Two views that differ cost a few reads more and nothing else.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from random import Random

import attrs

# Two, in different failure domains; where both fail at once, daemons read for themselves.
READERS = 2
# A reader confirms each second; a daemon that misses that has half a second to read itself
# and stays within a bound of two seconds.
STALE_S = 1.3
STALE_SPREAD_S = 0.3


@attrs.frozen
class Candidate:
    """A live daemon that could read.

    Attributes
    ----------
    name : str
        The daemon.
    failure_domain : str
        Where it runs.
    reaches_store : bool
        Whether its last call to the store succeeded.
    """

    name: str
    failure_domain: str
    reaches_store: bool


class ReaderSelection:
    """Tells whether this daemon should read the store now."""

    def __init__(self, rng: Random) -> None:
        self._stale_s = STALE_S + rng.random() * STALE_SPREAD_S

    def should_read(
        self, now: float, own: Candidate, peers: Iterable[Candidate], confirmed_at: float
    ) -> bool:
        """Whether to read.

        Parameters
        ----------
        now : float
            In seconds.
        own : Candidate
            This daemon.
        peers : iterable of Candidate
            The other live daemons.
        confirmed_at : float
            When what this daemon knows was last confirmed by any reader, in seconds.
        """
        if now - confirmed_at > self._stale_s:
            return True
        return own.name in select_readers([own, *peers])


def select_readers(candidates: Iterable[Candidate]) -> list[str]:
    """Return the readers' names: first one for each failure domain, then the rest by rank."""
    ranked = sorted((c for c in candidates if c.reaches_store), key=_rank)
    first: list[Candidate] = []
    rest: list[Candidate] = []
    domains: set[str] = set()
    for candidate in ranked:
        if candidate.failure_domain in domains:
            rest.append(candidate)
        else:
            domains.add(candidate.failure_domain)
            first.append(candidate)
    return [candidate.name for candidate in (first + rest)[:READERS]]


def _rank(candidate: Candidate) -> bytes:
    return hashlib.blake2b(candidate.name.encode(), digest_size=8).digest()
