"""What one start of a backend server has announced in its answers to this daemon.

A server that leaves asks for no new requests, whatever its entry in the store says. One that turns
a request away may ask to be left alone for a while; afterwards its share returns by steps, slower
each time that it asks again. Both bind the daemon that was told: the others learn it from their own
answers, so nothing is exchanged.
"""

from __future__ import annotations

import attrs

# A longer rest is not credible; a server that wants none of its requests leaves.
MAX_REST_S = 600.0
# After a rest the requests in flight may double after each such step.
RETURN_STEP_S = 0.25
MAX_RETURN_STEP_S = 4.0
# A server that has worked for this time after a rest starts over with the shortest step.
REST_MEMORY_S = 10.0
_MAX_DOUBLINGS = 10


def is_credible_rest(seconds: float) -> bool:
    """Return whether a server may ask for a rest of so many seconds."""
    return 0.0 < seconds <= MAX_REST_S


@attrs.define
class Announcements:
    """State of one start of a server; all times are seconds on one clock that the caller chooses.

    Attributes
    ----------
    leaving : bool
        Whether the server has said that it leaves; no later answer takes that back.
    resting_until : float
        Time until which it wants no requests of this daemon.
    rests : int
        Rests that followed each other.
    """

    leaving: bool = False
    resting_until: float = float("-inf")
    rests: int = 0

    @property
    def are_any(self) -> bool:
        """Whether the server has announced anything."""
        return self.leaving or self.rests > 0

    def on_leaving(self) -> bool:
        """Record that the server leaves, and return whether that is new."""
        is_new = not self.leaving
        self.leaving = True
        return is_new

    def on_rest(self, now: float, seconds: float) -> bool:
        """Record that the server wants a rest, and return whether a new one begins."""
        is_new = now >= self.resting_until
        if now - self.resting_until > REST_MEMORY_S:
            self.rests = 0
        self.rests += is_new
        self.resting_until = max(self.resting_until, now + seconds)
        return is_new

    def accepts(self, now: float) -> bool:
        """Return whether the server takes new requests of this daemon."""
        return not self.leaving and now >= self.resting_until

    def own_slots(self, now: float, slots: int) -> int:
        """Return how many requests this daemon may have in flight at the server, up to `slots`."""
        if not self.rests:
            return slots
        step_s = min(MAX_RETURN_STEP_S, RETURN_STEP_S * 2.0 ** min(self.rests - 1, _MAX_DOUBLINGS))
        steps = int(max(0.0, now - self.resting_until) / step_s)
        return slots if steps >= _MAX_DOUBLINGS else min(slots, 2**steps)
