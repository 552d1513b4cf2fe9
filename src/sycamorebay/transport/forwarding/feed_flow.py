"""uvicorn's flow control for a connection that is parsed by turns."""

from __future__ import annotations

import asyncio

from uvicorn.protocols.http.flow_control import FlowControl

from sycamorebay.transport.http.paced_feed import PacedFeed


class FeedFlow(FlowControl):
    """Flow control that holds back what was received as well as the socket.

    Parameters
    ----------
    transport : asyncio.Transport
        The connection.
    feed : PacedFeed
        Its received bytes.
    """

    def __init__(self, transport: asyncio.Transport, feed: PacedFeed) -> None:
        super().__init__(transport)
        self._feed = feed

    def pause_reading(self) -> None:
        """Read and parse nothing more."""
        self.read_paused = True
        self._feed.hold_back(True)

    def resume_reading(self) -> None:
        """Read and parse on."""
        self.read_paused = False
        self._feed.hold_back(False)
