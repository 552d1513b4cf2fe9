"""How often the platform's service may be called, and how long to wait after a failure."""

from __future__ import annotations

from random import Random

BACKOFF_FIRST_S = 0.25
BACKOFF_LONGEST_S = 4.0


class TokenBucket:
    """A token bucket that holds one second's calls.

    Parameters
    ----------
    rate : float
        Calls per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._tokens = self._burst
        self._at = 0.0

    def take(self, now: float) -> float:
        """Take a turn and return how many seconds it has to wait; a long wait takes none."""
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait_s <= self._burst:
            self._tokens -= 1.0
        return wait_s


class Backoff:
    """Waits that grow with each failure in a row, each drawn from its whole range.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._longest_s = BACKOFF_FIRST_S

    def on_success(self) -> None:
        """Start over."""
        self._longest_s = BACKOFF_FIRST_S

    def on_failure(self) -> float:
        """Return how many seconds to wait before the next try."""
        longest_s = self._longest_s
        self._longest_s = min(BACKOFF_LONGEST_S, 2.0 * longest_s)
        return self._rng.uniform(0.0, longest_s)
