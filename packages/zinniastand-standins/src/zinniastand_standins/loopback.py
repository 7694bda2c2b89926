"""Free ports on the loopback address for stand-ins and tests."""

from __future__ import annotations

import contextlib
import fcntl
import itertools
import os
import pathlib
import random
import socket
import tempfile

HOST = "127.0.0.1"

PORTS = range(20_000, 32_000)
"""Range from which ports are drawn: below the ephemeral ports that the kernel gives to
outgoing connections (32,768 and up on Linux). A connection of any process can take an
ephemeral port between its choice and its use, which made a test fail under load."""


def _shuffle_ports() -> itertools.cycle[int]:
    return itertools.cycle(random.SystemRandom().sample(PORTS, len(PORTS)))


_candidates = _shuffle_ports()

_reservations = os.open(
    pathlib.Path(tempfile.gettempdir()) / "zinniastand-ports",
    os.O_RDWR | os.O_CREAT,
    0o666,
)
"""File whose bytes stand for ports. A process locks the byte of each port that it draws
until it ends, so that no other process draws the port before it is bound."""


def _replace_candidates() -> None:
    """Let a forked process draw other ports than its parent and siblings."""
    global _candidates
    _candidates = _shuffle_ports()


os.register_at_fork(after_in_child=_replace_candidates)


def find_free_port() -> int:
    """Return a port that is free for both TCP and UDP, and that no process has drawn.

    A process gets a port again only after all others: callers choose the ports of
    several listeners before they bind the first, and no two may be the same.
    """
    return next(port for port in _candidates if _reserve(port) and _is_free(port))


def _reserve(port: int) -> bool:
    """Reserve a port for this process; return whether no other process has it."""
    try:
        fcntl.lockf(_reservations, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
