"""The platform's service: a key-value store with compare-and-swap, leases and watches.

Spoken as the JSON gateway of etcd's v3 API.
"""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any, Protocol

import aiohttp
import attrs

from sycamorebay.coordination.rate_limit import TokenBucket
from sycamorebay.errors import PlatformError
from sycamorebay.settings import PlatformSettings
from sycamorebay.state.stored import Listing, StoredItem, Write
from sycamorebay.transport.clock import boottime

LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One VM of the platform's list: its address, and whether it is leaving."""

    address: str
    leaving: bool


class VmList(Protocol):
    """The platform's list of live and leaving VMs."""

    async def vms(self) -> list[Vm]:
        """Return the list; it lags."""
        ...


class Store(Protocol):
    """What this product needs of the platform's key-value service."""

    async def read(self, key: str) -> StoredItem | None:
        """Return a key's value, or None."""
        ...

    async def read_prefix(self, prefix: str) -> Listing:
        """Return all keys under a prefix."""
        ...

    async def read_versions(self, prefix: str) -> Listing:
        """Return all keys under a prefix, without their values."""
        ...

    async def swap(
        self, key: str, value: bytes, version: int, also: Sequence[Write] = (), lease: int = 0
    ) -> bool:
        """Write if the key is at `version` still, 0 for absent; whether it was.

        `also` is written in the same transaction; the key goes with `lease` where one is named.
        """
        ...

    async def grant(self, ttl_s: int) -> int:
        """Return a new lease."""
        ...

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False where it has lapsed."""
        ...

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        ...

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that goes with a lease."""
        ...

    def watch(self, prefix: str, version: int) -> AsyncIterator[StoredItem]:
        """Yield each change under a prefix from a version on."""
        ...


class EtcdStore:
    """A `Store` over etcd's JSON gateway.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to the service.
    settings : PlatformSettings
        Where it is and how long a call may take.
    on_call : callable, optional
        Told the kind of each call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSettings,
        on_call: Callable[[str], None] | None = None,
    ) -> None:
        self._session = session
        self._settings = settings
        self._on_call = on_call or _ignore
        self._token_bucket = TokenBucket(settings.calls_per_second)

    async def read(self, key: str) -> StoredItem | None:
        """Return a key's value, or None."""
        reply = await self._call("/v3/kv/range", {"key": _encode(key.encode())})
        kvs = reply.get("kvs") or []
        return _stored(kvs[0]) if kvs else None

    async def read_prefix(self, prefix: str) -> Listing:
        """Return all keys under a prefix."""
        reply = await self._call("/v3/kv/range", _prefix_range(prefix))
        items = tuple(_stored(kv) for kv in reply.get("kvs") or [])
        return Listing(items, int(reply["header"]["revision"]))

    async def read_versions(self, prefix: str) -> Listing:
        """Return all keys under a prefix, without their values."""
        reply = await self._call("/v3/kv/range", {**_prefix_range(prefix), "keys_only": True})
        items = tuple(_stored(kv) for kv in reply.get("kvs") or [])
        return Listing(items, int(reply["header"]["revision"]))

    async def swap(
        self, key: str, value: bytes, version: int, also: Sequence[Write] = (), lease: int = 0
    ) -> bool:
        """Write if the key is at `version` still, 0 for absent; whether it was.

        `also` is written in the same transaction; the key goes with `lease` where one is named.
        """
        compare = {
            "key": _encode(key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(version),
        }
        success = [_operation(write) for write in (Write(key, value, lease), *also)]
        reply = await self._call("/v3/kv/txn", {"compare": [compare], "success": success})
        return bool(reply.get("succeeded", False))

    async def grant(self, ttl_s: int) -> int:
        """Return a new lease."""
        reply = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return int(reply["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False where it has lapsed."""
        reply = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(reply.get("result", {}).get("TTL", 0)) > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that goes with a lease."""
        body = {"key": _encode(key.encode()), "value": _encode(value), "lease": str(lease)}
        await self._call("/v3/kv/put", body)

    async def watch(self, prefix: str, version: int) -> AsyncIterator[StoredItem]:
        """Yield each change under a prefix from a version on."""
        request = {"create_request": {**_prefix_range(prefix), "start_revision": str(version)}}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._settings.timeout_s)
        url = self._settings.url + "/v3/watch"
        await self._take_turn("/v3/watch")
        try:
            async with self._session.post(url, json=request, timeout=timeout) as response:
                response.raise_for_status()
                async for line in _lines(response.content):
                    for event in _result(line).get("events") or []:
                        yield _changed(event)
        except (aiohttp.ClientError, OSError, ValueError, KeyError) as error:
            raise self._error("watch", error) from error
        raise PlatformError("the watch ended", step="watch", peer=self._settings.url)

    async def vms(self) -> list[Vm]:
        """Return the platform's list of VMs; it lags."""
        await self._take_turn("/vms")
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
        try:
            async with self._session.get(self._settings.vm_list_url, timeout=timeout) as response:
                response.raise_for_status()
                found = await response.json()
            return [Vm(str(one["address"]), one.get("state") == LEAVING) for one in found]
        except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError) as error:
            raise self._error("vms", error) from error

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        await self._take_turn(path)
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
        try:
            async with self._session.post(
                self._settings.url + path, json=body, timeout=timeout
            ) as response:
                response.raise_for_status()
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise self._error(path, error) from error

    async def _take_turn(self, path: str) -> None:
        wait_s = self._token_bucket.take(boottime())
        if wait_s > self._settings.timeout_s:
            raise PlatformError("too many calls are waiting", step=path, peer=self._settings.url)
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._on_call(path.rpartition("/")[2])

    def _error(self, step: str, error: Exception) -> PlatformError:
        reason = str(error) or type(error).__name__
        return PlatformError(reason, step=step, peer=self._settings.url)


@asynccontextmanager
async def open_store(
    settings: PlatformSettings, on_call: Callable[[str], None] | None = None
) -> AsyncIterator[EtcdStore]:
    """Open a `Store`, and close its connections at the end."""
    async with aiohttp.ClientSession(read_bufsize=2**21) as session:
        yield EtcdStore(session, settings, on_call)


def _ignore(_kind: str) -> None:
    return None


async def _lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        while (end := buffer.find(b"\n")) >= 0:
            yield bytes(buffer[:end])
            del buffer[: end + 1]


def _result(line: bytes) -> dict[str, Any]:
    if not line.strip():
        return {}
    result = json.loads(line)["result"]
    if result.get("canceled"):
        raise ValueError("the watch was cancelled")
    return result


def _changed(event: dict[str, Any]) -> StoredItem:
    stored = _stored(event["kv"])
    if event.get("type") == "DELETE":
        return attrs.evolve(stored, value=None)
    return stored


def _stored(kv: dict[str, Any]) -> StoredItem:
    key = base64.b64decode(kv["key"]).decode()
    return StoredItem(key, base64.b64decode(kv.get("value", "")), int(kv["mod_revision"]))


def _operation(write: Write) -> dict[str, Any]:
    key = _encode(write.key.encode())
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    value = _encode(write.value)
    return {"request_put": {"key": key, "value": value, "lease": str(write.lease)}}


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": _encode(start), "range_end": _encode(end)}
