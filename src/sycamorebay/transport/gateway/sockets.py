"""Parsing of addresses, socket options, and the closing of listening ports."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

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


async def close_port(
    server: asyncio.Server, create_connection: Callable[[], asyncio.Protocol]
) -> None:
    """Stop listening, but serve the connections that the kernel has accepted already.

    Parameters
    ----------
    server : asyncio.Server
        The server to close.
    create_connection : callable
        Returns the protocol of a connection.
    """
    listening_sockets = [sock.dup() for sock in server.sockets]
    server.close()
    accepted = [connection for sock in listening_sockets for connection in _accept_all(sock)]
    loop = asyncio.get_running_loop()
    for connection in accepted:
        await loop.connect_accepted_socket(create_connection, connection)


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    """Accept what a listening socket holds, and close it; the kernel resets what is left then."""
    accepted = []
    listening.setblocking(False)
    with listening, contextlib.suppress(OSError):
        while True:
            connection, _ = listening.accept()
            connection.setblocking(False)
            accepted.append(connection)
    return accepted


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
