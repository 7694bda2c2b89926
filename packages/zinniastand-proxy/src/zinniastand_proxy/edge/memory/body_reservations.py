"""Reserves memory for requests while they arrive."""

from __future__ import annotations

import typing

import anyio

from zinniastand_core import held_bytes

from .. import input_bounds, request_parser

NO_MEMORY = "memory for request bodies"
"""The bound that was reached, in log lines and metrics."""

CALLER = "caller"
"""Peer in the log lines of bounds; addresses of callers are those of load balancers."""


class Receiver(typing.Protocol):
    """A connection on which a body arrives."""

    def trim_reservation(self, now: float) -> None:
        """Release what is reserved for a body beyond what may arrive in time."""
        ...


class BodyReservations:
    """Reservations for the requests of all connections of a server.

    Parameters
    ----------
    held : held_bytes.HeldBytes
        Account of the bytes that the VM holds. A body stays in it until its request is
        answered, because it may have to be sent again.
    record_bound : callable
        Called with each request for which there is no room.

    Attributes
    ----------
    receivers : set of Receiver
        Connections on which a body arrives.
    """

    def __init__(
        self, held: held_bytes.HeldBytes, record_bound: input_bounds.RecordBound
    ) -> None:
        self._held = held
        self._record_bound = record_bound
        self.receivers: set[Receiver] = set()

    def reserve(self, size: int, request_bytes: int) -> None:
        """Reserve memory for a part of a request.

        Parameters
        ----------
        size : int
            Bytes to reserve.
        request_bytes : int
            All bytes of the request so far, these included.

        Raises
        ------
        request_parser.BadRequestError
            If there is no room for them; its status is 503.
        """
        now = anyio.current_time()
        if not self._held.has_room_for_body(size, request_bytes):
            for receiver in self.receivers:
                receiver.trim_reservation(now)
        if not self._held.has_room_for_body(size, request_bytes):
            return_time = self._held.find_body_return(size, request_bytes, now)
            headers = [(b"retry-after", f"{return_time:.3f}".encode())]
            self._record_bound(NO_MEMORY, request_bytes, CALLER)
            raise request_parser.BadRequestError(503, headers)
        self._held.add_body(size)

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self._held.remove_body(size, anyio.current_time())
