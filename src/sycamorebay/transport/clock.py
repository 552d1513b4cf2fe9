"""Monotonic clock that includes the time during which the machine was suspended."""

from __future__ import annotations

import time


def boottime() -> float:
    """Return the time since the machine started, in seconds, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
