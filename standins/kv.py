"""The stand-in's store as the users' platform speaks it: items, pages, long polls and conditions.

Shares the state of `standins.platform`; only the way of speaking differs.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import deque
from typing import Any

import attrs
from aiohttp import web

from standins.platform import Platform

PAGE_ITEMS = 50


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
    """

    refuse_status: int = 0
    reset: bool = False
    silent: bool = False
    forgotten: int = 0
    late_s: float = 0.0
    per_s: float = 0.0


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

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=8 * 2**20)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        return app

    def put(self, key: str, value: Any) -> None:
        """Write an item, bytes as they are and anything else as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.platform.put({"key": _b64(key.encode()), "value": _b64(data)})

    def delete(self, key: str) -> None:
        """Delete an item."""
        operation = {"request_delete_range": {"key": _b64(key.encode())}}
        self.platform.txn({"success": [operation]})

    async def _suffer(self, request: web.Request) -> None:
        self.platform.count(request.path)
        while self.faults.silent:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        if self.faults.reset:
            assert request.transport is not None
            request.transport.abort()
            raise ConnectionResetError
        if self.faults.refuse_status:
            raise _refusal(self.faults.refuse_status)
        if self.faults.per_s and not self._is_within_rate():
            raise _refusal(429)

    def _is_within_rate(self) -> bool:
        now = time.monotonic()
        while self._taken and now - self._taken[0] > 1.0:
            self._taken.popleft()
        if len(self._taken) >= self.faults.per_s:
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
        puts = [
            {"request_put": {"key": _b64(row["key"].encode()), "value": row["value"]}}
            for row in body.get("puts", [])
        ]
        reply = self.platform.txn({"compare": compare, "success": puts})
        if not reply["succeeded"]:
            return web.json_response({"items": []}, status=412)
        return web.json_response({"rev": int(reply["header"]["revision"])})


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
