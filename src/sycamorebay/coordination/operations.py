"""Non-idempotent operations that run at most once, by their key."""

from __future__ import annotations

import attrs

from sycamorebay.outcomes import Refusal, Unknown


@attrs.frozen
class Operation:
    """One send of a keyed operation.

    Attributes
    ----------
    key : str
        The caller's ``Idempotency-Key``.
    fingerprint : bytes
        Hash of the request that the key stands for.
    first_send : bool
        Whether the caller says that it never sent this key before.
    """

    key: str
    fingerprint: bytes
    first_send: bool


@attrs.frozen
class Run:
    """Run the operation."""


@attrs.frozen
class Replay:
    """Give the kept answer."""

    answer: KeptAnswer


@attrs.frozen
class Reject:
    """Refuse this send."""

    refusal: Refusal


@attrs.frozen
class KeptAnswer:
    """A whole answer, kept to be given again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Decision = Run | Replay | Reject

_MAX_RECORDS = 100_000


class Operations:
    """Records of the keyed operations that this entry has seen."""

    def __init__(self) -> None:
        self._by_key: dict[str, KeptAnswer | None] = {}

    def on_operation(self, now: float, operation: Operation) -> Decision:
        """Decide on one send of an operation."""
        if operation.key in self._by_key:
            answer = self._by_key[operation.key]
            if answer is not None:
                return Replay(answer)
            return Reject(Unknown("operation", "", "this operation may have run", 409))
        if not operation.first_send:
            return Reject(Unknown("operation", "", "an earlier send may have run", 409))
        if len(self._by_key) >= _MAX_RECORDS:
            self._by_key.pop(next(iter(self._by_key)))
        self._by_key[operation.key] = None
        return Run()

    def on_answer(self, now: float, key: str, answer: KeptAnswer) -> None:
        """Keep the answer of an operation that ran."""
        self._by_key[key] = answer

    def on_not_run(self, now: float, key: str) -> None:
        """Forget an operation that is known not to have run."""
        self._by_key.pop(key, None)
