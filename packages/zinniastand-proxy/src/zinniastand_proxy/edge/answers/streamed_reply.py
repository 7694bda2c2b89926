"""The reply of one request that is sent to the caller while it arrives."""

from __future__ import annotations

import collections.abc
import dataclasses

import anyio

from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan

from .. import attempt_ends, calls, http_exchange, target_client
from . import answer_stream

CALLER_PAUSED = "broken off while its caller did not read"
"""Reason of an attempt whose target broke off an answer after a long pause."""

CALLER_SLOW = "deadline of a slow caller"
"""Reason of an attempt that ended at the deadline while its caller did not read."""


class StreamedReply:
    """The streamed reply of one request, if one of its attempts begins it.

    Parameters
    ----------
    stream : answer_stream.AnswerStream
        Passes the body to the caller.
    caller : calls.Caller
        The caller.
    request_plan : plan.Plan
        Plan of the request.
    handle_begin : callable
        Called when an answer begins, with its status.

    Attributes
    ----------
    reply : calls.Reply or None
        The reply; None if none has begun.
    """

    def __init__(
        self,
        stream: answer_stream.AnswerStream,
        caller: calls.Caller,
        request_plan: plan.Plan,
        handle_begin: collections.abc.Callable[[int], None],
    ) -> None:
        self.stream = stream
        self._caller = caller
        self._plan = request_plan
        self._handle_begin = handle_begin
        self.reply: calls.Reply | None = None

    @property
    def can_take_chunks(self) -> bool:
        """Whether an answer of unknown length may be sent to the caller."""
        return self._caller.can_take_chunks

    async def begin(
        self,
        head: http_exchange.Answer,
        length: int | None,
        rivals: tuple[anyio.CancelScope, ...],
    ) -> None:
        """Begin the reply and cancel the other attempts.

        Waits until the earlier requests of the connection are answered. Until then,
        nothing goes out, and the request may still be tried elsewhere.
        """
        await self._caller.wait_turn()
        if self._plan.is_answered:
            await anyio.sleep_forever()  # The answer of another attempt cancels this.
        for scope in rivals:
            scope.cancel()
        self.stream.begin(length)
        self._handle_begin(head.status)
        headers = http_exchange.strip_connection_headers(head.headers)
        self.reply = calls.Reply(head.status, headers, b"", self.stream)
        self._caller.begin_reply(self.reply)

    def end(self, why: str) -> None:
        """Release what the request holds, once none of its attempts continues."""
        if self.reply is None:
            self.stream.abandon()
        else:
            self.stream.abort(why)


class AttemptSink:
    """Takes the answer of one attempt, which may begin the reply.

    Parameters
    ----------
    streamed : StreamedReply
        Reply of the request.
    rivals : tuple of anyio.CancelScope
        Scopes of the attempts that end when this one's answer begins.

    Attributes
    ----------
    has_begun : bool
        Whether the answer of this attempt is the reply.
    """

    def __init__(
        self, streamed: StreamedReply, rivals: tuple[anyio.CancelScope, ...]
    ) -> None:
        self._streamed = streamed
        self._rivals = rivals
        self.has_begun = False

    def may_begin(
        self, head: http_exchange.Answer, length: int | None, received: int
    ) -> bool:
        """Return whether an answer may begin of which some bytes have arrived."""
        has_marked_end = length is not None or self._streamed.can_take_chunks
        return has_marked_end and received > answer_stream.STREAM_FROM_BYTES

    async def begin(self, head: http_exchange.Answer, length: int | None) -> None:
        """Begin the reply with this answer."""
        await self._streamed.begin(head, length, self._rivals)
        self.has_begun = True

    def put(self, data: bytes) -> None:
        """Add bytes to the reply."""
        self._streamed.stream.put(data)

    async def wait_for_room(self) -> None:
        """Return once more of the answer may be read."""
        await self._streamed.stream.wait_for_room()

    def end(self, attempt: target_client.Attempt) -> None:
        """Complete or truncate the reply when the attempt has ended."""
        if not self.has_begun:
            return
        if attempt.result is plan.AttemptResult.ANSWERED:
            self._streamed.stream.finish()
        else:
            self._streamed.stream.abort(attempt.detail)

    def correct_end(self, end: attempt_ends.AttemptEnd) -> attempt_ends.AttemptEnd:
        """Return the end of the attempt without what is due to the caller.

        The time for which the caller kept the target waiting does not count as its
        work, and breaking off after a long wait is not its failure.
        """
        if not self.has_begun:
            return end
        stream = self._streamed.stream
        outcome, why = end.outcome, end.why
        if (
            outcome is messages.Outcome.FAILED
            and not end.has_crashed
            and stream.longest_pause >= answer_stream.LONG_PAUSE_S
        ):
            outcome, why = messages.Outcome.ABANDONED, CALLER_PAUSED
        elif outcome is messages.Outcome.SILENT and (
            stream.is_paused or stream.paused_time >= answer_stream.LONG_PAUSE_S
        ):
            outcome, why = messages.Outcome.ABANDONED, CALLER_SLOW
        duration = max(0.0, end.duration - stream.paused_time)
        return dataclasses.replace(end, outcome=outcome, why=why, duration=duration)
