"""Runs one request: asks for targets, sends to them, and ends with its one answer."""

from __future__ import annotations

import math

import anyio

from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan

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

OVERDUE_FACTOR = 4.0
"""Times the expected time after which idempotent work is tried at another target too.
Times of work spread by a factor of two; one piece in a hundred takes five times as
long."""

OVERDUE_FACTOR_WHEN_FAILING = 1.5
"""The same at a target that surely fails. Idempotent work finds out about targets in
doubt, and some of them hang instead of failing: after four times the expected time
there is too little left for another target."""

MIN_OVERDUE_S = 0.25
"""Seconds before which no attempt counts as overdue, whatever is expected."""

MIN_TIME_LEFT_FACTOR = 1.5
"""Times the expected time that must be left for another attempt to be worth it."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Seconds after which a caller may come back where the dispatcher names no time."""

STOPPING_RETRY_AFTER_S = 0.05
"""Seconds after which a caller may come back whom a stopping VM refuses: the balancer
sends it to another VM by then."""

MILLISECONDS = 1000.0

CALLER_LEFT = "caller left"
DEADLINE = "deadline"
OTHER_ANSWERED = "another target answered"
OVERDUE = "overdue"
QUARANTINED = "quarantined"
STOPPING = "stopping"
UNEXPECTED_ERROR = "unexpected error"


class Run:
    """The run of one request.

    Parameters
    ----------
    dependencies : run_dependencies.RunDependencies
        What it works with.
    incoming : calls.Incoming
        The request.
    route : configuration.Route
        Its route.
    service : str
        The service of the route that it goes to.
    """

    def __init__(
        self,
        dependencies: run_dependencies.RunDependencies,
        incoming: calls.Incoming,
        route: configuration.Route,
        service: str,
    ) -> None:
        self._dependencies = dependencies
        self._incoming = incoming
        self._route = route
        self._service = service
        self._request_id = run_messages.read_request_id(
            incoming, dependencies.header_names
        )
        self._fingerprint = fingerprints.make_fingerprint(
            incoming.request, incoming.host, dependencies.header_names
        )
        limit = incoming.first_byte_at + min(
            route.time_limit,
            run_messages.read_time_left(
                incoming, dependencies.header_names, route.time_limit
            ),
        )
        objective = min(limit, incoming.first_byte_at + route.objective)
        self._plan = plan.Plan(route, plan.Deadlines(objective, limit))
        self._scope = anyio.CancelScope(deadline=limit)
        self._is_ending = False
        self._logged_request = attempt_ends.LoggedRequest(
            self._request_id, self._fingerprint, service
        )
        self._answer: http_exchange.Answer | None = None
        self._retry_at: float | None = None
        self._why = ""

    async def run(self) -> calls.Reply:
        """Return the one answer, by the deadline."""
        with self._scope:
            self._incoming.caller.watch(self._scope, self._may_cancel)
            return self._finish(await self._try_targets())
        has_left = self._incoming.caller.has_disconnected
        self._why = CALLER_LEFT if has_left else self._find_deadline_reason()
        return self._finish(self._plan.decide_final())

    def end_by(self, at: float) -> None:
        """Give the final answer by `at`, since the process ends then."""
        if at < self._plan.deadlines.deadline_at:
            self._is_ending = True
            self._plan.bring_deadline_forward(at)
            self._scope.deadline = at

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time: less is left."""
        self._plan.compensate_suspension(seconds)
        self._scope.deadline = self._plan.deadlines.deadline_at

    def _may_cancel(self) -> bool:
        """Return whether to stop when the caller has left.

        Work that may run only once and is under way goes on: breaking it off would
        leave its caller without knowing how much of it was done.
        """
        return self._plan.is_idempotent or not self._plan.may_have_run

    async def _try_targets(self) -> plan.Step:
        """Try one target after the other; return what ends the tries."""
        step = plan.Step.TRY_AGAIN
        while step is plan.Step.TRY_AGAIN:
            step = await self._try_once()
        return step

    async def _try_once(self) -> plan.Step:
        self._dependencies.check_suspension()
        if self._incoming.caller.has_disconnected and self._may_cancel():
            return self._plan.give_up()
        if self._check_quarantine():
            return self._plan.give_up()
        slot = await self._acquire_slot()
        if slot is None:
            return self._plan.give_up()
        self._dependencies.check_suspension()
        if self._check_quarantine():
            attempt_ends.report(self._dependencies, slot, attempt_ends.UNUSED)
            return self._plan.give_up()
        target = self._dependencies.registry.find_usable(slot.grant.target_id)
        self._plan.start_attempt(slot.grant.target_id)
        if target is None:
            # The dispatcher knows a target that this VM does not know yet, or has not
            # heard that this one is leaving. A dispatcher that is cut off from the
            # store would otherwise make every VM send work to targets that leave.
            attempt_ends.report(self._dependencies, slot, attempt_ends.UNUSED)
            now = anyio.current_time()
            return self._plan.end_attempt(plan.Result.UNREACHABLE, now)
        overdue_at = self._find_overdue_at(slot.grant, anyio.current_time())
        if overdue_at < math.inf:
            return await self._attempt_with_backup(slot, target, overdue_at)
        return await self._attempt(slot, target, overdue_at)

    def _check_quarantine(self) -> bool:
        """Return whether the request is kept from all targets, and note why."""
        hold = self._dependencies.suspects.find_hold_end(
            self._fingerprint, anyio.current_time()
        )
        if hold is None:
            return False
        self._why = QUARANTINED
        self._retry_at = hold
        return True

    async def _acquire_slot(self) -> attempt_ends.HeldSlot | None:
        """Return a slot, or None where the dispatcher refuses."""
        requested_at = anyio.current_time()
        slot_request = run_messages.make_slot_request(
            self._dependencies, self._plan, self._route, self._service, requested_at
        )
        try:
            answer = await self._dependencies.slots.acquire(slot_request)
        except Exception as error:
            # Like a refusal: another attempt may be under way, and goes on.
            self._dependencies.recorder.log_error(self._request_id, error)
            self._why = UNEXPECTED_ERROR
            return None
        if isinstance(answer, messages.Grant):
            return attempt_ends.HeldSlot(
                slot_request, answer, anyio.current_time() - requested_at
            )
        self._why = answer.reason.value
        self._retry_at = answer.retry_at
        return None

    def _find_overdue_at(self, grant: messages.Grant, now: float) -> float:
        """Return from when on another target is tried too; infinite for never."""
        left = self._plan.deadlines.deadline_at - now
        factor = (
            OVERDUE_FACTOR
            + (OVERDUE_FACTOR_WHEN_FAILING - OVERDUE_FACTOR) * grant.failure_probability
        )
        overdue = max(MIN_OVERDUE_S, factor * grant.expected_duration)
        if not self._plan.may_send_backup:
            return math.inf
        if left - overdue <= MIN_TIME_LEFT_FACTOR * grant.expected_duration:
            return math.inf
        return now + overdue

    async def _attempt_with_backup(
        self, slot: attempt_ends.HeldSlot, target: targets.Entry, overdue_at: float
    ) -> plan.Step:
        """Attempt; once that is overdue, try other targets beside it.

        The first answer ends all. An overdue attempt that was broken off for another
        one left its caller with 502 where the other failed, while its own target was
        at work. So it goes on until there is an answer to give in its place.
        """
        step = plan.Step.WAIT
        is_overdue = False
        async with anyio.create_task_group() as group:

            async def _attempt() -> None:
                nonlocal step
                step = await self._attempt(slot, target, overdue_at)
                if self._plan.is_answered or not is_overdue:
                    group.cancel_scope.cancel()

            group.start_soon(_attempt)
            await anyio.sleep_until(overdue_at)
            is_overdue = True
            step = self._plan.decide_next(anyio.current_time())
            if step is plan.Step.TRY_AGAIN:
                step = await self._try_targets()
            if self._plan.is_answered:
                group.cancel_scope.cancel()
        if step is plan.Step.WAIT or self._plan.is_answered:
            # Attempts that end in one turn of the loop may report in any order.
            return self._plan.decide_next(anyio.current_time())
        return step

    async def _attempt(
        self, slot: attempt_ends.HeldSlot, target: targets.Entry, overdue_at: float
    ) -> plan.Step:
        """Send to one target; take in, report and note how that ended."""
        started = anyio.current_time()
        outcome, why = messages.Outcome.ABANDONED, CALLER_LEFT
        has_crashed, is_resent, rate_limit = False, False, None
        self._dependencies.suspects.begin_attempt(self._fingerprint, started)
        try:
            attempt = await self._send(target, started)
            outcome, why = attempt_ends.OUTCOMES[attempt.result], attempt.detail
            is_resent, rate_limit = attempt.is_resent, attempt.rate_limit
            cut_at = anyio.current_time()
            has_crashed = attempt.is_cut and await self._dependencies.is_down(
                target, cut_at
            )
            if has_crashed:
                self._dependencies.suspects.record_crash(
                    self._fingerprint, target, started
                )
            elif attempt.is_success:
                self._dependencies.suspects.record_answer(self._fingerprint)
        finally:
            now = anyio.current_time()
            if outcome is messages.Outcome.ABANDONED:
                self._plan.abandon_attempt()
                outcome, why = self._classify_cancellation(now, overdue_at)
            end = attempt_ends.AttemptEnd(
                outcome, why, now - started, has_crashed, rate_limit, is_resent
            )
            attempt_ends.report(self._dependencies, slot, end)
            attempt_ends.record(self._dependencies, self._logged_request, slot, end)
        return self._handle_end(attempt, target, now)

    async def _send(self, target: targets.Entry, now: float) -> target_client.Attempt:
        """Send to one target.

        An error that no part expected ends this attempt only. It would otherwise end
        the group, and with it an attempt at which another target is at work.
        """
        try:
            request = run_messages.make_request(
                self._incoming.request,
                self._dependencies.header_names,
                target,
                self._plan.deadlines.deadline_at - now,
            )
            return await self._dependencies.exchange.attempt(
                target,
                request,
                self._route.work,
                self._plan.mark_sent,
            )
        except Exception as error:
            self._dependencies.recorder.log_error(self._request_id, error)
            return target_client.Attempt(plan.Result.BROKEN, None, UNEXPECTED_ERROR)

    def _handle_end(
        self, attempt: target_client.Attempt, target: targets.Entry, now: float
    ) -> plan.Step:
        if attempt.result is plan.Result.UNREACHABLE:
            self._dependencies.unreachable.record(target.target_id, now)
        if not self._plan.is_answered:
            self._why = attempt.detail
            self._answer = attempt.answer or self._answer
        return self._plan.end_attempt(attempt.result, now)

    def _classify_cancellation(
        self, now: float, overdue_at: float
    ) -> tuple[messages.Outcome, str]:
        """Return how an attempt counts that was broken off, and why it was."""
        if self._plan.is_answered and now >= overdue_at:
            return messages.Outcome.SILENT, OVERDUE
        if self._plan.is_answered:
            return messages.Outcome.ABANDONED, OTHER_ANSWERED
        if self._is_ending and now >= self._plan.deadlines.deadline_at:
            # The process ends, which says nothing of the target.
            return messages.Outcome.ABANDONED, STOPPING
        if now >= self._plan.deadlines.deadline_at:
            return messages.Outcome.SILENT, DEADLINE
        return messages.Outcome.ABANDONED, CALLER_LEFT

    def _find_deadline_reason(self) -> str:
        return STOPPING if self._is_ending else DEADLINE

    def _finish(self, step: plan.Step) -> calls.Reply:
        now = anyio.current_time()
        reply = self._make_reply(step, now)
        duration = now - self._incoming.first_byte_at
        self._dependencies.recorder.record_answer(
            request_recorder.Answer(
                self._request_id,
                reply.status,
                self._why,
                duration,
                self._plan.attempts,
                self._service,
                self._route.name,
                self._plan.deadlines.objective_at - self._incoming.first_byte_at,
            )
        )
        return reply

    def _make_reply(self, step: plan.Step, now: float) -> calls.Reply:
        if step is plan.Step.RELAY and self._answer is not None:
            headers = http_exchange.strip_connection_headers(self._answer.headers)
            return calls.Reply(self._answer.status, headers, self._answer.body)
        if step is plan.Step.ANSWER_NOT_RUN:
            return replies.make_problem_reply(
                503, self._why, self._find_retry_after(now)
            )
        status = 504 if now >= self._plan.deadlines.deadline_at else 502
        return replies.make_problem_reply(status, self._why)

    def _find_retry_after(self, now: float) -> float:
        """Return the seconds after which the caller may come back."""
        if self._is_ending:
            return STOPPING_RETRY_AFTER_S
        if self._retry_at is None:
            return DEFAULT_RETRY_AFTER_S
        return max(0.0, self._retry_at - now)
