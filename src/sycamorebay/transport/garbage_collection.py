"""Settings of Python's garbage collector for a process that answers within a millisecond."""

from __future__ import annotations

import gc

YOUNG_THRESHOLD = 10_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 50


def freeze_loaded_objects() -> None:
    """Leave what is loaded so far out of all later collections.

    A full collection stops every request in flight; most of what it would look at are the modules,
    which live as long as the process.
    """
    gc.collect()
    gc.freeze()


def tune_for_latency() -> None:
    """Leave what is loaded so far out of all later collections, and collect less often."""
    freeze_loaded_objects()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
