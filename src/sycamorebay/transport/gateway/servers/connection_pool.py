"""A pool of client connections to backend servers, peers and the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from sycamorebay.coordination.memory_budget import ANSWER_BYTES
from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.servers.buffer_budget import BufferBudget
from sycamorebay.transport.gateway.servers.client import (
    ClientAnswer,
    ConnectError,
    Connection,
    request_head,
)
from sycamorebay.transport.gateway.sockets import split_address

CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_PER_ADDRESS = 16


def get_head(address: str, path: str) -> bytes:
    """Return the encoded request line and headers of a GET request without a body."""
    return request_head("GET", path, [(b"host", address.encode())])


class ConnectionPool:
    """A pool of idle connections by address; the connection used last is reused first.

    Parameters
    ----------
    clock : callable
        Returns seconds on a monotonic clock.
    counters : Counters, optional
        Metrics of this daemon.
    max_answer_bytes : int
        Most bytes of answers that all connections hold.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        counters: Counters | None = None,
        max_answer_bytes: int = ANSWER_BYTES,
    ) -> None:
        self._clock = clock
        self._counters = counters or Counters()
        self._budget = BufferBudget(max_answer_bytes)
        self._barred: frozenset[str] = frozenset()
        self._idle_by_address: dict[str, list[Connection]] = {}

    def has_idle(self, address: str) -> bool:
        """Return whether a usable idle connection to an address exists."""
        return bool(self._usable_idle(address))

    async def acquire(self, address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> Connection:
        """Return an idle connection or establish a new one.

        Raises
        ------
        ConnectError
            If no connection is established within `timeout_s` seconds, or the address is barred.
        """
        idle = self._usable_idle(address)
        if idle:
            return idle.pop()
        self._check_not_barred(address)
        connection = await self._connect(address, timeout_s)
        if address in self._barred:
            connection.abort()
            self._check_not_barred(address)
        return connection

    def bar(self, addresses: frozenset[str]) -> None:
        """Open and keep no connections to these addresses, and again to all others.

        Idle connections to them are closed, those in use when they are released.
        """
        for address in addresses - self._barred:
            self.close_idle(address)
        self._barred = addresses

    def _check_not_barred(self, address: str) -> None:
        if address in self._barred:
            raise ConnectError("the failure domain is evacuated")

    async def get(
        self,
        address: str,
        path: str,
        timeout_s: float,
        accepts: Callable[[int, RawHeaders], bool] = lambda _status, _headers: True,
    ) -> ClientAnswer:
        """Send a GET request for a path and return its whole answer.

        Parameters
        ----------
        address : str
            ``IP:port`` of the server.
        path : str
            Path of the request.
        timeout_s : float
            Longest time for connecting and the answer, in seconds.
        accepts : callable
            As in `Connection.send_request`.

        Raises
        ------
        TimeoutError
            If it takes longer than `timeout_s` seconds, connecting included.
        ConnectError
            If no connection could be established; nothing was sent.
        AnswerError
            If no usable answer arrived.
        """
        return await self._exchange(address, get_head(address, path), b"", timeout_s, accepts)

    async def post(self, address: str, path: str, body: bytes, timeout_s: float) -> ClientAnswer:
        """Send a POST request with a JSON body and return its whole answer.

        The parameters and errors are those of `get`.
        """
        headers = [
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        head = request_head("POST", path, headers)
        return await self._exchange(address, head, body, timeout_s, lambda _status, _headers: True)

    async def _exchange(
        self,
        address: str,
        head: bytes,
        body: bytes,
        timeout_s: float,
        accepts: Callable[[int, RawHeaders], bool],
    ) -> ClientAnswer:
        async with asyncio.timeout(timeout_s):
            connection = await self.acquire(address)
            answer = await connection.send_request(head, body, accepts)
        self.release(address, connection)
        return answer

    def release(self, address: str, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self._idle_by_address.setdefault(address, [])
        is_full = len(idle) >= MAX_IDLE_PER_ADDRESS
        if not connection.open or is_full or address in self._barred:
            connection.abort()
            return
        connection.idle_since = self._clock()
        idle.append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)

    def _usable_idle(self, address: str) -> list[Connection]:
        idle = self._idle_by_address.get(address)
        if not idle:
            return []
        now = self._clock()
        kept = [c for c in idle if c.open and now - c.idle_since < c.idle_s]
        for connection in idle:
            if connection not in kept:
                connection.abort()
        self._idle_by_address[address] = kept
        return kept

    async def _connect(self, address: str, timeout_s: float) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._budget, self._counters), host, port
                )
        except TimeoutError as error:
            raise ConnectError("connecting took too long") from error
        except (OSError, ValueError) as error:
            raise ConnectError(str(error) or type(error).__name__) from error
        return connection
