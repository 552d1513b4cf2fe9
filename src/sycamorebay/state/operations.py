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
    """A key that carries its time.

    Attributes
    ----------
    text : str
        UUID version 7 in lower case without hyphens.
    time : float
        Its time in seconds since 1970.
    """

    text: str
    time: float


def parse_key(value: str) -> OperationKey | None:
    """Return the key of an ``Idempotency-Key`` header; None where it is no UUID version 7."""
    match = _UUID7.fullmatch(value)
    if match is None:
        return None
    text = "".join(match.groups()).lower()
    return OperationKey(text, int(text[:12], 16) / 1000)


@attrs.frozen
class KeptAnswer:
    """A whole answer, kept to be given again.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Whole body.
    failure_domains : tuple of str
        Where the service allows its records to be held.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    failure_domains: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Bytes of body and headers."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class Phase(enum.IntEnum):
    """What an entry knows of a key.

    ``TOMBSTONE``: it told a peer that it has not seen the key, and runs no marked send of it.
    ``ASKING``: it asks its peers. ``RUNNING``: it has the right to run it. ``RAN``: the answer
    came. ``IN_DOUBT``: it may have run. ``FORGOTTEN``: the record was dropped.
    """

    TOMBSTONE = 1
    ASKING = 2
    RUNNING = 3
    RAN = 4
    IN_DOUBT = 5
    FORGOTTEN = 6


@attrs.define
class Record:
    """One key's record."""

    key_time: float
    phase: Phase
    fingerprint: bytes = b""
    marked: bool = False
    answer: KeptAnswer | None = None


class Records:
    """Records by key; those that are dropped leave a floor behind.

    Parameters
    ----------
    max_records, max_kept_bytes : int
        Bounds on records and on the bytes of kept answers.
    max_key_age_s : float
        Age of a key in seconds at which its record may be dropped.
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
        self._answered: OrderedDict[str, Record] = OrderedDict()
        self.kept_bytes = 0
        self.floor = -math.inf

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, key: OperationKey) -> Record | None:
        """Return the record of a key; one in phase ``FORGOTTEN`` where it may have been dropped."""
        record = self._by_key.get(key.text)
        if record is None and key.time <= self.floor:
            return Record(key.time, Phase.FORGOTTEN)
        return record

    def add(self, now: float, key: OperationKey, record: Record) -> None:
        """Add a record, and drop the oldest ones where bounds ask for it."""
        self._by_key[key.text] = record
        while len(self._by_key) > self._max_records:
            self._drop_oldest()
        oldest = next(iter(self._by_key.values()))
        if oldest.key_time < now - self._max_key_age_s:
            self._drop_oldest()

    def remove(self, key: OperationKey) -> None:
        """Remove the record of a key that no send of which has run or will."""
        record = self._by_key.pop(key.text, None)
        if record is not None:
            self._drop_answer(key.text)

    def keep(self, key: OperationKey, record: Record, answer: KeptAnswer) -> None:
        """Keep an answer; the oldest answers make room for it."""
        record.answer = answer
        self._answered[key.text] = record
        self.kept_bytes += answer.size
        while self.kept_bytes > self._max_kept_bytes:
            self._drop_answer(next(iter(self._answered)))

    def _drop_oldest(self) -> None:
        text, record = self._by_key.popitem(last=False)
        self._drop_answer(text)
        self.floor = max(self.floor, record.key_time)

    def _drop_answer(self, text: str) -> None:
        record = self._answered.pop(text, None)
        if record is not None and record.answer is not None:
            self.kept_bytes -= record.answer.size
            record.answer = None
