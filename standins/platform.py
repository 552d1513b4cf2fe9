"""Stand-in for the platform: key-value store, leases, watches and the list of VMs.

Speaks the JSON gateway of etcd's v3 API as far as this product uses it. ``POST /control`` steers
its faults, ``GET /control`` tells what it counted.
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

_HISTORY = 10_000
_LEASE_CHECK_S = 0.1


@attrs.define
class Faults:
    """Faults in force; see ``POST /control``.

    Attributes
    ----------
    down : bool
        Drop every connection.
    hang : bool
        Take calls and never answer.
    slow_s : float
        Wait before each call.
    lose_answers : int
        Calls that take effect but whose answer is lost.
    stale_s : float
        Reads see the store as it was so long ago.
    hang_watches : bool
        Watches stay open and tell nothing.
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
    mod: int
    create: int
    lease: int


@attrs.define
class _Lease:
    ttl_s: float
    until: float
    keys: set[bytes] = attrs.field(factory=set)


class Platform:
    """State of the stand-in."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.calls_by_second: Counter[int] = Counter()
        self.watchers: set[asyncio.Queue[dict[str, Any] | None]] = set()
        self.vms: list[dict[str, str]] = []
        self._started = time.monotonic()
        self._items: dict[bytes, _Item] = {}
        self._old: deque[tuple[float, dict[bytes, _Item], int]] = deque()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1000
        self._revision = 1
        self._events: deque[tuple[int, dict[str, Any]]] = deque(maxlen=_HISTORY)

    def count(self, kind: str) -> None:
        """Count one call."""
        self.calls[kind] += 1
        self.calls_by_second[int(time.monotonic() - self._started)] += 1

    def header(self) -> dict[str, str]:
        """Return a reply's header."""
        return {"revision": str(self._revision)}

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Read one key or a range."""
        items, revision = self._view()
        start = base64.b64decode(body["key"])
        if "range_end" in body:
            end = base64.b64decode(body["range_end"])
            found = [item for key, item in sorted(items.items()) if start <= key < end]
        else:
            found = [items[start]] if start in items else []
        kvs = [_shown(item, bool(body.get("keys_only"))) for item in found]
        return {"header": {"revision": str(revision)}, "kvs": kvs, "count": str(len(kvs))}

    def put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Write a key."""
        key = base64.b64decode(body["key"])
        lease = int(body.get("lease", 0))
        if lease and lease not in self._leases:
            raise web.HTTPNotFound(text="requested lease not found")
        self._remember()
        self._revision += 1
        old = self._items.get(key)
        create = old.create if old else self._revision
        value = base64.b64decode(body.get("value", ""))
        item = _Item(key, value, self._revision, create, lease)
        self._items[key] = item
        if lease:
            self._leases[lease].keys.add(key)
        self._publish({"type": "PUT", "kv": _shown(item)})
        return {"header": self.header()}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Compare versions, then write."""
        succeeded = all(self._holds(compare) for compare in body.get("compare", []))
        branch = body.get("success" if succeeded else "failure", [])
        responses = [self._operate(operation) for operation in branch]
        return {"header": self.header(), "succeeded": succeeded, "responses": responses}

    def _operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            return {"response_put": self.put(operation["request_put"])}
        key = base64.b64decode(operation["request_delete_range"]["key"])
        deleted = key in self._items
        if deleted:
            self._delete(key)
        return {"response_delete_range": {"deleted": str(int(deleted))}}

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Grant a lease."""
        self._next_lease += 1
        ttl_s = float(body["TTL"])
        self._leases[self._next_lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return {"header": self.header(), "ID": str(self._next_lease), "TTL": body["TTL"]}

    def keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew a lease."""
        lease = self._leases.get(int(body["ID"]))
        if lease is None:
            return {"result": {"header": self.header(), "ID": body["ID"]}}
        lease.until = time.monotonic() + lease.ttl_s
        return {"result": {"header": self.header(), "ID": body["ID"], "TTL": str(int(lease.ttl_s))}}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """End a lease."""
        self._end_lease(int(body["ID"]))
        return {"header": self.header()}

    def expire(self) -> None:
        """End the leases whose time is up."""
        now = time.monotonic()
        for number in [n for n, lease in self._leases.items() if lease.until < now]:
            self._end_lease(number)

    def put_off_leases(self, seconds: float) -> None:
        """Let all leases run longer."""
        for lease in self._leases.values():
            lease.until += seconds

    def events_since(self, revision: int) -> list[dict[str, Any]]:
        """Return the events from a revision on."""
        return [event for number, event in self._events if number >= revision]

    def _end_lease(self, number: int) -> None:
        lease = self._leases.pop(number, None)
        for key in sorted(lease.keys) if lease else []:
            if key in self._items and self._items[key].lease == number:
                self._delete(key)

    def _delete(self, key: bytes) -> None:
        self._remember()
        self._revision += 1
        del self._items[key]
        kv = {"key": _b64(key), "mod_revision": str(self._revision)}
        self._publish({"type": "DELETE", "kv": kv})

    def _holds(self, compare: dict[str, Any]) -> bool:
        item = self._items.get(base64.b64decode(compare["key"]))
        return (item.mod if item else 0) == int(compare["mod_revision"])

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append((self._revision, event))
        for watcher in self.watchers:
            watcher.put_nowait(event)

    def _remember(self) -> None:
        if self.faults.stale_s:
            self._old.append((time.monotonic(), dict(self._items), self._revision))

    def _view(self) -> tuple[dict[bytes, _Item], int]:
        """Return what a read sees: the present, or the past where reads are stale."""
        seen_at = time.monotonic() - self.faults.stale_s
        if not self.faults.stale_s:
            self._old.clear()
        for changed_at, items, revision in self._old:
            if changed_at > seen_at:
                return items, revision
        return self._items, self._revision


def _b64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _shown(item: _Item, keys_only: bool = False) -> dict[str, str]:
    return {
        "key": _b64(item.key),
        "value": "" if keys_only else _b64(item.value),
        "mod_revision": str(item.mod),
        "create_revision": str(item.create),
        "lease": str(item.lease),
    }


class Server:
    """HTTP side of the stand-in."""

    def __init__(self) -> None:
        self.platform = Platform()

    def app(self) -> web.Application:
        """Return the application."""
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
        app.router.add_get("/control", self._counted)
        app.cleanup_ctx.append(self._leases)
        return app

    def _call(self, path: str, handle: Any) -> Any:
        async def answer(request: web.Request) -> web.Response:
            body = await request.json()
            await self._suffer(request, path)
            reply = handle(body)
            if self.platform.faults.lose_answers > 0:
                self.platform.faults.lose_answers -= 1
                drop(request)
            return web.json_response(reply)

        return answer

    async def _suffer(self, request: web.Request, kind: str) -> None:
        faults = self.platform.faults
        self.platform.count(kind)
        if faults.down:
            drop(request)
        await self._while_hung()
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)

    async def _while_hung(self) -> None:
        while self.platform.faults.hang:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = (await request.json())["create_request"]
        await self._suffer(request, "/v3/watch")
        start, end = base64.b64decode(body["key"]), base64.b64decode(body["range_end"])
        response = web.StreamResponse()
        await response.prepare(request)
        queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        for event in self.platform.events_since(int(body.get("start_revision", 0))):
            queue.put_nowait(event)
        self.platform.watchers.add(queue)
        try:
            await _write(response, {"result": {"header": self.platform.header(), "created": True}})
            while (event := await queue.get()) is not None:
                await self._while_hung()
                if self.platform.faults.hang_watches:
                    continue
                if start <= base64.b64decode(event["kv"]["key"]) < end:
                    header = self.platform.header()
                    await _write(response, {"result": {"header": header, "events": [event]}})
            drop(request)
        except ConnectionError:
            pass
        finally:
            self.platform.watchers.discard(queue)
        return response

    async def _vms(self, request: web.Request) -> web.Response:
        await self._suffer(request, "/vms")
        return web.json_response(self.platform.vms)

    async def _control(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.platform.vms = body.pop("vms", self.platform.vms)
        self.platform.faults = attrs.evolve(self.platform.faults, **body)
        if self.platform.faults.down:
            for watcher in self.platform.watchers:
                watcher.put_nowait(None)
        return web.json_response(attrs.asdict(self.platform.faults))

    async def _counted(self, _request: web.Request) -> web.Response:
        by_second = self.platform.calls_by_second
        return web.json_response(
            {
                "calls": dict(self.platform.calls),
                "calls_by_second": {str(second): n for second, n in sorted(by_second.items())},
                "watchers": len(self.platform.watchers),
            }
        )

    async def _leases(self, _app: web.Application) -> Any:
        async def expire() -> None:
            while True:
                await asyncio.sleep(_LEASE_CHECK_S)
                if not (self.platform.faults.down or self.platform.faults.hang):
                    self.platform.expire()

        task = asyncio.create_task(expire())
        yield
        task.cancel()


def drop(request: web.Request) -> NoReturn:
    """Reset a request's connection."""
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError


async def _write(response: web.StreamResponse, message: dict[str, Any]) -> None:
    await response.write(json.dumps(message).encode() + b"\n")


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, required=True)
def main(address: str, port: int) -> None:
    """Run the stand-in until it is ended."""
    web.run_app(Server().app(), host=address, port=port, print=None, access_log=None)


if __name__ == "__main__":
    main()
