"""Requests to backend servers over aiohttp."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import aiohttp
import attrs
from yarl import URL

from sycamorebay.coordination.messages import Failure
from sycamorebay.protocol.headers import Headers

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
_NOT_WRITTEN = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@attrs.frozen
class OutgoingRequest:
    """What goes to a backend server.

    Attributes
    ----------
    address : str
        ``IP:port``.
    method, target : str
        HTTP method, and path with query as the caller wrote them.
    headers : list of (str, str)
        End-to-end headers.
    body : bytes or async iterator of bytes or None
        The body; bytes where it can be sent again.
    time_left_s : float
        Seconds until the deadline.
    """

    address: str
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes] | None
    time_left_s: float


class AttemptError(Exception):
    """An attempt brought no answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class BackendAnswer(Protocol):
    """An answer whose body has yet to be read."""

    status: int
    headers: Headers

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises where it is cut off."""
        ...

    def abort(self) -> None:
        """Drop the answer and its connection."""
        ...

    async def release(self) -> None:
        """Give the connection back where the body was read whole, else close it."""
        ...


class Upstream(Protocol):
    """Sends requests to backend servers."""

    async def send(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> BackendAnswer:
        """Send a request and return its answer's head.

        `may_send` is asked right before the first byte is written.

        Raises
        ------
        AttemptError
            Where no answer came.
        """
        ...


class AiohttpAnswer:
    """A `BackendAnswer` over aiohttp."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers: Headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.raw_headers
        ]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises where it is cut off."""
        async for chunk in self._response.content.iter_any():
            yield chunk

    def abort(self) -> None:
        """Drop the answer and its connection."""
        self._response.close()

    async def release(self) -> None:
        """Give the connection back where the body was read whole, else close it."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


class AiohttpUpstream:
    """An `Upstream` over one aiohttp session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(self, request: OutgoingRequest, may_send: Callable[[], bool]) -> AiohttpAnswer:
        """Send a request and return its answer's head."""
        if not may_send():
            raise AttemptError(Failure("place", False, "the place is no longer allowed"))
        url = URL(f"http://{request.address}{request.target}", encoded=True)
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(request.time_left_s):
                response = await self._session.request(
                    request.method,
                    url,
                    headers=request.headers,
                    data=request.body,
                    allow_redirects=False,
                    timeout=timeout,
                )
        except _NOT_WRITTEN as error:
            raise AttemptError(Failure("connect", False, str(error))) from error
        except TimeoutError as error:
            raise AttemptError(Failure("answer", True, "the deadline passed")) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise AttemptError(Failure("answer", True, reason)) from error
        return AiohttpAnswer(response)


@asynccontextmanager
async def open_upstream() -> AsyncIterator[AiohttpUpstream]:
    """Open an `Upstream`, and close its connections at the end."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False)
    async with aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED,
        timeout=aiohttp.ClientTimeout(total=None),
    ) as session:
        # aiohttp resends some methods by itself after a lost connection; retries are ours.
        session._retry_connection = False
        yield AiohttpUpstream(session)
