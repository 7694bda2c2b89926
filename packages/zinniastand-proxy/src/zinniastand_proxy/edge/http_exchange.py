"""Sends one HTTP/1.1 request on a connection and reads its answer, using `h11`.

`h11` is the engine that `hypercorn` and `httpx` are built on. It is used directly
because the proxy must know which bytes came on which connection: how an answer was
framed, what followed it, and whether the connection may be reused. The memory use
and start-up time of h11 are in docs/PLATFORM.md.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from . import input_bounds
from .answers import answer_meter
from .memory import body_buffer

MAX_READ_BYTES = 65_536
"""Limit on the bytes of one read from a connection: the amount that h11 reads by
default."""

MAX_JOINED_BYTES = MAX_READ_BYTES // 4
"""Size up to which a request is sent at once, before its answer is read."""

MAX_UNRESERVED_BYTES = 65_536
"""Size up to which an answer that is buffered whole needs no room to be reserved."""

MAX_ANSWER_HEAD_BYTES = 65_536
"""Limit on the head of an answer; targets send a few hundred bytes."""

MAX_FOREIGN_ANSWERS = 3
"""Limit on the answers to other requests that are skipped before the connection is
closed. Without it, a target that sends nothing else would block a request until its
deadline."""

MAX_HEAD_TIME_S = 1.0
"""Seconds from the first byte of an answer's head to its end. Targets send a head at
once."""

MAX_COUNTED_PAUSE_S = 0.2
"""Seconds of a pause within a head that count. A link that fails for seconds ends no
answer, while a head that goes on without end is cut off."""

MAX_EVENTS_WITHOUT_YIELD = 64
"""Parsed events, such as chunks, after which other tasks run. One read may hold
thousands of chunks."""

TOO_LONG_STATUS = 431
"""Status that h11 suggests when a head, chunk header or trailer exceeds its limit."""

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of answers that have no body, whatever length their head states."""

STREAM_READ_BYTES = 32_768
"""Limit on the bytes of one read of an answer that is being passed on: by so much its
window may be exceeded."""

MAX_SILENCE_S = 10.0
"""Seconds for which a target may send nothing within an answer that is being passed on.
Nothing else limits the time of such an answer if its caller states no deadline."""

Headers = list[tuple[bytes, bytes]]


class BrokenAnswerError(Exception):
    """The received bytes are not a complete answer.

    Parameters
    ----------
    detail : str
        What was received instead.
    is_cut : bool, optional
        Whether the connection ended before the answer was complete.
    bound_count : int, optional
        Bytes or answers received when a bound was reached; None if none was.
    """

    def __init__(
        self, detail: str, is_cut: bool = False, bound_count: int | None = None
    ) -> None:
        super().__init__(detail)
        self.is_cut = is_cut
        self.bound_count = bound_count


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body."""

    method: bytes
    """Method, as the caller sent it."""

    path: bytes
    """Path and query, as the caller sent them."""

    headers: Headers
    """Headers with lower-case names, without those that frame the body."""

    parts: collections.abc.Sequence[body_buffer.Part]
    """Parts of the body, which all attempts share; empty if there is none, and released
    once a caller's request is answered."""

    has_body: bool
    """Whether the request declares a body, even an empty one."""

    @property
    def body_bytes(self) -> int:
        """Size of the body in bytes."""
        return sum(map(len, self.parts))

    @property
    def body(self) -> bytes:
        """The body as a whole, which is a copy if it has several parts."""
        return b"".join(self.parts)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    status: int
    """Status code."""

    headers: Headers
    """Headers with lower-case names."""

    body: body_buffer.Part
    """Body; a view of its own memory if it is long."""

    is_reusable: bool
    """Whether the connection may carry another request."""

    trailing: bytes
    """Bytes received after the answer, which belong to no request."""

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header; None if it is absent."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Head:
    """The head of an answer that is being read."""

    status: int
    """Status code."""

    headers: Headers
    """Headers with lower-case names."""

    is_foreign: bool
    """Whether it is an answer to another request."""

    length: int | None
    """Length of the body; None if it is not known."""


class AnswerSink(typing.Protocol):
    """Takes an answer while it arrives."""

    def may_begin(self, head: Answer, length: int | None, received: int) -> bool:
        """Return whether an answer may begin of which `received` bytes have arrived.

        `length` is its content length; None if it is unknown.
        """
        ...

    async def begin(self, head: Answer, length: int | None) -> None:
        """Begin an answer, once nothing else is due to the caller before it."""
        ...

    def put(self, data: bytes) -> None:
        """Add bytes to an answer that has begun."""
        ...

    async def wait_for_room(self) -> None:
        """Return once more of the answer may be read."""
        ...


CountBuffered = collections.abc.Callable[[int], None]
"""Counts a change in buffered bytes."""

WaitForRoom = collections.abc.Callable[[int], collections.abc.Awaitable[None]]
"""Returns once there is room for an answer of a size in bytes."""


async def find_room(_: int) -> None:
    """Return at once: there is always room."""


MayStream = collections.abc.Callable[[Answer], bool]
"""Returns whether an answer with this head may be passed on while it arrives."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; None if it is absent."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def make_answer_reader(request: Request) -> h11.Connection:
    """Return a client engine that only reads a further answer, and sends nothing."""
    engine = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)
    head = h11.Request(
        method=request.method, target=request.path, headers=[(b"host", b"-")]
    )
    engine.send(head)
    engine.send(h11.EndOfMessage())
    return engine


def encode_request(
    request: Request,
) -> tuple[h11.Connection, collections.abc.Iterator[bytes]]:
    """Return a client engine that reads the answer, and the encoded request.

    A short request is one piece. The parts of a long one are encoded as they are taken,
    so that they are not held a second time.
    """
    engine = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES)
    headers = list(request.headers)
    if request.has_body:
        headers.append((b"content-length", str(request.body_bytes).encode()))
    head = h11.Request(method=request.method, target=request.path, headers=headers)
    encoded_head = engine.send(head) or b""
    pieces = _encode_body(engine, request)
    if is_short(request):
        return engine, iter((encoded_head + b"".join(pieces),))
    return engine, itertools.chain((encoded_head,), pieces)


def is_short(request: Request) -> bool:
    """Return whether a request is sent at once, before its answer is read."""
    return request.body_bytes <= MAX_JOINED_BYTES


def _encode_body(
    engine: h11.Connection, request: Request
) -> collections.abc.Iterator[bytes]:
    for part in request.parts:
        # The engine joins memory of any kind to bytes, but is typed for bytes alone.
        data = typing.cast(bytes, part)
        yield engine.send(h11.Data(data=data)) or b""
    yield engine.send(h11.EndOfMessage()) or b""


class Exchange:
    """One request and its answer on a connection.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The connection.
    request : Request
        What to send.
    id_header : bytes, optional
        The header in which an answer repeats the id of its request. Without it, the
        first answer counts as the answer to this request.
    max_body_bytes : int, optional
        Limit on the body of an answer, beyond which the exchange fails.
    sink : AnswerSink, optional
        Takes the answer to this request while it arrives. Without it, or if the sink
        does not let the answer begin, the answer is returned whole.
    may_stream : callable, optional
        Returns whether an answer with a given head may be passed to the sink.
    count_buffered : callable, optional
        Called with the change in bytes whenever more or less of a body is buffered. The
        caller subtracts `buffered_bytes` once it has released the answer.
    wait_for_room : callable, optional
        Awaited before an answer longer than `MAX_UNRESERVED_BYTES` is buffered whole.

    Attributes
    ----------
    foreign_answers : int
        Number of answers to other requests that were received so far.
    has_answer_begun : bool
        Whether any bytes of an answer were received.
    buffered_bytes : int
        Bytes that are counted for the body: those that are buffered, or all that it
        needs once room is reserved.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        request: Request,
        id_header: bytes | None = None,
        max_body_bytes: int = answer_meter.MAX_BODY_BYTES,
        *,
        sink: AnswerSink | None = None,
        may_stream: MayStream = lambda _: False,
        count_buffered: CountBuffered = lambda _: None,
        wait_for_room: WaitForRoom = find_room,
    ) -> None:
        self._count_buffered = count_buffered
        self._wait_for_room = wait_for_room
        self._max_body_bytes = max_body_bytes
        self._sink = sink
        self._may_stream = may_stream
        self._is_streaming = False
        self._stream = stream
        self._request = request
        self._id_header = id_header
        self._engine, self._data = encode_request(request)
        self._is_sent = False
        self._must_close = False
        self.has_answer_begun = False
        self._is_at_end = False
        self._meter = answer_meter.AnswerMeter(max_body_bytes)
        self._head_time = 0.0
        self.foreign_answers = 0
        self.buffered_bytes = 0

    async def run(self) -> Answer:
        """Send the request and return its answer.

        The body of an answer that was passed to the sink is empty here.

        Answers to other requests that arrive first are skipped on the same connection,
        because closing it would make the target abort this request. If the end of such
        an answer cannot be determined, the exchange fails, because some of its bytes
        could be parsed as an answer.

        A target may answer before it has read a long body, so a long request is sent
        while its answer is read. If the answer is complete first, the connection is not
        reused, because the target still expects the rest of the body on it.

        Raises
        ------
        BrokenAnswerError
            If no complete answer was received, or a bound was reached. The caller
            closes the connection then.
        """
        if is_short(self._request):
            await self._send()
            return self._forbid_reuse_if_unsent(await self._read_own_answer())
        result: Answer | BrokenAnswerError = BrokenAnswerError("cancelled")
        async with anyio.create_task_group() as group:
            group.start_soon(self._send)
            try:
                result = await self._read_own_answer()
            except BrokenAnswerError as error:
                # Raised from here, it would be wrapped in an exception group.
                result = error
            group.cancel_scope.cancel()
        if isinstance(result, BrokenAnswerError):
            raise result
        return self._forbid_reuse_if_unsent(result)

    def _forbid_reuse_if_unsent(self, answer: Answer) -> Answer:
        """Return an answer, marked not reusable if some of the request is unsent."""
        if self._is_sent:
            return answer
        return dataclasses.replace(answer, is_reusable=False)

    async def _read_own_answer(self) -> Answer:
        """Return the first answer that does not carry another request's id."""
        try:
            answer = await self._read_answer()
            while self._is_foreign(answer.headers):
                self._skip(answer)
                answer = await self._read_answer()
        except input_bounds.BoundReachedError as error:
            raise BrokenAnswerError(error.place, bound_count=error.count) from error
        return answer

    def _skip(self, answer: Answer) -> None:
        """Prepare to read the answer after one to another request."""
        self.foreign_answers += 1
        if self.foreign_answers > MAX_FOREIGN_ANSWERS:
            raise input_bounds.BoundReachedError(
                answer_meter.TOO_MANY_FOREIGN, self.foreign_answers
            )
        if self._engine.their_state is not h11.DONE:
            self._must_close = True
        self._engine = make_answer_reader(self._request)
        self._meter.begin_answer()
        self.has_answer_begun = bool(answer.trailing)
        if answer.trailing:  # h11 interprets empty bytes as end of stream.
            self._engine.receive_data(answer.trailing)

    def _is_foreign(self, headers: Headers) -> bool:
        if self._id_header is None:
            return False
        answer_id = find_header(headers, self._id_header)
        return answer_id is not None and answer_id != find_header(
            self._request.headers, self._id_header
        )

    async def _send(self) -> None:
        try:
            for data in self._data:
                if data:
                    await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The read fails too if there is no answer; one that was received before the
            # connection was reset still counts.
            return
        self._is_sent = True

    async def _read_answer(self) -> Answer:
        """Read one answer; the body of one to another request is not kept."""
        head: _Head | None = None
        body = body_buffer.BodyBuffer()
        events = 0
        while True:
            match self._parse_event(head):
                case h11.Response() as response:
                    head = self._start_body(response)
                    await self._reserve(head, head.length)
                case h11.Data(data=data) if head is not None:
                    self._meter.count_body(len(data))
                    if not head.is_foreign:
                        await self._add_to_body(head, body, data)
                case h11.EndOfMessage() if head is not None:
                    return self._finish(head, body.take_whole())
                case h11.InformationalResponse():
                    self._meter.count_interim()
                case h11.NEED_DATA:
                    await self._receive(head)
                case _:
                    raise BrokenAnswerError("another protocol")
            events += 1
            if events % MAX_EVENTS_WITHOUT_YIELD == 0:
                await anyio.lowlevel.checkpoint()

    async def _add_to_body(
        self,
        head: _Head,
        body: body_buffer.BodyBuffer,
        data: bytes | bytearray | memoryview,
    ) -> None:
        """Add bytes to the body, or pass them to the sink once the answer has begun."""
        if self._is_streaming and self._sink is not None:
            self._sink.put(bytes(data))
            return
        body.add(data)
        if self._sink is None:
            await self._count_whole(head, body.size)
            return
        self._buffer(len(data))
        answer = self._finish(head, b"")
        length = head.length
        if self._sink.may_begin(answer, length, body.size) and self._may_stream(answer):
            await self._sink.begin(answer, length)
            self._is_streaming = True
            self._buffer(-body.size)
            self._sink.put(bytes(body.take_whole()))

    async def _count_whole(self, head: _Head, size: int) -> None:
        """Count a body that is buffered whole, and reserve room if it gets long."""
        if size > max(self.buffered_bytes, MAX_UNRESERVED_BYTES):
            await self._reserve(head, self._max_body_bytes)
        self._buffer(max(0, size - self.buffered_bytes))

    async def _reserve(self, head: _Head, size: int | None) -> None:
        """Wait for room for a whole body of this size; None if it is not known yet."""
        is_whole = self._sink is None and not head.is_foreign
        if size is None or size <= MAX_UNRESERVED_BYTES or not is_whole:
            return
        await self._wait_for_room(size - self.buffered_bytes)
        self._buffer(size - self.buffered_bytes)

    def _buffer(self, change: int) -> None:
        self.buffered_bytes += change
        self._count_buffered(change)

    def _parse_event(self, head: _Head | None) -> object:
        try:
            return self._engine.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == TOO_LONG_STATUS:
                is_in_head = head is None
                raise input_bounds.BoundReachedError(
                    answer_meter.HEAD_TOO_LONG
                    if is_in_head
                    else answer_meter.FRAMING_TOO_LONG,
                    self._meter.received,
                ) from error
            if self._is_at_end:
                detail = self._describe_end("closed")
                raise BrokenAnswerError(detail, is_cut=True) from error
            raise BrokenAnswerError("not an answer") from error

    def _start_body(self, response: h11.Response) -> _Head:
        """Return the head of an answer, after a check of the length that it states."""
        headers = [(bytes(name), bytes(value)) for name, value in response.headers]
        has_body = (
            self._request.method != b"HEAD"
            and response.status_code not in BODILESS_STATUSES
        )
        length = _read_length(headers) if has_body else 0
        if length is not None:
            self._meter.check_length(length)
        is_foreign = self._is_foreign(headers)
        return _Head(response.status_code, headers, is_foreign, length)

    async def _receive(self, head: _Head | None) -> None:
        """Read from the connection; fail if a head goes on for `MAX_HEAD_TIME_S`."""
        self._meter.check_framing()
        if self._is_streaming and self._sink is not None:
            await self._sink.wait_for_room()
            await self._receive_streamed()
            return
        if head is not None or not self._engine.trailing_data[0]:
            self._head_time = 0.0
            await self._receive_once()
            return
        if self._head_time > MAX_HEAD_TIME_S:
            raise input_bounds.BoundReachedError(
                answer_meter.HEAD_TOO_SLOW, self._meter.received
            )
        began_at = anyio.current_time()
        await self._receive_once()
        self._head_time += min(anyio.current_time() - began_at, MAX_COUNTED_PAUSE_S)

    async def _receive_streamed(self) -> None:
        with anyio.move_on_after(MAX_SILENCE_S):
            await self._receive_once(STREAM_READ_BYTES)
            return
        raise BrokenAnswerError("silent within an answer")

    async def _receive_once(self, limit: int = MAX_READ_BYTES) -> None:
        try:
            data = await self._stream.receive(limit)
        except anyio.EndOfStream:
            # An answer without a length ends with the connection. Only an orderly end
            # completes it; after a reset, part of it may be missing.
            self._is_at_end = True
            data = b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            detail = self._describe_end("reset")
            raise BrokenAnswerError(detail, is_cut=True) from error
        self.has_answer_begun = self.has_answer_begun or bool(data)
        self._meter.received += len(data)
        self._engine.receive_data(data)

    def _describe_end(self, end: str) -> str:
        """Return how and when the connection ended.

        The texts are few and constant, because they become values of a metric label.
        """
        if self.has_answer_begun:
            return f"{end} within an answer"
        if self.foreign_answers:
            return f"{end} behind another answer"
        if not self._is_sent:
            return f"{end} before the request was sent"
        return f"{end} before an answer"

    def _finish(self, head: _Head, body: body_buffer.Part) -> Answer:
        trailing, is_closed = self._engine.trailing_data
        is_reusable = (
            self._engine.their_state is h11.DONE
            and self._engine.our_state is h11.DONE
            and not trailing
            and not is_closed
            and not self._must_close
        )
        return Answer(head.status, head.headers, body, is_reusable, bytes(trailing))


def _read_length(headers: Headers) -> int | None:
    """Return the content length that frames a body; None if something else does."""
    if find_header(headers, b"transfer-encoding") is not None:
        return None
    value = find_header(headers, b"content-length")
    return int(value) if value is not None else None


CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1)."""


def strip_connection_headers(headers: Headers) -> Headers:
    """Return the headers without those that apply to one connection only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = CONNECTION_HEADERS | named
    return [(name, value) for name, value in headers if name not in dropped]
