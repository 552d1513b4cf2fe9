"""Client of the platform's key-value store, which has compare-and-swap, leases and watches.

The protocol is the JSON gateway of etcd's v3 API.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from typing import Any, Protocol

import aiohttp
import attrs

from sycamorebay.coordination.rate_limit import TokenBucket
from sycamorebay.decoding import UndecodableError, decoding, parse_json
from sycamorebay.errors import PlatformError
from sycamorebay.settings import PlatformSettings
from sycamorebay.state.stored import Listing, StoredItem, Write
from sycamorebay.transport.clock import boottime

LEAVING = "leaving"
# Of an answer, and of one line of a watch; a value has an eighth of it at most.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@attrs.frozen
class Vm:
    """One VM of the platform's list.

    Attributes
    ----------
    address : str
        Its IP address, or ``IP:port`` of a server on it, as the platform lists it.
    leaving : bool
        Whether the platform lists it as leaving.
    """

    address: str
    leaving: bool


class VmList(Protocol):
    """The platform's list of live and leaving VMs."""

    async def vms(self) -> list[Vm]:
        """Return the list, which may lag behind the VMs' real states.

        Raises
        ------
        PlatformError
            If it could not be read.
        """
        ...


class Store(Protocol):
    """The operations of the platform's key-value store that sycamorebay uses.

    Versions are revisions of the whole store: they increase with each change of any key. Each
    method raises `PlatformError` if the store cannot be reached, fails, or answers too late.
    """

    async def read(self, key: str) -> StoredItem | None:
        """Return a key with its value and version, or None if it is absent."""
        ...

    async def read_prefix(self, prefix: str) -> Listing:
        """Return all keys under a prefix, with their values."""
        ...

    async def read_versions(self, prefix: str) -> Listing:
        """Return all keys under a prefix, without their values."""
        ...

    async def swap(
        self,
        key: str,
        value: bytes,
        version: int,
        extra_writes: Sequence[Write] = (),
        lease: int = 0,
    ) -> bool:
        """Write a key if its version is still `version`: a compare-and-swap.

        Parameters
        ----------
        key, value : str, bytes
            The key and its new value.
        version : int
            Version that the key must have; 0 if it must be absent.
        extra_writes : sequence of Write
            Writes and deletions in the same transaction.
        lease : int
            Lease whose end deletes the key; 0 for none.

        Returns
        -------
        bool
            Whether the transaction took effect. After a `PlatformError` this is unknown.
        """
        ...

    async def grant(self, ttl_s: int) -> int:
        """Return the id of a new lease that lasts `ttl_s` seconds."""
        ...

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease, and return False if it has expired."""
        ...

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        ...

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that is deleted when its lease ends."""
        ...

    def watch(self, prefix: str, version: int) -> AsyncIterator[StoredItem]:
        """Yield each change under a prefix from `version` on; a deletion has the value None.

        The iteration never ends by itself: it raises `PlatformError` if the watch ends.
        """
        ...


class EtcdStore:
    """A `Store` over etcd's JSON gateway, and the `VmList` of the platform.

    A token bucket limits the rate of calls. A call that would wait for longer than the timeout of
    a call fails at once with `PlatformError`.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to the store.
    settings : PlatformSettings
        URLs, the timeout of a call in seconds, and the limit of calls per second.
    on_call : callable, optional
        Called with the kind of each call, the last part of its path, before it is sent.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: PlatformSettings,
        on_call: Callable[[str], None] | None = None,
    ) -> None:
        self._session = session
        self._settings = settings
        self._on_call = on_call or _ignore_call
        self._token_bucket = TokenBucket(settings.calls_per_second)

    async def read(self, key: str) -> StoredItem | None:
        """Return a key with its value and version, or None if it is absent."""
        reply = await self._call("/v3/kv/range", {"key": _to_base64(key.encode())})
        with self._decoding("/v3/kv/range"):
            kvs = reply.get("kvs") or []
            return _decode_item(kvs[0]) if kvs else None

    async def read_prefix(self, prefix: str) -> Listing:
        """Return all keys under a prefix, with their values."""
        return await self._listing(_prefix_range(prefix))

    async def read_versions(self, prefix: str) -> Listing:
        """Return all keys under a prefix, without their values."""
        return await self._listing({**_prefix_range(prefix), "keys_only": True})

    async def _listing(self, request: dict[str, Any]) -> Listing:
        reply = await self._call("/v3/kv/range", request)
        with self._decoding("/v3/kv/range"):
            items = tuple(_decode_item(kv) for kv in reply.get("kvs") or [])
            return Listing(items, int(reply["header"]["revision"]))

    async def swap(
        self,
        key: str,
        value: bytes,
        version: int,
        extra_writes: Sequence[Write] = (),
        lease: int = 0,
    ) -> bool:
        """Write a key if its version is still `version`, and return whether it was.

        `extra_writes` are part of the same transaction. The end of `lease` deletes the key.
        """
        compare = {
            "key": _to_base64(key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(version),
        }
        success = [_encode_write(write) for write in (Write(key, value, lease), *extra_writes)]
        reply = await self._call("/v3/kv/txn", {"compare": [compare], "success": success})
        return bool(reply.get("succeeded", False))

    async def grant(self, ttl_s: int) -> int:
        """Return the id of a new lease that lasts `ttl_s` seconds."""
        reply = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        with self._decoding("/v3/lease/grant"):
            return int(reply["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease, and return False if it has expired."""
        reply = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        with self._decoding("/v3/lease/keepalive"):
            return int(reply.get("result", {}).get("TTL", 0)) > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that is deleted when its lease ends."""
        body = {"key": _to_base64(key.encode()), "value": _to_base64(value), "lease": str(lease)}
        await self._call("/v3/kv/put", body)

    async def watch(self, prefix: str, version: int) -> AsyncIterator[StoredItem]:
        """Yield each change under a prefix from `version` on; a deletion has the value None.

        Only connecting has a timeout, since a watch may be silent for any time.

        Raises
        ------
        PlatformError
            If the watch fails, is cancelled by the store, or ends.
        """
        request = {"create_request": {**_prefix_range(prefix), "start_revision": str(version)}}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._settings.timeout_s)
        url = self._settings.url + "/v3/watch"
        await self._wait_for_rate_limit("/v3/watch")
        try:
            async with self._session.post(url, json=request, timeout=timeout) as response:
                response.raise_for_status()
                async for line in _lines(response.content):
                    for event in _decode_watch_result(line).get("events") or []:
                        yield _decode_event(event)
        except (aiohttp.ClientError, OSError, UndecodableError) as error:
            raise self._to_platform_error("watch", error) from error
        raise PlatformError("the store closed the watch", step="watch", peer=self._settings.url)

    async def vms(self) -> list[Vm]:
        """Return the platform's list of VMs, which may lag behind their real states.

        Raises
        ------
        PlatformError
            If the list could not be read.
        """
        await self._wait_for_rate_limit("/vms")
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
        try:
            async with self._session.get(self._settings.vm_list_url, timeout=timeout) as response:
                response.raise_for_status()
                rows = parse_json(await _read_bounded(response.content))
            with decoding("list of VMs"):
                return [Vm(str(row["address"]), row.get("state") == LEAVING) for row in rows]
        except (aiohttp.ClientError, OSError, UndecodableError) as error:
            raise self._to_platform_error("vms", error) from error

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        await self._wait_for_rate_limit(path)
        timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
        try:
            async with self._session.post(
                self._settings.url + path, json=body, timeout=timeout
            ) as response:
                response.raise_for_status()
                return _table(parse_json(await _read_bounded(response.content)))
        except (aiohttp.ClientError, TimeoutError, OSError, UndecodableError) as error:
            raise self._to_platform_error(path, error) from error

    async def _wait_for_rate_limit(self, path: str) -> None:
        wait_s = self._token_bucket.take(boottime(), self._settings.timeout_s)
        if wait_s is None:
            raise PlatformError(
                f"rate limit: the call would wait longer than {self._settings.timeout_s} s",
                step=path,
                peer=self._settings.url,
            )
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._on_call(path.rpartition("/")[2])

    @contextmanager
    def _decoding(self, step: str) -> Iterator[None]:
        """Turn an answer that cannot be decoded into the error of a failed call."""
        try:
            with decoding("answer"):
                yield
        except UndecodableError as error:
            raise self._to_platform_error(step, error) from error

    def _to_platform_error(self, step: str, error: Exception) -> PlatformError:
        reason = str(error) or type(error).__name__
        return PlatformError(reason, step=step, peer=self._settings.url)


@asynccontextmanager
async def open_store(
    settings: PlatformSettings, on_call: Callable[[str], None] | None = None
) -> AsyncIterator[EtcdStore]:
    """Open an `EtcdStore`, and close its connections at the end of the context.

    The read buffer holds 2 MiB.

    Parameters
    ----------
    settings : PlatformSettings
        URLs, the timeout of a call in seconds, and the limit of calls per second.
    on_call : callable, optional
        Called with the kind of each call before it is sent.
    """
    async with aiohttp.ClientSession(read_bufsize=2**21) as session:
        yield EtcdStore(session, settings, on_call)


def _ignore_call(_kind: str) -> None:
    return None


async def _read_bounded(content: aiohttp.StreamReader) -> bytes:
    answer = bytearray()
    async for chunk in content.iter_any():
        answer += chunk
        _check_size(len(answer))
    return bytes(answer)


def _check_size(size: int) -> None:
    if size > MAX_ANSWER_BYTES:
        raise UndecodableError(f"the store's answer has over {MAX_ANSWER_BYTES} bytes")


async def _lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        while (end := buffer.find(b"\n")) >= 0:
            yield bytes(buffer[:end])
            del buffer[: end + 1]
        _check_size(len(buffer))


def _decode_watch_result(line: bytes) -> dict[str, Any]:
    if not line.strip():
        return {}
    with decoding("watch"):
        result = _table(parse_json(line)["result"])
    if result.get("canceled"):
        raise UndecodableError("the store cancelled the watch")
    return result


def _decode_event(event: dict[str, Any]) -> StoredItem:
    with decoding("event"):
        stored = _decode_item(event["kv"])
        return attrs.evolve(stored, value=None) if event.get("type") == "DELETE" else stored


def _table(document: Any) -> dict[str, Any]:
    if not isinstance(document, dict):
        raise UndecodableError("expected a JSON object")
    return document


def _decode_item(kv: dict[str, Any]) -> StoredItem:
    key = base64.b64decode(kv["key"]).decode()
    return StoredItem(key, base64.b64decode(kv.get("value", "")), int(kv["mod_revision"]))


def _encode_write(write: Write) -> dict[str, Any]:
    key = _to_base64(write.key.encode())
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    value = _to_base64(write.value)
    return {"request_put": {"key": key, "value": value, "lease": str(write.lease)}}


def _to_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": _to_base64(start), "range_end": _to_base64(end)}
