"""How much of the servers' recent work of one service each client account got from this daemon.

The order of a queue is fair within a priority only, as a more urgent request never waits behind a
less urgent one. An account with many urgent requests could therefore take the turns of all others.
"""

from __future__ import annotations

import math

import attrs

# Work counts less and less from when it began. At one of many daemons an account has few requests,
# so the time is long; a sudden rise is still noticed after a few requests.
MEMORY_S = 10.0
# An account may get this multiple of its fair share while others wait, as shares vary by chance.
MAX_SHARE_FACTOR = 1.5
# An account with fewer recent requests is within its share.
MIN_REQUESTS = 6.0
# Requests of others that waited this lately show that the servers are in demand. An account that is
# refused only while they wait takes each server that becomes free between two of them.
DEMAND_MEMORY_S = 1.0
_PRUNED_REQUESTS = 0.05


@attrs.define
class _Use:
    weight: float
    work_s: float = 0.0
    requests: float = 0.0


class AccountUse:
    """Recent work of the accounts of one service; all times are seconds on the caller's clock."""

    def __init__(self) -> None:
        self._by_account: dict[str, _Use] = {}
        self._updated_at = 0.0
        # The account that waited last, and the last time that another one did.
        self._last_waiting = ""
        self._last_waited_at = self._others_waited_at = -math.inf

    def on_wait(self, now: float, account: str) -> None:
        """Record that a request of an account began to wait."""
        if account != self._last_waiting:
            self._others_waited_at = self._last_waited_at
            self._last_waiting = account
        self._last_waited_at = now

    def _is_in_demand(self, now: float, account: str) -> bool:
        """Return whether requests of other accounts waited lately."""
        is_last = account == self._last_waiting
        waited_at = self._others_waited_at if is_last else self._last_waited_at
        return now - waited_at <= DEMAND_MEMORY_S

    def on_start(self, now: float, account: str, weight: float, work_s: float) -> None:
        """Record a request that was placed.

        Parameters
        ----------
        now : float
            Current time in seconds.
        account : str
            Name of its account.
        weight : float
            Weight of the account.
        work_s : float
            Expected processing time in seconds.
        """
        self._age(now)
        use = self._by_account.setdefault(account, _Use(weight))
        use.weight = weight
        use.work_s += work_s
        use.requests += 1.0

    def exceeds_share(self, now: float, account: str) -> bool:
        """Return whether an account got too much of the work while others want it.

        That is more than `MAX_SHARE_FACTOR` times its fair share among the accounts that got any
        work lately.
        """
        if not account or not self._is_in_demand(now, account):
            return False
        self._age(now)
        use = self._by_account.get(account)
        if use is None or use.requests < MIN_REQUESTS:
            return False
        uses = self._by_account.values()
        fair_s = use.weight / sum(one.weight for one in uses) * sum(one.work_s for one in uses)
        return use.work_s > MAX_SHARE_FACTOR * fair_s

    def _age(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_at) / MEMORY_S)
        self._updated_at = max(now, self._updated_at)
        for account, use in list(self._by_account.items()):
            use.work_s *= factor
            use.requests *= factor
            if use.requests < _PRUNED_REQUESTS:
                del self._by_account[account]
