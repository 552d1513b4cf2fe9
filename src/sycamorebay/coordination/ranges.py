"""Ranges of key times that entries may run.

An entry registers its range in the platform's service before it runs any key in it. To find out
whether a key ran, every entry whose registered range contains the key's time is asked. Only times
in the data are compared, so correctness does not depend on how long a process was paused.
"""

from __future__ import annotations

import math

import attrs

from sycamorebay.coordination.membership import Member


@attrs.frozen
class EntryRange:
    """Registered range of one entry.

    Attributes
    ----------
    member : Member
        The entry.
    since, until : float
        First and last time of the keys that the entry may run or may have run, in seconds since
        1970.
    """

    member: Member
    since: float
    until: float

    def holds(self, key_time: float) -> bool:
        """Return whether the entry may have run a key of this time."""
        return self.since <= key_time <= self.until


class OwnRange:
    """Range of key times that this entry may run.

    All times are UTC in seconds since 1970.

    Parameters
    ----------
    clock_skew_s : float
        Maximum difference between the clocks of any two entries in seconds.

    Attributes
    ----------
    first : float
        Key times up to this one are excluded.
    until : float
        Last key time of the confirmed range.
    """

    def __init__(self, clock_skew_s: float) -> None:
        self._clock_skew_s = clock_skew_s
        self.first = math.inf
        self.until = -math.inf

    def on_confirmed(self, now: float, until: float) -> None:
        """Record that the registered range is confirmed up to `until`.

        A peer that read the registrations earlier did not ask this entry about keys outside the
        old range, and accepts no key that is more than the clock skew ahead of its own clock.
        Therefore, after a gap in the registration, this entry excludes the keys that such a peer
        may have run.
        """
        excluded_until = now + 2 * self._clock_skew_s
        if excluded_until > self.until:
            self.first = excluded_until
        self.until = max(self.until, until)

    def holds(self, now: float, key_time: float, max_age_s: float) -> bool:
        """Return whether this entry may run a key of this time now.

        Parameters
        ----------
        now : float
            Current time.
        key_time : float
            Time of the key.
        max_age_s : float
            Maximum age of a key in seconds.
        """
        return (
            self.first < key_time <= self.until
            and now - max_age_s <= key_time <= now + self._clock_skew_s
        )
