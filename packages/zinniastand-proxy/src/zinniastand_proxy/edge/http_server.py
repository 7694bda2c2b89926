"""Serves callers over HTTP/1.1, one task a connection.

Each request is read whole before it is handed on, so that it can be sent again, and
each answer is known whole before its first byte goes out, so that a cut one is never
taken for an answer.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import json
import typing

import anyio
import anyio.abc
import h11

from zinniastand_core.deployment import configuration

from . import accepting, http_exchange

BACKLOG = 1024
"""Connections that may wait to be accepted. When the queue is full the opening packet
is dropped and comes again only after seconds."""

LINGER = 0.5
"""Most seconds between the last answer on a connection and its close, so that a caller
that sends on reads the answer before it sees a reset. Most close at once; a busy one
takes some tenths, and a stop waits for as long."""

LAST_LOOK = 0.02
"""Seconds for which an idle connection is read once more before it closes: what has
arrived by then is read in a few turns of the loop."""

FIELD_BYTES = 4
"""Bytes of a header field beside its name and value: a colon, a space, an end."""

MOST_HELD_BYTES = 32 << 20
"""Bytes of request bodies that are held at a time. A body is kept until its request is
answered, since it may have to be sent again; without a bound on their sum, many long
bodies at once would exceed the memory of the VM, and its end would cut off everybody.
The smallest VMs have 200 MB, of which an idle process takes 35."""

RETURN_PAUSE = b"0.5"
"""Seconds after which a caller may come back whose body found no room: the time in
which most requests are answered."""

FAULT_STATUS = 502
"""Status of an answer to a request whose handling met a fault of the program. The work
may have run, so that nothing may be promised."""

FAULT_BODY = json.dumps({"status": FAULT_STATUS, "reason": "internal-error"}).encode()
"""Body of such an answer (RFC 9457)."""

FAULT_ANSWER = (
    b"HTTP/1.1 %d \r\ncontent-type: application/problem+json\r\n"
    b"content-length: %d\r\nconnection: close\r\n\r\n%b"
    % (FAULT_STATUS, len(FAULT_BODY), FAULT_BODY)
)
"""The same as it stands on a connection. The engine writes nothing more once it has
refused an answer, so that this goes out beside it and the connection closes."""

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses whose answers have no body; the engine refuses one."""

MOST_CONNECTIONS = 2_500
"""Connections of callers at a time. Each takes a descriptor, and so does each attempt
at a target; together they stay below the descriptors of the smallest VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incoming:
    """A whole request of a caller."""

    request: http_exchange.Request
    """The request, without headers that concern the connection only."""

    host: str
    """Whom the caller asked."""

    read_at: float
    """When its first byte was read, in the VM's steady clock."""

    caller: Caller
    """Who waits for the answer."""


class Caller:
    """The side that waits for one answer; it may leave before."""

    def __init__(self) -> None:
        self.has_left = False
        self._scope: anyio.CancelScope | None = None
        self._may_cancel: typing.Callable[[], bool] | None = None

    def watch(
        self, scope: anyio.CancelScope, may_cancel: typing.Callable[[], bool]
    ) -> None:
        """Cancel `scope` when the caller leaves, if `may_cancel` says so then."""
        self._scope = scope
        self._may_cancel = may_cancel

    def leave(self) -> None:
        """Take in that the caller has gone."""
        self.has_left = True
        if self._scope is not None and self._may_cancel is not None:
            if self._may_cancel():
                self._scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the caller gets."""

    status: int
    """Status code."""

    headers: http_exchange.Headers
    """Headers without those that frame the body."""

    body: bytes
    """Whole body."""


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(self, incoming: Incoming) -> Reply:
        """Return the answer to one request."""
        ...


class Server:
    """A listener and its connections.

    Parameters
    ----------
    handler : Handler
        Answers the requests.
    read_limits : callable
        Returns what callers may send; asked anew for each request.
    note_error : callable
        Takes an error that no part expected, so that it is not lost.
    """

    def __init__(
        self,
        handler: Handler,
        read_limits: collections.abc.Callable[[], configuration.Limits],
        note_error: collections.abc.Callable[[BaseException], None],
    ) -> None:
        self._handler = handler
        self._read_limits = read_limits
        self.note_error = note_error
        self._idle: set[_Connection] = set()
        self._open = 0
        self.in_flight = 0
        self.lingering = 0
        self.held_bytes = 0
        self.is_stopping = False

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; started with the port in use."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=BACKLOG, reuse_port=False
        )
        async with listener:
            raw = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(raw)
            await accepting.accept_all(
                listener, self._serve_connection, self.note_error
            )

    async def close_idle(self) -> None:
        """Close the connections on which no request is under way or about to be read.

        They end by themselves, LAST_LOOK later at most. Until then they are no longer
        idle: a stop that counted them as such would end before their last look.
        """
        for connection in list(self._idle):
            self.note_idle(connection, is_idle=False)
            connection.end_idle()

    def is_owing(self) -> bool:
        """Return whether a request is being read, answered, or its answer read off."""
        return self._open > len(self._idle)

    def count_open(self) -> int:
        """Return how many connections there are."""
        return self._open

    def count_reading(self) -> int:
        """Return on how many connections a request has begun and is not whole yet."""
        return self._open - len(self._idle) - self.in_flight - self.lingering

    def note_idle(self, connection: _Connection, is_idle: bool) -> None:
        """Take in whether a connection waits for a request."""
        if is_idle:
            self._idle.add(connection)
        else:
            self._idle.discard(connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        if self._open >= MOST_CONNECTIONS:
            await anyio.aclose_forcefully(stream)
            return
        self._open += 1
        connection = _Connection(self, stream, self._handler, self._read_limits)
        try:
            await connection.serve()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
            return  # The caller is gone, and with it whoever could be told.
        except Exception as error:
            # Without this, a fault met by one request would end the listener and
            # with it every other request of this VM.
            self.note_error(error)
        finally:
            self._open -= 1
            self._idle.discard(connection)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)


class _BadRequestError(Exception):
    """The request is refused for its form."""

    def __init__(
        self, status: int, headers: http_exchange.Headers | None = None
    ) -> None:
        super().__init__(status)
        self.status = status
        self.headers = headers or []


class _Connection:
    """One caller's connection."""

    def __init__(
        self,
        server: Server,
        stream: anyio.abc.SocketStream,
        handler: Handler,
        read_limits: collections.abc.Callable[[], configuration.Limits],
    ) -> None:
        self.stream = stream
        self._server = server
        self._handler = handler
        self._read_limits = read_limits
        limits = read_limits()
        self._engine = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )
        self._limits = limits
        self._first_byte_at: float | None = None
        self._held_bytes = 0
        self._idle_scope: anyio.CancelScope | None = None

    def end_idle(self) -> None:
        """Wait no longer for a request."""
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            await self._serve_all()
        finally:
            self._release_body()

    async def _serve_all(self) -> None:
        while True:
            self._limits = self._read_limits()
            try:
                incoming = await self._read_request()
            except _BadRequestError as error:
                reply = Reply(error.status, error.headers, b"")
                await self._send(reply, must_close=True)
                await self._linger()
                return
            if incoming is None:
                return
            self._server.in_flight += 1
            try:
                is_open = await self._answer(incoming)
            finally:
                self._server.in_flight -= 1
                self._release_body()
            if not (is_open and self._may_go_on()):
                await self._linger()
                return
            self._engine.start_next_cycle()

    def _may_go_on(self) -> bool:
        """Return whether both sides are done with an exchange and keep going."""
        return (
            self._engine.our_state is h11.DONE and self._engine.their_state is h11.DONE
        )

    async def _linger(self) -> None:
        """Say that nothing more comes, and read off what the caller still sends.

        Bytes left unread at the close would make the kernel reset the connection, and
        the caller could lose the answer. What is read here is never handed on.
        """
        self._server.lingering += 1
        try:
            await self.stream.send_eof()
            with anyio.move_on_after(LINGER):
                while True:
                    await self.stream.receive()
        except anyio.EndOfStream:
            return  # The caller has read to the end, and closed its side.
        finally:
            self._server.lingering -= 1

    async def _answer(self, incoming: Incoming) -> bool:
        """Answer one request; return whether the connection goes on."""
        reply: Reply | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, incoming.caller)
            reply = await self._handle(incoming)
            group.cancel_scope.cancel()
        if reply is None:
            return False
        # A caller that has left may have closed its sending side only.
        must_close = self._server.is_stopping or incoming.caller.has_left
        await self._send(reply, must_close, incoming.request.method)
        return not incoming.caller.has_left

    async def _handle(self, incoming: Incoming) -> Reply:
        """Return the handler's answer, or one that admits a fault.

        A connection that closes instead leaves the caller to guess, and a fault of one
        request would break the promise to answer what was read.
        """
        try:
            return await self._handler.handle(incoming)
        except Exception as error:
            self._server.note_error(error)
            headers = [(b"content-type", b"application/problem+json")]
            return Reply(FAULT_STATUS, headers, FAULT_BODY)

    async def _watch(self, caller: Caller) -> None:
        """Read ahead while a request is under way, to notice that the caller left."""
        received = 0
        while received <= self._limits.max_head_bytes:
            try:
                data = await self.stream.receive()
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                caller.leave()
                return
            received += len(data)
            self._engine.receive_data(data)

    async def _read_request(self) -> Incoming | None:
        """Return the next request, or None where the connection ends before one."""
        head = await self._read_head()
        if head is None:
            return None
        body = await self._read_body()
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        has_body = any(
            name in (b"content-length", b"transfer-encoding") for name, _ in headers
        )
        host = http_exchange.find_header(headers, b"host") or b""
        request = http_exchange.Request(
            bytes(head.method),
            bytes(head.target),
            http_exchange.strip_connection_headers(headers),
            body,
            has_body,
        )
        read_at = self._first_byte_at or anyio.current_time()
        self._first_byte_at = None
        return Incoming(request, host.decode("latin-1"), read_at, Caller())

    async def _read_head(self) -> h11.Request | None:
        has_begun = bool(self._engine.trailing_data[0])
        if has_begun:
            self._first_byte_at = anyio.current_time()
        while True:
            event = self._next_event()
            match event:
                case h11.Request():
                    # The engine bounds only a head that is still incomplete.
                    if _measure_head(event) > self._limits.max_head_bytes:
                        raise _BadRequestError(431)
                    return event
                case h11.ConnectionClosed():
                    return None
                case _:
                    if not await self._receive_head():
                        return None

    async def _receive_head(self) -> bool:
        """Read more of a head; return False where the connection ends before one."""
        if self._first_byte_at is None:
            is_open = await self._wait_for_request()
            self._first_byte_at = anyio.current_time()
            return is_open
        left = self._first_byte_at + self._limits.head_timeout - anyio.current_time()
        with anyio.move_on_after(left):
            return await self._receive()
        raise _BadRequestError(408)

    async def _wait_for_request(self) -> bool:
        """Return whether a request begins before the connection is idle for too long.

        The last look is for a request that arrived just then: it is there to be read,
        and its caller would see it cut off.
        """
        self._server.note_idle(self, is_idle=True)
        try:
            with anyio.move_on_after(self._limits.idle_timeout) as self._idle_scope:
                return await self._receive()
        finally:
            self._server.note_idle(self, is_idle=False)
        with anyio.move_on_after(LAST_LOOK):
            return await self._receive()
        return False

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            match event:
                case h11.Data():
                    parts.append(bytes(event.data))
                    size += len(event.data)
                    self._hold_body(len(event.data))
                    if size > self._limits.max_body_bytes:
                        raise _BadRequestError(413)
                case h11.EndOfMessage():
                    return b"".join(parts)
                case _:
                    await self._receive_body()

    def _hold_body(self, size: int) -> None:
        """Count bytes of a body; refuse the request where there is no room."""
        self._held_bytes += size
        self._server.held_bytes += size
        if self._server.held_bytes > MOST_HELD_BYTES:
            raise _BadRequestError(503, [(b"retry-after", RETURN_PAUSE)])

    def _release_body(self) -> None:
        self._server.held_bytes -= self._held_bytes
        self._held_bytes = 0

    async def _receive_body(self) -> None:
        if self._engine.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send(self._engine.send(informational) or b"")
        with anyio.move_on_after(self._limits.idle_timeout):
            if not await self._receive():
                raise anyio.BrokenResourceError
            return
        raise _BadRequestError(408)

    async def _receive(self) -> bool:
        try:
            data = await self.stream.receive()
        except anyio.EndOfStream:
            data = b""
        self._engine.receive_data(data)
        return bool(data)

    def _next_event(self) -> object:
        try:
            return self._engine.next_event()
        except h11.RemoteProtocolError as error:
            raise _BadRequestError(error.error_status_hint) from error

    async def _send(self, reply: Reply, must_close: bool, method: bytes = b"") -> None:
        try:
            data = self._encode(reply, must_close, method)
        except h11.LocalProtocolError as error:
            # The work is done; without an answer its caller could only guess.
            self._server.note_error(error)
            data = FAULT_ANSWER
        with anyio.fail_after(self._limits.idle_timeout):
            await self.stream.send(data)

    def _encode(self, reply: Reply, must_close: bool, method: bytes) -> bytes:
        is_bodiless = reply.status in BODILESS_STATUSES
        body = b"" if is_bodiless or method == b"HEAD" else reply.body
        size = 0 if is_bodiless else len(reply.body)
        headers = [*reply.headers, (b"content-length", str(size).encode())]
        if must_close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        data = self._engine.send(head) or b""
        if body:
            data += self._engine.send(h11.Data(data=body)) or b""
        return data + (self._engine.send(h11.EndOfMessage()) or b"")


def _measure_head(head: h11.Request) -> int:
    """Return the size of a request's head in bytes, within a few."""
    fields = sum(len(name) + len(value) + FIELD_BYTES for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
