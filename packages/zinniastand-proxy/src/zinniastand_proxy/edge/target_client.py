"""Sends requests to targets and judges whether what comes back is their answer."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import re
import select
import socket

import anyio
import anyio.abc

from zinniastand_core import services
from zinniastand_core.deployment import targets
from zinniastand_core.forwarding import plan

from . import header_names, http_exchange

CONNECT_TIMEOUT = 0.15
"""Seconds for a new connection. One takes about a millisecond; a lost first packet is
sent again only after a second, so waiting longer gains nothing over another target."""

OWN_PAUSE = 0.05
"""Seconds by which a timer must fire late to show that this process stood still. Timers
of a busy process are some milliseconds late."""

PROVED_FOR = 0.8
"""Seconds after an answer for which a connection may carry work that may run only once.
A connection can go silent for good, or be dropped by the target while idle; such work
would then be lost without anybody knowing. A new connection costs a millisecond."""

IDLE_FOR = 4.0
"""Seconds after an answer for which a connection may carry idempotent work, where the
target does not say for how long it keeps idle ones."""

MOST_IDLE_FOR = 30.0
"""The same where it does: one that keeps them for hours should not hold so many."""

IDLE_CLOSE_MARGIN = 1.0
"""Seconds by which a connection is given up before the target says it closes it."""

MOST_IDLE = 3
"""Idle connections kept per target: as many as it has slots in the usual deployment."""

DROPPED_WITHIN = 0.1
"""Seconds within which a connection that was dropped while idle shows that: a reset
takes a round trip, and a busy process notices it some hundredths of a second later."""

USER_TIMEOUT_MS = 3_000
"""Milliseconds after which the kernel gives up a connection whose data nobody
acknowledges (TCP_USER_TIMEOUT), so that a silent one frees its socket."""

UNSHARED_METHOD = b"HEAD"
"""Method whose answers end elsewhere than all others: at their head, whatever length it
states. A late answer to it, or before it, would be read to the wrong end."""

RATE = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
"""A decimal number without a sign."""

LEAST_SERVER_ERROR = 500
SUCCESS = range(200, 300)
MISPLACED_STATUS = 421
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers are told that their request has not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """How one attempt ended."""

    result: plan.Result
    """What it means for the request."""

    answer: http_exchange.Answer | None
    """The target's whole answer, where there is one."""

    detail: str
    """What happened, for the log."""

    _: dataclasses.KW_ONLY

    has_begun: bool = True
    """Whether the target may have begun on it: some of an answer came, or some time
    passed."""

    rate_limit: float | None = None
    """Requests a second that the target takes, by its answer; infinite where the answer
    names no limit, None where there is no answer to tell."""

    is_cut: bool = False
    """Whether the connection ended before the answer was whole."""

    is_resent: bool = False
    """Whether it was sent once more, since a kept connection broke under it."""

    @property
    def is_success(self) -> bool:
        """Whether the target ran the request to a good end."""
        return self.answer is not None and self.answer.status in SUCCESS


@dataclasses.dataclass(frozen=True, slots=True)
class _Connection:
    """A connection to a target, and until when it may be used."""

    stream: anyio.abc.ByteStream
    """The connection."""

    answered_at: float | None = None
    """When its last answer was whole; None where it has carried no request yet."""

    idle_until: float = 0.0
    """Until when it may carry another request."""

    @property
    def is_new(self) -> bool:
        """Whether it has carried no request yet."""
        return self.answered_at is None

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may carry any work."""
        return now < self.idle_until

    def may_carry(self, work: services.Work, now: float) -> bool:
        """Return whether an idle connection may carry work."""
        if self.answered_at is None or not self.is_usable(now):
            return False
        return work is services.Work.IDEMPOTENT or now < self.answered_at + PROVED_FOR


class TargetClient:
    """Connections to all targets.

    Parameters
    ----------
    words : header_names.HeaderNames
        Headers of the platform.

    Attributes
    ----------
    opened : int
        Connections that were tried to open.
    foreign : int
        Answers to other requests that were read past.
    odd_limits : int
        Limits of targets that are no number.
    unnamed : int
        Answers on kept connections that name no request. Each is taken for the answer
        to the present request, which nothing proves.
    """

    def __init__(self, words: header_names.HeaderNames) -> None:
        self._words = words
        self._idle: dict[str, collections.deque[_Connection]] = {}
        self.opened_connections = 0
        self.foreign_answers = 0
        self.unidentified_answers = 0
        self.malformed_limits = 0

    async def attempt(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
        mark_sent: collections.abc.Callable[[], None],
    ) -> Attempt:
        """Send a request to one target and return how it ended.

        Parameters
        ----------
        target : targets.Entry
            The target.
        request : http_exchange.Request
            The request, as it shall arrive.
        work : services.Work
            Whether it may run more than once.
        mark_sent : callable
            Called just before the first byte is handed to a connection.
        """
        connection = await self._take(target, request, work)
        if connection is None:
            return Attempt(plan.Result.UNREACHABLE, None, "no connection")
        was_pooled = not connection.is_new
        mark_sent()
        attempt = await self._exchange(target, connection, request)
        if was_pooled and not attempt.has_begun and work is services.Work.IDEMPOTENT:
            # An idle connection may be gone without the target being at fault. Work
            # that it broke off is for the plan, which knows limits and time left.
            return await self._send_again(target, request, attempt)
        return attempt

    async def _send_again(
        self, target: targets.Entry, request: http_exchange.Request, first: Attempt
    ) -> Attempt:
        """Send a request once more, on a new connection.

        What the target says of this sending proves nothing of the first, which may
        have run.
        """
        connection = await self._connect(target)
        if connection is None:
            detail = f"{first.detail}, then no connection"
            return dataclasses.replace(first, detail=detail)
        attempt = await self._exchange(target, connection, request)
        if attempt.result in plan.PROVED_NOT_RUN:
            detail = f"{first.detail}, then {attempt.detail}"
            return Attempt(plan.Result.BROKEN, None, detail, is_resent=True)
        return dataclasses.replace(attempt, is_resent=True)

    def list_connected_targets(self, work: services.Work, now: float) -> list[str]:
        """Return the targets to which an idle connection may carry work."""
        return [
            target_id
            for target_id, idle in self._idle.items()
            if idle and idle[-1].may_carry(work, now)
        ]

    def expire_idle(self) -> None:
        """Let nothing use the idle connections any more: this VM was away."""
        for idle in self._idle.values():
            for index, connection in enumerate(idle):
                idle[index] = dataclasses.replace(connection, idle_until=0.0)

    async def close_idle(self, now: float) -> None:
        """Close connections that nothing may use any more."""
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
        connection: _Connection,
        request: http_exchange.Request,
    ) -> Attempt:
        exchange = http_exchange.Exchange(
            connection.stream, request, self._words.request_id
        )
        is_kept = False
        dropped_by = anyio.current_time() + DROPPED_WITHIN
        try:
            answer = await exchange.run()
            attempt = dataclasses.replace(
                self._judge(answer), rate_limit=self._read_limit(answer)
            )
            if not connection.is_new and answer.find(self._words.request_id) is None:
                self.unidentified_answers += 1
            is_kept = (
                attempt.result is not plan.Result.BROKEN
                and answer.is_reusable
                and request.method != UNSHARED_METHOD
            )
            if is_kept:
                await self._keep(target, connection, answer)
            return attempt
        except http_exchange.BrokenAnswerError as error:
            is_late = anyio.current_time() > dropped_by
            has_begun = exchange.has_begun or is_late
            return Attempt(
                plan.Result.BROKEN,
                None,
                str(error),
                has_begun=has_begun,
                is_cut=error.is_cut,
            )
        finally:
            self.foreign_answers += exchange.foreign
            if not is_kept:
                await _close(connection)

    def _judge(self, answer: http_exchange.Answer) -> Attempt:
        """Tell what an answer that names no other request means for this one."""
        echo = answer.find(self._words.request_id)
        status = answer.status
        if answer.find(self._words.not_run) is not None or status == MISPLACED_STATUS:
            if status == MISPLACED_STATUS:
                return Attempt(plan.Result.MISPLACED, None, "another target's address")
            return Attempt(plan.Result.TURNED_AWAY, None, f"turned away with {status}")
        if answer.find(b"content-encoding") is not None:
            return Attempt(plan.Result.BROKEN, None, "an encoded body")
        if status in SUCCESS:
            if echo is None:
                return Attempt(
                    plan.Result.BROKEN, None, "a success that names no request"
                )
            if answer.find(self._words.signature) is None:
                return Attempt(plan.Result.BROKEN, None, "a success without signature")
            return Attempt(plan.Result.ANSWERED, answer, str(status))
        if status in PROMISING_STATUSES:
            # Passed on, these would promise the caller that the work has not run,
            # and nothing in the target's answer says so.
            return Attempt(plan.Result.BROKEN, None, f"{status} without proof")
        if status >= LEAST_SERVER_ERROR:
            return Attempt(plan.Result.ERROR, answer, str(status))
        return Attempt(plan.Result.ANSWERED, answer, str(status))

    def _read_limit(self, answer: http_exchange.Answer) -> float | None:
        """Return the limit that an answer names; None where that is no number."""
        value = answer.find(self._words.rate_limit)
        if value is None:
            return math.inf
        if RATE.fullmatch(value.strip()) is None:
            self.malformed_limits += 1
            return None
        return float(value)

    async def _keep(
        self,
        target: targets.Entry,
        connection: _Connection,
        answer: http_exchange.Answer,
    ) -> None:
        """Keep a connection; where there are enough, the oldest one makes room."""
        idle = self._idle.setdefault(target.target_id, collections.deque())
        now = anyio.current_time()
        idle_until = now + _find_idle_limit(answer)
        idle.append(_Connection(connection.stream, now, idle_until))
        if len(idle) > MOST_IDLE:
            await _close(idle.popleft())

    async def _take(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
    ) -> _Connection | None:
        if request.method == UNSHARED_METHOD:
            return await self._connect(target)
        now = anyio.current_time()
        idle = self._idle.get(target.target_id)
        while idle and (connection := idle[-1]).is_usable(now):
            if not connection.may_carry(work, now):
                # The others are older still; idempotent work may use them.
                return await self._connect(target)
            idle.pop()
            if not _has_input(connection.stream):
                return connection
            await _close(connection)
        return await self._connect(target)

    async def _connect(self, target: targets.Entry) -> _Connection | None:
        """Return a new connection, or None where the target cannot be reached.

        A timer that fires late says that this process stood still, and nothing of the
        target. Sound targets were left out after a pause; one more try tells.
        """
        late_at = anyio.current_time() + CONNECT_TIMEOUT + OWN_PAUSE
        connection = await self._open(target)
        if connection is None and anyio.current_time() > late_at:
            return await self._open(target)
        return connection

    async def _open(self, target: targets.Entry) -> _Connection | None:
        self.opened_connections += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                stream = await anyio.connect_tcp(target.host, target.port)
        except (OSError, TimeoutError):
            return None
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return _Connection(stream)


def _find_idle_limit(answer: http_exchange.Answer) -> float:
    """Return for how long the target keeps the connection open while idle."""
    value = answer.find(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return min(MOST_IDLE_FOR, max(0.0, int(seconds) - IDLE_CLOSE_MARGIN))
    return IDLE_FOR


def _has_input(stream: anyio.abc.ByteStream) -> bool:
    """Return whether bytes or an end wait on an idle connection.

    Bytes there belong to no request, and would be taken for the next answer.
    """
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def _close(connection: _Connection) -> None:
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(connection.stream)
