"""The UDP socket through which VMs exchange datagrams."""

from __future__ import annotations

import collections.abc
import socket

import anyio

from . import datagrams, input_bounds, log_lines, ports

Receive = collections.abc.Callable[[datagrams.Message], None]

MAX_DATAGRAM_BYTES = 60_000
"""Size of the largest datagram that is sent; UDP allows 65,507 bytes."""

MAX_BATCH_DATAGRAMS = 64
"""Maximum number of datagrams that are handled before other tasks run."""

MAX_BATCH_BYTES = 65_536
"""Bytes of datagrams after which other tasks run. Most datagrams have some hundred
bytes, but decoding one of 60 kB takes some 40 ms."""


class PeerLink:
    """Sends and receives datagrams.

    The socket is used directly, so that synchronous functions can send a datagram
    immediately. A datagram is dropped if the kernel's buffer is full.

    Parameters
    ----------
    host : str
        IP address of this VM.
    port : int
        UDP port; 0 lets the system choose one.
    log : log_lines.LogLines
        Logs unreadable and oversized datagrams.
    record_bound : callable, optional
        Called when a datagram longer than `MAX_DATAGRAM_BYTES` arrives.

    Attributes
    ----------
    port : int
        UDP port that the socket is bound to.
    sent, sent_bytes, unsent : int
        Datagrams that were sent, their bytes, and datagrams that could not be sent.
    received_bytes : int
        Bytes of received datagrams.
    """

    def __init__(
        self,
        host: str,
        port: int,
        log: log_lines.LogLines,
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
    ) -> None:
        self._log = log
        self._record_bound = record_bound
        self.received_bytes = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self.port: int = self._socket.getsockname()[1]
        self.sent = 0
        self.sent_bytes = 0
        self.unsent = 0

    async def run(self, receive: Receive) -> None:
        """Receive until cancelled; can be called again after an error."""
        while True:
            await anyio.wait_readable(self._socket)
            batch_end = self.received_bytes + MAX_BATCH_BYTES
            for _ in range(MAX_BATCH_DATAGRAMS):
                is_last = not self._receive_one(receive)
                if is_last or self.received_bytes >= batch_end:
                    break

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, message: datagrams.Message, member: ports.Member) -> None:
        """Send one message, without any guarantee of delivery."""
        self.send_many(message, [member])

    def send_many(
        self,
        message: datagrams.Message,
        members: collections.abc.Sequence[ports.Member],
    ) -> None:
        """Send one message to several VMs, without any guarantee of delivery."""
        data = datagrams.encode(message, anyio.current_time())
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.write("datagram_too_large", bytes=len(data))
            return
        for member in members:
            try:
                self._socket.sendto(data, (member.host, member.port))
            except (OSError, OverflowError, TypeError, ValueError):
                # The buffer is full, there is no route, or the address is invalid. The
                # sender repeats its message or continues without it in each case. One
                # VM with an invalid address must not prevent sending to the others.
                self.unsent += 1
                continue
            self.sent += 1
            self.sent_bytes += len(data)

    def _receive_one(self, receive: Receive) -> bool:
        try:
            data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except BlockingIOError:
            return False
        except OSError:
            return True  # Reports a peer's closed port; other datagrams may follow.
        self.received_bytes += len(data)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._record_bound("datagram too long", len(data), sender[0])
            return True
        try:
            message = datagrams.decode(data, anyio.current_time())
        except datagrams.UnreadableError as error:
            self._log.write("datagram_unreadable", why=str(error)[:80])
            return True
        receive(message)
        return True
