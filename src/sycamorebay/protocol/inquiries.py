"""Codec of the messages by which entries ask each other about keyed operations."""

from __future__ import annotations

from typing import Any

from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.operation_messages import Inquiry, InquiryReply
from sycamorebay.errors import PeerError
from sycamorebay.protocol.generated.peers import ttypes
from sycamorebay.protocol.generated.peers.ttypes import Body
from sycamorebay.state.operations import KeptAnswer, Phase, parse_key


def encode_inquiry(inquiry: Inquiry) -> Body:
    """Return the message body that carries an inquiry."""
    asker = inquiry.asker
    wire = ttypes.Member(asker.id, asker.incarnation, asker.address, asker.failure_domain)
    return Body(
        inquire=ttypes.Inquire(inquiry.key.text, inquiry.attempt, inquiry.fingerprint, wire)
    )


def decode_inquiry(message: ttypes.Inquire) -> Inquiry:
    """Return the inquiry that a message carries.

    Raises
    ------
    PeerError
        If a field is missing, or the key is not a UUID of version 7.
    """
    _check_complete(message, "inquiry")
    _check_complete(message.asker, "inquiry's asker")
    key = parse_key(message.key)
    if key is None:
        raise PeerError("the inquiry's key is not a UUID of version 7", step="decode")
    wire = message.asker
    asker = Member(wire.id, wire.incarnation, wire.address, wire.failure_domain)
    return Inquiry(key, message.attempt, message.fingerprint, asker)


def encode_reply(reply: InquiryReply, incarnation: int) -> Body:
    """Return the message body that carries a reply.

    Parameters
    ----------
    reply : InquiryReply
        Reply to send.
    incarnation : int
        Incarnation of the entry that replies.
    """
    answer = None
    if reply.answer is not None:
        fields = [ttypes.HeaderField(name, value) for name, value in reply.answer.headers]
        answer = ttypes.KeptAnswer(reply.answer.status, fields, reply.answer.body)
    return Body(
        inquire_reply=ttypes.InquireReply(int(reply.phase), answer, reply.mismatch, incarnation)
    )


def decode_reply(message: ttypes.InquireReply) -> InquiryReply:
    """Return the reply that a message carries.

    Raises
    ------
    PeerError
        If a field is missing, or the phase is unknown.
    """
    try:
        phase = Phase(message.phase)
    except ValueError as error:
        raise PeerError(
            f"the reply's phase {message.phase} is not a known phase", step="decode"
        ) from error
    kept = message.answer
    if kept is None:
        return InquiryReply(phase, None, message.mismatch)
    _check_complete(kept, "kept answer")
    for field in kept.headers:
        _check_complete(field, "kept answer's header")
    headers = tuple((field.name, field.value) for field in kept.headers)
    return InquiryReply(phase, KeptAnswer(kept.status, headers, kept.body), message.mismatch)


def _check_complete(struct: Any, name: str) -> None:
    """Raise if a field of a message is missing; Thrift leaves such a field None."""
    missing = [field for field in struct.__slots__ if getattr(struct, field) is None]
    if missing:
        raise PeerError(f"the {name} has no {', '.join(missing)}", step="decode")
