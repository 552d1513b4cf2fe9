"""Events and actions of `sycamorebay.coordination.operations`."""

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
    """Run the operation at this entry."""

    key: OperationKey


@attrs.frozen
class Wait:
    """Wait for another send of this key that is in progress at this entry."""

    key: OperationKey


@attrs.frozen
class Replay:
    """Return the kept answer to the caller without running the operation."""

    answer: KeptAnswer


@attrs.frozen
class Inquire:
    """Read the registered ranges and meanwhile send an inquiry to the known peers.

    Attributes
    ----------
    key : OperationKey
        Key of the operation.
    attempt : int
        Number that replies to this inquiry must carry.
    fingerprint : bytes
        Hash of the request.
    known : tuple of Member
        Peers to ask at once.
    """

    key: OperationKey
    attempt: int
    fingerprint: bytes
    known: tuple[Member, ...]


@attrs.frozen
class Ask:
    """Send the inquiry to further peers."""

    peers: tuple[Member, ...]


@attrs.frozen
class Reject:
    """Refuse this send of the operation."""

    refusal: Refusal


Decision = Run | Wait | Replay | Inquire | Reject
FinalDecision = Run | Replay | Reject


@attrs.frozen
class Inquiry:
    """A peer's inquiry whether this entry has seen a key."""

    key: OperationKey
    attempt: int
    fingerprint: bytes
    asker: Member


@attrs.frozen
class InquiryReply:
    """Reply of an entry to an inquiry.

    Attributes
    ----------
    phase : Phase
        ``TOMBSTONE`` for a key that the entry has not seen.
    answer : KeptAnswer or None
        Set only if the answer is kept and may be held in the asker's failure domain.
    mismatch : bool
        Whether the key was used for a different request.
    """

    phase: Phase
    answer: KeptAnswer | None = None
    mismatch: bool = False
