"""One HTTP/1.1 request and its answer on a connection, by the engine `h11`.

`h11` is what `hypercorn` and `httpx` are built on. It is used directly where the proxy
must know which bytes came on which connection: how an answer was framed, what followed
it, and whether a connection is still clean (memory and start-up time in
docs/PLATFORM.md).
"""

from __future__ import annotations

import dataclasses

import anyio
import anyio.abc
import h11

READ_BYTES = 65_536
"""Most bytes taken from a connection at once: what h11 reads by default."""

MOST_HEAD_BYTES = 65_536
"""Largest head of an answer; targets send a few hundred bytes."""

MOST_FOREIGN = 3
"""Answers to other requests that are read past before a connection is given up. A
target that sends nothing else would hold a request until its deadline."""

Headers = list[tuple[bytes, bytes]]


class BrokenAnswerError(Exception):
    """The bytes that came are no whole answer.

    Parameters
    ----------
    detail : str
        What came instead.
    is_cut : bool, optional
        Whether the connection ended.
    """

    def __init__(self, detail: str, is_cut: bool = False) -> None:
        super().__init__(detail)
        self.is_cut = is_cut


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its whole body."""

    method: bytes
    """Method, as the caller wrote it."""

    path: bytes
    """Path and query, as the caller wrote them."""

    headers: Headers
    """Headers with lower-case names, without those that frame the body."""

    body: bytes
    """Body, empty where there is none."""

    has_body: bool
    """Whether the request states a body, even an empty one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    """Status code."""

    headers: Headers
    """Headers with lower-case names."""

    body: bytes
    """Body."""

    is_reusable: bool
    """Whether the connection may carry another request."""

    trailing: bytes
    """Bytes that came after the answer and belong to no request yet."""

    def find(self, name: bytes) -> bytes | None:
        """Return the value of a header, if it is there."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, if it is there."""
    for known, value in headers:
        if known == name:
            return value
    return None


def await_answer(request: Request) -> h11.Connection:
    """Return a client engine that awaits an answer, with nothing to send."""
    engine = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD_BYTES)
    head = h11.Request(
        method=request.method, target=request.path, headers=[(b"host", b"-")]
    )
    engine.send(head)
    engine.send(h11.EndOfMessage())
    return engine


def encode_request(request: Request) -> tuple[h11.Connection, bytes]:
    """Return a client engine that awaits the answer, and the bytes to send."""
    engine = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD_BYTES)
    headers = list(request.headers)
    if request.has_body:
        headers.append((b"content-length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.path, headers=headers)
    data = engine.send(head) or b""
    if request.body:
        data += engine.send(h11.Data(data=request.body)) or b""
    data += engine.send(h11.EndOfMessage()) or b""
    return engine, data


class Exchange:
    """A request on its way over one connection.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The connection.
    request : Request
        What to send.
    echo : bytes, optional
        The header by which an answer names its request. Without it, the first answer
        is taken for this request's.

    Attributes
    ----------
    foreign : int
        Answers to other requests that came so far.
    has_begun : bool
        Whether some of an answer came.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        request: Request,
        echo: bytes | None = None,
    ) -> None:
        self._stream = stream
        self._request = request
        self._echo = echo
        self._engine, self._data = encode_request(request)
        self._is_sent = False
        self._is_closing = False
        self.has_begun = False
        self._has_ended = False
        self.foreign = 0

    async def run(self) -> Answer:
        """Send the request and return its answer.

        Answers to other requests that come first are read past, on the same
        connection: closing it would end the work on this request. One whose end cannot
        be told from what follows breaks the connection, since bytes of it could be
        taken for an answer.

        A target may answer before it has read a long body. Sending and reading
        therefore go on at the same time; where the answer comes first, the connection
        is not used again, since the rest of the body is still due on it.

        Raises
        ------
        BrokenAnswerError
            If no whole answer came.
        """
        if len(self._data) <= READ_BYTES // 4:
            await self._send()
            return self._close_unsent(await self._read_own())
        ended: Answer | BrokenAnswerError = BrokenAnswerError("cancelled")
        async with anyio.create_task_group() as group:
            group.start_soon(self._send)
            try:
                ended = await self._read_own()
            except BrokenAnswerError as error:
                ended = error  # A task group would wrap it in a group.
            group.cancel_scope.cancel()
        if isinstance(ended, BrokenAnswerError):
            raise ended
        return self._close_unsent(ended)

    def _close_unsent(self, answer: Answer) -> Answer:
        """Return an answer; its connection ends where some of the request is unsent."""
        if self._is_sent:
            return answer
        return dataclasses.replace(answer, is_reusable=False)

    async def _read_own(self) -> Answer:
        """Return the first answer that names no other request."""
        answer = await self._read()
        while self._is_foreign(answer):
            self.foreign += 1
            if self.foreign > MOST_FOREIGN:
                raise BrokenAnswerError("too many answers to other requests")
            if self._engine.their_state is not h11.DONE:
                self._is_closing = True
            self._engine = await_answer(self._request)
            self.has_begun = bool(answer.trailing)
            if answer.trailing:  # h11 takes empty bytes for the connection's end.
                self._engine.receive_data(answer.trailing)
            answer = await self._read()
        return answer

    def _is_foreign(self, answer: Answer) -> bool:
        if self._echo is None:
            return False
        echo = answer.find(self._echo)
        return echo is not None and echo != find_header(
            self._request.headers, self._echo
        )

    async def _send(self) -> None:
        try:
            await self._stream.send(self._data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The reader finds out what became of the connection: an answer that came
            # before the reset still counts.
            return
        self._is_sent = True

    async def _read(self) -> Answer:
        head: h11.Response | None = None
        body: list[bytes] = []
        while True:
            try:
                event = self._engine.next_event()
            except h11.RemoteProtocolError as error:
                if self._has_ended:
                    detail = self._describe("closed")
                    raise BrokenAnswerError(detail, is_cut=True) from error
                raise BrokenAnswerError("not an answer") from error
            match event:
                case h11.Response():
                    head = event
                case h11.Data():
                    body.append(bytes(event.data))
                case h11.EndOfMessage() if head is not None:
                    return self._finish(head, b"".join(body))
                case h11.InformationalResponse():
                    continue
                case h11.NEED_DATA:
                    await self._receive()
                case _:
                    raise BrokenAnswerError("another protocol")

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            # Only an orderly end may finish an answer without a length; a reset
            # may have cut it, and must not make it look whole.
            self._has_ended = True
            data = b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            detail = self._describe("reset")
            raise BrokenAnswerError(detail, is_cut=True) from error
        self.has_begun = self.has_begun or bool(data)
        self._engine.receive_data(data)

    def _describe(self, end: str) -> str:
        """Return how the connection ended, in words that make few kinds."""
        if self.has_begun:
            return f"{end} within an answer"
        if self.foreign:
            return f"{end} behind another answer"
        if not self._is_sent:
            return f"{end} before the request was sent"
        return f"{end} before an answer"

    def _finish(self, head: h11.Response, body: bytes) -> Answer:
        trailing, is_closed = self._engine.trailing_data
        is_reusable = (
            self._engine.their_state is h11.DONE
            and self._engine.our_state is h11.DONE
            and not trailing
            and not is_closed
            and not self._is_closing
        )
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        return Answer(head.status_code, headers, body, is_reusable, bytes(trailing))


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
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""


def strip_connection_headers(headers: Headers) -> Headers:
    """Return the headers that travel on, without those of this connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = CONNECTION_HEADERS | named
    return [(name, value) for name, value in headers if name not in dropped]
