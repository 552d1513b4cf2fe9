"""Limit of the requests to a backend server that is cold, such as one that has just started.

A cold server crashes well above the rate that its service's configuration names. As with a server's
own limit, each daemon uses a fixed share of that rate, so the sum also holds between daemons that
cannot reach each other. See docs/design/cold-servers.md.
"""

from __future__ import annotations

import enum
from math import inf
from random import Random

import attrs

from sycamorebay.coordination.server_limit import ServerLimit
from sycamorebay.state.server_entries import ServerEntry

# The bound of a cold server's requests is over one second. Permits that idle daemons have saved may
# be used together with those of the next second, so they lapse sooner than those of a limit that
# holds over four seconds.
PERMIT_LIFETIME_S = 0.5
# A warm server that becomes cold still has requests of the time before; nothing is added to them.
HOLD_S = 1.0
# A server that would be cold for longer serves next to nothing, so a longer time is not credible.
MAX_COLD_S = 3600.0
# Statements of the same cold time differ by their transit.
MIN_CHANGE_S = 0.25


class ColdSource(enum.Enum):
    """Who told how long a server is cold.

    Attributes
    ----------
    ENTRY
        The server's entry in the store.
    ANSWER
        An answer of the server to this daemon.
    PEER
        An answer of the server to another daemon.
    RETURNED
        Nobody, since its failure domain was returned to use.
    """

    ENTRY = "entry"
    ANSWER = "answer"
    PEER = "peer"
    RETURNED = "returned"


@attrs.define(eq=False)
class ServiceWarmUp:
    """How the cold servers of one service are to be treated.

    Attributes
    ----------
    per_s : float or None
        Requests per second that a cold server takes from all daemons together; None without limit.
    duration_s : float
        Usual cold time after a start, in seconds; 0 if unknown.
    """

    per_s: float | None = None
    duration_s: float = 0.0


class ColdState:
    """How long one start of a backend server is cold, and this daemon's permits for it.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    warm_up : ServiceWarmUp
        Configuration of the server's service.

    Attributes
    ----------
    until : float
        Time until which the server is cold.
    known_at : float
        Time of the statement that decided `until`.
    source : ColdSource
        Who made that statement.
    held : int
        Requests that the server did not get since it became cold, as its limit was used up.
    was_cold : bool
        Whether the server was cold at the last call of `poll`.
    """

    def __init__(self, rng: Random, warm_up: ServiceWarmUp) -> None:
        self._warm_up = warm_up
        self._limit = ServerLimit(rng, PERMIT_LIFETIME_S)
        self._entry: tuple[int, float] | None = None
        self.until = -inf
        self.known_at = -inf
        self.source = ColdSource.ENTRY
        self.held = 0
        self.was_cold = False

    @property
    def per_s(self) -> float | None:
        """Requests per second that the server takes while it is cold; None without limit."""
        return self._warm_up.per_s

    @property
    def is_heard(self) -> bool:
        """Whether the server stated its cold time in an answer, to this daemon or to a peer."""
        return self.source in (ColdSource.ANSWER, ColdSource.PEER)

    def is_limited(self, now: float) -> bool:
        """Return whether requests to the server are limited since it is cold."""
        return now < self.until and self._warm_up.per_s is not None

    def on_entry(self, now: float, entry: ServerEntry) -> None:
        """Record the cold time of a server's entry, which counts from when it is received.

        An entry that was received before tells nothing new.
        """
        is_first, stated = self._entry is None, (entry.sequence, entry.warm_up_s)
        if stated == self._entry:
            return
        self._entry = stated
        self._state(now, entry.warm_up_s, ColdSource.ENTRY, may_be_busy=not is_first)

    def on_stated(self, at: float, cold_s: float, source: ColdSource) -> bool:
        """Record the cold time that the server stated at a time, and return whether it is news.

        A statement older than the latest known one is ignored.
        """
        if at < self.known_at:
            return False
        changes = abs(max(at, self.until) - (at + cold_s)) > MIN_CHANGE_S
        self._state(at, cold_s, source, may_be_busy=True)
        return changes

    def on_silent(self, at: float) -> bool:
        """Record a health answer without a cold time, and return whether it ended the cold time.

        It tells that a server which was returned to use is not cold, if the usual time is unknown.
        """
        if self.until != inf or at < self.known_at:
            return False
        self._state(at, 0.0, ColdSource.ANSWER, may_be_busy=False)
        return True

    def on_returned(self, now: float) -> None:
        """Treat the server as cold, since its failure domain was returned to use.

        Its state is unknown, so it counts as cold for the usual time, or if that is unknown until
        the server makes a statement.
        """
        self._state(now, self._warm_up.duration_s or inf, ColdSource.RETURNED, may_be_busy=False)

    def _state(self, at: float, cold_s: float, source: ColdSource, may_be_busy: bool) -> None:
        if at >= self.until and cold_s > 0:
            self._limit.on_ended(at)
            if self.per_s is not None:
                self._limit.on_named(at + HOLD_S * may_be_busy, self.per_s)
        self.until, self.known_at, self.source = at + cold_s, at, source

    def poll(self, now: float) -> bool:
        """Return whether the server has become cold or warm since the last call."""
        is_cold = self.is_limited(now)
        changed = is_cold != self.was_cold
        self.was_cold = is_cold
        return changed

    def admits(self, now: float, sharers: float) -> bool:
        """Return whether this daemon may send a request now, see `ServerLimit.admits`."""
        if not self.is_limited(now):
            return True
        self._follow_configuration(now)
        return self._limit.admits(now, sharers)

    def take(self, now: float) -> None:
        """Use up a permit, if one is needed; call it after `admits` has returned True."""
        if self.is_limited(now):
            self._limit.take()

    def next_permit_at(self, now: float, sharers: float) -> float:
        """Return when this daemon may send its next request, in seconds; `now` if it may already.

        The parameters are those of `admits`.
        """
        if not self.is_limited(now):
            return now
        self._follow_configuration(now)
        return min(self.until, self._limit.next_permit_at(now, sharers))

    def _follow_configuration(self, now: float) -> None:
        """Apply a rate that was configured after the server became cold."""
        assert self.per_s is not None
        if self._limit.per_s != self.per_s:
            self._limit.on_named(max(now, self._limit.known_at), self.per_s)
