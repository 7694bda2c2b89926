"""Sends requests to targets over pooled connections, and classifies their answers."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import re
import select

import anyio
import anyio.abc

from zinniastand_core import services
from zinniastand_core.deployment import targets
from zinniastand_core.forwarding import plan

from . import header_names, http_exchange, input_bounds, target_connector
from .answers import answer_meter
from .memory import receive_buffers

AT_MOST_ONCE_REUSE_TIMEOUT_S = 0.8
"""Seconds after an answer during which a connection may carry a request that may run
only once. An idle connection may have gone silent or been dropped by the target;
whether such a request was run could then not be determined. A new connection costs a
millisecond."""

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Seconds after an answer during which a connection may carry idempotent requests, if
the target does not state its own idle timeout."""

MAX_IDLE_TIMEOUT_S = 30.0
"""Limit in seconds on the idle timeout that a target states, so that a timeout of hours
does not keep too many connections open."""

IDLE_CLOSE_MARGIN_S = 1.0
"""Seconds before the target's stated idle timeout at which a connection is no longer
used."""

MAX_IDLE_CONNECTIONS = 3
"""Limit on the idle connections per target: as many as a target has slots in a typical
deployment."""

STALE_CONNECTION_TIMEOUT_S = 0.1
"""Seconds after sending within which a connection that the target dropped while idle
reports an error: a reset takes one round trip, and a busy process handles it some
hundredths of a second later."""

DEFAULT_TIME_LEFT_S = 60.0
"""Seconds for which a connection may be needed for a request that states no time."""

RECEIVE_BUFFER_BYTES = 32_768
"""Size of the kernel's receive buffer for answers that may be large; the kernel doubles
it. All that it holds is read at once when the connection is next read, beyond what the
account of held bytes allows. At a round trip of 3 ms it allows 10 MB/s."""

MS_PER_S = 1000.0

UNPOOLED_METHOD = b"HEAD"
"""Method for which connections are not pooled. Its answers end after their head,
whatever content-length they state. A late answer to it, or one that precedes its own,
would be read with the framing of another method, and so to the wrong end."""

DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
"""A decimal number without a sign, as in the headers for rate limits and rests."""

RETRY_AFTER = b"retry-after"
"""Header in which a target that turns a request away asks for a rest, in seconds."""

REST_STATUSES = frozenset({429, 503})
"""Statuses with which a target may ask for a rest."""

MAX_REST_S = 60.0
"""Limit in seconds on a rest, so that a malformed one does not take a target out of use
for long."""

MIN_SERVER_ERROR_STATUS = 500
SUCCESS_STATUSES = range(200, 300)
MISPLACED_STATUS = 421
"""Status of a target that received a request for another target ("Misdirected
Request")."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """The outcome of one attempt at a target."""

    result: plan.AttemptResult
    """What it means for the request."""

    answer: http_exchange.Answer | None
    """The target's complete answer; None if there is none to relay."""

    detail: str
    """What happened, for the log."""

    _: dataclasses.KW_ONLY

    may_have_begun: bool = True
    """Whether the target may have begun to run the request: it has sent part of an
    answer, or the attempt lasted longer than `STALE_CONNECTION_TIMEOUT_S`."""

    rate_limit: float | None = None
    """Requests per second that the target accepts, from its answer. Infinite if the
    answer states no limit; None if there is no answer or its limit is malformed."""

    rest: float | None = None
    """Seconds for which the target wants no requests of this VM; None if its answer
    asks for no rest."""

    is_leaving: bool = False
    """Whether the target's answer states that it is leaving."""

    is_cut: bool = False
    """Whether the connection ended before the answer was complete."""

    is_resent: bool = False
    """Whether the request was sent a second time because a pooled connection failed."""

    relay: str = ""
    """VM that relayed the connection; empty for a direct one."""

    is_own_path: bool = False
    """Whether no connection was opened since this VM has no path to any target."""

    is_evidence: bool = True
    """Whether a failed connection may be the fault of the target."""

    excludes_target: bool = False
    """Whether this VM should not try the target again for some time."""

    @property
    def is_success(self) -> bool:
        """Whether the target answered with a success status."""
        return self.answer is not None and self.answer.status in SUCCESS_STATUSES


@dataclasses.dataclass(frozen=True, slots=True)
class _TargetConnection:
    """A connection to a target, and how long it may be reused."""

    stream: anyio.abc.ByteStream
    """The connection."""

    answered_at: float | None = None
    """When its last answer was complete; None if it has carried no request yet."""

    idle_until: float = 0.0
    """When its idle timeout ends, after which it carries no further request."""

    relay: str = ""
    """VM that relays it; empty for a direct connection."""

    @property
    def is_new(self) -> bool:
        """Whether it has carried no request yet."""
        return self.answered_at is None

    def is_usable(self, now: float) -> bool:
        """Return whether the idle timeout is still running."""
        return now < self.idle_until

    def may_carry(self, work: services.Work, now: float) -> bool:
        """Return whether an idle connection may carry a request with this work."""
        if self.answered_at is None or not self.is_usable(now):
            return False
        return (
            work is services.Work.IDEMPOTENT
            or now < self.answered_at + AT_MOST_ONCE_REUSE_TIMEOUT_S
        )


class TargetClient:
    """HTTP client with a connection pool for each target.

    Parameters
    ----------
    names : header_names.HeaderNames
        Header names of the platform.
    connector : target_connector.TargetConnector, optional
        Opens connections; by default direct ones.
    record_bound : callable, optional
        Called when a target has reached a bound on its answers.
    count_buffered : callable, optional
        Called with each change in the bytes of answers that are buffered while they are
        being read.
    wait_for_room : callable, optional
        Awaited before a long answer is buffered whole.

    Attributes
    ----------
    foreign_answers : int
        Number of answers to other requests that were skipped.
    malformed_limits : int
        Number of rate limits in answers that are not a number.
    malformed_rests : int
        Number of rests in answers that are not a number.
    unidentified_answers : int
        Number of answers on reused connections that carry no request id. Each counts
        as the answer to the current request, which nothing proves.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        connector: target_connector.TargetConnector | None = None,
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
        count_buffered: http_exchange.CountBuffered = lambda _: None,
        wait_for_room: http_exchange.WaitForRoom = http_exchange.find_room,
    ) -> None:
        self._record_bound = record_bound
        self._wait_for_room = wait_for_room
        self._count_buffered = count_buffered
        self._header_names = names
        self._connector = connector or target_connector.DirectConnector()
        self._idle: dict[str, collections.deque[_TargetConnection]] = {}
        self.foreign_answers = 0
        self.unidentified_answers = 0
        self.malformed_limits = 0
        self.malformed_rests = 0

    @property
    def opened_connections(self) -> int:
        """Number of attempts to open a direct connection."""
        return self._connector.opened_connections

    async def attempt(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
        mark_sent: collections.abc.Callable[[], None],
        max_body_bytes: int = answer_meter.MAX_BODY_BYTES,
        sink: http_exchange.AnswerSink | None = None,
    ) -> Attempt:
        """Send a request to one target and return the outcome.

        Parameters
        ----------
        target : targets.Entry
            The target.
        request : http_exchange.Request
            The request, as the target shall receive it.
        work : services.Work
            Whether the request may run more than once.
        mark_sent : callable
            Called just before the first byte is sent.
        max_body_bytes : int, optional
            Limit on the body of the answer.
        sink : http_exchange.AnswerSink, optional
            Takes a large success while it arrives; such an answer has no body in the
            outcome.

        Returns
        -------
        Attempt
            The outcome. Failures of the target or connection are outcomes, not errors.
        """
        try:
            connection = await self._acquire(target, request, work)
        except target_connector.UnreachableError as error:
            return Attempt(
                plan.AttemptResult.UNREACHABLE,
                None,
                str(error),
                is_own_path=error.is_own_path,
                is_evidence=error.is_evidence,
                excludes_target=error.excludes_target,
            )
        is_reused = not connection.is_new
        mark_sent()
        attempt = await self._exchange(
            target, connection, request, max_body_bytes, sink
        )
        if (
            is_reused
            and not attempt.may_have_begun
            and work is services.Work.IDEMPOTENT
        ):
            # The target may have closed the connection while it was idle, which does
            # not count as a failure. A request that it may have begun is not resent
            # here: the plan decides, by the retry limits and the time left.
            return await self._resend(target, request, attempt, max_body_bytes, sink)
        return attempt

    async def _resend(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        first: Attempt,
        max_body_bytes: int,
        sink: http_exchange.AnswerSink | None,
    ) -> Attempt:
        """Send a request a second time, on a new connection.

        An answer "not run" to the second sending does not prove that the first has not
        run.
        """
        try:
            connection = await self._connect(target, request)
        except target_connector.UnreachableError:
            detail = f"{first.detail}, then no connection"
            return dataclasses.replace(first, detail=detail)
        attempt = await self._exchange(
            target, connection, request, max_body_bytes, sink
        )
        if attempt.result in plan.PROVED_NOT_RUN:
            detail = f"{first.detail}, then {attempt.detail}"
            return Attempt(plan.AttemptResult.BROKEN, None, detail, is_resent=True)
        return dataclasses.replace(attempt, is_resent=True)

    def list_connected_targets(self, work: services.Work, now: float) -> list[str]:
        """Return the targets with an idle connection that may carry this work."""
        return [
            target_id
            for target_id, idle in self._idle.items()
            if idle and idle[-1].may_carry(work, now)
        ]

    def expire_idle(self) -> None:
        """Forbid further use of idle connections, after this VM was suspended."""
        for idle in self._idle.values():
            for index, connection in enumerate(idle):
                idle[index] = dataclasses.replace(connection, idle_until=0.0)

    async def close_idle(self, now: float) -> None:
        """Close connections whose idle timeout has ended."""
        for target_id, idle in list(self._idle.items()):
            while idle and idle[0].idle_until <= now:
                await _close(idle.popleft())
            if not idle:
                del self._idle[target_id]

    async def close(self) -> None:
        """Close all idle connections."""
        await self.close_idle(float("inf"))

    async def _exchange(
        self,
        target: targets.Entry,
        connection: _TargetConnection,
        request: http_exchange.Request,
        max_body_bytes: int,
        sink: http_exchange.AnswerSink | None,
    ) -> Attempt:
        if sink is not None:
            receive_buffers.limit_stream(connection.stream, RECEIVE_BUFFER_BYTES)
        exchange = http_exchange.Exchange(
            connection.stream,
            request,
            self._header_names.request_id,
            max_body_bytes,
            sink=sink,
            may_stream=self._is_verified_success,
            count_buffered=self._count_buffered,
            wait_for_room=self._wait_for_room,
        )
        is_pooled = False
        stale_until = anyio.current_time() + STALE_CONNECTION_TIMEOUT_S
        try:
            answer = await exchange.run()
            attempt = dataclasses.replace(
                self._classify(answer),
                rate_limit=self._read_rate_limit(answer),
                rest=self._read_rest(answer),
                is_leaving=answer.find(self._header_names.leaving) == b"1",
            )
            if (
                not connection.is_new
                and answer.find(self._header_names.request_id) is None
            ):
                self.unidentified_answers += 1
            is_pooled = (
                not connection.relay
                and attempt.result is not plan.AttemptResult.BROKEN
                and answer.is_reusable
                and request.method != UNPOOLED_METHOD
            )
            if is_pooled:
                await self._return_to_pool(target, connection, answer)
            return dataclasses.replace(attempt, relay=connection.relay)
        except http_exchange.BrokenAnswerError as error:
            is_late = anyio.current_time() > stale_until
            has_begun = exchange.has_answer_begun or is_late
            if error.bound_count is not None:
                self._record_bound(str(error), error.bound_count, target.target_id)
            return Attempt(
                plan.AttemptResult.BROKEN,
                None,
                str(error),
                may_have_begun=has_begun,
                is_cut=error.is_cut,
                relay=connection.relay,
            )
        finally:
            self.foreign_answers += exchange.foreign_answers
            self._count_buffered(-exchange.buffered_bytes)
            if not is_pooled:
                await _close(connection)

    def _is_verified_success(self, answer: http_exchange.Answer) -> bool:
        """Return whether the head alone shows that an answer may be passed on."""
        return (
            answer.status in SUCCESS_STATUSES
            and self._classify(answer).result is plan.AttemptResult.ANSWERED
        )

    def _classify(self, answer: http_exchange.Answer) -> Attempt:
        """Return the outcome for an answer that carries no other request's id."""
        answer_id = answer.find(self._header_names.request_id)
        status = answer.status
        if (
            answer.find(self._header_names.not_run) is not None
            or status == MISPLACED_STATUS
        ):
            if status == MISPLACED_STATUS:
                return Attempt(
                    plan.AttemptResult.MISPLACED, None, "another target's address"
                )
            return Attempt(
                plan.AttemptResult.TURNED_AWAY, None, f"turned away with {status}"
            )
        if answer.find(b"content-encoding") is not None:
            return Attempt(plan.AttemptResult.BROKEN, None, "an encoded body")
        if status in SUCCESS_STATUSES:
            if answer_id is None:
                return Attempt(
                    plan.AttemptResult.BROKEN, None, "a success that names no request"
                )
            if answer.find(self._header_names.signature) is None:
                return Attempt(
                    plan.AttemptResult.BROKEN, None, "a success without signature"
                )
            return Attempt(plan.AttemptResult.ANSWERED, answer, str(status))
        if status in NOT_RUN_STATUSES:
            # These statuses would promise the caller that its request has not run. The
            # target's answer does not prove that.
            return Attempt(plan.AttemptResult.BROKEN, None, f"{status} without proof")
        if status >= MIN_SERVER_ERROR_STATUS:
            return Attempt(plan.AttemptResult.ERROR, answer, str(status))
        return Attempt(plan.AttemptResult.ANSWERED, answer, str(status))

    def _read_rate_limit(self, answer: http_exchange.Answer) -> float | None:
        """Return the rate limit that an answer states, in requests per second.

        Infinite if the answer states none; None if the value is not a number.
        """
        value = answer.find(self._header_names.rate_limit)
        if value is None:
            return math.inf
        if DECIMAL_PATTERN.fullmatch(value.strip()) is None:
            self.malformed_limits += 1
            return None
        return float(value)

    def _read_rest(self, answer: http_exchange.Answer) -> float | None:
        """Return the seconds of rest that an answer asks for; None if it asks for none.

        A value that is not a number is ignored and counted.
        """
        value = answer.find(RETRY_AFTER)
        if value is None or answer.status not in REST_STATUSES:
            return None
        if DECIMAL_PATTERN.fullmatch(value.strip()) is None:
            self.malformed_rests += 1
            return None
        return min(MAX_REST_S, float(value))

    async def _return_to_pool(
        self,
        target: targets.Entry,
        connection: _TargetConnection,
        answer: http_exchange.Answer,
    ) -> None:
        """Return a connection to the pool; close the oldest beyond its limit."""
        idle = self._idle.setdefault(target.target_id, collections.deque())
        now = anyio.current_time()
        idle_until = now + _read_idle_timeout(answer)
        idle.append(_TargetConnection(connection.stream, now, idle_until))
        if len(idle) > MAX_IDLE_CONNECTIONS:
            await _close(idle.popleft())

    async def _acquire(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
    ) -> _TargetConnection:
        is_direct = self._connector.has_direct_link(target)
        if request.method == UNPOOLED_METHOD or not is_direct:
            return await self._connect(target, request)
        now = anyio.current_time()
        idle = self._idle.get(target.target_id)
        while idle and (connection := idle[-1]).is_usable(now):
            if not connection.may_carry(work, now):
                # The other connections are older still. They stay in the pool, for
                # idempotent requests.
                return await self._connect(target, request)
            idle.pop()
            if not _has_input(connection.stream):
                return connection
            await _close(connection)
        return await self._connect(target, request)

    async def _connect(
        self, target: targets.Entry, request: http_exchange.Request
    ) -> _TargetConnection:
        """Return a new connection; raise `UnreachableError` if there is none."""
        time_left = self._read_time_left(request)
        opened = await self._connector.connect(target, time_left)
        return _TargetConnection(opened.stream, relay=opened.relay)

    def _read_time_left(self, request: http_exchange.Request) -> float:
        """Return the seconds that a request states as left."""
        value = http_exchange.find_header(request.headers, self._header_names.time_left)
        return int(value) / MS_PER_S if value is not None else DEFAULT_TIME_LEFT_S


def _read_idle_timeout(answer: http_exchange.Answer) -> float:
    """Return for how many seconds the connection may be reused while idle."""
    value = answer.find(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return min(MAX_IDLE_TIMEOUT_S, max(0.0, int(seconds) - IDLE_CLOSE_MARGIN_S))
    return DEFAULT_IDLE_TIMEOUT_S


def _has_input(stream: anyio.abc.ByteStream) -> bool:
    """Return whether an idle connection has unread bytes or was closed.

    Such bytes belong to no request, and would be parsed as the next answer.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def _close(connection: _TargetConnection) -> None:
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(connection.stream)
