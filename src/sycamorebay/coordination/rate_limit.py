"""Rate limit and backoff for calls to the platform's service."""

from __future__ import annotations

from random import Random

BACKOFF_INITIAL_S = 0.25
BACKOFF_MAX_S = 4.0


class TokenBucket:
    """Token bucket with a burst of one second's calls, but at least one call.

    Parameters
    ----------
    rate : float
        Calls per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._tokens = self._burst
        self._refilled_at = 0.0

    def take(self, now: float, max_wait_s: float) -> float | None:
        """Reserve a call and return how many seconds to wait before it.

        Parameters
        ----------
        now : float
            Current time in seconds.
        max_wait_s : float
            Longest wait in seconds.

        Returns
        -------
        float or None
            None, with nothing reserved, if the call would have to wait longer.
        """
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    rng : random.Random
        Seeded random source.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._max_wait_s = BACKOFF_INITIAL_S

    def on_success(self) -> None:
        """Reset the backoff after a successful call."""
        self._max_wait_s = BACKOFF_INITIAL_S

    def on_failure(self) -> float:
        """Return how many seconds to wait before the next attempt.

        The upper bound of the wait doubles with each consecutive failure.
        """
        max_wait_s = self._max_wait_s
        self._max_wait_s = min(BACKOFF_MAX_S, 2.0 * max_wait_s)
        return self._rng.uniform(0.0, max_wait_s)
