"""A lean HTTP/1.1 client for measuring: fixed requests, answers with a length, no checks."""

from __future__ import annotations

import asyncio
from typing import cast


class LeanConnection(asyncio.Protocol):
    """One kept connection with one request on it at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._waiter: asyncio.Future[None] | None = None
        self._buffer = b""
        self._left = -1

    @classmethod
    async def open(cls, address: str) -> LeanConnection:
        """Connect to ``IP:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(cls, host, int(port))
        return connection

    async def call(self, request: bytes) -> None:
        """Send a request and wait until its answer is whole.

        Raises
        ------
        ConnectionError
            Where the answer is not a 200 or the connection is lost.
        """
        self._waiter = asyncio.get_running_loop().create_future()
        self._buffer = b""
        self._left = -1
        self._transport.write(request)
        await self._waiter

    def close(self) -> None:
        """Close the connection."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight."""
        self._finish(ConnectionError("lost"))

    def data_received(self, data: bytes) -> None:
        """Count the answer's bytes."""
        if self._left < 0:
            self._buffer += data
            head, end, body = self._buffer.partition(b"\r\n\r\n")
            if not end:
                return
            if not head.startswith(b"HTTP/1.1 200"):
                self._finish(ConnectionError(head.decode("latin-1")))
                return
            length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
            self._left = int(length) - len(body)
        else:
            self._left -= len(data)
        if self._left <= 0:
            self._finish(None)

    def _finish(self, error: ConnectionError | None) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is None or waiter.done():
            return
        if error is not None:
            waiter.set_exception(error)
        else:
            waiter.set_result(None)
