"""Which keys an entry may run, by the keys' own time.

An entry registers the range in the platform's service before it runs a key of it. Whoever wants to
know whether a key ran asks every entry whose registered range holds the key's time. No argument
rests on how long a process was paused: the comparison is between times in the data.
"""

from __future__ import annotations

import math

import attrs

from sycamorebay.coordination.membership import Member


@attrs.frozen
class EntryRange:
    """The registered range of one entry.

    Attributes
    ----------
    member : Member
        The entry.
    since, until : float
        Times of keys that it may have run or may yet run, in seconds since 1970.
    """

    member: Member
    since: float
    until: float

    def holds(self, key_time: float) -> bool:
        """Whether the entry may have run a key of this time."""
        return self.since <= key_time <= self.until


class OwnRange:
    """Keys that this entry may run.

    Parameters
    ----------
    clock_skew_s : float
        Largest difference between the clocks of any two entries, in seconds.
    """

    def __init__(self, clock_skew_s: float) -> None:
        self._clock_skew_s = clock_skew_s
        self.first = math.inf
        self.until = -math.inf

    def on_confirmed(self, now: float, until: float) -> None:
        """Take the confirmation that the registered range reaches to `until`.

        A peer that read the list before has left this entry out for any key that the old range
        does not hold, and has taken no key more than the skew ahead of its own clock. Keys that
        such a peer may have run are left to others.
        """
        open_from = now + 2 * self._clock_skew_s
        if open_from > self.until:
            self.first = open_from
        self.until = max(self.until, until)

    def holds(self, now: float, key_time: float, max_age_s: float) -> bool:
        """Whether this entry may run a key of this time now."""
        return (
            self.first < key_time <= self.until
            and now - max_age_s <= key_time <= now + self._clock_skew_s
        )
