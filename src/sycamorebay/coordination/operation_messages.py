"""Events that the decisions on keyed operations take, and the actions that they return."""

from __future__ import annotations

import attrs

from sycamorebay.coordination.membership import Member
from sycamorebay.outcomes import Refusal
from sycamorebay.state.operations import KeptAnswer, OperationKey, Phase


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
        Whether the caller says that every earlier send of this key, if any, got ``not-run``.
    """

    key: str
    fingerprint: bytes
    first_send: bool


@attrs.frozen
class Run:
    """Run the operation."""

    key: OperationKey


@attrs.frozen
class Wait:
    """Wait for the send of this key that is in flight here."""

    key: OperationKey


@attrs.frozen
class Replay:
    """Give the kept answer."""

    answer: KeptAnswer


@attrs.frozen
class Inquire:
    """Read the registered ranges, and meanwhile ask the peers that are known."""

    key: OperationKey
    attempt: int
    fingerprint: bytes
    known: tuple[Member, ...]


@attrs.frozen
class Ask:
    """Ask more peers."""

    peers: tuple[Member, ...]


@attrs.frozen
class Reject:
    """Refuse this send."""

    refusal: Refusal


Decision = Run | Wait | Replay | Inquire | Reject
Settled = Run | Replay | Reject


@attrs.frozen
class Inquiry:
    """A peer's question whether this entry has seen a key."""

    key: OperationKey
    attempt: int
    fingerprint: bytes
    asker: Member


@attrs.frozen
class InquiryReply:
    """What an entry answers.

    Attributes
    ----------
    phase : Phase
        ``TOMBSTONE`` for a key that it has not seen.
    answer : KeptAnswer or None
        Only where it is kept and the asker's failure domain may have it.
    mismatch : bool
        Whether the key stands for another request.
    """

    phase: Phase
    answer: KeptAnswer | None = None
    mismatch: bool = False
