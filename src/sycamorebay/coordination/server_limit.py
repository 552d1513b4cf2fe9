"""Limits that overloaded backend servers set on the requests of all daemons together.

Each daemon uses a fixed share of a server's limit, so the limit also holds between daemons that
cannot reach each other. Daemons that share a limit get their permits at independent times, and a
permit that is not used within a second is lost: otherwise idle daemons would save permits, and
spend them together when the load rises.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from math import inf
from random import Random

from sycamorebay.coordination.removed_starts import RemovedStarts

# An answer that was made before the limit was set may arrive after those that name it.
REORDERING_S = 0.5
# Share of a limit that is used; the rest allows for permits of several daemons that fall together.
USED_SHARE = 0.7
PERMIT_LIFETIME_S = 1.0
MAX_PERMITS = 64
# A server that accepts nothing is still asked now and then, as only its answers end the limit.
MIN_LIMIT_PER_S = 0.1


class ServerLimit:
    """The limit that one backend server currently sets, and this daemon's permits under it.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    permit_lifetime_s : float
        Time in seconds after which a permit that is not used is lost.

    Attributes
    ----------
    per_s : float or None
        Requests per second that the server accepts from all daemons together; None without limit.
    known_at : float
        Time of the latest answer that decided `per_s`.
    """

    def __init__(self, rng: Random, permit_lifetime_s: float = PERMIT_LIFETIME_S) -> None:
        self._rng = rng
        self._permit_lifetime_s = permit_lifetime_s
        self.per_s: float | None = None
        self.known_at = -inf
        # Progress towards the next permit, from 0 to 1.
        self._progress = 0.0
        self._updated_at = -inf
        self._granted_at: deque[float] = deque(maxlen=MAX_PERMITS)

    def on_named(self, at: float, per_s: float) -> bool:
        """Record a limit that the server named at a time, and return whether it changed.

        An answer that is older than the latest known one is ignored.
        """
        if at < self.known_at:
            return False
        self.known_at = at
        if self.per_s is None:
            self._progress = self._rng.random()
            self._updated_at = at
            self._granted_at.clear()
        changed = self.per_s != per_s
        self.per_s = per_s
        return changed

    def on_absent(self, at: float) -> bool:
        """Record an answer without a limit, and return whether it ended a limit."""
        return at >= self.known_at + REORDERING_S and self.on_ended(at)

    def on_ended(self, at: float) -> bool:
        """Record that the limit had ended at a time, and return whether that was new."""
        if self.per_s is None or at < self.known_at:
            return False
        self.per_s = None
        self.known_at = at
        return True

    def admits(self, now: float, sharers: float) -> bool:
        """Return whether this daemon may send a request now.

        Parameters
        ----------
        now : float
            Current time in seconds.
        sharers : float
            Number of daemons that share the limit.
        """
        if self.per_s is None:
            return True
        self._update(now, sharers)
        return bool(self._granted_at)

    def take(self) -> None:
        """Use up a permit, if one is needed; call it after `admits` has returned True."""
        if self.per_s is not None and self._granted_at:
            self._granted_at.popleft()

    def next_permit_at(self, now: float, sharers: float) -> float:
        """Return when this daemon may send its next request, in seconds; `now` if it may already.

        The parameters are those of `admits`.
        """
        if self.admits(now, sharers):
            return now
        return now + (1.0 - self._progress) / self._rate(sharers)

    def _rate(self, sharers: float) -> float:
        assert self.per_s is not None
        return USED_SHARE * max(MIN_LIMIT_PER_S, self.per_s) / max(1.0, sharers)

    def _update(self, now: float, sharers: float) -> None:
        """Grant the permits of the time since the last update, and drop those that are too old."""
        rate = self._rate(sharers)
        progress = self._progress + rate * max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        granted = int(progress)
        self._progress = progress - granted
        latest_at = now - self._progress / rate
        for age in reversed(range(min(granted, MAX_PERMITS))):
            self._granted_at.append(latest_at - age / rate)
        while self._granted_at and now - self._granted_at[0] > self._permit_lifetime_s:
            self._granted_at.popleft()


class RemovedLimits:
    """Limits in force of servers that were removed from the list, the latest `MAX_REMOVED`.

    A server that cannot reach the store is removed, and may return while its limit is in force.
    """

    def __init__(self) -> None:
        self._removed: RemovedStarts[ServerLimit] = RemovedStarts()

    def __len__(self) -> int:
        """Return the number of limits that are kept."""
        return len(self._removed)

    def put(self, start: Hashable, limit: ServerLimit) -> None:
        """Keep the limit of a removed start of a server, if it has one."""
        if limit.per_s is not None:
            self._removed.put(start, limit)

    def pop(self, start: Hashable) -> ServerLimit | None:
        """Return the limit of a start of a server that is back, or None if it had none."""
        return self._removed.pop(start)
