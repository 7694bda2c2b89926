"""Ports for stand-ins."""

from __future__ import annotations

import socket

from zinniastand_standins import loopback


def test_free_port_is_none_of_those_for_outgoing_connections() -> None:
    # Beside load, a connection of another process took the port between its choice
    # and its use, and the daemon under test could not listen.
    assert loopback.find_free_port() in loopback.PORTS
    assert max(loopback.PORTS) < 32_768


def test_port_in_use_is_not_free() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind((loopback.HOST, 0))
        assert not loopback._is_free(used.getsockname()[1])
