"""Permits of client accounts at a gateway that asks for them.

A gateway that gets no answer uses a part of its equal share of the limit, which needs no message to
hold.
"""

from __future__ import annotations

import enum
from collections import deque
from random import Random

import attrs

from sycamorebay.coordination.account_limit import MAX_RETRY_AFTER_S, PermitAnswer
from sycamorebay.state.accounts import ClientAccount

# Requests of this time are covered by advance permits.
ADVANCE_S = 0.1
PERMIT_LIFETIME_S = 0.5
# After a refusal, further requests are refused here for this time without asking the owner.
REFUSAL_HOLD_S = 0.03
# The rate of an account here is measured over about this time.
_RATE_WINDOW_S = 0.5
# Another gateway, or this one a moment later, is likely to reach the owner.
UNKNOWN_RETRY_S = 0.2
# Permits of the own share lapse after this time; idle gateways would otherwise save them up.
SHARE_LIFETIME_S = 1.0


class Verdict(enum.Enum):
    """Whether a request may run under the limit of its account."""

    GRANTED = "granted"
    OVER_LIMIT = "over limit"
    UNKNOWN = "unknown"


@attrs.frozen
class Admission:
    """The decision on one request.

    Attributes
    ----------
    verdict : Verdict
        Whether it may run.
    retry_after_s : float
        Time after which its caller may send it again, in seconds.
    """

    verdict: Verdict
    retry_after_s: float = 0.0


GRANTED = Admission(Verdict.GRANTED)
UNKNOWN = Admission(Verdict.UNKNOWN, UNKNOWN_RETRY_S)


class OwnShare:
    """Permits of a gateway that uses its own share of a limit.

    Gateways begin at different points between two permits, so that hundreds with a share of far
    less than one request a second together come close to the whole rate.

    Parameters
    ----------
    now : float
        Current time in seconds.
    rng : random.Random
        Seeded random source.
    """

    def __init__(self, now: float, rng: Random) -> None:
        # Progress towards the next permit, from 0 to 1.
        self._progress = rng.random()
        self._updated_at = now
        self._granted_at: deque[float] = deque()

    def take(self, now: float, rate_per_s: float) -> bool:
        """Use a permit; return False if there is none."""
        if rate_per_s <= 0.0:
            return False
        progress = self._progress + rate_per_s * max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        granted = int(progress)
        self._progress = progress - granted
        latest_at = now - self._progress / rate_per_s
        unlapsed = int(rate_per_s * SHARE_LIFETIME_S) + 1
        for age in reversed(range(min(granted, unlapsed))):
            self._granted_at.append(latest_at - age / rate_per_s)
        while self._granted_at and now - self._granted_at[0] > SHARE_LIFETIME_S:
            self._granted_at.popleft()
        if not self._granted_at:
            return False
        self._granted_at.popleft()
        return True


class PermitAsker:
    """What one gateway knows of one account's permits.

    All times are seconds on one clock that the caller chooses.

    Parameters
    ----------
    account : ClientAccount
        The account, with its present limit.
    rng : random.Random
        Seeded random source.

    Attributes
    ----------
    account : ClientAccount
        The account, with its present limit.
    answered_at : float or None
        When its owner answered last; None if it has not.
    lost_at : float or None
        Since when its owner does not answer; None while it does.
    admitted_alone : int
        Requests that ran on the own share since the owner was lost.
    refused_alone : int
        Requests that were refused meanwhile.
    """

    def __init__(self, account: ClientAccount, rng: Random) -> None:
        self.account = account
        self.answered_at: float | None = None
        self.lost_at: float | None = None
        self.admitted_alone = 0
        self.refused_alone = 0
        self._rng = rng
        self._permits: deque[float] = deque()
        self._own_share: OwnShare | None = None
        self._held_until = float("-inf")
        self._retry_at = float("-inf")
        self._rate_per_s = 0.0
        self._requested_at = float("-inf")

    def on_request(self, now: float, share_per_s: float) -> Admission | None:
        """Return the decision on a request, or None if the owner has to be asked.

        Parameters
        ----------
        now : float
            Current time in seconds.
        share_per_s : float
            Requests per second that this gateway may run by itself.
        """
        self._measure(now)
        if self._take_permit(now):
            return GRANTED
        if now < self._held_until:
            return self._refuse(now)
        if self._own_share is not None and self._own_share.take(now, share_per_s):
            self.admitted_alone += 1
            return GRANTED
        return None

    def advance(self) -> int:
        """Return how many permits to ask for beyond those for waiting requests."""
        return int(ADVANCE_S * self._rate_per_s)

    def on_answer(self, now: float, wanted: int, answer: PermitAnswer) -> list[Admission]:
        """Apply the owner's answer, and return the decisions on the requests that waited.

        Parameters
        ----------
        now : float
            Current time in seconds.
        wanted : int
            Number of requests that still wait.
        answer : PermitAnswer
            An answer of the account's owner.
        """
        self.answered_at = now
        granted = min(wanted, answer.granted)
        for _ in range(answer.granted - granted):
            self._permits.append(now + PERMIT_LIFETIME_S)
        if granted < wanted:
            self._retry_at = now + answer.retry_after_s
            self._held_until = now + min(REFUSAL_HOLD_S, answer.retry_after_s)
        return [GRANTED] * granted + [self._refuse(now) for _ in range(wanted - granted)]

    def on_lost(self, now: float) -> bool:
        """Record that the owner does not answer, and return whether that is new."""
        if self.lost_at is not None:
            return False
        self.lost_at = now
        self.admitted_alone = self.refused_alone = 0
        self._own_share = OwnShare(now, self._rng)
        return True

    def on_regained(self) -> bool:
        """Record that the owner answers, and return whether that is new."""
        was_lost = self.lost_at is not None
        self.lost_at = self._own_share = None
        return was_lost

    def on_pause(self) -> None:
        """Drop the permits, as this gateway was suspended for a time."""
        self._permits.clear()

    def decide_alone(self, now: float, share_per_s: float) -> Admission:
        """Return the decision on a request that no owner decides; parameters as in `on_request`."""
        if self._own_share is not None and self._own_share.take(now, share_per_s):
            self.admitted_alone += 1
            return GRANTED
        self.refused_alone += 1
        return UNKNOWN

    def _take_permit(self, now: float) -> bool:
        while self._permits:
            if self._permits.popleft() >= now:
                return True
        return False

    def _refuse(self, now: float) -> Admission:
        retry_after_s = max(0.0, self._retry_at - now)
        next_at = max(now, self._retry_at) + 1.0 / (self.account.rate_per_s or 1.0)
        self._retry_at = min(now + MAX_RETRY_AFTER_S, next_at)
        return Admission(Verdict.OVER_LIMIT, retry_after_s)

    def _measure(self, now: float) -> None:
        elapsed = max(0.0, now - self._requested_at)
        kept = max(0.0, 1.0 - elapsed / _RATE_WINDOW_S)
        self._rate_per_s = self._rate_per_s * kept + 1.0 / _RATE_WINDOW_S
        self._requested_at = now
