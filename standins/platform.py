"""Stand-in for the platform: key-value store, leases, watches and the list of VMs.

Implements the part of etcd's v3 JSON gateway that this product uses. ``POST /control`` sets the
faults to inject, ``GET /control`` returns the call counters.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import Counter, deque
from typing import Any, NoReturn

import attrs
import click
from aiohttp import web

_MAX_EVENTS = 10_000
_LEASE_CHECK_INTERVAL_S = 0.1


@attrs.define
class Faults:
    """Faults that the stand-in injects; ``POST /control`` sets them by these names.

    Attributes
    ----------
    down : bool
        Reset the connection of every call, and end all watches.
    hang : bool
        Accept calls, but answer none until the fault ends.
    slow_s : float
        Delay of each call in seconds.
    lose_answers : int
        Number of next calls that take effect but whose connection is reset unanswered.
    stale_s : float
        Age of the state that reads return, in seconds; 0 for the current state.
    hang_watches : bool
        Watches stay open but deliver no events.
    """

    down: bool = False
    hang: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    stale_s: float = 0.0
    hang_watches: bool = False


@attrs.define
class _Item:
    key: bytes
    value: bytes
    mod_revision: int
    create_revision: int
    lease: int


@attrs.frozen
class StoreCopy:
    """A copy of the store: its items by key, its revision and the last lease it had granted."""

    items: dict[bytes, _Item]
    revision: int
    last_lease: int


@attrs.define
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[bytes] = attrs.field(factory=set)


class Platform:
    """State of the stand-in: items, leases, event history, call counters and faults.

    Requests and replies of the methods named after etcd's calls are the JSON objects of its
    gateway; keys and values in them are base64.

    Attributes
    ----------
    faults : Faults
        Faults to inject.
    calls : Counter
        Number of calls by path.
    calls_by_second : Counter
        Number of calls by whole seconds since the start.
    watchers : set of asyncio.Queue
        A queue of events for each open watch; None in a queue ends the watch.
    vms : list of dict
        The list of VMs that ``GET /vms`` returns.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.calls_by_second: Counter[int] = Counter()
        self.watchers: set[asyncio.Queue[dict[str, Any] | None]] = set()
        self.vms: list[dict[str, str]] = []
        self._started = time.monotonic()
        self._items: dict[bytes, _Item] = {}
        self._snapshots: deque[tuple[float, dict[bytes, _Item], int]] = deque()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1000
        self._revision = 1
        self._events: deque[tuple[int, dict[str, Any]]] = deque(maxlen=_MAX_EVENTS)

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(dict(self._items), self._revision, self._next_lease)

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy: what came later is forgotten, and its numbers are given out again.

        All leases are gone, so that the copy's items with a lease remain until they are written
        again or deleted.
        """
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._next_lease = copy.last_lease
        self._leases.clear()
        while self._events and self._events[-1][0] > copy.revision:
            self._events.pop()

    def count(self, path: str) -> None:
        """Count a call by its path and by the current second."""
        self.calls[path] += 1
        self.calls_by_second[int(time.monotonic() - self._started)] += 1

    def header(self) -> dict[str, str]:
        """Return the header of a reply, with the current revision."""
        return {"revision": str(self._revision)}

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the item of a key, or those from `key` up to before `range_end`."""
        items, revision = self._read_view()
        start = base64.b64decode(body["key"])
        if "range_end" in body:
            end = base64.b64decode(body["range_end"])
            matching = [item for key, item in sorted(items.items()) if start <= key < end]
        else:
            matching = [items[start]] if start in items else []
        kvs = [_encode_item(item, bool(body.get("keys_only"))) for item in matching]
        return {"header": {"revision": str(revision)}, "kvs": kvs, "count": str(len(kvs))}

    def put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Write an item, and attach it to a lease if the request names one.

        Raises
        ------
        aiohttp.web.HTTPNotFound
            If the lease doesn't exist.
        """
        key = base64.b64decode(body["key"])
        lease = int(body.get("lease", 0))
        if lease and lease not in self._leases:
            raise web.HTTPNotFound(text="requested lease not found")
        self._save_snapshot()
        self._revision += 1
        previous = self._items.get(key)
        create_revision = previous.create_revision if previous else self._revision
        value = base64.b64decode(body.get("value", ""))
        item = _Item(key, value, self._revision, create_revision, lease)
        self._items[key] = item
        if lease:
            self._leases[lease].keys.add(key)
        self._publish({"type": "PUT", "kv": _encode_item(item)})
        return {"header": self.header()}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Apply the operations of `success` if every comparison holds, else those of `failure`."""
        succeeded = all(self._compare_holds(compare) for compare in body.get("compare", []))
        branch = body.get("success" if succeeded else "failure", [])
        responses = [self._apply_operation(operation) for operation in branch]
        return {"header": self.header(), "succeeded": succeeded, "responses": responses}

    def _apply_operation(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            return {"response_put": self.put(operation["request_put"])}
        key = base64.b64decode(operation["request_delete_range"]["key"])
        deleted = key in self._items
        if deleted:
            self._delete(key)
        return {"response_delete_range": {"deleted": str(int(deleted))}}

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Grant a lease of `TTL` seconds and return its id."""
        self._next_lease += 1
        ttl_s = float(body["TTL"])
        self._leases[self._next_lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return {"header": self.header(), "ID": str(self._next_lease), "TTL": body["TTL"]}

    def keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew a lease; the reply has no `TTL` if the lease has ended."""
        lease = self._leases.get(int(body["ID"]))
        if lease is None:
            return {"result": {"header": self.header(), "ID": body["ID"]}}
        lease.expires_at = time.monotonic() + lease.ttl_s
        return {"result": {"header": self.header(), "ID": body["ID"], "TTL": str(int(lease.ttl_s))}}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """End a lease and delete its items."""
        self._end_lease(int(body["ID"]))
        return {"header": self.header()}

    def expire(self) -> None:
        """End the leases that have expired."""
        now = time.monotonic()
        for lease_id in [n for n, lease in self._leases.items() if lease.expires_at < now]:
            self._end_lease(lease_id)

    def extend_leases(self, seconds: float) -> None:
        """Extend all leases by a number of seconds."""
        for lease in self._leases.values():
            lease.expires_at += seconds

    def events_since(self, revision: int) -> list[dict[str, Any]]:
        """Return the events from a revision on, oldest first, as far as the history reaches."""
        return [event for published_at, event in self._events if published_at >= revision]

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else []:
            if key in self._items and self._items[key].lease == lease_id:
                self._delete(key)

    def _delete(self, key: bytes) -> None:
        self._save_snapshot()
        self._revision += 1
        del self._items[key]
        kv = {"key": _b64(key), "mod_revision": str(self._revision)}
        self._publish({"type": "DELETE", "kv": kv})

    def _compare_holds(self, compare: dict[str, Any]) -> bool:
        item = self._items.get(base64.b64decode(compare["key"]))
        return (item.mod_revision if item else 0) == int(compare["mod_revision"])

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append((self._revision, event))
        for watcher in self.watchers:
            watcher.put_nowait(event)

    def _save_snapshot(self) -> None:
        if self.faults.stale_s:
            self._snapshots.append((time.monotonic(), dict(self._items), self._revision))

    def _read_view(self) -> tuple[dict[bytes, _Item], int]:
        """Return the items and the revision of `stale_s` seconds ago, the current ones for 0."""
        as_of = time.monotonic() - self.faults.stale_s
        if not self.faults.stale_s:
            self._snapshots.clear()
        for changed_at, items, revision in self._snapshots:
            if changed_at > as_of:
                return items, revision
        return self._items, self._revision


def _b64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _encode_item(item: _Item, keys_only: bool = False) -> dict[str, str]:
    return {
        "key": _b64(item.key),
        "value": "" if keys_only else _b64(item.value),
        "mod_revision": str(item.mod_revision),
        "create_revision": str(item.create_revision),
        "lease": str(item.lease),
    }


class Server:
    """HTTP server of the stand-in.

    Attributes
    ----------
    platform : Platform
        The state that it serves.
    """

    def __init__(self) -> None:
        self.platform = Platform()

    def app(self) -> web.Application:
        """Return the application; it expires leases in the background while it runs."""
        platform = self.platform
        app = web.Application(client_max_size=8 * 2**20)
        for path, handle in {
            "/v3/kv/range": platform.range,
            "/v3/kv/put": platform.put,
            "/v3/kv/txn": platform.txn,
            "/v3/lease/grant": platform.grant,
            "/v3/lease/keepalive": platform.keep_alive,
            "/v3/lease/revoke": platform.revoke,
        }.items():
            app.router.add_post(path, self._call(path, handle))
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/vms", self._vms)
        app.router.add_post("/control", self._control)
        app.router.add_get("/control", self._read_counts)
        app.cleanup_ctx.append(self._expire_leases)
        return app

    def _call(self, path: str, handle: Any) -> Any:
        async def answer(request: web.Request) -> web.Response:
            body = await request.json()
            await self._apply_faults(request, path)
            reply = handle(body)
            if self.platform.faults.lose_answers > 0:
                self.platform.faults.lose_answers -= 1
                reset_connection(request)
            return web.json_response(reply)

        return answer

    async def _apply_faults(self, request: web.Request, path: str) -> None:
        faults = self.platform.faults
        self.platform.count(path)
        if faults.down:
            reset_connection(request)
        await self._wait_while_hung()
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)

    async def _wait_while_hung(self) -> None:
        while self.platform.faults.hang:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = (await request.json())["create_request"]
        await self._apply_faults(request, "/v3/watch")
        start, end = base64.b64decode(body["key"]), base64.b64decode(body["range_end"])
        response = web.StreamResponse()
        await response.prepare(request)
        queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        for event in self.platform.events_since(int(body.get("start_revision", 0))):
            queue.put_nowait(event)
        self.platform.watchers.add(queue)
        try:
            await _write_message(
                response, {"result": {"header": self.platform.header(), "created": True}}
            )
            while (event := await queue.get()) is not None:
                await self._wait_while_hung()
                if self.platform.faults.hang_watches:
                    continue
                if start <= base64.b64decode(event["kv"]["key"]) < end:
                    header = self.platform.header()
                    await _write_message(
                        response, {"result": {"header": header, "events": [event]}}
                    )
            reset_connection(request)
        except ConnectionError:
            pass
        finally:
            self.platform.watchers.discard(queue)
        return response

    async def _vms(self, request: web.Request) -> web.Response:
        await self._apply_faults(request, "/vms")
        return web.json_response(self.platform.vms)

    async def _control(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.platform.vms = body.pop("vms", self.platform.vms)
        self.platform.faults = attrs.evolve(self.platform.faults, **body)
        if self.platform.faults.down:
            for watcher in self.platform.watchers:
                watcher.put_nowait(None)
        return web.json_response(attrs.asdict(self.platform.faults))

    async def _read_counts(self, _request: web.Request) -> web.Response:
        by_second = self.platform.calls_by_second
        return web.json_response(
            {
                "calls": dict(self.platform.calls),
                "calls_by_second": {str(second): n for second, n in sorted(by_second.items())},
                "watchers": len(self.platform.watchers),
            }
        )

    async def _expire_leases(self, _app: web.Application) -> Any:
        async def expire() -> None:
            while True:
                await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)
                if not (self.platform.faults.down or self.platform.faults.hang):
                    self.platform.expire()

        task = asyncio.create_task(expire())
        yield
        task.cancel()


def reset_connection(request: web.Request) -> NoReturn:
    """Reset the connection of a request.

    Raises
    ------
    ConnectionResetError
        Always, to end the handler.
    """
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError


async def _write_message(response: web.StreamResponse, message: dict[str, Any]) -> None:
    await response.write(json.dumps(message).encode() + b"\n")


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def main(address: str, port: int) -> None:
    """Run the stand-in of the platform until the process ends."""
    web.run_app(Server().app(), host=address, port=port, print=None, access_log=None)


if __name__ == "__main__":
    main()
