"""Runs a gateway on the users' platform: ``python -m sycamorebay.platform``."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Take signals, load the program, and run it."""
    # The program takes a quarter of a second to load; by default a hang-up then would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sycamorebay.platform.program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
