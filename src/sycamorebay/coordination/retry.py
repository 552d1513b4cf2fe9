"""Token-based budget that limits retries and hedges to a fraction of the traffic."""

from __future__ import annotations

_MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that served requests fill and retries drain.

    While no request is served, no tokens are added. A total failure therefore causes no more
    retries than the few tokens saved before it.

    Parameters
    ----------
    ratio : float
        Tokens added per served request; each retry costs one token.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = 1.0 if ratio > 0 else 0.0

    def on_served(self) -> None:
        """Add the tokens of one served request."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.ratio)

    def take(self) -> bool:
        """Consume the token of one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
