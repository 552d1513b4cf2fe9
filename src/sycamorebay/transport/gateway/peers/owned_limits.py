"""The owner's side of account limits: which accounts this daemon owns, and what it grants."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs

from sycamorebay import log
from sycamorebay.coordination.account_limit import (
    UNKNOWN_ANSWER,
    AccountLimitBound,
    FleetShare,
    LimitChange,
    PermitAnswer,
    PermitOwner,
)
from sycamorebay.coordination.account_owner import (
    CANDIDATE_AFTER_S,
    AccountOwners,
    OwnerCandidates,
)
from sycamorebay.coordination.fleet_view import Address
from sycamorebay.protocol.permit_rows import account_hash
from sycamorebay.state.accounts import ClientAccount
from sycamorebay.transport.gateway.counters import Counters

# A repeated request gets the same answer within this time.
ANSWER_HOLD_S = 0.5

_log = log.get_logger("quota")


class FleetFacts(Protocol):
    """What account limits need to know of the fleet."""

    @property
    def is_relay(self) -> bool:
        """Whether this daemon is a relay."""
        ...

    @property
    def knows_fleet(self) -> bool:
        """Whether any daemon has been met since the start, or none is to be expected."""
        ...

    def relay_starts(self) -> Mapping[str, int]:
        """Return the starts of the relays that are alive by name, this daemon included.

        A start is wall time in milliseconds. This daemon is included only if it is a relay.
        """
        ...

    def fleet_size(self) -> int:
        """Return the number of daemons in the fleet, rather too many than too few."""
        ...

    def present_size(self) -> int:
        """Return the number of daemons that are alive, as known here now."""
        ...


@attrs.frozen
class _LimitedAccount:
    account: ClientAccount
    hash: int


class OwnedLimits:
    """Answers requests for permits of the accounts that this daemon owns.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    now : float
        Current time in seconds.
    own_name : str
        Name of this daemon.
    started_ms : int
        Wall time of the start of this daemon, in milliseconds.
    quota : AccountLimitBound
        Bound on the requests of an account.
    fleet : FleetFacts
        Knows the relays that are alive and the size of the fleet.
    counters : Counters
        Metrics of this daemon.
    """

    def __init__(
        self,
        now: float,
        own_name: str,
        started_ms: int,
        quota: AccountLimitBound,
        fleet: FleetFacts,
        counters: Counters,
    ) -> None:
        self._quota = quota
        self._fleet = fleet
        self._counters = counters
        self._settled_at = now + CANDIDATE_AFTER_S
        self._candidates = OwnerCandidates(now, own_name, started_ms)
        self._owners = AccountOwners(own_name)
        self._permits = PermitOwner(quota)
        self._accounts_by_hash: dict[int, ClientAccount] = {}
        self._fleet_share = FleetShare()
        self._answers: dict[tuple[Address, int], tuple[float, PermitAnswer]] = {}

    def on_accounts(self, now: float, accounts: Mapping[str, ClientAccount]) -> None:
        """Apply the accounts of the routing table in force."""
        limited = {n: account for n, account in accounts.items() if account.rate_per_s is not None}
        self._accounts_by_hash = {account_hash(n): account for n, account in limited.items()}
        self._owners.on_accounts(now, limited)
        self._forget_lost()

    def on_relays(self, now: float) -> None:
        """Apply a change of the relays that are alive."""
        candidates = self._candidates.update(now, self._fleet.relay_starts())
        self._owners.on_relays(now, candidates)
        self._forget_lost()

    def on_tick(self, now: float) -> None:
        """Apply a change of the fleet, and log accounts that are below their limits."""
        if now >= self._settled_at:
            self._fleet_share.update(now, self._fleet.present_size())
        self.on_relays(now)
        self._permits.on_tick(now)
        self._log_changes()

    def on_pause(self, now: float) -> None:
        """Record that this daemon was suspended, so that others may have become owners."""
        self._owners.on_pause(now)
        self._answers.clear()

    def account(self, hash_: int) -> ClientAccount | None:
        """Return the account with a limit whose name has this hash, or None."""
        return self._accounts_by_hash.get(hash_)

    def owner(self, now: float, name: str) -> str | None:
        """Return the name of an account's owner, or None if others have to be asked for it."""
        return self._owners.owner(name) if self._candidates.is_settled(now) else None

    def owns(self, name: str) -> bool:
        """Return whether this daemon owns an account, as far as it knows."""
        return self._owners.owned_since(name) is not None

    def own_share_per_s(self, now: float, account: ClientAccount) -> float:
        """Return the rate that this daemon may use while it reaches no owner."""
        if now < self._settled_at or not self._fleet.knows_fleet:
            return 0.0
        size = max(self._fleet_share.largest, self._fleet.fleet_size())
        return (account.rate_per_s or 0.0) * self._quota.fallback_factor / size

    def answer(self, now: float, account: ClientAccount, wanted: int, advance: int) -> PermitAnswer:
        """Return the permits for one daemon, this one or another."""
        since = self._owners.owned_since(account.name)
        if since is None or not self._fleet.knows_fleet:
            return UNKNOWN_ANSWER
        answer = self._permits.answer(
            now,
            account,
            wanted,
            advance,
            owned_since=since,
            share=self._fleet_share.share,
        )
        self._counters.permits_granted += answer.granted
        self._counters.permits_refused += max(0, wanted - answer.granted) if answer.known else 0
        self._log_changes()
        return answer

    def answer_peer(
        self,
        now: float,
        account: ClientAccount,
        wanted: int,
        advance: int,
        request: tuple[Address, int],
    ) -> PermitAnswer:
        """Return the permits for another daemon; a repeated request gets the same answer.

        Parameters
        ----------
        now : float
            Current time in seconds.
        account : ClientAccount
            The account.
        wanted, advance : int
            As for `PermitOwner.answer`.
        request : tuple
            Address of the daemon and number of its request.
        """
        answers = self._answers
        while answers and now - next(iter(answers.values()))[0] > ANSWER_HOLD_S:
            del answers[next(iter(answers))]
        if (earlier := answers.get(request)) is not None:
            return earlier[1]
        answer = self.answer(now, account, wanted, advance)
        answers[request] = (now, answer)
        return answer

    def _forget_lost(self) -> None:
        for name in self._permits.names():
            if not self.owns(name):
                self._permits.forget(name)

    def _log_changes(self) -> None:
        for change in self._permits.take_changes():
            _log_change(change)


def _log_change(change: LimitChange) -> None:
    account = change.account
    _log.info(
        "account reached its limit" if change.reached else "account is below its limit again",
        account=account.name,
        limit_per_s=account.rate_per_s,
        burst=account.burst,
        share=round(change.share, 3),
        granted=change.granted,
        refused=change.refused,
        owned_s=round(change.owned_s, 3),
    )
