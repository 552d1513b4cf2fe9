"""Minimal HTTP/1.1 client for measurements.

It sends fixed requests, supports only answers with a ``Content-Length``, and costs little processor
time beside what is measured.
"""

from __future__ import annotations

import asyncio
from typing import cast


class HttpConnection(asyncio.Protocol):
    """A persistent connection that carries one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._waiter: asyncio.Future[None] | None = None
        self._buffer = b""
        self._body_bytes_left = -1

    @classmethod
    async def open(cls, address: str) -> HttpConnection:
        """Connect to a server.

        Parameters
        ----------
        address : str
            ``IP:port`` of the server.

        Raises
        ------
        OSError
            If the server cannot be reached.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(cls, host, int(port))
        return connection

    async def call(self, request: bytes) -> None:
        """Send a request and wait until its answer is complete.

        Raises
        ------
        ConnectionError
            If the status isn't 200 or the connection is closed before the end of the answer.
        """
        self._waiter = asyncio.get_running_loop().create_future()
        self._buffer = b""
        self._body_bytes_left = -1
        self._transport.write(request)
        await self._waiter

    def close(self) -> None:
        """Close the connection at once, without waiting for a call in flight."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight, if any; called by the event loop."""
        self._finish(ConnectionError("connection closed before the end of the answer"))

    def data_received(self, data: bytes) -> None:
        """Parse the head and count the bytes of the body; called by the event loop."""
        if self._body_bytes_left < 0:
            self._buffer += data
            head, end, body = self._buffer.partition(b"\r\n\r\n")
            if not end:
                return
            if not head.startswith(b"HTTP/1.1 200"):
                self._finish(ConnectionError(head.decode("latin-1")))
                return
            length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
            self._body_bytes_left = int(length) - len(body)
        else:
            self._body_bytes_left -= len(data)
        if self._body_bytes_left <= 0:
            self._finish(None)

    def _finish(self, error: ConnectionError | None) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is None or waiter.done():
            return
        if error is not None:
            waiter.set_exception(error)
        else:
            waiter.set_result(None)
