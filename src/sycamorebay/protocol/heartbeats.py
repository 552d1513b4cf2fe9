"""Heartbeats between entries, and the protocol versions that this release supports."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Sequence

from sycamorebay.coordination.configuration import Configuration
from sycamorebay.coordination.leaving import MAX_NOTICES, LeavingNotice
from sycamorebay.coordination.membership import Member
from sycamorebay.errors import PeerError
from sycamorebay.protocol.generated.peers.ttypes import BackendNews, Heartbeat
from sycamorebay.protocol.generated.peers.ttypes import Member as WireMember

VERSION = 1
OLDEST_VERSION = 1
DIGEST_BYTES = 8
MAX_MEMBERS = 256
MAX_NAME_CHARS = 64


def build_heartbeat(
    own: Member,
    configuration: Configuration,
    notices: Sequence[LeavingNotice] = (),
    members: Iterable[Member] | None = None,
) -> Heartbeat:
    """Return this entry's heartbeat message.

    Parameters
    ----------
    own : Member
        This entry.
    configuration : Configuration
        Source of the revision in force and its digest.
    notices : sequence of LeavingNotice
        Backend servers that are leaving.
    members : iterable of Member, optional
        Known members, for a peer that has just started; at most `MAX_MEMBERS` are sent.
    """
    return Heartbeat(
        version=VERSION,
        oldest_version=OLDEST_VERSION,
        sender=_encode_member(own),
        revision=configuration.number,
        digest=bytes.fromhex(configuration.digest)[:DIGEST_BYTES],
        news=[
            BackendNews(notice.server_id, True, round(notice.age_s * 1000)) for notice in notices
        ],
        members=(
            None
            if members is None
            else [_encode_member(member) for member in members][:MAX_MEMBERS]
        ),
    )


def validate_heartbeat(heartbeat: Heartbeat) -> Member:
    """Validate a peer's heartbeat and return its sender.

    Raises
    ------
    PeerError
        If the two releases share no protocol version, or a field is missing or out of range.
    """
    if heartbeat.version is None or heartbeat.sender is None or heartbeat.revision is None:
        raise PeerError("the heartbeat lacks its version, sender or revision", step="heartbeat")
    if heartbeat.version < OLDEST_VERSION or (heartbeat.oldest_version or 0) > VERSION:
        raise PeerError(
            f"version {heartbeat.version} is not supported, expected {OLDEST_VERSION} to {VERSION}",
            step="version",
        )
    if heartbeat.revision < 0 or len(heartbeat.news or ()) > MAX_NOTICES:
        raise PeerError(
            "the heartbeat has a negative revision or too many notices", step="heartbeat"
        )
    return decode_member(heartbeat.sender)


def decode_members(heartbeat: Heartbeat) -> list[Member]:
    """Return the members that a validated heartbeat lists, at most `MAX_MEMBERS`.

    Raises
    ------
    PeerError
        If a member is invalid.
    """
    return [decode_member(member) for member in (heartbeat.members or ())[:MAX_MEMBERS]]


def decode_notices(heartbeat: Heartbeat) -> list[LeavingNotice]:
    """Return the leaving notices of a validated heartbeat, without those that are invalid."""
    return [
        LeavingNotice(notice.server_id, notice.age_ms / 1000)
        for notice in heartbeat.news or ()
        if notice.server_id and notice.leaving and notice.age_ms is not None and notice.age_ms >= 0
    ]


def decode_member(wire: WireMember) -> Member:
    """Return the member that a peer describes.

    Raises
    ------
    PeerError
        If a field is missing or too long, or the address is not ``IP:port``.
    """
    names = (wire.id, wire.failure_domain)
    if not all(name and len(name) <= MAX_NAME_CHARS for name in names) or not wire.incarnation:
        raise PeerError(
            "a member's id, failure domain or incarnation is missing or too long", step="heartbeat"
        )
    host, _, port = (wire.address or "").rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 2**16
    except ValueError:
        valid = False
    if not valid:
        raise PeerError("a member's address is not IP:port", step="heartbeat", peer=wire.id)
    return Member(wire.id, wire.incarnation, wire.address, wire.failure_domain)


def _encode_member(member: Member) -> WireMember:
    return WireMember(member.id, member.incarnation, member.address, member.failure_domain)
