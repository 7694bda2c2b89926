"""Limits what the kernel receives for a connection that is not read."""

from __future__ import annotations

import socket

import anyio.abc

MAX_BYTES = 32_768
"""Size of a receive buffer; the kernel doubles it for its own bookkeeping. Otherwise it
grows to some megabytes, all of which count as memory of the VM."""


def limit_stream(stream: anyio.abc.ByteStream, size: int = MAX_BYTES) -> None:
    """Limit the receive buffer of one connection, if it is a socket."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def limit_accepted(listener: anyio.abc.Listener[anyio.abc.SocketStream]) -> None:
    """Limit the receive buffers of all connections that a listener accepts."""
    for part in getattr(listener, "listeners", [listener]):
        raw = part.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_BYTES)
