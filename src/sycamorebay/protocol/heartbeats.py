"""Heartbeats between entries, and the versions of the protocol that a release understands."""

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


def heartbeat_of(
    own: Member,
    configuration: Configuration,
    notices: Sequence[LeavingNotice] = (),
    members: Iterable[Member] | None = None,
) -> Heartbeat:
    """Return this entry's heartbeat.

    Parameters
    ----------
    own : Member
        This entry.
    configuration : Configuration
        Tells the revision in force.
    notices : sequence of LeavingNotice
        News of backend servers.
    members : iterable of Member, optional
        Members to name, for a peer that has just started.
    """
    return Heartbeat(
        version=VERSION,
        oldest_version=OLDEST_VERSION,
        sender=_wire(own),
        revision=configuration.number,
        digest=bytes.fromhex(configuration.digest)[:DIGEST_BYTES],
        news=[BackendNews(one.server_id, True, round(one.age_s * 1000)) for one in notices],
        members=None if members is None else [_wire(member) for member in members][:MAX_MEMBERS],
    )


def check_heartbeat(heartbeat: Heartbeat) -> Member:
    """Return the sender of a peer's heartbeat.

    Raises
    ------
    PeerError
        Where the two releases share no version, or a field makes no sense.
    """
    if heartbeat.version is None or heartbeat.sender is None or heartbeat.revision is None:
        raise PeerError("a heartbeat lacks a field", step="heartbeat")
    if heartbeat.version < OLDEST_VERSION or (heartbeat.oldest_version or 0) > VERSION:
        raise PeerError(f"version {heartbeat.version} is not understood", step="version")
    if heartbeat.revision < 0 or len(heartbeat.news or ()) > MAX_NOTICES:
        raise PeerError("a heartbeat is out of bounds", step="heartbeat")
    return member_of(heartbeat.sender)


def members_of(heartbeat: Heartbeat) -> list[Member]:
    """Return the members that a checked heartbeat names.

    Raises
    ------
    PeerError
        Where one makes no sense.
    """
    return [member_of(member) for member in (heartbeat.members or ())[:MAX_MEMBERS]]


def notices_of(heartbeat: Heartbeat) -> list[LeavingNotice]:
    """Return the news of a checked heartbeat; what makes no sense is left out."""
    return [
        LeavingNotice(one.server_id, one.age_ms / 1000)
        for one in heartbeat.news or ()
        if one.server_id and one.leaving and one.age_ms is not None and one.age_ms >= 0
    ]


def member_of(wire: WireMember) -> Member:
    """Return a member as a peer names it.

    Raises
    ------
    PeerError
        Where a field is missing, too long or no address.
    """
    names = (wire.id, wire.failure_domain)
    if not all(name and len(name) <= MAX_NAME_CHARS for name in names) or not wire.incarnation:
        raise PeerError("a member lacks a name", step="heartbeat")
    host, _, port = (wire.address or "").rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 2**16
    except ValueError:
        valid = False
    if not valid:
        raise PeerError("a member's address is none", step="heartbeat", peer=wire.id)
    return Member(wire.id, wire.incarnation, wire.address, wire.failure_domain)


def _wire(member: Member) -> WireMember:
    return WireMember(member.id, member.incarnation, member.address, member.failure_domain)
