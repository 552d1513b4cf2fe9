"""Tuning of Python's garbage collector for a process that answers within a millisecond."""

from __future__ import annotations

import gc

# Net allocations before generation 0 is collected, then collections of the next younger generation
# before generations 1 and 2 are.
GENERATION_0_THRESHOLD = 10_000
GENERATION_1_THRESHOLD = 20
GENERATION_2_THRESHOLD = 50


def freeze_loaded_objects() -> None:
    """Exclude all objects that exist now from later collections.

    A full collection pauses every request in flight, and most objects that it would visit belong to
    modules, which live as long as the process.
    """
    gc.collect()
    gc.freeze()


def tune_for_latency() -> None:
    """Exclude all objects that exist now from later collections, and collect less often."""
    freeze_loaded_objects()
    gc.set_threshold(GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD)
