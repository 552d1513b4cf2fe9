"""Which relay owns a client account's limit: rendezvous hashing of its name among the relays."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

# A relay that has just started, or become a relay, may own accounts after this time only: relays
# that hear it at different times would otherwise choose different owners.
CANDIDATE_AFTER_S = 1.6
# A relay that is heard again within this time is an owner at once: it has granted permits
# meanwhile, and another owner beside it would grant them twice.
LOST_HOLD_S = 60.0

# Name of a relay, and wall time of its start in milliseconds.
_Start = tuple[str, int]


class OwnerCandidates:
    """The relays that may own accounts, out of those that are alive.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    now : float
        Time of the start of this daemon, in seconds.
    own_name : str
        Name of this daemon.
    started_ms : int
        Wall time of the start of this daemon, in milliseconds.
    """

    def __init__(self, now: float, own_name: str, started_ms: int) -> None:
        self._own_name = own_name
        self._started_ms = started_ms
        self._is_relay = True
        self._settled_at = now + CANDIDATE_AFTER_S
        self._candidate_from_by_start: dict[_Start, float] = {}
        self._heard_at_by_start: dict[_Start, float] = {}

    def is_settled(self, now: float) -> bool:
        """Return whether this daemon has been a relay for long enough to know the owners."""
        return self._is_relay and now >= self._settled_at

    def update(self, now: float, alive: Mapping[str, int]) -> set[str]:
        """Return the relays that may own accounts.

        Parameters
        ----------
        now : float
            Current time in seconds.
        alive : mapping of str to int
            The relays that are alive, this daemon included if it is one: name, and wall time of
            the start in milliseconds. After a step of a clock an owner is found later.
        """
        self._update_role(now, alive)
        self._forget(now)
        for start in alive.items():
            self._heard_at_by_start[start] = now
            if start not in self._candidate_from_by_start:
                self._candidate_from_by_start[start] = self._candidate_from(now, start)
        return {
            name
            for name, started_ms in alive.items()
            if self._candidate_from_by_start[name, started_ms] <= now
        }

    def _candidate_from(self, now: float, start: _Start) -> float:
        name, started_ms = start
        is_older = started_ms + 1000 * CANDIDATE_AFTER_S <= self._started_ms
        # A new relay meets all others at once, those included that own accounts.
        if is_older and name != self._own_name and now < self._settled_at:
            return now
        return now + CANDIDATE_AFTER_S

    def _update_role(self, now: float, alive: Mapping[str, int]) -> None:
        is_relay = self._own_name in alive
        if is_relay and not self._is_relay:
            self._settled_at = now + CANDIDATE_AFTER_S
            self._candidate_from_by_start[self._own_name, alive[self._own_name]] = self._settled_at
            # What it was as a leaf tells nothing about the age of other relays.
            self._started_ms = max(alive.values()) + int(1000 * CANDIDATE_AFTER_S)
        self._is_relay = is_relay

    def _forget(self, now: float) -> None:
        for start, heard_at in list(self._heard_at_by_start.items()):
            if now - heard_at > LOST_HOLD_S:
                del self._heard_at_by_start[start]
                del self._candidate_from_by_start[start]


class AccountOwners:
    """The owner of each account, as one relay sees the relays that are alive.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    own_name : str
        Name of this daemon.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._relays: frozenset[str] = frozenset()
        self._owners_by_account: dict[str, str] = {}
        self._owned_since_by_account: dict[str, float] = {}

    def on_relays(self, now: float, relays: Iterable[str]) -> None:
        """Record the names of the relays that are alive, this daemon included if it is one."""
        alive = frozenset(relays)
        if alive == self._relays:
            return
        added = alive - self._relays
        self._relays = alive
        for account, owner in list(self._owners_by_account.items()):
            # Only a new relay can take an account over from an owner that is alive.
            candidates = added | {owner} if owner in alive else alive
            self._set(now, account, candidates)

    def on_accounts(self, now: float, accounts: Iterable[str]) -> None:
        """Record the names of all accounts with a limit."""
        names = set(accounts)
        for account in self._owners_by_account.keys() - names:
            del self._owners_by_account[account]
            self._owned_since_by_account.pop(account, None)
        for account in names - self._owners_by_account.keys():
            self._set(now, account, self._relays)

    def on_pause(self, now: float) -> None:
        """Record that this daemon may have missed changes, so that it owns accounts anew."""
        for account in self._owned_since_by_account:
            self._owned_since_by_account[account] = now

    def owner(self, account: str) -> str | None:
        """Return the name of an account's owner, or None if none is known."""
        return self._owners_by_account.get(account) or None

    def owned_since(self, account: str) -> float | None:
        """Return since when this daemon has owned an account, in seconds; None if it does not."""
        return self._owned_since_by_account.get(account)

    def _set(self, now: float, account: str, candidates: Iterable[str]) -> None:
        owner = max(candidates, key=lambda relay: _score(relay, account), default="")
        self._owners_by_account[account] = owner
        if owner != self._own_name:
            self._owned_since_by_account.pop(account, None)
        else:
            self._owned_since_by_account.setdefault(account, now)


def _score(relay: str, account: str) -> bytes:
    return hashlib.blake2b(f"{relay}/{account}".encode(), digest_size=8).digest()
