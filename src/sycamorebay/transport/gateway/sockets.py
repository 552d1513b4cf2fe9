"""Addresses, and options that every connection of the gateway gets."""

from __future__ import annotations

import asyncio
import socket

# A connection whose other side has vanished is noticed within a bound of two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 2000


def tune(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once, and notice a silent other side."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def split_address(address: str) -> tuple[str, int]:
    """Return an address's host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def join_address(address: tuple[str, int]) -> str:
    """Return a host and a port as ``host:port``."""
    return f"{address[0]}:{address[1]}"
