"""Processes one request: acquires target slots, sends attempts and makes the reply."""

from __future__ import annotations

import dataclasses
import math

import anyio

from zinniastand_core import services
from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan, planned_end

from . import (
    attempt_ends,
    calls,
    fingerprints,
    http_exchange,
    replies,
    request_recorder,
    run_dependencies,
    run_messages,
    target_client,
)
from .answers import streamed_reply

OVERDUE_FACTOR = 4.0
"""Multiple of the expected duration after which an attempt of idempotent work is
overdue and a backup attempt starts at another target. Durations vary by a factor of
two; one attempt in a hundred takes five times as long."""

OVERDUE_FACTOR_WHEN_FAILING = 1.5
"""Value of `OVERDUE_FACTOR` for a target whose failure probability is 1, and where all
failures are silent. Idempotent requests serve as trials of targets that may be failing,
and some of these hang instead of failing: after four times the expected duration, too
little time would be left for another target."""

MIN_OVERDUE_S = 0.25
"""Minimum time in seconds before an attempt is overdue, however short the expected
duration."""

MIN_TIME_LEFT_FACTOR = 1.5
"""Multiple of the expected duration that must remain before the deadline for a backup
attempt to be worthwhile."""

MIN_SILENT_SHARE = 0.3
"""Share of silent failures from which a backup attempt starts while there is still time
for its answer, however long the first one may take. Work that takes long would
otherwise have no backup at a silent target."""

MAX_BACKUP_SHARE = 0.6
"""Share of the remaining time that is kept for such a backup at most."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Retry-After delay in seconds if the dispatcher gives no time."""

STOPPING_RETRY_AFTER_S = 0.05
"""Retry-After delay in seconds for callers refused by a stopping VM, after which the
load balancer routes them to another VM."""

MS_PER_S = 1000.0

# Reasons that stand in the log, in metric labels and in replies.
CALLER_LEFT = "caller left"
DEADLINE = "deadline"
LINKS_LOST = "links lost"
OTHER_ANSWERED = "another target answered"
OVERDUE = "overdue"
QUARANTINED = "quarantined"
STOPPING = "stopping"
UNEXPECTED_ERROR = "unexpected error"


class Run:
    """Processing of one request, from acquiring a slot to the reply.

    Parameters
    ----------
    dependencies : run_dependencies.RunDependencies
        Collaborators shared by all runs of this VM.
    incoming : calls.Incoming
        The request as received from the caller.
    route : configuration.Route
        The route that the request matched.
    service : str
        The service that was chosen from the route.
    account : str, optional
        Client account for which dispatchers queue the request.
    """

    def __init__(
        self,
        dependencies: run_dependencies.RunDependencies,
        incoming: calls.Incoming,
        route: configuration.Route,
        service: str,
        account: str = "",
    ) -> None:
        self._dependencies = dependencies
        self._incoming = incoming
        self._route = route
        self._service = service
        self._account = account
        self._request_id = run_messages.read_request_id(
            incoming, dependencies.platform_headers
        )
        self._fingerprint = fingerprints.make_fingerprint(
            incoming.request, incoming.host, dependencies.platform_headers
        )
        times = run_messages.find_times(incoming, dependencies.platform_headers, route)
        self._last_stream_at = times.stream_until
        self._planned_end = planned_end.NEVER
        objective = min(times.deadline_at, incoming.first_byte_at + route.objective)
        self._plan = plan.Plan(route, plan.Deadlines(objective, times.deadline_at))
        self._scope = anyio.CancelScope(deadline=times.deadline_at)
        self._slot_scope = anyio.CancelScope()
        self._is_ending = False
        self._logged_request = attempt_ends.LoggedRequest(
            self._request_id, self._fingerprint, service
        )
        self._answer: http_exchange.Answer | None = None
        self._retry_at: float | None = None
        self._why = ""
        self._held_slots: list[attempt_ends.GrantedSlot] = []
        self._streamed: streamed_reply.StreamedReply | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return self._plan.may_have_run

    async def run(self) -> calls.Reply:
        """Return the reply to the caller, by the deadline at the latest."""
        self._open_stream()
        try:
            with self._scope:
                self._incoming.caller.watch(self._scope, self._may_cancel)
                return self._finish(await self._try_targets())
            has_left = self._incoming.caller.has_disconnected
            self._why = CALLER_LEFT if has_left else self._find_deadline_reason()
            return self._finish(self._plan.decide_final())
        finally:
            if self._streamed is not None:
                self._streamed.end(self._why)

    def _open_stream(self) -> None:
        """Prepare to pass the answer on while it arrives, if the route allows."""
        streams = self._dependencies.streams
        if streams is None or not self._route.has_large_answers:
            return
        self._streamed = streamed_reply.StreamedReply(
            streams.open(), self._incoming.caller, self._plan, self._begin_answer
        )

    def _begin_answer(self, status: int) -> None:
        """Record that an answer begins to go out; it may take until the deadline that
        the caller has stated."""
        self._why = str(status)
        ends_at = self._planned_end.answer_by
        self._is_ending = ends_at < self._last_stream_at
        deadline_at = min(ends_at, self._last_stream_at)
        self._plan.begin_answer(deadline_at)
        self._scope.deadline = deadline_at

    def end_by(self, end: planned_end.PlannedEnd) -> None:
        """Bring the deadline forward to that of a planned end of the process."""
        self._planned_end = end
        if end.answer_by < self._plan.deadlines.deadline_at:
            self._is_ending = True
            self._plan.bring_deadline_forward(end.answer_by)
            self._scope.deadline = end.answer_by
            self._slot_scope.deadline = self._find_latest_start()

    def _find_latest_start(self) -> float:
        """Return until when an attempt may start; later, it would be broken off."""
        if not self._is_ending:
            return math.inf
        expected = self._dependencies.durations.find(self._service)
        return self._planned_end.find_latest_start(expected)

    def compensate_suspension(self, seconds: float) -> None:
        """Bring the deadline forward by the duration of a suspension of this VM.

        The clock stands still during a suspension, while the caller continues to wait.
        """
        self._last_stream_at -= seconds
        self._planned_end = self._planned_end.bring_forward(seconds)
        self._plan.compensate_suspension(seconds)
        self._scope.deadline = self._plan.deadlines.deadline_at
        self._slot_scope.deadline = self._find_latest_start()

    def release_slots(self, service: str) -> None:
        """Release the slots of a service whose targets this VM cannot reach any more.

        An attempt in flight goes on waiting, since its answer may still arrive. But its
        silence or its end say nothing about the target.
        """
        if service != self._service:
            return
        lost = attempt_ends.AttemptEnd(messages.Outcome.ABANDONED, LINKS_LOST, 0.0)
        for slot in self._held_slots:
            attempt_ends.report(self._dependencies, slot, lost)
        self._held_slots.clear()

    def _may_cancel(self) -> bool:
        """Return whether the run may be cancelled when the caller disconnects.

        At-most-once work that may have started continues: cancelling it would leave
        the caller unable to know how much of it was done.
        """
        return self._plan.is_idempotent or not self._plan.may_have_run

    async def _try_targets(
        self, rivals: tuple[anyio.CancelScope, ...] = ()
    ) -> plan.NextStep:
        """Try targets one after the other; return the step after the last one.

        `rivals` are the scopes of attempts that end when an answer begins here.
        """
        step = plan.NextStep.TRY_AGAIN
        while step is plan.NextStep.TRY_AGAIN:
            step = await self._try_once(rivals)
        return step

    async def _try_once(self, rivals: tuple[anyio.CancelScope, ...]) -> plan.NextStep:
        self._dependencies.check_suspension()
        if self._incoming.caller.has_disconnected and self._may_cancel():
            return self._plan.give_up()
        if self._check_quarantine():
            return self._plan.give_up()
        slot = await self._acquire_slot()
        if slot is None:
            return self._plan.give_up()
        self._dependencies.check_suspension()
        if self._check_quarantine() or self._is_too_late_for(slot.grant):
            attempt_ends.report(self._dependencies, slot, attempt_ends.UNUSED)
            return self._plan.give_up()
        target = self._dependencies.registry.find_usable(slot.grant.target_id)
        self._plan.start_attempt(slot.grant.target_id)
        now = anyio.current_time()
        if target is None or not self._dependencies.notices.wants_requests(target, now):
            # Either this VM does not know the target yet, or the dispatcher does not
            # know that the target is leaving. Without this check, a dispatcher cut off
            # from the store would make every VM send work to leaving targets. Or the
            # target has told this VM meanwhile that it wants no requests.
            attempt_ends.report(self._dependencies, slot, attempt_ends.UNUSED)
            return self._plan.end_attempt(plan.AttemptResult.UNREACHABLE, now)
        overdue_at = self._find_overdue_at(slot.grant, anyio.current_time())
        if overdue_at < math.inf:
            return await self._attempt_with_backup(slot, target, overdue_at, rivals)
        return await self._attempt(slot, target, overdue_at, rivals)

    def _check_quarantine(self) -> bool:
        """Return whether the request is quarantined; if so, store why and how long."""
        hold_ends_at = self._dependencies.suspects.find_hold_end(
            self._fingerprint, anyio.current_time()
        )
        if hold_ends_at is None:
            return False
        self._why = QUARANTINED
        self._retry_at = hold_ends_at
        return True

    def _is_too_late_for(self, grant: messages.Grant) -> bool:
        """Return whether the process ends before the granted work is expected to."""
        self._dependencies.durations.record(self._service, grant.expected_duration)
        if anyio.current_time() <= self._find_latest_start():
            return False
        self._why = STOPPING
        return True

    async def _acquire_slot(self) -> attempt_ends.GrantedSlot | None:
        """Return a slot, or None if there is none in time or the slot request fails."""
        with anyio.CancelScope(deadline=self._find_latest_start()) as self._slot_scope:
            return await self._request_slot()
        self._why = STOPPING
        return None

    async def _request_slot(self) -> attempt_ends.GrantedSlot | None:
        """Return a slot, or None if it is refused or the slot request fails."""
        requested_at = anyio.current_time()
        slot_request = run_messages.make_slot_request(
            self._dependencies,
            self._plan,
            self._route,
            self._service,
            requested_at,
            self._account,
        )
        try:
            answer = await self._dependencies.slots.acquire(slot_request)
        except Exception as error:
            # Treated like a refusal, so that another attempt in progress continues.
            self._dependencies.recorder.log_error(self._request_id, error)
            self._why = UNEXPECTED_ERROR
            return None
        if isinstance(answer, messages.Grant):
            return attempt_ends.GrantedSlot(
                slot_request, answer, anyio.current_time() - requested_at
            )
        self._why = answer.reason.value
        self._retry_at = answer.retry_at
        return None

    def _find_overdue_at(self, grant: messages.Grant, now: float) -> float:
        """Return the time from which a backup attempt may start; infinite for never."""
        if not self._plan.may_send_backup:
            return math.inf
        remaining = self._plan.deadlines.deadline_at - now
        factor = OVERDUE_FACTOR + (OVERDUE_FACTOR_WHEN_FAILING - OVERDUE_FACTOR) * max(
            grant.failure_probability, grant.silent_share
        )
        overdue_after = max(MIN_OVERDUE_S, factor * grant.expected_duration)
        needed = MIN_TIME_LEFT_FACTOR * grant.expected_duration
        if grant.silent_share >= MIN_SILENT_SHARE:
            needed = min(needed, MAX_BACKUP_SHARE * remaining)
            overdue_after = min(overdue_after, remaining - needed)
        if remaining - overdue_after < needed:
            return math.inf
        return now + overdue_after

    async def _attempt_with_backup(
        self,
        slot: attempt_ends.GrantedSlot,
        target: targets.Entry,
        overdue_at: float,
        rivals: tuple[anyio.CancelScope, ...],
    ) -> plan.NextStep:
        """Send an attempt; once it is overdue, try other targets in parallel.

        The first answer ends all attempts. One that begins to go out while it arrives
        ends the others by their scopes, and continues. The overdue attempt is not
        cancelled before there is an answer: if the backup failed, the caller would get
        502 although the first target was still working.
        """
        step = plan.NextStep.WAIT
        is_overdue = False
        first_scope, backup_scope = anyio.CancelScope(), anyio.CancelScope()
        async with anyio.create_task_group() as group:

            async def _attempt() -> None:
                nonlocal step
                with first_scope:
                    step = await self._attempt(
                        slot, target, overdue_at, (*rivals, backup_scope)
                    )
                if first_scope.cancel_called:
                    return
                if self._plan.is_answered or not is_overdue:
                    group.cancel_scope.cancel()

            group.start_soon(_attempt)
            with backup_scope:
                await anyio.sleep_until(overdue_at)
                is_overdue = True
                step = self._plan.decide_next(anyio.current_time())
                if step is plan.NextStep.TRY_AGAIN:
                    step = await self._try_targets((*rivals, first_scope))
            if self._plan.is_answered and not backup_scope.cancel_called:
                group.cancel_scope.cancel()
        if step is plan.NextStep.WAIT or self._plan.is_answered:
            # Attempts that end in the same iteration of the event loop may update the
            # plan in any order, so that `step` may be outdated.
            return self._plan.decide_next(anyio.current_time())
        return step

    async def _attempt(
        self,
        slot: attempt_ends.GrantedSlot,
        target: targets.Entry,
        overdue_at: float,
        rivals: tuple[anyio.CancelScope, ...],
    ) -> plan.NextStep:
        """Send to one target, report and record the end, and return the next step."""
        started_at = anyio.current_time()
        end: attempt_ends.AttemptEnd | None = None
        sink = self._make_sink(rivals)
        self._held_slots.append(slot)
        self._dependencies.suspects.begin_attempt(self._fingerprint, started_at)
        try:
            attempt = await self._send(target, started_at, sink)
            if sink is not None:
                sink.end(attempt)
            self._dependencies.notices.record_answer(target, attempt)
            end = attempt_ends.make_end(attempt, anyio.current_time() - started_at)
            if await self._check_crash(attempt, target, started_at):
                end = dataclasses.replace(end, has_crashed=True)
        finally:
            if end is None:
                end = self._make_cancelled_end(started_at, overdue_at, sink)
            if sink is not None:
                end = sink.correct_end(end)
            if slot in self._held_slots:
                self._held_slots.remove(slot)
                attempt_ends.report(self._dependencies, slot, end)
            attempt_ends.record(self._dependencies, self._logged_request, slot, end)
        if sink is not None and sink.has_begun:
            self._why = attempt.detail
        return self._handle_end(attempt, target, anyio.current_time())

    def _make_sink(
        self, rivals: tuple[anyio.CancelScope, ...]
    ) -> streamed_reply.AttemptSink | None:
        if self._streamed is None:
            return None
        return streamed_reply.AttemptSink(self._streamed, rivals)

    def _make_cancelled_end(
        self,
        started_at: float,
        overdue_at: float,
        sink: streamed_reply.AttemptSink | None,
    ) -> attempt_ends.AttemptEnd:
        now = anyio.current_time()
        self._plan.abandon_attempt()
        is_given_up = self._plan.is_answered and not (
            sink is not None and sink.has_begun
        )
        outcome, why = self._classify_cancellation(now, overdue_at, is_given_up)
        return attempt_ends.AttemptEnd(outcome, why, now - started_at)

    async def _check_crash(
        self, attempt: target_client.Attempt, target: targets.Entry, started_at: float
    ) -> bool:
        """Return whether the target crashed, and record that or its answer."""
        may_have_crashed = attempt.is_cut and not attempt.relay
        if may_have_crashed and await self._dependencies.is_down(
            target, anyio.current_time()
        ):
            self._dependencies.suspects.record_crash(
                self._fingerprint, target, started_at
            )
            return True
        if attempt.is_success:
            self._dependencies.suspects.record_answer(self._fingerprint)
        return False

    async def _send(
        self,
        target: targets.Entry,
        now: float,
        sink: streamed_reply.AttemptSink | None,
    ) -> target_client.Attempt:
        """Send to one target.

        An unexpected exception ends this attempt only. Otherwise it would cancel the
        task group, including an attempt that another target is working on.
        """
        try:
            request = run_messages.make_request(
                self._incoming.request,
                self._dependencies.platform_headers,
                target,
                self._plan.deadlines.deadline_at - now,
            )
            return await self._dependencies.client.attempt(
                target,
                request,
                self._find_connection_work(),
                self._plan.mark_sent,
                self._dependencies.body_bounds.find(self._route),
                sink,
            )
        except Exception as error:
            self._dependencies.recorder.log_error(self._request_id, error)
            return target_client.Attempt(
                plan.AttemptResult.BROKEN, None, UNEXPECTED_ERROR
            )

    def _find_connection_work(self) -> services.Work:
        """Return the work that a connection for an attempt must be fit for.

        Without a retry left, idempotent requests use only connections that are unlikely
        to be closed, since they could not be sent again on another one.
        """
        if self._dependencies.slots.may_resend(self._service):
            return self._route.work
        return services.Work.AT_MOST_ONCE

    def _handle_end(
        self, attempt: target_client.Attempt, target: targets.Entry, now: float
    ) -> plan.NextStep:
        if attempt.excludes_target:
            self._dependencies.unreachable.record(target.target_id, now)
        if not self._plan.is_answered:
            self._why = attempt.detail
            self._answer = attempt.answer or self._answer
        step = self._plan.end_attempt(attempt.result, now)
        # Other targets cannot be reached either.
        return self._plan.give_up() if attempt.is_own_path else step

    def _classify_cancellation(
        self, now: float, overdue_at: float, is_given_up: bool
    ) -> tuple[messages.Outcome, str]:
        """Return the outcome of a cancelled attempt and the reason for it.

        `is_given_up` says whether it was cancelled for the answer of another attempt.
        """
        if is_given_up and now >= overdue_at:
            return messages.Outcome.SILENT, OVERDUE
        if is_given_up:
            return messages.Outcome.ABANDONED, OTHER_ANSWERED
        if self._is_ending and now >= self._plan.deadlines.deadline_at:
            # The process is ending, which says nothing about the target.
            return messages.Outcome.ABANDONED, STOPPING
        if now >= self._plan.deadlines.deadline_at:
            return messages.Outcome.SILENT, DEADLINE
        return messages.Outcome.ABANDONED, CALLER_LEFT

    def _find_deadline_reason(self) -> str:
        return STOPPING if self._is_ending else DEADLINE

    def _finish(self, step: plan.NextStep) -> calls.Reply:
        now = anyio.current_time()
        reply = self._make_reply(step, now)
        duration = now - self._incoming.first_byte_at
        self._dependencies.recorder.record_final_answer(
            request_recorder.AnswerRecord(
                self._request_id,
                reply.status,
                self._why,
                duration,
                self._plan.attempts,
                self._service,
                self._route.name,
                self._plan.deadlines.objective_at - self._incoming.first_byte_at,
                is_truncated=reply.source is not None
                and self._why != str(reply.status),
            )
        )
        return reply

    def _make_reply(self, step: plan.NextStep, now: float) -> calls.Reply:
        if self._streamed is not None and self._streamed.reply is not None:
            return self._streamed.reply
        if step is plan.NextStep.RELAY and self._answer is not None:
            headers = http_exchange.strip_connection_headers(self._answer.headers)
            return calls.Reply(self._answer.status, headers, self._answer.body)
        if step is plan.NextStep.ANSWER_NOT_RUN:
            return replies.make_problem_reply(
                503, self._why, self._find_retry_after(now)
            )
        status = 504 if now >= self._plan.deadlines.deadline_at else 502
        return replies.make_problem_reply(status, self._why)

    def _find_retry_after(self, now: float) -> float:
        """Return the Retry-After delay in seconds."""
        if self._is_ending:
            return STOPPING_RETRY_AFTER_S
        if self._retry_at is None:
            return DEFAULT_RETRY_AFTER_S
        return max(0.0, self._retry_at - now)
