"""Measures the head of a message while it arrives, whether or not a parser reports its parts."""

from __future__ import annotations

END_OF_HEAD = b"\r\n\r\n"
_LINE_BREAKS = b"\r\n"


class HeadMeter:
    """Counts the bytes of a head, empty lines before it included.

    Attributes
    ----------
    received_bytes : int
        Bytes of the head so far.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin a new head."""
        self.received_bytes = 0
        self._has_begun = False
        # Shows an end of which the two parts arrive one after the other.
        self._tail = b""

    def on_received(self, data: bytes | memoryview) -> int:
        """Count some received bytes up to the end of the head; return how many these are.

        Empty lines are returned by themselves, as they are not the end of a head.
        """
        received = bytes(data)
        size = len(received)
        if not self._has_begun:
            if received[0] in _LINE_BREAKS:
                blank = size - len(received.lstrip(_LINE_BREAKS))
                self.received_bytes += blank
                return blank
            self._has_begun = True
        joined = self._tail + received if self._tail else received
        end = joined.find(END_OF_HEAD)
        if end >= 0:
            size = end + len(END_OF_HEAD) - len(self._tail)
        else:
            self._tail = joined[1 - len(END_OF_HEAD) :]
        self.received_bytes += size
        return size
