"""Retries as a bounded fraction of traffic."""

from __future__ import annotations

_MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Tokens earned by served requests and spent by retries.

    While nothing is served nothing is earned, so that a total failure gets no more than the few
    retries that were saved before it.

    Parameters
    ----------
    ratio : float
        Retries earned by one served request.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = 1.0 if ratio > 0 else 0.0

    def on_served(self) -> None:
        """Earn for one served request."""
        self._tokens = min(_MAX_SAVED_RETRIES, self._tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry; False where none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
