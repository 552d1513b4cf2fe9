"""Runs a gateway on the users' platform: ``python -m sycamorebay.platform``."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Ignore SIGHUP, load the program, run it, and return its exit status."""
    # By default SIGHUP ends the process, and the program takes about 0.25 s to load before it
    # installs its own handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sycamorebay.platform.program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
