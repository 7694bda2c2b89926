"""Parses the bytes that a caller sends on one connection into complete requests.

Each request has its own `h11` engine. A request can therefore be parsed while earlier
ones are unanswered, and its answer is framed for the HTTP version and connection
headers of that request. This module does no I/O.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

import h11

from zinniastand_core import held_bytes
from zinniastand_core.deployment import configuration

from . import calls, http_exchange
from .memory import body_buffer

FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field beyond its name and value: colon, space, CR and LF."""

MAX_READ_BYTES = 65_536
"""Limit on the bytes of one read within a body."""

MIN_READ_BYTES = 4_096
"""Limit on the bytes of one read outside of a body, if heads have a lower limit."""

MAX_EVENTS = 64
"""Parsed events, such as chunks, after which other tasks run. One read may hold
thousands of chunks."""

MAX_FRAMING_BYTES = 128 << 10
"""Limit on the bytes of a request that are not body, beyond its head: chunk headers and
trailers, apart from what `MAX_FRAMING_SHARE` allows."""

MAX_FRAMING_SHARE = 1 / 16
"""Further bytes of this kind for each byte of the body."""

TOO_LONG_STATUS = 431
"""Status that h11 suggests when a head, chunk header or trailer exceeds its limit."""

HEAD_TOO_LONG = "request head too long"
BODY_TOO_LONG = "request body too long"
FRAMING_TOO_LONG = "request framing too long"
TOO_SLOW = "request took too long"


class BadRequestError(Exception):
    """The request is malformed, too large, incomplete in time, or has no buffer space.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : list of tuple, optional
        Headers of the answer.
    place : str, optional
        The bound that was reached; empty if none was.
    count : int, optional
        Bytes received then.
    """

    def __init__(
        self,
        status: int,
        headers: http_exchange.Headers | None = None,
        place: str = "",
        count: int = 0,
    ) -> None:
        super().__init__(status)
        self.status = status
        self.headers = headers or []
        self.place = place
        self.count = count


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A complete request, and the engine that frames its answer."""

    incoming: calls.Incoming
    """The request."""

    engine: h11.Connection
    """Engine that parsed it."""

    body: body_buffer.BodyBuffer
    """Its body."""

    reserved_bytes: int
    """Bytes that are reserved for its head and body."""


class RequestParser:
    """Incremental parser of the requests on one connection.

    Parameters
    ----------
    read_limits : callable
        Returns the size and time limits for callers; called once for each request.
    reserve_body : callable
        Called with the bytes to reserve for a request and all its bytes so far: with
        all of its body once the length is known, else as it arrives. May raise
        `BadRequestError` if there is no room for them.

    Attributes
    ----------
    is_paused : bool
        Whether the last call of `parse` ended at `MAX_EVENTS`, and there may be more
        to parse.
    """

    def __init__(
        self,
        read_limits: collections.abc.Callable[[], configuration.Limits],
        reserve_body: collections.abc.Callable[[int, int], None],
    ) -> None:
        self._read_limits = read_limits
        self._reserve_body = reserve_body
        self.is_paused = False
        self._is_reserving = False
        self._received_bytes = 0
        self._arrivals: collections.deque[tuple[int, float]] = collections.deque()
        self._start_engine(b"")

    @property
    def limits(self) -> configuration.Limits:
        """Limits of the request that is being parsed."""
        return self._limits

    @property
    def engine(self) -> h11.Connection:
        """Engine of the request that is being parsed."""
        return self._engine

    @property
    def first_byte_at(self) -> float | None:
        """When the first byte of the current request arrived; None before that."""
        return self._first_byte_at

    @property
    def is_in_body(self) -> bool:
        """Whether the head of the current request is complete and its body is not."""
        return self._head is not None

    @property
    def incoming(self) -> calls.Incoming | None:
        """The current request without its body; None until its head is complete."""
        return self._head

    @property
    def wants_continue(self) -> bool:
        """Whether the caller waits for "100 Continue" before it sends the body."""
        return self.is_in_body and self._engine.they_are_waiting_for_100_continue

    @property
    def body_bytes(self) -> int:
        """Bytes of the current request's body that have arrived."""
        return self._body.size

    def discard_body(self) -> int:
        """Drop what has arrived of a body; return how many bytes were reserved."""
        reserved, self._reserved = self._reserved, 0
        self._body.clear()
        return reserved

    @property
    def request_bytes(self) -> int:
        """Bytes received of the current request, and of what follows it."""
        return self._received_bytes - self._start_position

    @property
    def max_read_bytes(self) -> int:
        """How many bytes to read at once.

        A head that is complete after one read is parsed before its size is known.
        """
        if self.is_in_body:
            return MAX_READ_BYTES
        return min(MAX_READ_BYTES, max(MIN_READ_BYTES, self._limits.max_head_bytes))

    def count_unparsed(self) -> int:
        """Return how many received bytes are not parsed yet."""
        return len(self._engine.trailing_data[0])

    def feed(self, data: bytes, now: float) -> None:
        """Add received bytes, and record when they arrived."""
        if self._first_byte_at is None:
            self._first_byte_at = now
        self._received_bytes += len(data)
        self._arrivals.append((self._received_bytes, now))
        self._engine.receive_data(data)

    def parse(self) -> ParsedRequest | None:
        """Return the next request, or None if it is not complete yet or not parsed yet.

        Raises
        ------
        BadRequestError
            If the request is malformed, or its head or body is too large.
        """
        self.is_paused = False
        for _ in range(MAX_EVENTS):
            match self._next_event():
                case h11.Request() as head:
                    self._check_head(head)
                    self._head = self._make_incoming(head)
                case h11.Data(data=data):
                    self._append_body(data)
                case h11.EndOfMessage() if self._head is not None:
                    return self._finish_request(self._head)
                case h11.NEED_DATA:
                    self._check_framing()
                    # The next request begins with bytes that are still to be received.
                    self._arrivals.clear()
                    return None
                case _:
                    return None
        self.is_paused = True
        return None

    def _check_head(self, head: h11.Request) -> None:
        """Refuse a head that is too long, or that announces too long a body.

        Room for a body of known length is reserved here: if there is none, its caller
        should know before it sends the body.
        """
        # The engine limits the size only while the head is incomplete.
        size = _measure_head(head)
        if size > self._limits.max_head_bytes:
            raise BadRequestError(TOO_LONG_STATUS, place=HEAD_TOO_LONG, count=size)
        for name, value in head.headers:
            if name == b"content-length":
                self._check_body(int(value))
                self._body = body_buffer.BodyBuffer(int(value))
        self._head_bytes = held_bytes.measure_head(size, len(head.headers))
        self._reserve(self._body.expected_bytes)

    def _append_body(self, data: bytes | bytearray) -> None:
        size = self._body.size + len(data)
        self._check_body(size)
        self._reserve(size)
        self._body.add(data)

    def _reserve(self, body_bytes: int) -> None:
        """Reserve at least the memory of the head and of so much of the body."""
        size = self._head_bytes + body_bytes
        missing = size - self._reserved
        if missing > 0:
            self._is_reserving = True
            try:
                self._reserve_body(missing, size)
            finally:
                self._is_reserving = False
            self._reserved = size

    def trim_reservation(self, body_bytes: int) -> int:
        """Reserve no more than for so much of the body; return what was released.

        What has arrived stays reserved, and what arrives beyond is reserved then.
        Nothing is released while this body itself is being reserved.
        """
        if self._is_reserving:
            return 0
        size = self._head_bytes + max(body_bytes, self._body.size)
        released = max(0, self._reserved - size)
        self._reserved -= released
        return released

    def _check_body(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise BadRequestError(413, place=BODY_TOO_LONG, count=size)

    def _check_framing(self) -> None:
        """Refuse a request of which too much was received that is not body."""
        framing = self.request_bytes - self._body.size
        limit = self._limits.max_head_bytes + MAX_FRAMING_BYTES
        if framing > limit + MAX_FRAMING_SHARE * self._body.size:
            raise BadRequestError(413, place=FRAMING_TOO_LONG, count=framing)

    def _make_incoming(self, head: h11.Request) -> calls.Incoming:
        """Return a request of which only the head has arrived."""
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        has_body = any(
            name in (b"content-length", b"transfer-encoding") for name, _ in headers
        )
        host = http_exchange.find_header(headers, b"host") or b""
        request = http_exchange.Request(
            bytes(head.method),
            bytes(head.target),
            http_exchange.strip_connection_headers(headers),
            (),
            has_body,
        )
        return calls.Incoming(
            request,
            host.decode("latin-1"),
            self._first_byte_at or 0.0,
            calls.Caller(can_take_chunks=head.http_version >= b"1.1"),
        )

    def _finish_request(self, incoming: calls.Incoming) -> ParsedRequest:
        request = dataclasses.replace(incoming.request, parts=self._body)
        incoming = dataclasses.replace(incoming, request=request)
        parsed = ParsedRequest(incoming, self._engine, self._body, self._reserved)
        self._start_engine(self._engine.trailing_data[0])
        return parsed

    def _start_engine(self, data: bytes) -> None:
        """Prepare for the next request, of which `data` has already arrived."""
        self._limits = self._read_limits()
        self._engine = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_head_bytes
        )
        self._head: calls.Incoming | None = None
        self._body = body_buffer.BodyBuffer()
        self._head_bytes = 0
        self._reserved = 0
        self._start_position = self._received_bytes - len(data)
        self._first_byte_at = self._find_arrival(self._start_position)
        if data:
            self._engine.receive_data(data)

    def _find_arrival(self, position: int) -> float | None:
        """Return when the byte at a stream position arrived; None if it has not."""
        while self._arrivals and self._arrivals[0][0] <= position:
            self._arrivals.popleft()
        return self._arrivals[0][1] if self._arrivals else None

    def _next_event(self) -> object:
        try:
            return self._engine.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            if status != TOO_LONG_STATUS:
                raise BadRequestError(status) from error
            place = FRAMING_TOO_LONG if self.is_in_body else HEAD_TOO_LONG
            raise BadRequestError(
                status, place=place, count=self.request_bytes
            ) from error


def _measure_head(head: h11.Request) -> int:
    """Return the approximate size of a request's head in bytes."""
    fields = sum(
        len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in head.headers
    )
    return len(head.method) + len(head.target) + fields
