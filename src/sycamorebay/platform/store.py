"""Client of the platform's store over HTTP."""

from __future__ import annotations

import base64
import json
from contextlib import suppress
from typing import Any
from urllib.parse import quote

import attrs

from sycamorebay import log
from sycamorebay.coordination.eras import BelievedEra, DoubtfulEraError
from sycamorebay.decoding import UndecodableError, check_integer, check_text, decoding, parse_json
from sycamorebay.errors import PlatformError
from sycamorebay.platform.documents import QUARANTINE_PREFIX
from sycamorebay.protocol.header_names import RawHeaders
from sycamorebay.state.blocks import Block
from sycamorebay.state.store_versions import StoreVersion, VersionedItem, VersionedListing
from sycamorebay.transport.gateway.counters import Counters
from sycamorebay.transport.gateway.servers.client import AnswerError, ClientAnswer, ConnectError
from sycamorebay.transport.gateway.servers.connection_pool import ConnectionPool
from sycamorebay.transport.gateway.store.change_feed import ChangesLostError

CALL_TIMEOUT_S = 0.8
# Added to the waiting time of a watch; a watch without an answer by then has failed.
WATCH_SLACK_S = 0.4
_MAX_PAGES = 200
# A listing that a restore of the store has cut in two begins anew, so often at most.
_MAX_LISTING_STARTS = 3
_ERA = b"store-era"
_MAX_ERA_DIGITS = 15
# The store grants no longer leases.
MAX_LEASE_S = 600.0

_log = log.get_logger("store")


class _EraDoubtedError(PlatformError):
    """The answer skips an era, so that only another answer tells whether to believe it."""


@attrs.frozen
class _Answer:
    """A decoded answer of the store, and the era that it belongs to."""

    document: dict[str, Any]
    era: int


class PlatformStore:
    """A `ChangeFeed` over the platform's store.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    pool : ConnectionPool
        Connections to the store; calls are never retried.
    counters : Counters
        Counts calls and failed calls.
    """

    def __init__(self, address: str, pool: ConnectionPool, counters: Counters) -> None:
        self._address = address
        self._pool = pool
        self._counters = counters
        self._believed = BelievedEra()

    async def list_all(self) -> VersionedListing:
        """Return all items and the version of the first page; later pages may be newer.

        Raises
        ------
        PlatformError
            If a call fails, the listing does not end within `_MAX_PAGES` pages, or the store is
            restored again and again meanwhile.
        """
        for _ in range(_MAX_LISTING_STARTS):
            try:
                if (listing := await self._list_in_one_era()) is not None:
                    return listing
            except _EraDoubtedError:
                continue
            _log.warning("listing begun anew", reason="the store was restored meanwhile")
        raise self._count_failure("list", "the store was restored during the listing")

    async def _list_in_one_era(self) -> VersionedListing | None:
        """Return a whole listing; None if its pages are of two eras."""
        items: list[VersionedItem] = []
        version: StoreVersion | None = None
        after = ""
        for _ in range(_MAX_PAGES):
            path = f"/kv-range?prefix=&after={quote(after, safe='')}"
            answer = await self._call("list", path, CALL_TIMEOUT_S)
            rows = self._read(answer, "items", list)
            items += self._items(rows, answer.era)
            if version is None:
                version = StoreVersion(answer.era, self._read(answer, "as_of", int))
            if answer.era != version.era:
                return None
            if not answer.document.get("has_more") or not rows:
                return VersionedListing(tuple(items), version)
            after = _last_key(rows)
        raise PlatformError(
            "the listing did not end within the page limit", step="list", peer=self._address
        )

    async def changes(
        self, after: StoreVersion, wait_s: float
    ) -> tuple[list[VersionedItem], StoreVersion]:
        """Wait for changes after a version.

        Parameters
        ----------
        after : StoreVersion
            Version that the caller has.
        wait_s : float
            Longest time to wait, in seconds.

        Returns
        -------
        tuple of (list of VersionedItem, StoreVersion)
            The changed items, none if the time is over, and the version that they lead to.

        Raises
        ------
        ChangesLostError
            If the store no longer holds the changes after this version, or is in a later era.
        PlatformError
            If the call fails, or its answer is of an earlier era.
        """
        self._believed.on_known(after.era)
        path = f"/kv-watch?prefix=&after={after.revision}&wait_ms={int(wait_s * 1000)}"
        try:
            answer = await self._call("watch", path, wait_s + WATCH_SLACK_S)
        except _EraDoubtedError as error:
            raise ChangesLostError(str(error), step="watch", peer=self._address) from error
        if answer.era > after.era:
            raise ChangesLostError(
                f"the store is in era {answer.era}", step="watch", peer=self._address
            )
        if answer.era < after.era:
            self._counters.earlier_eras_refused += 1
            raise self._count_failure("watch", f"the answer is of the earlier era {answer.era}")
        items = self._items(self._read(answer, "events", list), answer.era)
        return items, StoreVersion(answer.era, self._read(answer, "as_of", int))

    async def put_block(self, fingerprint: str, block: Block, lifetime_s: float) -> None:
        """Write the key of a blocked request; it lapses after its lifetime in seconds.

        Raises
        ------
        PlatformError
            If a call fails, or the store was restored between the calls; the key may have been
            written.
        """
        # Unconditional: of several daemons that write at once, the last one owns the key.
        ttl_ms = int(min(MAX_LEASE_S, lifetime_s) * 1000)
        lease = await self._call("lease", "/kv-lease", CALL_TIMEOUT_S, {"ttl_time": f"{ttl_ms}ms"})
        put = {
            "key": QUARANTINE_PREFIX + fingerprint,
            "value": base64.b64encode(json.dumps(attrs.asdict(block)).encode()).decode(),
            "lease": self._read(lease, "lease", int),
        }
        transaction = {"if_rev": [], "puts": [put], "delete": []}
        written = await self._call("block", "/kv-txn", CALL_TIMEOUT_S, transaction)
        if written.era != lease.era:
            # The restored store may have granted this lease to somebody else, so the caller has to
            # write the key again.
            self._counters.leases_of_other_era += 1
            raise self._count_failure("block", "the lease was granted before a restore")

    def _read(self, answer: _Answer, name: str, kind: type) -> Any:
        """Return a field of an answer, or raise the PlatformError of a malformed one."""
        value = answer.document.get(name)
        if not isinstance(value, kind) or isinstance(value, bool):
            raise self._count_failure("decode", f"{name}: missing or of another type")
        return value

    def _items(self, rows: list[Any], era: int) -> list[VersionedItem]:
        """Return the items that can be decoded; the others are logged and counted."""
        items = []
        for row in rows:
            try:
                items.append(_item(row, era))
            except UndecodableError as error:
                self._counters.undecodable += 1
                _log.warning("store item could not be decoded", reason=str(error))
        return items

    async def _call(
        self, step: str, path: str, timeout_s: float, document: dict[str, Any] | None = None
    ) -> _Answer:
        """Return the decoded answer to a call, which is a POST if it has a document."""
        self._counters.store_calls += 1
        try:
            if document is None:
                answer = await self._pool.get(self._address, path, timeout_s)
            else:
                body = json.dumps(document).encode()
                answer = await self._pool.post(self._address, path, body, timeout_s)
            era = self._era(step, answer)
            if answer.status == 410:
                raise ChangesLostError(
                    "the store no longer holds the requested changes", step=step, peer=self._address
                )
            if answer.status != 200:
                raise self._count_failure(step, f"status {answer.status}")
            return _Answer(_json_object(answer.body), era)
        except (TimeoutError, ConnectError, AnswerError, UndecodableError) as error:
            raise self._count_failure(step, str(error) or type(error).__name__) from error

    def _era(self, step: str, answer: ClientAnswer) -> int:
        """Return the era that an answer belongs to.

        Raises
        ------
        _EraDoubtedError
            If it skips an era, and the answer before did not.
        """
        stated = _stated_era(answer.headers)
        if stated is None:
            self._counters.eras_unreadable += 1
            _log.info("answer without a readable era", status=answer.status)
        try:
            return self._believed.on_answer(stated)
        except DoubtfulEraError as error:
            self._counters.eras_doubted += 1
            _log.warning("era doubted", reason=str(error))
            raise _EraDoubtedError(str(error), step=step, peer=self._address) from error

    def _count_failure(self, step: str, reason: str) -> PlatformError:
        self._counters.store_failures += 1
        return PlatformError(reason, step=step, peer=self._address)


def _json_object(body: bytes) -> dict[str, Any]:
    document = parse_json(body)
    if not isinstance(document, dict):
        raise UndecodableError("the answer is not a JSON object")
    return document


def _last_key(rows: list[Any]) -> str:
    """Return the last key of a page that can be read."""
    for row in reversed(rows):
        with suppress(UndecodableError), decoding("key"):
            return check_text(row["key"])
    return ""


def _item(item: dict[str, Any], era: int) -> VersionedItem:
    with decoding("item"):
        value = None if item.get("removed") else base64.b64decode(item["value"])
        version = StoreVersion(era, check_integer(item["rev"]))
        return VersionedItem(check_text(item["key"]), value, version)


def _stated_era(headers: RawHeaders) -> int | None:
    """Return the era that headers state; None if they state none, or several."""
    stated = {value.strip() for name, value in headers if name == _ERA}
    if len(stated) != 1:
        return None
    text = stated.pop()
    return int(text) if text.isdigit() and len(text) <= _MAX_ERA_DIGITS else None
