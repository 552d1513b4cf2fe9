"""Limits of client accounts at their owner, the relay that grants permits for all gateways.

The owner keeps a token bucket for each account. It starts almost empty whenever the gateway becomes
the owner, as an earlier owner may have granted a whole burst a moment ago.
"""

from __future__ import annotations

from collections import deque

import attrs

from sycamorebay.coordination.fleet_view import RecentMaximum
from sycamorebay.state.accounts import ClientAccount

# Share of the slack that a new owner may grant at once.
_NEW_OWNER_SHARE = 0.25
# Requests arrive unevenly: with much fewer tokens than this share of the slack, an account without
# a burst that sends four fifths of its rate would have more than 1 in 100 requests refused.
_MIN_DEPTH_SHARE = 0.5
# Time until the relays agree that the owner is gone; see `TIMEOUT_HEARTBEATS` in `peers`.
OWNER_LOSS_S = 1.6
# An account is below its limit again when nothing was refused for this time.
BELOW_AFTER_S = 1.0
# Advance permits are granted only while the bucket is fuller than this: those that lapse unused
# would otherwise be missing elsewhere.
_ADVANCE_ABOVE = 0.5
# A part of the fleet that is cut off counts as present for this time at least. It also is the time
# for which limits stay reduced after gateways were removed.
SIZE_HOLD_S = 60.0
# Longer than it takes until relays that find each other again agree on the owners.
SIZE_RISE_S = 2.1
# Refused callers are told to come again after this time at most.
MAX_RETRY_AFTER_S = 5.0


@attrs.frozen
class AccountLimitBound:
    """Bound on the requests of an account that all gateways together may run.

    In any window they may run ``(rate x window_s + burst) x (1 + excess) + slack``.

    Attributes
    ----------
    window_s : float
        Length of the window in seconds.
    excess : float
        Share by which the account's own limit may be exceeded.
    slack : float
        Additional requests.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def bound(self, account: ClientAccount) -> float:
        """Return the number of an account's requests that may run in any window."""
        rate = account.rate_per_s or 0.0
        return (rate * self.window_s + account.burst) * (1.0 + self.excess) + self.slack

    def depth(self, account: ClientAccount) -> float:
        """Return how many tokens the bucket of an account holds."""
        return max(account.burst, _MIN_DEPTH_SHARE * self.slack)

    @property
    def new_owner_tokens(self) -> float:
        """Tokens that a new owner starts with."""
        return _NEW_OWNER_SHARE * self.slack

    @property
    def fallback_factor(self) -> float:
        """Part of its equal share that a gateway uses while it reaches no owner.

        An owner that this gateway cannot reach may still serve others, until it notices that it
        sees a part of the fleet only. What both run in that time has to fit into the excess.
        """
        return min(1.0, self.excess * self.window_s / OWNER_LOSS_S)


@attrs.frozen
class PermitAnswer:
    """What an owner answers to a request for permits.

    Attributes
    ----------
    granted : int
        Permits that the asking gateway may use.
    retry_after_s : float
        Time after which the first caller without a permit may come again, in seconds.
    known : bool
        False if the answering gateway does not decide on the account.
    """

    granted: int = 0
    retry_after_s: float = 0.0
    known: bool = True


UNKNOWN_ANSWER = PermitAnswer(known=False)


@attrs.frozen
class LimitChange:
    """An account has reached its limit, or is below it again.

    Attributes
    ----------
    account : ClientAccount
        The account.
    reached : bool
        Whether its limit is reached.
    granted, refused : int
        Permits granted and refused since the last change.
    share : float
        Share of the limit that this owner grants.
    owned_s : float
        Time for which this gateway has owned the account, in seconds.
    """

    account: ClientAccount
    reached: bool
    granted: int
    refused: int
    share: float
    owned_s: float


@attrs.define
class _Bucket:
    """Tokens of one account at its owner."""

    account: ClientAccount
    owned_since: float
    tokens: float
    updated_at: float
    rate_per_s: float
    promised_until: float = float("-inf")
    reached: bool = False
    refused_at: float = float("-inf")
    granted: int = 0
    refused: int = 0
    share: float = 1.0

    def update(self, now: float, depth: float) -> None:
        """Add the tokens of the time since the last update, at the rate of that time."""
        gained = self.rate_per_s * max(0.0, now - self.updated_at)
        self.tokens = min(depth, self.tokens + gained)
        self.updated_at = max(now, self.updated_at)

    def take(self, wanted: int, advance: int, depth: float) -> int:
        """Take tokens for waiting requests, and for later ones only from a well-filled bucket."""
        granted = min(wanted, int(self.tokens))
        if granted == wanted and advance:
            spare = int(self.tokens - granted - _ADVANCE_ABOVE * depth)
            granted += max(0, min(advance, spare))
        self.tokens -= granted
        return granted

    def promise(self, now: float, refused: int) -> float:
        """Return when the first of the refused callers may come again, one token for each."""
        latest = now + MAX_RETRY_AFTER_S
        next_token_at = now + max(0.0, 1.0 - self.tokens) / self.rate_per_s
        first = min(latest, max(next_token_at, self.promised_until))
        self.promised_until = min(latest, first + refused / self.rate_per_s)
        return first

    def change(self, now: float) -> LimitChange:
        """Return the change that has just taken place, and start counting anew."""
        owned_s = now - self.owned_since
        change = LimitChange(
            self.account, self.reached, self.granted, self.refused, self.share, owned_s
        )
        self.granted = self.refused = 0
        return change


class FleetShare:
    """The share of the fleet that this gateway sees, which it may grant as an owner.

    All times are seconds on one clock that the caller chooses.

    Attributes
    ----------
    share : float
        Share of the fleet's gateways that this one sees, from 0 to 1.
    largest : int
        Largest recent size of the fleet.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self.largest = 1
        self._largest = RecentMaximum(SIZE_HOLD_S)
        self._sizes: deque[tuple[float, int]] = deque()

    def update(self, now: float, size: int) -> None:
        """Record the number of gateways that are seen now.

        A larger number counts after `SIZE_RISE_S`. When two parts of a fleet find each other
        again, each has an owner for that long, and both may not grant the whole limit.
        """
        self._sizes.append((now, size))
        while now - self._sizes[0][0] > SIZE_RISE_S and len(self._sizes) > 1:
            self._sizes.popleft()
        steady = min(size for _, size in self._sizes)
        self.largest = self._largest.update(now, steady)
        self.share = min(1.0, steady / max(1, self.largest))


class PermitOwner:
    """The buckets of the accounts that this gateway owns.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    quota : AccountLimitBound
        Bound on the requests of an account.
    """

    def __init__(self, quota: AccountLimitBound) -> None:
        self._quota = quota
        self._buckets_by_name: dict[str, _Bucket] = {}
        self._changes: list[LimitChange] = []

    def __len__(self) -> int:
        """Return the number of accounts that were asked for since they are owned."""
        return len(self._buckets_by_name)

    def answer(
        self,
        now: float,
        account: ClientAccount,
        wanted: int,
        advance: int = 0,
        *,
        owned_since: float,
        share: float,
    ) -> PermitAnswer:
        """Return the permits for a gateway.

        Parameters
        ----------
        now : float
            Current time in seconds.
        account : ClientAccount
            The account, with its present limit.
        wanted : int
            Requests that wait.
        advance : int
            Further permits that the gateway is likely to need soon.
        owned_since : float
            Since when this gateway has owned the account, in seconds.
        share : float
            Share of the fleet's gateways that this one sees, from 0 to 1.
        """
        depth = self._quota.depth(account) * share
        if depth < 1.0 or now < owned_since or not account.rate_per_s:
            return UNKNOWN_ANSWER
        bucket = self._bucket(now, account, owned_since, share)
        bucket.update(now, depth)
        bucket.account = account
        bucket.rate_per_s = account.rate_per_s * share
        bucket.share = share
        granted = bucket.take(wanted, advance, depth)
        bucket.granted += granted
        refused = max(0, wanted - granted)
        if not refused:
            self._end_reached(now, bucket)
            return PermitAnswer(granted)
        bucket.refused += refused
        bucket.refused_at = now
        if not bucket.reached:
            bucket.reached = True
            self._changes.append(bucket.change(now))
        return PermitAnswer(granted, bucket.promise(now, refused) - now)

    def on_tick(self, now: float) -> None:
        """Notice the accounts that are below their limits again."""
        for bucket in self._buckets_by_name.values():
            self._end_reached(now, bucket)

    def forget(self, name: str) -> None:
        """Drop the bucket of an account that this gateway does not own any more."""
        self._buckets_by_name.pop(name, None)

    def names(self) -> list[str]:
        """Return the names of the accounts that have a bucket."""
        return list(self._buckets_by_name)

    def take_changes(self) -> list[LimitChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _bucket(
        self, now: float, account: ClientAccount, owned_since: float, share: float
    ) -> _Bucket:
        bucket = self._buckets_by_name.get(account.name)
        if bucket is None or bucket.owned_since != owned_since:
            rate = (account.rate_per_s or 0.0) * share
            tokens = self._quota.new_owner_tokens * share
            bucket = _Bucket(account, owned_since, tokens, owned_since, rate)
            self._buckets_by_name[account.name] = bucket
        return bucket

    def _end_reached(self, now: float, bucket: _Bucket) -> None:
        if bucket.reached and now - bucket.refused_at > BELOW_AFTER_S:
            bucket.reached = False
            self._changes.append(bucket.change(now))
