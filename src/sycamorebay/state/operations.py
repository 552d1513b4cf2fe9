"""Records of keyed operations, bounded in number, bytes and age."""

from __future__ import annotations

import enum
import math
import re
from collections import OrderedDict

import attrs

MAX_RECORDS = 20_000
MAX_KEPT_BYTES = 8_000_000
MAX_KEY_AGE_S = 900.0

_UUID7 = re.compile(
    r"\"?([0-9a-f]{8})-?([0-9a-f]{4})-?(7[0-9a-f]{3})-?([89ab][0-9a-f]{3})-?([0-9a-f]{12})\"?",
    re.IGNORECASE | re.ASCII,
)


@attrs.frozen
class OperationKey:
    """An idempotency key that contains its creation time.

    Attributes
    ----------
    text : str
        UUID version 7 in lower case without hyphens.
    time : float
        Creation time by the caller's clock, in seconds since 1970.
    """

    text: str
    time: float


def parse_key(value: str) -> OperationKey | None:
    """Parse an ``Idempotency-Key`` header; return None if it is not a UUID version 7."""
    match = _UUID7.fullmatch(value)
    if match is None:
        return None
    text = "".join(match.groups()).lower()
    return OperationKey(text, int(text[:12], 16) / 1000)


@attrs.frozen
class KeptAnswer:
    """A complete answer that is kept to be replayed.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    failure_domains : tuple of str
        Failure domains in which the service allows its records to be held.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    failure_domains: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Size of body and headers in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class Phase(enum.IntEnum):
    """Execution state of a key at one entry.

    Attributes
    ----------
    TOMBSTONE
        The entry denied the key to a peer and runs no send of it on the caller's mark alone.
    ASKING
        The entry inquires at its peers.
    RUNNING
        The entry may run the operation.
    RAN
        The operation ran and its answer arrived.
    IN_DOUBT
        The operation may have run.
    FORGOTTEN
        The record may have been dropped.
    """

    TOMBSTONE = 1
    ASKING = 2
    RUNNING = 3
    RAN = 4
    IN_DOUBT = 5
    FORGOTTEN = 6


@attrs.define
class Record:
    """Record of one key.

    Attributes
    ----------
    key_time : float
        Creation time of the key in seconds since 1970.
    phase : Phase
        Execution state.
    fingerprint : bytes
        Hash of the request; empty if unknown.
    marked : bool
        Whether the operation runs on the caller's first-send mark alone.
    answer : KeptAnswer or None
        Answer to replay.
    """

    key_time: float
    phase: Phase
    fingerprint: bytes = b""
    marked: bool = False
    answer: KeptAnswer | None = None


class Records:
    """Records by key, oldest first.

    The latest key time among dropped records is kept as a floor. Any unknown key up to the floor
    counts as forgotten, since it may have run.

    Parameters
    ----------
    max_records : int
        Maximum number of records.
    max_kept_bytes : int
        Maximum size of all kept answers in bytes.
    max_key_age_s : float
        Age of a key in seconds from which its record may be dropped.

    Attributes
    ----------
    kept_bytes : int
        Size of all kept answers in bytes.
    floor : float
        Latest key time of a dropped record, in seconds since 1970.
    """

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_kept_bytes: int = MAX_KEPT_BYTES,
        max_key_age_s: float = MAX_KEY_AGE_S,
    ) -> None:
        self._max_records = max_records
        self._max_kept_bytes = max_kept_bytes
        self._max_key_age_s = max_key_age_s
        self._by_key: OrderedDict[str, Record] = OrderedDict()
        self._records_with_answer: OrderedDict[str, Record] = OrderedDict()
        self.kept_bytes = 0
        self.floor = -math.inf

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, key: OperationKey) -> Record | None:
        """Return the record of a key, or None for a key that this entry has not seen.

        If the record may have been dropped, a record in phase ``FORGOTTEN`` is returned.
        """
        record = self._by_key.get(key.text)
        if record is None and key.time <= self.floor:
            return Record(key.time, Phase.FORGOTTEN)
        return record

    def add(self, now: float, key: OperationKey, record: Record) -> None:
        """Add a record, drop the oldest above `max_records`, and one more if it is too old."""
        self._by_key[key.text] = record
        while len(self._by_key) > self._max_records:
            self._drop_oldest()
        oldest = next(iter(self._by_key.values()))
        if oldest.key_time < now - self._max_key_age_s:
            self._drop_oldest()

    def remove(self, key: OperationKey) -> None:
        """Remove the record of a key of which no send has run or will run."""
        record = self._by_key.pop(key.text, None)
        if record is not None:
            self._drop_answer(key.text)

    def keep(self, key: OperationKey, record: Record, answer: KeptAnswer) -> None:
        """Keep an answer; the oldest kept answers are dropped to stay within `max_kept_bytes`."""
        record.answer = answer
        self._records_with_answer[key.text] = record
        self.kept_bytes += answer.size
        while self.kept_bytes > self._max_kept_bytes:
            self._drop_answer(next(iter(self._records_with_answer)))

    def _drop_oldest(self) -> None:
        text, record = self._by_key.popitem(last=False)
        self._drop_answer(text)
        self.floor = max(self.floor, record.key_time)

    def _drop_answer(self, text: str) -> None:
        record = self._records_with_answer.pop(text, None)
        if record is not None and record.answer is not None:
            self.kept_bytes -= record.answer.size
            record.answer = None
