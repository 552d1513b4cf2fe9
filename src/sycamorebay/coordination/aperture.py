"""How many of the servers in its subset a daemon uses at a time.

Each server that a daemon uses costs it a connection and probes. A daemon with few requests finds a
free server among a few; it uses more of them while its requests have to wait, so that those whose
servers are taken by other daemons get at the rest. The load that this answers is a rise of the
demand, or a loss of servers, that lasts longer than one request.
"""

from __future__ import annotations

import attrs

# One more than the servers that a request is placed among leaves a choice while some are suspended.
MIN_SERVERS = 5
# Waiting requests of the same moment are one sign of shortage.
WIDEN_INTERVAL_S = 0.1
# Without waiting requests for this time, the daemon uses fewer servers again.
NARROW_INTERVAL_S = 3.0


@attrs.define
class Aperture:
    """Number of servers of one service that a daemon uses in its own failure domain.

    All times are seconds on one clock that the caller chooses.

    Attributes
    ----------
    max_servers : int
        Servers in the subset.
    servers : int
        Servers to use now.
    """

    max_servers: int
    servers: int = MIN_SERVERS
    _changed_at: float = float("-inf")

    def on_wait(self, now: float) -> None:
        """Use twice as many servers, as a request has to wait for one."""
        if self.servers >= self.max_servers:
            self._changed_at = now
        elif now - self._changed_at >= WIDEN_INTERVAL_S:
            self._changed_at = now
            self.servers = min(self.max_servers, 2 * self.servers)

    def on_request(self, now: float) -> None:
        """Use half as many servers if no request has had to wait for a while."""
        if self.servers > MIN_SERVERS and now - self._changed_at >= NARROW_INTERVAL_S:
            self._changed_at = now
            self.servers = max(MIN_SERVERS, self.servers // 2)
