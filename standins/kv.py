"""The stand-in's store as the users' platform speaks it: items, pages, long polls, leases.

Shares the state of `standins.platform`; only the way of speaking differs.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiohttp import web

from standins.platform import Platform, drop

PAGE_ITEMS = 50
_LEASE_CHECK_S = 0.05


@attrs.define
class KvFaults:
    """Faults of this way of speaking.

    Attributes
    ----------
    refuse_status : int
        Answer every call with this status; 0 for none.
    reset : bool
        Reset every call.
    silent : bool
        Take calls and never answer.
    forgotten : int
        Version up to which the history is gone.
    late_s : float
        Answer calls this much later, with what was true when they came.
    per_s : float
        Calls a second that are taken; others get 429. 0 for any number.
    lose_answers : int
        Calls that take effect but whose answer is lost.
    refused_callers : set of str
        Addresses whose connections are reset, while all others are served.
    leases_pause : bool
        Whether leases stand still while the store is silent; else they end.
    """

    refuse_status: int = 0
    reset: bool = False
    silent: bool = False
    forgotten: int = 0
    late_s: float = 0.0
    per_s: float = 0.0
    lose_answers: int = 0
    refused_callers: set[str] = attrs.field(factory=set)
    leases_pause: bool = False


class KvStore:
    """HTTP side of the store.

    Parameters
    ----------
    platform : Platform, optional
        The state.
    """

    def __init__(self, platform: Platform | None = None) -> None:
        self.platform = platform or Platform()
        self.faults = KvFaults()
        self._taken: deque[float] = deque()
        self.rejected = 0

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=8 * 2**20)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._lease)
        app.router.add_post("/kv-keep/{lease}", self._keep)
        app.router.add_delete("/kv-lease-end/{lease}", self._end_lease)
        app.middlewares.append(self._lose_answer)
        app.cleanup_ctx.append(self._expire_leases)
        return app

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write an item, bytes as they are and anything else as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.platform.put({"key": _b64(key.encode()), "value": _b64(data), "lease": lease})

    def grant(self, ttl_s: float) -> int:
        """Grant a lease of some seconds."""
        return int(self.platform.grant({"TTL": ttl_s})["ID"])

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease, as far as the store is reached; False where it has ended."""
        if self.faults.silent:
            return True
        return "TTL" in self.platform.keep_alive({"ID": lease})["result"]

    def delete(self, key: str) -> None:
        """Delete an item."""
        operation = {"request_delete_range": {"key": _b64(key.encode())}}
        self.platform.txn({"success": [operation]})

    async def _suffer(self, request: web.Request) -> None:
        self.platform.count(request.path)
        if request.remote in self.faults.refused_callers:
            drop(request)
        while self.faults.silent:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        if self.faults.reset:
            drop(request)
        if self.faults.refuse_status:
            raise _refusal(self.faults.refuse_status)
        if self.faults.per_s and not self._is_within_rate():
            raise _refusal(429)

    def _is_within_rate(self) -> bool:
        now = time.monotonic()
        while self._taken and now - self._taken[0] > 1.0:
            self._taken.popleft()
        if len(self._taken) >= self.faults.per_s:
            self.rejected += 1
            return False
        self._taken.append(now)
        return True

    async def _range(self, request: web.Request) -> web.Response:
        await self._suffer(request)
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        body = {"key": _b64(b"\0"), "range_end": _b64(b"\xff")}
        found = [_item(kv) for kv in self.platform.range(body)["kvs"]]
        left = [one for one in found if one["key"].startswith(prefix) and one["key"] > after]
        page = left[:PAGE_ITEMS]
        version = int(self.platform.header()["revision"])
        more = len(left) > len(page)
        await asyncio.sleep(self.faults.late_s)
        return web.json_response({"items": page, "has_more": more, "as_of": version})

    async def _watch(self, request: web.Request) -> web.Response:
        await self._suffer(request)
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        if after < self.faults.forgotten:
            return web.json_response({}, status=410)
        queue: asyncio.Queue[Any] = asyncio.Queue()
        self.platform.watchers.add(queue)
        try:
            events = self._events(prefix, after)
            if not events:
                async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                    await queue.get()
        except TimeoutError:
            pass
        finally:
            self.platform.watchers.discard(queue)
        version = int(self.platform.header()["revision"])
        events = self._events(prefix, after)
        await asyncio.sleep(self.faults.late_s)
        return web.json_response({"events": events, "as_of": version})

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = [_event(event) for event in self.platform.events_since(after + 1)]
        return [event for event in events if event["key"].startswith(prefix)]

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._suffer(request)
        compare = [
            {"key": _b64(row["key"].encode()), "mod_revision": row["rev"]}
            for row in body.get("if_rev", [])
        ]
        puts = [_put(row) for row in body.get("puts", [])]
        reply = self.platform.txn({"compare": compare, "success": puts})
        if not reply["succeeded"]:
            return web.json_response({"items": []}, status=412)
        return web.json_response({"rev": int(reply["header"]["revision"])})

    async def _lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._suffer(request)
        ttl_s = float(body["ttl_time"].removesuffix("ms")) / 1000
        return web.json_response({"lease": self.grant(ttl_s), "ttl_time": body["ttl_time"]})

    async def _keep(self, request: web.Request) -> web.Response:
        await self._suffer(request)
        kept = self.keep_alive(int(request.match_info["lease"]))
        return web.json_response({}, status=200 if kept else 404)

    async def _end_lease(self, request: web.Request) -> web.Response:
        await self._suffer(request)
        self.platform.revoke({"ID": request.match_info["lease"]})
        return web.json_response({})

    @web.middleware
    async def _lose_answer(self, request: web.Request, handler: Any) -> web.StreamResponse:
        answer: web.StreamResponse = await handler(request)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            drop(request)
        return answer

    async def _expire_leases(self, _app: web.Application) -> AsyncIterator[None]:
        async def expire() -> None:
            while True:
                await asyncio.sleep(_LEASE_CHECK_S)
                if self.faults.silent and self.faults.leases_pause:
                    self.platform.put_off_leases(_LEASE_CHECK_S)
                self.platform.expire()

        task = asyncio.create_task(expire())
        yield
        task.cancel()


def _put(row: dict[str, Any]) -> dict[str, Any]:
    lease = int(row.get("lease", 0))
    return {
        "request_put": {"key": _b64(row["key"].encode()), "value": row["value"], "lease": lease}
    }


def _refusal(status: int) -> web.HTTPException:
    return web.HTTPTooManyRequests() if status == 429 else web.HTTPServiceUnavailable()


def _item(kv: dict[str, Any]) -> dict[str, Any]:
    return {
        "key": base64.b64decode(kv["key"]).decode(),
        "value": kv.get("value", ""),
        "rev": int(kv["mod_revision"]),
        "created": int(kv.get("create_revision", 0)),
        "lease": int(kv.get("lease", 0)),
    }


def _event(event: dict[str, Any]) -> dict[str, Any]:
    item = _item(event["kv"])
    if event["type"] == "DELETE":
        return {"key": item["key"], "rev": item["rev"], "removed": True}
    return item


def _b64(value: bytes) -> str:
    return base64.b64encode(value).decode()
