"""The socket on which VMs send each other datagrams."""

from __future__ import annotations

import collections.abc
import socket

import anyio

from . import datagrams, log_lines, ports

Receive = collections.abc.Callable[[datagrams.Message], None]

MOST_BYTES = 60_000
"""Largest datagram that is sent; UDP takes 65,507 bytes."""

MOST_AT_ONCE = 64
"""Datagrams handled before other tasks get their turn."""


class PeerLink:
    """Sends and receives datagrams.

    The socket is used directly: a datagram is sent from plain functions, at once, and
    is dropped where the kernel has no room for it.

    Parameters
    ----------
    host : str
        IP number of this VM.
    port : int
        UDP port.
    log : log_lines.LogLines
        Where unreadable datagrams are noted.
    """

    def __init__(self, host: str, port: int, log: log_lines.LogLines) -> None:
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self.port: int = self._socket.getsockname()[1]
        self.sent = 0
        self.sent_bytes = 0
        self.unsent = 0

    async def run(self, receive: Receive) -> None:
        """Receive until cancelled; can be run again after a fault."""
        while True:
            await anyio.wait_readable(self._socket)
            for _ in range(MOST_AT_ONCE):
                if not self._receive_one(receive):
                    break

    def close(self) -> None:
        """Give the port back."""
        self._socket.close()

    def send(self, message: datagrams.Message, member: ports.Member) -> None:
        """Send one message; it may be lost, like any datagram."""
        self.send_many(message, [member])

    def send_many(
        self,
        message: datagrams.Message,
        members: collections.abc.Sequence[ports.Member],
    ) -> None:
        """Send one message to several VMs."""
        data = datagrams.encode(message, anyio.current_time())
        if len(data) > MOST_BYTES:
            self._log.write("datagram_too_large", bytes=len(data))
            return
        for member in members:
            try:
                self._socket.sendto(data, (member.host, member.port))
            except (OSError, OverflowError, TypeError, ValueError):
                # No room, no route, nobody there, or an address that is none: all the
                # same to the sender, who asks again or does without. One VM with such
                # an address must not keep the others from hearing.
                self.unsent += 1
                continue
            self.sent += 1
            self.sent_bytes += len(data)

    def _receive_one(self, receive: Receive) -> bool:
        try:
            data = self._socket.recv(MOST_BYTES + 1)
        except BlockingIOError:
            return False
        except OSError:
            return True  # A peer's port is closed; the next datagram may be fine.
        try:
            message = datagrams.decode(data, anyio.current_time())
        except datagrams.UnreadableError as error:
            self._log.write("datagram_unreadable", why=str(error)[:80])
            return True
        receive(message)
        return True
