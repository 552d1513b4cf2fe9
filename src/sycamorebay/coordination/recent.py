"""Bounded set of keys that were added lately."""

from __future__ import annotations

from collections import OrderedDict


class RecentKeys:
    """Keys added within a time, the latest ones if there are too many.

    Parameters
    ----------
    hold_s : float
        Time for which a key is kept, in seconds.
    max_keys : int
        Largest number of keys.
    """

    def __init__(self, hold_s: float, max_keys: int) -> None:
        self._hold_s = hold_s
        self._max_keys = max_keys
        self._added_at_by_key: OrderedDict[str, float] = OrderedDict()

    def add(self, now: float, key: str) -> None:
        """Add a key, or keep it longer."""
        self._added_at_by_key[key] = now
        self._added_at_by_key.move_to_end(key)
        if len(self._added_at_by_key) > self._max_keys:
            self._added_at_by_key.popitem(last=False)

    def has(self, now: float, key: str) -> bool:
        """Return whether a key was added lately."""
        added_at = self._added_at_by_key.get(key)
        return added_at is not None and now - added_at <= self._hold_s
