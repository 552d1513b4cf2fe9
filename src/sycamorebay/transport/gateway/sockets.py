"""Parsing of addresses, and the socket options of the gateway's connections."""

from __future__ import annotations

import asyncio
import socket

# TCP keep-alive and the user timeout detect a vanished peer host within two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and enable the detection of a vanished remote host.

    Sockets other than IPv4 are left as they are.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``.

    Raises
    ------
    ValueError
        If the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def join_address(address: tuple[str, int]) -> str:
    """Return a host and a port as ``host:port``."""
    return f"{address[0]}:{address[1]}"
