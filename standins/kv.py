"""Stand-in for the store with the HTTP API of the users' platform.

The API has pages of items, long polls and leases. The state is that of `standins.platform`; only
the protocol differs.
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

from standins.platform import Platform, StoreCopy, reset_connection

PAGE_ITEMS = 50
_LEASE_CHECK_INTERVAL_S = 0.05
_ERA = "Store-Era"


@attrs.define
class KvFaults:
    """Faults that the stand-in injects into calls of this API.

    Attributes
    ----------
    refuse_status : int
        Status that rejects every call; 0 injects no refusal.
    reset : bool
        Reset the connection of every call.
    silent : bool
        Accept calls, but answer none until the fault ends.
    forgotten : int
        Version before which the history is lost; a watch after an older one gets 410.
    late_s : float
        Delay of the answers to reads and watches in seconds; the content isn't updated meanwhile.
    per_s : float
        Largest number of accepted calls per second; others get 429. 0 sets no limit.
    lose_answers : int
        Number of next calls that take effect but whose connection is reset unanswered.
    refused_callers : set of str
        Client addresses whose connections are reset; all others are served.
    leases_pause : bool
        Whether the time of leases stops while the store is silent; otherwise they expire.
    era_header : str or None
        Sent in place of the era; an empty one leaves the header out. None sends the era.
    invented_era : str
        Sent in place of the era in the next answer only, unless it is empty.
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
    era_header: str | None = None
    invented_era: str = ""


class KvStore:
    """HTTP server of the store, and direct access to its items and leases.

    Parameters
    ----------
    platform : Platform, optional
        The state to serve; by default a new one.

    Attributes
    ----------
    faults : KvFaults
        Faults to inject.
    rejected_calls : int
        Number of calls rejected because they exceeded the rate.
    era : int
        How often the store came back from a copy, plus one.
    """

    def __init__(self, platform: Platform | None = None) -> None:
        self.platform = platform or Platform()
        self.faults = KvFaults()
        self._accepted_at: deque[float] = deque()
        self.rejected_calls = 0
        self.era = 1

    def app(self) -> web.Application:
        """Return the application; it expires leases in the background while it runs."""
        app = web.Application(client_max_size=8 * 2**20)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._grant_lease)
        app.router.add_post("/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/kv-lease-end/{lease}", self._revoke_lease)
        app.middlewares.append(self._drop_answers)
        app.on_response_prepare.append(self._name_era)
        app.cleanup_ctx.append(self._expire_leases)
        return app

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write an item, attached to a lease unless it is 0; any value but bytes becomes JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.platform.put({"key": _b64(key.encode()), "value": _b64(data), "lease": lease})

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy, in the next era."""
        self.platform.restore(copy)
        self.era += 1

    def grant(self, ttl_s: float) -> int:
        """Grant a lease of some seconds and return its id."""
        return int(self.platform.grant({"TTL": ttl_s})["ID"])

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease unless the store is silent, and return False if the lease has ended."""
        if self.faults.silent:
            return True
        return "TTL" in self.platform.keep_alive({"ID": lease})["result"]

    def delete(self, key: str) -> None:
        """Delete an item if it exists."""
        operation = {"request_delete_range": {"key": _b64(key.encode())}}
        self.platform.txn({"success": [operation]})

    async def _apply_faults(self, request: web.Request) -> None:
        self.platform.count(request.path)
        if request.remote in self.faults.refused_callers:
            reset_connection(request)
        while self.faults.silent:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        if self.faults.reset:
            reset_connection(request)
        if self.faults.refuse_status:
            raise _refusal(self.faults.refuse_status)
        # Reads that may be answered with old items count toward no limit.
        is_limited = self.faults.per_s and request.query.get("serializable") != "1"
        if is_limited and not self._is_within_rate():
            raise _refusal(429)

    def _is_within_rate(self) -> bool:
        now = time.monotonic()
        while self._accepted_at and now - self._accepted_at[0] > 1.0:
            self._accepted_at.popleft()
        if len(self._accepted_at) >= self.faults.per_s:
            self.rejected_calls += 1
            return False
        self._accepted_at.append(now)
        return True

    async def _range(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        body = {"key": _b64(b"\0"), "range_end": _b64(b"\xff")}
        items = [_decode_item(kv) for kv in self.platform.range(body)["kvs"]]
        matching = [
            item for item in items if item["key"].startswith(prefix) and item["key"] > after
        ]
        page = matching[:PAGE_ITEMS]
        version = int(self.platform.header()["revision"])
        has_more = len(matching) > len(page)
        await asyncio.sleep(self.faults.late_s)
        return web.json_response({"items": page, "has_more": has_more, "as_of": version})

    async def _watch(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        era = self.era
        if after < self.faults.forgotten or after > int(self.platform.header()["revision"]):
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
        if era != self.era and request.transport is not None:
            # As in `_drop_answers`, so that no traceback is printed.
            request.transport.abort()
        version = int(self.platform.header()["revision"])
        events = self._events(prefix, after)
        await asyncio.sleep(self.faults.late_s)
        return web.json_response({"events": events, "as_of": version})

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = [_watch_event(event) for event in self.platform.events_since(after + 1)]
        return [event for event in events if event["key"].startswith(prefix)]

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._apply_faults(request)
        compare = [
            {"key": _b64(row["key"].encode()), "mod_revision": row["rev"]}
            for row in body.get("if_rev", [])
        ]
        puts = [_put_operation(row) for row in body.get("puts", [])]
        reply = self.platform.txn({"compare": compare, "success": puts})
        if not reply["succeeded"]:
            return web.json_response({"items": []}, status=412)
        return web.json_response({"rev": int(reply["header"]["revision"])})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._apply_faults(request)
        ttl_s = float(body["ttl_time"].removesuffix("ms")) / 1000
        return web.json_response({"lease": self.grant(ttl_s), "ttl_time": body["ttl_time"]})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        renewed = self.keep_alive(int(request.match_info["lease"]))
        return web.json_response({}, status=200 if renewed else 404)

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        self.platform.revoke({"ID": request.match_info["lease"]})
        return web.json_response({})

    @web.middleware
    async def _drop_answers(self, request: web.Request, handler: Any) -> web.StreamResponse:
        answer: web.StreamResponse = await handler(request)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            # aiohttp drops the answer to a caller that has gone, and logs no error.
            assert request.transport is not None
            request.transport.abort()
        return answer

    async def _name_era(self, request: web.Request, response: web.StreamResponse) -> None:
        header = self.faults.invented_era or self.faults.era_header
        self.faults.invented_era = ""
        if header != "":
            response.headers[_ERA] = str(self.era) if header is None else header

    async def _expire_leases(self, _app: web.Application) -> AsyncIterator[None]:
        async def expire() -> None:
            while True:
                await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)
                if self.faults.silent and self.faults.leases_pause:
                    self.platform.extend_leases(_LEASE_CHECK_INTERVAL_S)
                self.platform.expire()

        task = asyncio.create_task(expire())
        yield
        task.cancel()


def _put_operation(row: dict[str, Any]) -> dict[str, Any]:
    lease = int(row.get("lease", 0))
    return {
        "request_put": {"key": _b64(row["key"].encode()), "value": row["value"], "lease": lease}
    }


def _refusal(status: int) -> web.HTTPException:
    return web.HTTPTooManyRequests() if status == 429 else web.HTTPServiceUnavailable()


def _decode_item(kv: dict[str, Any]) -> dict[str, Any]:
    return {
        "key": base64.b64decode(kv["key"]).decode(),
        "value": kv.get("value", ""),
        "rev": int(kv["mod_revision"]),
        "created": int(kv.get("create_revision", 0)),
        "lease": int(kv.get("lease", 0)),
    }


def _watch_event(event: dict[str, Any]) -> dict[str, Any]:
    item = _decode_item(event["kv"])
    if event["type"] == "DELETE":
        return {"key": item["key"], "rev": item["rev"], "removed": True}
    return item


def _b64(value: bytes) -> str:
    return base64.b64encode(value).decode()
