"""Binary codec of the messages by which gateways ask for permits of client accounts."""

from __future__ import annotations

import hashlib
import ipaddress
import struct

import attrs

# First bytes of the messages; see `load_rows` and `limit_rows` for those of others.
PERMIT_REQUEST = b"Q"
FORWARDED_REQUEST = b"W"
PERMIT_GRANT = b"G"
_REQUEST = struct.Struct("!cQIHH")
_FORWARDED = struct.Struct("!BH")
_GRANT = struct.Struct("!cQIHIB")
_MAX_COUNT = 65_535
_MAX_RETRY_MS = 3_600_000

Address = tuple[str, int]


@attrs.frozen
class PermitRequest:
    """A gateway's request for permits.

    Attributes
    ----------
    account : int
        Hash of the account's name, see `account_hash`.
    number : int
        Number of the request at its gateway; a repeated request has the same one.
    wanted : int
        Requests of callers that wait.
    advance : int
        Further permits that the gateway is likely to need soon.
    asker : tuple of (str, int) or None
        Address of the gateway that asks, if a relay forwards its request.
    hops : int
        How often the request was forwarded.
    """

    account: int
    number: int
    wanted: int
    advance: int = 0
    asker: Address | None = None
    hops: int = 0


@attrs.frozen
class PermitGrant:
    """The answer to a `PermitRequest`.

    Attributes
    ----------
    account, number : int
        As in the request.
    granted : int
        Permits that the gateway may use.
    retry_after_s : float
        Time after which the first caller without a permit may come again, in seconds; it is sent
        in steps of 1 ms.
    known : bool
        False if the answering gateway does not decide on the account.
    """

    account: int
    number: int
    granted: int
    retry_after_s: float = 0.0
    known: bool = True


def account_hash(name: str) -> int:
    """Return a hash of an account's name in 64 bits."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


def encode_request(request: PermitRequest) -> bytes:
    """Return the serialized bytes of a request, a forwarded one if it names its asker."""
    kind = PERMIT_REQUEST if request.asker is None else FORWARDED_REQUEST
    counts = min(_MAX_COUNT, request.wanted), min(_MAX_COUNT, request.advance)
    data = _REQUEST.pack(kind, request.account, request.number, *counts)
    if request.asker is None:
        return data
    host, port = request.asker
    return data + _FORWARDED.pack(request.hops, port) + ipaddress.ip_address(host).packed


def decode_request(data: bytes) -> PermitRequest:
    """Return the request that was serialized as `data`.

    Raises
    ------
    ValueError
        If the message is incomplete or too long, or names an address that cannot be.
    """
    try:
        kind, account, number, wanted, advance = _REQUEST.unpack_from(data)
    except struct.error as error:
        raise ValueError(f"the permit request is incomplete: {error}") from error
    rest = data[_REQUEST.size :]
    if kind == PERMIT_REQUEST:
        if rest:
            raise ValueError("the permit request is too long")
        return PermitRequest(account, number, wanted, advance)
    if kind != FORWARDED_REQUEST:
        raise ValueError(f"unknown kind of permit message: {kind!r}")
    if len(rest) < _FORWARDED.size:
        raise ValueError("the forwarded permit request has no address")
    hops, port = _FORWARDED.unpack_from(rest)
    if not port:
        raise ValueError("the forwarded permit request names port 0")
    host = str(ipaddress.ip_address(rest[_FORWARDED.size :]))
    return PermitRequest(account, number, wanted, advance, (host, port), hops)


def encode_grant(grant: PermitGrant) -> bytes:
    """Return the serialized bytes of a grant."""
    granted = min(_MAX_COUNT, grant.granted)
    retry_ms = min(_MAX_RETRY_MS, max(0, round(grant.retry_after_s * 1000)))
    return _GRANT.pack(PERMIT_GRANT, grant.account, grant.number, granted, retry_ms, grant.known)


def decode_grant(data: bytes) -> PermitGrant:
    """Return the grant that was serialized as `data`.

    Raises
    ------
    ValueError
        If its length is wrong.
    """
    try:
        _, account, number, granted, retry_ms, known = _GRANT.unpack(data)
    except struct.error as error:
        raise ValueError(f"the permit grant has another length: {error}") from error
    return PermitGrant(account, number, granted, retry_ms / 1000, known != 0)
