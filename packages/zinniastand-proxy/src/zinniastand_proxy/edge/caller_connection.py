"""One caller's connection: reads requests ahead and answers them in their order.

Each request is read whole before it is handed on, so that it can be sent again, and
each answer is known whole before its first byte goes out, so that a cut one is never
taken for an answer.

Load pattern: a caller sends several idempotent requests before the first is answered.
They run side by side, and each counts its time from its own first byte. Served one
after the other, the last would be handed on with time that its caller no longer has.
Work that may run only once waits until all before it are answered: an answer that
closes the connection tells its caller that nothing behind it was read.
"""

from __future__ import annotations

import collections
import collections.abc
import math
import typing

import anyio
import anyio.abc
import h11

from zinniastand_core.deployment import configuration

from . import calls, exchanges, request_parser

LINGER = 0.5
"""Most seconds between the last answer on a connection and its close, so that a caller
that sends on reads the answer before it sees a reset. Most close at once; a busy one
takes some tenths, and a stop waits for as long."""

LAST_LOOK = 0.02
"""Seconds for which an idle connection is read once more before it closes: what has
arrived by then is read in a few turns of the loop."""

MOST_HELD_BYTES = 32 << 20
"""Bytes of request bodies that are held at a time. A body is kept until its request is
answered, since it may have to be sent again; without a bound on their sum, many long
bodies at once would exceed the memory of the VM, and its end would cut off everybody.
The smallest VMs have 200 MB, of which an idle process takes 35."""

MOST_IN_SERIES = 8
"""Requests of a connection that are read and not answered yet; later ones are read when
there is room."""

MOST_BEHIND = 500
"""Requests of all connections that run behind another one. Each takes a descriptor and
memory, of which the first request of a connection must find some."""

MOST_UNPARSED_BYTES = 65_536
"""Bytes that are read ahead of what has room, so that a caller that leaves is noticed
behind them."""

RETURN_PAUSE = b"0.5"
"""Seconds after which a caller may come back whose body found no room: the time in
which most requests are answered."""

GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError)
"""How a connection shows that its caller is gone, and with it whoever could be told."""


class Shared:
    """What the connections of one server have in common.

    Parameters
    ----------
    handler : calls.Handler
        Answers the requests.
    may_overlap : callable
        Tells whether a request may run beside others of its connection.
    read_limits : callable
        Returns what callers may send; asked anew for each request.
    note_error : callable
        Takes an error that no part expected, so that it is not lost.
    """

    def __init__(
        self,
        handler: calls.Handler,
        may_overlap: calls.MayOverlap,
        read_limits: collections.abc.Callable[[], configuration.Limits],
        report_error: collections.abc.Callable[[BaseException], None],
    ) -> None:
        self.handler = handler
        self.may_overlap = may_overlap
        self.read_limits = read_limits
        self.report_error = report_error
        self.is_stopping = False
        self.in_flight = 0
        self.behind = 0
        self.held_bytes = 0
        self.idle: set[Connection] = set()
        self.answering: set[Connection] = set()
        self.lingering: set[Connection] = set()

    def hold(self, size: int) -> None:
        """Count bytes of a body; refuse its request where there is no room."""
        self.held_bytes += size
        if self.held_bytes > MOST_HELD_BYTES:
            headers = [(b"retry-after", RETURN_PAUSE)]
            raise request_parser.BadRequestError(503, headers)

    def forget(self, connection: Connection) -> None:
        """Take in that a connection has ended."""
        for group in (self.idle, self.answering, self.lingering):
            group.discard(connection)


class Connection:
    """One caller's connection.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The connection.
    shared : Shared
        What it has in common with others.
    """

    def __init__(self, stream: anyio.abc.SocketStream, shared: Shared) -> None:
        self._stream = stream
        self._shared = shared
        self._parser = request_parser.RequestParser(shared.read_limits, shared.hold)
        self._series: collections.deque[exchanges.Exchange] = collections.deque()
        self._group: anyio.abc.TaskGroup | None = None
        self._reading = anyio.CancelScope()
        self._changed = anyio.Event()
        self._room_at = -math.inf
        self._received_at = -math.inf
        self._takes_more = True
        self._is_last_read = False
        self._has_ended = False

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            if await self._serve_series():
                await _run_while_there(self._linger)
        except Exception as error:
            # Without this, a fault met by one request would end the listener and with
            # it every other request of this VM.
            self._shared.report_error(error)
        finally:
            self._release(self._parser.held_bytes)
            while self._series:
                self._drop(self._series.popleft())
            self._shared.forget(self)

    def end_idle(self) -> None:
        """Wait no longer for a request, if none has begun.

        The connection ends by itself, LAST_LOOK later. Until then it is not idle any
        more: a stop that counted it as such would end before that look.
        """
        if self in self._shared.idle:
            self._shared.idle.discard(self)
            self._reading.deadline = -math.inf

    async def _serve_series(self) -> bool:
        """Read and answer side by side; return whether any answer went out."""
        is_answered = False
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(_run_while_there, self._read_all)
            is_answered = await _run_while_there(self._answer_all)
            group.cancel_scope.cancel()
        return is_answered

    async def _read_all(self) -> bool:
        """Read until the connection ends, and start what has arrived."""
        try:
            while True:
                self._take_requests()
                await self._wait_for_room()
                await self._allow_body()
                if not await self._receive():
                    return True
        finally:
            self._has_ended = True
            self._takes_more = False
            for exchange in self._series:
                exchange.leave()
            self._wake()

    def _take_requests(self) -> None:
        """Take in the requests that are whole, as far as there is room."""
        try:
            while self._takes_more and len(self._series) < MOST_IN_SERIES:
                parsed = self._parser.parse()
                if parsed is None:
                    break
                may_overlap = self._shared.may_overlap(parsed.incoming)
                self._add(exchanges.Exchange(parsed, parsed.engine, may_overlap))
                self._is_last_read = parsed.engine.their_state is h11.MUST_CLOSE
                # A request to switch protocols says what follows once it is answered.
                self._takes_more = parsed.engine.their_state is h11.DONE
        except request_parser.BadRequestError as error:
            self._refuse(error)
        self._start_ready()
        self._expect()

    def _refuse(self, error: request_parser.BadRequestError) -> None:
        """Answer a request that cannot be read, in its turn; none is read after it."""
        reply = calls.Reply(error.status, error.headers, b"")
        self._add(exchanges.Exchange(None, self._parser.engine, False, reply))
        self._takes_more = False
        self._is_last_read = True

    def _add(self, exchange: exchanges.Exchange) -> None:
        self._series.append(exchange)
        self._shared.answering.add(self)
        self._wake()

    def _start_ready(self) -> None:
        """Start the requests whose turn has come."""
        may_go_on = not self._shared.is_stopping and not self._has_ended
        for place, exchange in enumerate(self._series):
            if not exchange.is_started:
                is_in_turn = place == 0
                if not (is_in_turn or (may_go_on and self._may_overlap(exchange))):
                    return
                self._start(exchange, is_behind=not is_in_turn)
            may_go_on = may_go_on and exchange.may_overlap

    def _may_overlap(self, exchange: exchanges.Exchange) -> bool:
        return exchange.may_overlap and self._shared.behind < MOST_BEHIND

    def _start(self, exchange: exchanges.Exchange, is_behind: bool) -> None:
        exchange.is_started = True
        exchange.is_behind = is_behind
        self._shared.in_flight += 1
        self._shared.behind += is_behind
        if self._group is not None:
            self._group.start_soon(self._run, exchange)

    async def _run(self, exchange: exchanges.Exchange) -> None:
        if exchange.parsed is not None:
            exchange.reply = await self._handle(exchange.parsed.incoming)
            self._wake()

    async def _handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the handler's answer, or one that admits a fault.

        A connection that closes instead leaves the caller to guess, and a fault of one
        request would break the promise to answer what was read.
        """
        try:
            return await self._shared.handler.handle(incoming)
        except Exception as error:
            self._shared.report_error(error)
            return exchanges.FAULT_REPLY

    async def _answer_all(self) -> bool:
        """Answer in the order of the requests; return whether any answer went out.

        An answer closes the connection only if no request that has been started stands
        behind it: that one would be cut off while a target is at work.
        """
        while True:
            while not (self._series and self._series[0].reply is not None):
                if self._has_ended and not self._series:
                    return False
                await self._changed.wait()
            exchange = self._series[0]
            is_last = len(self._series) < 2 or not self._series[1].is_started
            must_close = is_last and (self._shared.is_stopping or self._has_ended)
            await self._send(exchange, must_close or exchange.parsed is None)
            self._drop(self._series.popleft())
            if must_close or not exchange.may_go_on:
                return True
            self._room_at = anyio.current_time()
            self._takes_more = self._takes_more or not self._series
            self._take_requests()

    def _drop(self, exchange: exchanges.Exchange) -> None:
        """Take in that a request is answered, or never will be."""
        if exchange.parsed is not None:
            self._release(exchange.parsed.body_bytes)
            self._shared.in_flight -= exchange.is_started
            self._shared.behind -= exchange.is_behind
        if not self._series:
            self._shared.answering.discard(self)
        self._wake()

    def _release(self, size: int) -> None:
        self._shared.held_bytes -= size

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _wait_for_room(self) -> None:
        """Wait while more is read ahead than there is room for."""
        while self._parser.count_unparsed() > MOST_UNPARSED_BYTES:
            if self._takes_more and len(self._series) < MOST_IN_SERIES:
                return
            await self._changed.wait()

    async def _allow_body(self) -> None:
        """Tell a caller that asks first to send its body, once it is its turn."""
        while self._takes_more and self._parser.wants_continue:
            if not self._series:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send(self._parser.engine.send(interim) or b"")
                return
            await self._changed.wait()

    def _expect(self) -> None:
        """Set until when to wait for bytes, by what they would belong to.

        Called whenever that may have changed, also while the reader waits.
        """
        parser = self._parser
        is_between = parser.first_byte_at is None
        if is_between and not self._series and not self._has_ended:
            self._shared.idle.add(self)
        else:
            self._shared.idle.discard(self)
        self._reading.deadline = self._find_deadline()

    def _find_deadline(self) -> float:
        parser, limits = self._parser, self._parser.limits
        if not self._takes_more or len(self._series) >= MOST_IN_SERIES:
            return math.inf
        if parser.is_in_body:
            return max(self._received_at, self._room_at) + limits.idle_timeout
        if parser.first_byte_at is not None:
            return max(parser.first_byte_at, self._room_at) + limits.head_timeout
        if self._series:
            return math.inf
        return anyio.current_time() + limits.idle_timeout

    async def _receive(self) -> bool:
        """Read more; return False where the connection ends."""
        with anyio.CancelScope() as self._reading:
            self._expect()
            return await self._receive_once()
        if self._parser.first_byte_at is not None:
            self._refuse(request_parser.BadRequestError(408))
            return True
        # A request that arrived just then is there to be read, and its caller would
        # see it cut off.
        with anyio.move_on_after(LAST_LOOK):
            return await self._receive_once()
        return False

    async def _receive_once(self) -> bool:
        try:
            data = await self._stream.receive()
        except anyio.EndOfStream:
            return False
        if not self._is_last_read:
            self._received_at = anyio.current_time()
            self._parser.feed(data, self._received_at)
        return True

    async def _send(self, exchange: exchanges.Exchange, must_close: bool) -> None:
        reply = exchange.reply
        if reply is None:
            return
        try:
            data = exchange.encode(reply, must_close)
        except h11.LocalProtocolError as error:
            # The work is done; without an answer its caller could only guess.
            self._shared.report_error(error)
            data = exchanges.FAULT_ANSWER
        with anyio.fail_after(self._parser.limits.idle_timeout):
            await self._stream.send(data)

    async def _linger(self) -> bool:
        """Say that nothing more comes, and read off what the caller still sends.

        Bytes left unread at the close would make the kernel reset the connection, and
        the caller could lose the answer. What is read here is never handed on.
        """
        self._shared.forget(self)
        self._shared.lingering.add(self)
        try:
            await self._stream.send_eof()
            with anyio.move_on_after(LINGER):
                while True:
                    await self._stream.receive()
        except anyio.EndOfStream:
            pass  # The caller has read to the end, and closed its side.
        return True


async def _run_while_there(
    part: collections.abc.Callable[[], typing.Awaitable[bool]],
) -> bool:
    """Run a part of a connection; return False where its caller is gone."""
    try:
        return await part()
    except GONE:
        return False
