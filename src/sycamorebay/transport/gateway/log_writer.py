"""Non-blocking, rate-limited output of log lines."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

# Rate limit of lines below the level of warnings, such as those of requests.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 600.0


class LogWriter:
    """Writes whole lines without blocking, and drops those that cannot be written.

    Lines up to the level info are rate-limited by a token bucket; warnings and errors are not.

    Parameters
    ----------
    descriptor : int
        File descriptor that is written to; it is set to non-blocking mode.
    clock : callable
        Returns seconds on a monotonic clock.

    Attributes
    ----------
    dropped : int
        Lines dropped since the start.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self._partial_line = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write a line, or drop it if the rate limit is exceeded."""
        now = self._clock()
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        self._write(line)

    debug = info = msg

    def write_unlimited(self, line: str) -> None:
        """Write a line without regard to the rate limit."""
        self._write(line)

    warning = warn = error = exception = critical = write_unlimited

    def _write(self, line: str) -> None:
        data = self._partial_line + line.encode("utf-8", "replace") + b"\n"
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
            # The rest of a partly written line has to precede the next line.
            self._partial_line = data[written:]
