"""The clock that counts the time in which the machine slept."""

from __future__ import annotations

import time


def boottime() -> float:
    """Return seconds since the machine's start, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
