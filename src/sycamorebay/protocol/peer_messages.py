"""Codec of the datagrams that gateways exchange about the fleet and the store: JSON, versioned."""

from __future__ import annotations

import ipaddress
import json
import math
import zlib
from functools import lru_cache
from typing import Any

import attrs

from sycamorebay.coordination.fleet_view import Contact
from sycamorebay.decoding import UndecodableError, check_integer, check_text, decoding, parse_json
from sycamorebay.protocol.store_items import (
    decompress,
    items_to_rows,
    row_to_version,
    rows_to_items,
    version_to_row,
)
from sycamorebay.state.store_versions import StoreVersion, VersionedItem

# Changes with the meaning of the messages; daemons ignore each other's messages across versions.
PROTOCOL_VERSION = 5
# A datagram that decompresses to more than this is not one of ours.
MAX_MESSAGE_BYTES = 1_000_000
_COMPRESS_ABOVE_BYTES = 900


class OtherVersionError(ValueError):
    """The message is of another version of the protocol."""


@attrs.frozen
class Heartbeat:
    """State of a daemon, sent at intervals.

    Attributes
    ----------
    name : str
        Name of the daemon.
    incarnation : int
        Distinguishes its restarts; a larger number is a later start.
    control : str
        ``IP:port`` that serves copies of the store.
    failure_domain : str
        Failure domain that it runs in.
    link_mbps : float
        Bandwidth of its network link in Mbit/s; 0 if unknown.
    is_relay : bool
        Whether it is a relay.
    asks : bool
        Whether it asks for an answer with contacts.
    primary : bool
        Whether the receiver is the primary relay of this leaf.
    version : StoreVersion
        Version of its copy of the store.
    confirmed_age_s : float
        Time since a reader confirmed that its copy was up to date, in seconds.
    reaches_store : bool
        Whether its last call to the store succeeded.
    interval_s : float
        Longest time until its next heartbeat, in seconds.
    leaves : int
        Leaves whose primary relay it is.
    relays : int
        Relays that it knows in its failure domain, itself included.
    fleet_size : int
        Daemons in the fleet, as far as it knows.
    contacts : tuple of Contact
        Some relays.
    kept : int
        Keys whose state it knows from before a restore, and not from the store.
    """

    name: str
    incarnation: int
    control: str
    failure_domain: str
    link_mbps: float
    is_relay: bool
    asks: bool
    primary: bool
    version: StoreVersion
    confirmed_age_s: float
    reaches_store: bool
    interval_s: float
    leaves: int
    relays: int
    fleet_size: int
    contacts: tuple[Contact, ...] = ()
    kept: int = 0


@attrs.frozen
class Changes:
    """Changes of the store between two versions.

    Attributes
    ----------
    name, incarnation
        As in `Heartbeat`.
    after, version : StoreVersion
        Versions before and after the changes; `after` is of an earlier era if the store was
        restored between them.
    items : tuple of VersionedItem
        The changed items, of the era of `version`.
    """

    name: str
    incarnation: int
    after: StoreVersion
    version: StoreVersion
    items: tuple[VersionedItem, ...]


@attrs.frozen
class Leave:
    """Notice that a daemon stops; the attributes are as in `Heartbeat`."""

    name: str
    incarnation: int


@attrs.frozen
class CrashRow:
    """A backend server that seems to have crashed while it ran a request.

    Attributes
    ----------
    fingerprint : str
        The request, see `fingerprint`.
    server : str
        Id and start of the server.
    age_s : float
        Time since the crash, in seconds.
    """

    fingerprint: str
    server: str
    age_s: float


@attrs.frozen
class CrashNews:
    """What became known of crashes under requests.

    Attributes
    ----------
    crashes : tuple of CrashRow
        The crashes.
    refuted : tuple of str
        Servers, by id and start, that were reported as crashed and live.
    survived : tuple of str
        Fingerprints of suspected requests that a server answered.
    """

    crashes: tuple[CrashRow, ...] = ()
    refuted: tuple[str, ...] = ()
    survived: tuple[str, ...] = ()


@attrs.frozen
class CrashReport:
    """Crashes that a daemon saw or was told of; the names are as in `Heartbeat`."""

    name: str
    incarnation: int
    news: CrashNews


PeerMessage = Heartbeat | Changes | Leave | CrashReport


def encode_message(message: PeerMessage) -> bytes:
    """Return a message's serialized bytes, compressed if it is long."""
    data = json.dumps(_to_document(message), separators=(",", ":")).encode()
    return zlib.compress(data, 1) if len(data) > _COMPRESS_ABOVE_BYTES else data


def decode_message(data: bytes) -> PeerMessage:
    """Return the message that was serialized as `data`.

    Raises
    ------
    OtherVersionError
        If it is of another version of the protocol.
    UndecodableError
        If it cannot be decoded.
    """
    document = parse_json(data if data[:1] == b"{" else decompress(data, MAX_MESSAGE_BYTES))
    if not isinstance(document, dict):
        raise UndecodableError("the message is not a JSON object")
    if document.get("p") != PROTOCOL_VERSION:
        raise OtherVersionError(f"protocol version {document.get('p')!r}")
    with decoding("message"):
        return _from_document(document)


def _to_document(message: PeerMessage) -> dict[str, Any]:
    document: dict[str, Any] = {"p": PROTOCOL_VERSION, "n": message.name, "i": message.incarnation}
    if isinstance(message, Changes):
        rows = items_to_rows(message.items)
        return {
            **document,
            "t": "changes",
            "after": version_to_row(message.after),
            "version": version_to_row(message.version),
            "items": rows,
        }
    if isinstance(message, Leave):
        return {**document, "t": "leave"}
    if isinstance(message, CrashReport):
        news = message.news
        return {
            **document,
            "t": "crashes",
            "rows": [[row.fingerprint, row.server, round(row.age_s, 3)] for row in news.crashes],
            "refuted": news.refuted,
            "survived": news.survived,
        }
    return {
        **document,
        "t": "beat",
        "control": message.control,
        "domain": message.failure_domain,
        "link": message.link_mbps,
        "relay": message.is_relay,
        "asks": message.asks,
        "primary": message.primary,
        "version": version_to_row(message.version),
        "kept": message.kept,
        "age": round(message.confirmed_age_s, 3),
        "store": message.reaches_store,
        "next": round(message.interval_s, 3),
        "leaves": message.leaves,
        "relays": message.relays,
        "fleet": message.fleet_size,
        "peers": [_contact_row(contact) for contact in message.contacts],
    }


def _from_document(document: dict[str, Any]) -> PeerMessage:
    name, incarnation, kind = check_text(document["n"]), check_integer(document["i"]), document["t"]
    if kind == "changes":
        after, version = row_to_version(document["after"]), row_to_version(document["version"])
        items = tuple(rows_to_items(document["items"], version.era))
        return Changes(name, incarnation, after, version, items)
    if kind == "leave":
        return Leave(name, incarnation)
    if kind == "crashes":
        crashes = tuple(_crash_row(*row) for row in document["rows"])
        refuted = tuple(check_text(server) for server in document["refuted"])
        survived = tuple(check_text(one) for one in document["survived"])
        return CrashReport(name, incarnation, CrashNews(crashes, refuted, survived))
    if kind != "beat":
        raise ValueError(f"unknown kind of message: {kind!r}")
    return Heartbeat(
        name=name,
        incarnation=incarnation,
        control=check_text(document["control"]),
        failure_domain=check_text(document["domain"]),
        link_mbps=_number(document["link"]),
        is_relay=bool(document["relay"]),
        asks=bool(document["asks"]),
        primary=bool(document["primary"]),
        version=row_to_version(document["version"]),
        confirmed_age_s=_number(document["age"]),
        reaches_store=bool(document["store"]),
        interval_s=_number(document["next"]),
        leaves=check_integer(document["leaves"]),
        relays=check_integer(document["relays"]),
        fleet_size=check_integer(document["fleet"]),
        contacts=tuple(_contact(*row) for row in document["peers"]),
        kept=check_integer(document["kept"]),
    )


def _crash_row(fingerprint: str, server: str, age_s: float) -> CrashRow:
    return CrashRow(check_text(fingerprint), check_text(server), _number(age_s))


def _contact_row(contact: Contact) -> list[str | int | float]:
    host, port = contact.address
    return [contact.name, host, port, contact.failure_domain, contact.link_mbps]


@lru_cache(maxsize=1024)
def _contact(name: str, host: str, port: int, failure_domain: str, link_mbps: float) -> Contact:
    """Return a contact; heartbeats name the same few relays again and again."""
    address = str(ipaddress.IPv4Address(host)), int(port)
    if not 0 < address[1] < 65_536:
        raise ValueError(f"port {port} is out of range")
    return Contact(check_text(name), address, check_text(failure_domain), _number(link_mbps))


def _number(value: Any) -> float:
    """Return a finite number of at least 0; JSON decoders also accept infinities and NaN."""
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"expected a finite number of at least 0, found {number}")
    return number
