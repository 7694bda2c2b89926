"""Ports on the loopback address for stand-ins and tests."""

from __future__ import annotations

import contextlib
import random
import socket

HOST = "127.0.0.1"

PORTS = range(20_000, 32_000)
"""Ports from which free ones are drawn: below those that the kernel gives to outgoing
connections (32,768 and up on Linux). A port from there can be taken by a connection of
any process between its choice and its use; a test beside load failed by that."""


def find_free_port() -> int:
    """Return a port that nothing uses now, for TCP and UDP."""
    drawn = random.SystemRandom()
    while True:
        port = drawn.choice(PORTS)
        if _is_free(port):
            return port


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
