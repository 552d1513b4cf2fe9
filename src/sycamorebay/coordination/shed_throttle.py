"""Limits what is sent to a service whose servers reject nearly everything.

Each rejected request costs a connection and a part of its caller's time. The probability of sending
follows the share that was accepted recently, and a request that is not sent is refused at once. See
docs/design/fair-turns.md.
"""

from __future__ import annotations

import math

# Below this accepted share, the probability of sending falls in proportion to it. Servers that
# accept more are left to the choice among them.
FULL_SHARE = 0.2
# Six rejections in a row bring the share from 1 to less than `FULL_SHARE`; where one request in ten
# is rejected, that is very unlikely.
_SMOOTHING_FACTOR = 0.25
# Without any outcome, an older share counts less and less. The trials alone keep it low.
FORGET_S = 30.0
# A daemon with few requests would otherwise notice late that servers accept again.
TRIAL_INTERVAL_S = 1.0


class ShedThrottle:
    """Accepted share of the requests that one daemon sent to the servers of one service.

    All times are seconds on one clock that the caller chooses.
    """

    def __init__(self) -> None:
        self._share = 1.0
        self._updated_at = 0.0
        self._trial_at = 0.0

    def on_outcome(self, now: float, *, accepted: bool) -> None:
        """Record whether a server accepted a request."""
        share = self.accepted_share(now)
        self._share = share + _SMOOTHING_FACTOR * (accepted - share)
        self._updated_at = now

    def accepted_share(self, now: float) -> float:
        """Return the share of the recent requests that servers accepted, from 0 to 1."""
        forgotten = math.exp(-max(0.0, now - self._updated_at) / FORGET_S)
        return 1.0 - (1.0 - self._share) * forgotten

    def is_active(self, now: float) -> bool:
        """Return whether requests are held back."""
        return self._share < FULL_SHARE and self.accepted_share(now) < FULL_SHARE

    def admits(self, now: float, draw: float) -> bool:
        """Return whether a request may be sent.

        Parameters
        ----------
        now : float
            Current time in seconds.
        draw : float
            Random number from 0 to 1.
        """
        if not self.is_active(now):
            return True
        is_trial = now - self._trial_at >= TRIAL_INTERVAL_S
        if not is_trial and draw >= self.accepted_share(now) / FULL_SHARE:
            return False
        self._trial_at = now
        return True
