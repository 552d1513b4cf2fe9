"""Log lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

# Lines of requests; those of the process itself always pass.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 600.0


class LogWriter:
    """Writes whole lines without blocking, and leaves out what doesn't fit.

    Parameters
    ----------
    descriptor : int
        Where lines go.
    clock : callable
        Seconds, never going back.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._at = clock()
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write a line of a request, within the bound."""
        now = self._clock()
        self._tokens = min(MAX_BURST_LINES, self._tokens + (now - self._at) * MAX_LINES_PER_S)
        self._at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        self._write(line)

    debug = info = msg

    def always(self, line: str) -> None:
        """Write a line of the process itself."""
        self._write(line)

    warning = warn = error = exception = critical = always

    def _write(self, line: str) -> None:
        data = self._rest + line.encode("utf-8", "replace") + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.dropped += 1
            return
        if written == 0:
            self.dropped += 1
        else:
            # The rest of a line that was cut must come before any other.
            self._rest = data[written:]
