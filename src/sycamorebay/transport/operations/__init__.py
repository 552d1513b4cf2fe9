"""I/O of keyed operations: running them, registering key ranges, and inquiries between entries."""
