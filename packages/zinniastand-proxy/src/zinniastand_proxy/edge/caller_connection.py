"""Serves one caller's connection with HTTP/1.1 pipelining.

Each request is buffered completely before it is forwarded, so that it can be retried.
Answers are buffered completely before their first byte is sent, or are sent while they
arrive. A truncated answer never looks complete: the connection ends before its end.

Pipelined idempotent requests run concurrently, and the time limit of each counts from
its own first byte. If they ran one after the other, the last would be forwarded with
time that its caller no longer has. A request that may run only once waits until all
earlier ones are answered, because an answer with "connection: close" tells the caller
that no later request on the connection was processed.
"""

from __future__ import annotations

import collections
import collections.abc
import math
import typing

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from zinniastand_core import caller_pace, held_bytes
from zinniastand_core.deployment import configuration

from . import caller_exchange, calls, input_bounds, request_parser
from .answers import answer_stream, caller_sender
from .memory import body_reservations

LINGER_TIMEOUT_S = 0.5
"""Seconds for which unread input is drained between the last answer and the close, so
that a caller that is still sending reads the answer before it sees a reset. Most
callers close at once; a busy one takes some tenths of a second. A stopping VM waits for
this too, so a longer time would delay its stop."""

FINAL_READ_TIMEOUT_S = 0.02
"""Seconds for which an idle connection is read once more before it is closed. A request
that has already arrived is read within a few iterations of the event loop."""

MAX_PIPELINED_REQUESTS = 8
"""Limit on the unanswered requests of one connection. Later ones are parsed when an
earlier one is answered."""

MAX_OVERLAPPING_REQUESTS = 500
"""Limit, over all connections, on the requests that run while an earlier request of
their connection is unanswered. Each takes a file descriptor and memory; the limit
leaves enough of both for the first requests of other connections."""

MAX_UNPARSED_BYTES = 65_536
"""Bytes that are buffered beyond `MAX_PIPELINED_REQUESTS` before reading pauses. Up to
then, reading continues so that a disconnection of the caller is detected."""

RUN_END_TIMEOUT_S = 0.5
"""Seconds for which a connection waits, after a streamed answer, until the run of the
request has ended and is logged."""

MAX_REQUEST_TIME_S = 60.0
"""Seconds from the first byte of a request to the end of its body. A body of 8 MiB
arrives within that at 1.2 Mbit/s, while one that arrives byte by byte would otherwise
hold its connection and its bytes for ever."""

MIN_PACE_TIME_S = 0.5
"""Seconds of a request after which the pace of its body is known."""

PACE_MARGIN = 2.0
"""Multiple of its pace so far that a body may reach."""

DISCONNECT_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError)
"""Errors that show that the caller has disconnected, so that no answer can be sent."""


class SharedState:
    """State and collaborators shared by the connections of one server.

    Parameters
    ----------
    handler : calls.Handler
        Answers the requests.
    may_overlap : callable
        Returns whether a request may run concurrently with others of its connection.
    read_limits : callable
        Returns the size and time limits for callers; called once for each request.
    report_error : callable
        Called with each unexpected error, so that it is logged.
    record_bound : callable, optional
        Called when a caller has reached a bound on its requests.
    held : held_bytes.HeldBytes
        Account of the bytes that are buffered for callers. Without a limit, many long
        bodies would exhaust the VM's memory, and the killed process would drop all
        connections.
    report_slow : callable
        Called with each caller that was disconnected because it was too slow.
    check_head : callable
        Returns whether a request whose body is due can be served, and until when.

    Attributes
    ----------
    in_flight : int
        Number of requests that were started and are not answered yet.
    overlapping : int
        Number of those that were started before an earlier request was answered.
    idle, answering, lingering : set of CallerConnection
        Connections on which no request has begun, on which answers are due, and on
        which input is drained after the last answer.
    reservations : body_reservations.BodyReservations
        Memory that is reserved for requests.
    """

    def __init__(
        self,
        handler: calls.Handler,
        may_overlap: calls.MayOverlap,
        read_limits: collections.abc.Callable[[], configuration.Limits],
        report_error: collections.abc.Callable[[BaseException], None],
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
        *,
        held: held_bytes.HeldBytes,
        report_slow: caller_sender.ReportSlow,
        check_head: calls.CheckHead = calls.wait_for_any_body,
    ) -> None:
        self.check_head = check_head
        self.record_bound = record_bound
        self.handler = handler
        self.may_overlap = may_overlap
        self.read_limits = read_limits
        self.report_error = report_error
        self.is_stopping = False
        self.in_flight = 0
        self.overlapping = 0
        self.held = held
        self.report_slow = report_slow
        self.idle: set[CallerConnection] = set()
        self.answering: set[CallerConnection] = set()
        self.lingering: set[CallerConnection] = set()
        self.reservations = body_reservations.BodyReservations(held, record_bound)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection from all sets."""
        for group in (self.idle, self.answering, self.lingering):
            group.discard(connection)
        self.reservations.receivers.discard(connection)


class CallerConnection:
    """One caller's connection.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The connection.
    shared : SharedState
        State shared with the server's other connections.
    """

    def __init__(self, stream: anyio.abc.SocketStream, shared: SharedState) -> None:
        self._stream = stream
        self._shared = shared
        self._parser = request_parser.RequestParser(
            shared.read_limits, shared.reservations.reserve
        )
        self._exchanges: collections.deque[caller_exchange.CallerExchange] = (
            collections.deque()
        )
        self._group: anyio.abc.TaskGroup | None = None
        self._read_scope = anyio.CancelScope()
        self._changed = anyio.Event()
        self._answered_at = -math.inf
        self._received_at = -math.inf
        self._accepts_requests = True
        self._has_read_last = False
        self._has_ended = False
        self._unparsed_bytes = 0
        self._input_overhead = 0
        self._checked_head: calls.Incoming | None = None
        self._body_deadline = math.inf

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        self._shared.held.add_overhead(held_bytes.CONNECTION_BYTES)
        try:
            if await self._serve_exchanges():
                await _run_until_disconnect(self._linger)
        except Exception as error:
            # An exception that escapes would cancel the listener's task group, and with
            # it every other request of this VM.
            self._shared.report_error(error)
        finally:
            self._shared.reservations.release(self._parser.discard_body())
            while self._exchanges:
                self._drop(self._exchanges.popleft())
            self._shared.held.add_overhead(
                -held_bytes.CONNECTION_BYTES - self._input_overhead
            )
            self._shared.remove(self)

    def trim_reservation(self, now: float) -> None:
        """Release what is reserved for a body beyond what may arrive in time.

        At the pace of its caller, a body may not be whole by its deadline. Others need
        not be refused for the rest of it.
        """
        parser = self._parser
        elapsed = now - (parser.first_byte_at or now)
        if not parser.is_in_body or elapsed < MIN_PACE_TIME_S:
            return
        remaining = max(0.0, self._body_deadline - now)
        if remaining < math.inf:
            expected = parser.body_bytes * (1 + PACE_MARGIN * remaining / elapsed)
            self._shared.reservations.release(parser.trim_reservation(int(expected)))

    def end_idle(self) -> None:
        """Stop waiting for a request if none has begun.

        The connection closes itself after one more read of FINAL_READ_TIMEOUT_S. Until
        then it does not count as idle: otherwise a stopping VM could exit before it.
        """
        if self in self._shared.idle:
            self._shared.idle.discard(self)
            self._read_scope.deadline = -math.inf

    async def _serve_exchanges(self) -> bool:
        """Read and answer concurrently until the connection ends.

        Returns whether an answer was sent after which the connection closes.
        """
        is_answered = False
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(_run_until_disconnect, self._read_all)
            is_answered = await _run_until_disconnect(self._answer_all)
            group.cancel_scope.cancel()
        return is_answered

    async def _read_all(self) -> bool:
        """Read until the connection ends, and start requests that are complete."""
        try:
            while True:
                await self._parse_available()
                await self._wait_for_capacity()
                await self._send_continue()
                if not await self._receive():
                    return True
        finally:
            self._has_ended = True
            self._accepts_requests = False
            for exchange in self._exchanges:
                exchange.mark_disconnected()
            self._notify_changed()

    async def _parse_available(self) -> None:
        """Parse what was received, and let other tasks run in between."""
        self._parse_requests()
        while (
            self._parser.is_paused
            and self._accepts_requests
            and len(self._exchanges) < MAX_PIPELINED_REQUESTS
        ):
            await anyio.lowlevel.checkpoint()
            self._parse_requests()

    def _parse_requests(self) -> None:
        """Parse and queue complete requests up to MAX_PIPELINED_REQUESTS."""
        try:
            while (
                self._accepts_requests and len(self._exchanges) < MAX_PIPELINED_REQUESTS
            ):
                parsed = self._parser.parse()
                if parsed is None:
                    break
                may_overlap = self._shared.may_overlap(parsed.incoming)
                self._add(
                    caller_exchange.CallerExchange(parsed, parsed.engine, may_overlap)
                )
                self._has_read_last = parsed.engine.their_state is h11.MUST_CLOSE
                # After an upgrade request, the answer decides what the next bytes are.
                self._accepts_requests = parsed.engine.their_state is h11.DONE
            self._check_head()
        except request_parser.BadRequestError as error:
            self._refuse(error)
        self._count_input()
        self._start_ready()
        self._update_deadline()

    def _check_head(self) -> None:
        """Refuse a request that can not be served before its body has arrived."""
        incoming = self._parser.incoming
        if incoming is self._checked_head:
            return
        self._checked_head = incoming
        if incoming is None:
            return
        terms = self._shared.check_head(incoming)
        self._body_deadline = terms.deadline_at
        if terms.refusal is not None and self._accepts_requests:
            self._end_with(terms.refusal)

    def _count_input(self) -> None:
        """Count input that waits for earlier answers, and a request whose body is due.

        What a request takes beside its body is counted from its head on. Counted only
        once it is complete, it would take the room left to short requests.
        """
        self._unparsed_bytes = size = self._parser.count_unparsed()
        if self._parser.is_in_body:
            size += held_bytes.REQUEST_BYTES
        self._shared.held.add_overhead(size - self._input_overhead)
        self._input_overhead = size

    def _refuse(self, error: request_parser.BadRequestError) -> None:
        """Queue the answer to a malformed request and accept no further requests."""
        if error.place:
            self._shared.record_bound(
                error.place, error.count, body_reservations.CALLER
            )
        self._end_with(calls.Reply(error.status, error.headers, b""))

    def _end_with(self, reply: calls.Reply) -> None:
        """Queue the last reply of the connection, to a request that is not read."""
        self._shared.reservations.release(self._parser.discard_body())
        self._add(
            caller_exchange.CallerExchange(None, self._parser.engine, False, reply)
        )
        self._accepts_requests = False
        self._has_read_last = True

    def _add(self, exchange: caller_exchange.CallerExchange) -> None:
        self._shared.held.add_overhead(exchange.overhead)
        self._exchanges.append(exchange)
        self._shared.answering.add(self)
        self._notify_changed()

    def _start_ready(self) -> None:
        """Start the first request and those that may run concurrently with it."""
        may_start_later = not self._has_ended
        for index, exchange in enumerate(self._exchanges):
            if not exchange.is_started:
                is_first = index == 0
                if not (
                    is_first or (may_start_later and self._may_start_early(exchange))
                ):
                    return
                self._start(exchange, is_overlapping=not is_first)
            may_start_later = may_start_later and exchange.may_overlap

    def _may_start_early(self, exchange: caller_exchange.CallerExchange) -> bool:
        return (
            exchange.may_overlap and self._shared.overlapping < MAX_OVERLAPPING_REQUESTS
        )

    def _start(
        self, exchange: caller_exchange.CallerExchange, is_overlapping: bool
    ) -> None:
        exchange.is_started = True
        exchange.is_overlapping = is_overlapping
        self._shared.in_flight += 1
        self._shared.overlapping += is_overlapping
        if self._group is not None:
            self._group.start_soon(self._run, exchange)

    async def _run(self, exchange: caller_exchange.CallerExchange) -> None:
        if exchange.parsed is None:
            return

        def begin(reply: calls.Reply) -> None:
            exchange.reply = reply
            self._notify_changed()

        incoming = exchange.parsed.incoming
        incoming.caller.use_reply_handler(begin)
        reply = await self._handle(incoming)
        exchange.is_run_ended = True
        if exchange.reply is None:
            exchange.reply = reply
            self._shared.held.add_whole_answer(exchange.answer_bytes)
        self._notify_changed()

    async def _handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the handler's reply, or an internal-error reply if it raises.

        Every request that was read gets an answer. Closing the connection instead would
        leave the caller unable to tell whether its request has run.
        """
        try:
            return await self._shared.handler.handle(incoming)
        except Exception as error:
            self._shared.report_error(error)
            return caller_exchange.INTERNAL_ERROR_REPLY

    async def _answer_all(self) -> bool:
        """Send answers in request order until the connection is to close.

        An answer of a stopping server closes the connection only if no later request
        was read: its caller would not know what became of that request. After the
        caller has ended the connection, requests that have not started are dropped.

        Returns
        -------
        bool
            Whether an answer was sent after which the connection closes; False if the
            caller ended the connection with no answer due, or an answer was truncated.
        """
        while await self._wait_for_reply():
            is_last = await self._answer_first()
            if is_last is not None:
                return is_last
            self._answered_at = anyio.current_time()
            self._accepts_requests = self._accepts_requests or not self._exchanges
            await self._parse_available()
        return False

    async def _wait_for_reply(self) -> bool:
        """Wait for the first reply that is due; return False if none will be."""
        while not (self._exchanges and self._exchanges[0].reply is not None):
            if self._has_ended and not self._exchanges:
                return False
            if self._exchanges:
                self._exchanges[0].give_turn()
            await self._changed.wait()
        return True

    async def _answer_first(self) -> bool | None:
        """Send the first answer that is due.

        A function of its own, so that a connection which waits for its next request
        does not keep the last one and its answer in memory.

        Returns
        -------
        bool or None
            None if the connection continues; else as in `_answer_all`.
        """
        exchange = self._exchanges[0]
        must_close = self._must_close()
        if must_close:
            self._accepts_requests = False
        if not await self._send(exchange, must_close or exchange.parsed is None):
            return False
        self._drop(self._exchanges.popleft())
        if must_close or not exchange.is_connection_reusable:
            return True
        return None

    def _must_close(self) -> bool:
        """Return whether the connection closes after the first answer that is due."""
        if self._has_ended:
            return len(self._exchanges) < 2 or not self._exchanges[1].is_started
        has_read_later = len(self._exchanges) > 1 or self._parser.is_paused
        return self._shared.is_stopping and not has_read_later

    def _drop(self, exchange: caller_exchange.CallerExchange) -> None:
        """Release what is counted for a request that is answered or abandoned."""
        exchange.abandon_source()
        exchange.release()
        self._shared.held.add_overhead(-exchange.overhead)
        if exchange.parsed is not None:
            self._shared.reservations.release(exchange.parsed.reserved_bytes)
            self._shared.held.remove_whole_answer(
                exchange.answer_bytes, anyio.current_time()
            )
            self._shared.in_flight -= exchange.is_started
            self._shared.overlapping -= exchange.is_overlapping
        if not self._exchanges:
            self._shared.answering.discard(self)
        self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _wait_for_capacity(self) -> None:
        """Pause reading while too much unparsed input is buffered."""
        while self._unparsed_bytes > self._find_max_unparsed():
            if self._accepts_requests and len(self._exchanges) < MAX_PIPELINED_REQUESTS:
                return
            await self._changed.wait()

    def _find_max_unparsed(self) -> int:
        """Return the bytes of input that may wait; none while memory is short."""
        return MAX_UNPARSED_BYTES if self._shared.held.accepts_any else 0

    async def _send_continue(self) -> None:
        """Send "100 Continue" if the caller waits for it, once all else is answered."""
        while self._accepts_requests and self._parser.wants_continue:
            if not self._exchanges:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send(self._parser.engine.send(interim) or b"")
                return
            await self._changed.wait()

    def _update_deadline(self) -> None:
        """Update the deadline for the next bytes from the state of the connection.

        Called after each change of that state, also while a read is pending.
        """
        parser = self._parser
        is_between_requests = parser.first_byte_at is None
        if is_between_requests and not self._exchanges and not self._has_ended:
            self._shared.idle.add(self)
        else:
            self._shared.idle.discard(self)
        if parser.is_in_body and self._accepts_requests:
            self._shared.reservations.receivers.add(self)
        else:
            self._shared.reservations.receivers.discard(self)
        self._read_scope.deadline = self._find_deadline()

    def _find_deadline(self) -> float:
        """Return when waiting for the next bytes times out; infinite for never."""
        parser, limits = self._parser, self._parser.limits
        if not self._accepts_requests or len(self._exchanges) >= MAX_PIPELINED_REQUESTS:
            return math.inf
        if parser.is_in_body:
            begin = max(parser.first_byte_at or 0.0, self._answered_at)
            last = max(self._received_at, self._answered_at)
            return min(
                begin + MAX_REQUEST_TIME_S,
                last + limits.idle_timeout,
                max(self._body_deadline, self._answered_at),
            )
        if parser.first_byte_at is not None:
            return max(parser.first_byte_at, self._answered_at) + limits.head_timeout
        if self._exchanges:
            return math.inf
        return anyio.current_time() + limits.idle_timeout

    async def _receive(self) -> bool:
        """Read the next bytes; return False if the connection ended or timed out."""
        with anyio.CancelScope() as self._read_scope:
            self._update_deadline()
            return await self._receive_once()
        if self._parser.first_byte_at is not None:
            self._refuse(
                request_parser.BadRequestError(
                    408,
                    place=request_parser.TOO_SLOW,
                    count=self._parser.request_bytes,
                )
            )
            return True
        # A request may have arrived just before the deadline and must not be dropped.
        with anyio.move_on_after(FINAL_READ_TIMEOUT_S):
            return await self._receive_once()
        return False

    async def _receive_once(self) -> bool:
        try:
            data = await self._stream.receive(self._parser.max_read_bytes)
        except anyio.EndOfStream:
            return False
        if not self._has_read_last:
            self._received_at = anyio.current_time()
            self._parser.feed(data, self._received_at)
        return True

    async def _send(
        self, exchange: caller_exchange.CallerExchange, must_close: bool
    ) -> bool:
        """Send an answer; return False if it was truncated."""
        reply = exchange.reply
        if reply is None:
            return True
        pace = caller_pace.CallerPace(self._parser.limits.idle_timeout)
        sender = caller_sender.CallerSender(self._stream, pace)
        try:
            await sender.send_part(self._encode(exchange, reply, must_close))
            if reply.source is not None:
                return await self._send_streamed(exchange, reply.source, sender)
            if exchange.is_body_due:
                await sender.send_body(reply.body, exchange.encode_data)
                await sender.send_end(exchange.encode_end())
        except caller_sender.SlowCallerError as error:
            self._shared.report_slow(
                caller_sender.SlowCaller(
                    exchange.incoming, error.reason, pace.taken, pace.waited
                )
            )
            raise
        return True

    def _encode(
        self,
        exchange: caller_exchange.CallerExchange,
        reply: calls.Reply,
        must_close: bool,
    ) -> bytes:
        """Return an answer encoded, or its head if its body is still arriving."""
        try:
            return exchange.encode(reply, must_close)
        except h11.LocalProtocolError as error:
            # The request has run. A final answer tells the caller more than a closed
            # connection would.
            self._shared.report_error(error)
            exchange.abandon_source()
            return caller_exchange.INTERNAL_ERROR_BYTES

    async def _send_streamed(
        self,
        exchange: caller_exchange.CallerExchange,
        source: calls.BodySource,
        sender: caller_sender.CallerSender,
    ) -> bool:
        """Send a body while it arrives; return False if it was truncated."""
        if exchange.has_failed:
            exchange.mark_disconnected()
        try:
            if exchange.is_body_due:
                await sender.send_streamed(source, exchange.encode_data)
                await sender.send_end(exchange.encode_end())
        except answer_stream.TruncatedError:
            # The run of the request logs the reason.
            return False
        except DISCONNECT_ERRORS:
            exchange.abandon_source()
            exchange.mark_disconnected()
            await self._wait_for_run(exchange)
            raise
        await self._wait_for_run(exchange)
        return True

    async def _wait_for_run(self, exchange: caller_exchange.CallerExchange) -> None:
        """Wait until the run has ended, since the end of the connection cancels it."""
        with anyio.move_on_after(RUN_END_TIMEOUT_S):
            while not exchange.is_run_ended:
                await self._changed.wait()

    async def _linger(self) -> bool:
        """Close the sending side, and read and discard what the caller still sends.

        Unread bytes at the close would make the kernel reset the connection, and the
        caller could lose the answer. Requests read here are never forwarded.
        """
        self._shared.remove(self)
        self._shared.lingering.add(self)
        try:
            await self._stream.send_eof()
            with anyio.move_on_after(LINGER_TIMEOUT_S):
                while True:
                    await self._stream.receive()
        except anyio.EndOfStream:
            pass  # The caller has read the answer and closed its side.
        return True


async def _run_until_disconnect(
    part: collections.abc.Callable[[], typing.Awaitable[bool]],
) -> bool:
    """Return the result of `part`, or False if the caller disconnected meanwhile."""
    try:
        return await part()
    except DISCONNECT_ERRORS:
        return False
