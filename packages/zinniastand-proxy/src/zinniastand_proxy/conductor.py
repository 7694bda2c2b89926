"""Runs one request: executes the actions of its plan and reports their results."""

from __future__ import annotations

import collections.abc
import dataclasses
import os

import anyio
import anyio.abc

from zinniastand_core import (
    attempt_actions,
    attempts,
    baselines,
    claim_records,
    claimer,
    evidence,
    outcomes,
    router,
    services,
    timeline,
)

from . import answers, claims_service, clock, exchange, incoming, metrics

CLAIM_ID_BYTES = 12
START_DEADLINE_SHARE = 0.5
"""Part of the time until the deadline in which a claimed request may start."""

DISCONNECT_WATCH_DELAY_S = 0.05
"""How long a request runs before its caller is watched for a disconnect."""

MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Collaborators and settings that all requests share."""

    vm: str
    """Name of this VM."""

    incarnation: int
    """Incarnation of this VM."""

    timer: clock.Clock
    """Source of the current time."""

    exchanger: exchange.Exchanger
    """Sends attempts to targets."""

    claims: claims_service.ClaimsService
    """Seeks claims and settles their outcomes."""

    group: anyio.abc.TaskGroup
    """Task group in which attempts, claims and disconnect watches run."""

    metrics: metrics.Metrics
    """Metrics of this VM."""

    events: timeline.Timeline
    """Timeline of this VM's events."""

    max_body_bytes: int
    """Largest body of a request or an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """How a request ended.

    Both fields are None if the caller disconnected first.
    """

    answer: answers.Answer | None
    """A target's complete answer, if there is one."""

    refusal: outcomes.Refusal | None
    """Why the proxy answers itself, if it does."""


class Conductor:
    """Runs one request until its caller can be answered.

    Parameters
    ----------
    dependencies : Dependencies
        Collaborators and settings that all requests share.
    routing : router.Router
        Router of the request's service.
    kind : services.Kind
        Kind of work.
    request : incoming.Request
        The request.
    request_id : bytes
        Identifies the request to targets.
    deadline : float
        Unix seconds after which an answer is useless.
    claim : claim_records.Claim or None
        The claim to seek before the first attempt, for at-most-once work.
    wait_disconnected : callable
        Returns when the caller has disconnected.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        routing: router.Router,
        kind: services.Kind,
        request: incoming.Request,
        request_id: bytes,
        deadline: float,
        claim: claim_records.Claim | None,
        wait_disconnected: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._dependencies = dependencies
        self._wait_disconnected = wait_disconnected
        self._watch_scope: anyio.CancelScope | None = None
        self._routing = routing
        self._kind = kind
        self._request_id = request_id
        self._plan = attempts.Plan(kind, deadline, routing, claim)
        self._task = exchange.Task(
            request,
            request_id,
            routing.service,
            claim.start_deadline if claim else None,
            dependencies.max_body_bytes,
        )
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._answers: dict[int, answers.Answer] = {}
        self._targets: dict[int, str] = {}
        self._overdue_at: dict[int, float] = {}
        self._recorded_overdue: set[int] = set()
        self._reply: Reply | None = None
        self._state_changed = anyio.Event()

    async def run(self) -> Reply:
        """Run the request and return how it ended, by the deadline."""
        watch_at = self._dependencies.timer.now() + DISCONNECT_WATCH_DELAY_S
        self._execute(self._plan.start(self._dependencies.timer.now()))
        while self._reply is None:
            wake_at = self._find_wake_time()
            if self._watch_scope is None:
                wake_at = min(wake_at, watch_at)
            now = self._dependencies.timer.now()
            with anyio.move_on_at(clock.convert_deadline(wake_at, now)):
                await self._state_changed.wait()
            self._state_changed = anyio.Event()
            self._wake(watch_at)
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        return self._reply

    def _wake(self, watch_at: float) -> None:
        now = self._dependencies.timer.now()
        self._record_overdue(now)
        if self._reply is not None:
            return
        if now >= self._plan.find_wake_time():
            self._execute(self._plan.wake(now))
        if now >= watch_at and self._watch_scope is None:
            self._watch_scope = anyio.CancelScope()
            self._dependencies.group.start_soon(
                self._watch_disconnect, self._watch_scope
            )

    async def _watch_disconnect(self, scope: anyio.CancelScope) -> None:
        """Abandon the request if its caller disconnects.

        The watch starts only after `DISCONNECT_WATCH_DELAY_S`: most requests have ended
        by then, and for them the watch would cost more than it saves.
        """
        with scope:
            await self._wait_disconnected()
            if self._reply is None:
                self._execute(self._plan.abandon(self._dependencies.timer.now()))
                self._finish(Reply(None, None))

    def _execute(self, actions: list[attempt_actions.Action]) -> None:
        for action in actions:
            match action:
                case attempt_actions.Send():
                    self._start_attempt(action)
                case attempt_actions.Cancel():
                    self._scopes[action.attempt].cancel()
                case attempt_actions.SeekClaim():
                    self._dependencies.group.start_soon(self._seek_claim, action.claim)
                case attempt_actions.Settle():
                    self._dependencies.group.start_soon(
                        self._dependencies.claims.settle, action.record
                    )
                case attempt_actions.Relay():
                    self._finish(Reply(self._answers[action.attempt], None))
                case attempt_actions.Refuse():
                    self._finish(Reply(None, action.refusal))

    def _find_wake_time(self) -> float:
        return min([self._plan.find_wake_time(), *self._overdue_at.values()])

    def _record_overdue(self, now: float) -> None:
        """Record attempts that are overdue as slow, without waiting for their end.

        A target that hangs sends no answer whose latency could be measured.
        """
        for attempt in [number for number, at in self._overdue_at.items() if at <= now]:
            del self._overdue_at[attempt]
            self._recorded_overdue.add(attempt)
            name = self._targets[attempt]
            self._routing.observe(name, self._kind.name, evidence.Sign.SLOW, now)

    def _finish(self, reply: Reply) -> None:
        self._reply = reply
        self._state_changed.set()

    def _start_attempt(self, send: attempt_actions.Send) -> None:
        scope = self._scopes[send.attempt] = anyio.CancelScope()
        name = self._targets[send.attempt] = send.target.name
        self._routing.record_start(name, is_first=send.attempt == 1)
        subject = baselines.Subject(name, self._kind.name)
        overdue_after = self._routing.health.find_overdue_after(subject)
        if overdue_after is not None:
            self._overdue_at[send.attempt] = (
                self._dependencies.timer.now() + overdue_after
            )
        if send.attempt > 1:
            self._dependencies.metrics.count("zinniastand_repeats_total")
        self._dependencies.group.start_soon(self._run_attempt, send, scope)

    async def _seek_claim(self, claim: claim_records.Claim) -> None:
        started = self._dependencies.timer.now()
        verdict = await self._dependencies.claims.seek(claim)
        now = self._dependencies.timer.now()
        self._dependencies.metrics.record("zinniastand_claim_seconds", now - started)
        match verdict:
            case claimer.Granted():
                self._execute(self._plan.handle_grant(now))
            case claimer.Denied():
                self._execute(self._plan.handle_denial(verdict, now))
        self._state_changed.set()

    async def _run_attempt(
        self, send: attempt_actions.Send, scope: anyio.CancelScope
    ) -> None:
        started = self._dependencies.timer.now()
        name = send.target.name
        result: exchange.Result | None = None
        try:
            with scope:
                result = await self._dependencies.exchanger.exchange(send, self._task)
        finally:
            self._routing.record_end(name)
            self._overdue_at.pop(send.attempt, None)
        if result is None:
            return
        now = self._dependencies.timer.now()
        self._record_result(send, result, now - started, now)
        if result.answer is not None:
            self._answers[send.attempt] = result.answer
            actions = self._plan.handle_answer(send.attempt, result.answer.status, now)
        else:
            failure = result.failure or attempt_actions.Failure.SILENT
            actions = self._plan.handle_failure(send.attempt, failure, now)
        self._execute(actions)
        self._state_changed.set()

    def _record_result(
        self,
        send: attempt_actions.Send,
        result: exchange.Result,
        duration: float,
        now: float,
    ) -> None:
        name, kind = send.target.name, self._kind.name
        if result.is_leaving:
            is_refused = result.failure is attempt_actions.Failure.REFUSED
            self._record_leaving(name, is_refused, now)
        if result.answer is not None:
            was_recorded_overdue = send.attempt in self._recorded_overdue
            self._record_answer(
                name, result.answer, duration, was_recorded_overdue, now
            )
            return
        if result.failure in (
            attempt_actions.Failure.REFUSED,
            attempt_actions.Failure.BUSY,
        ):
            self._routing.record_shed(name, now)
            return
        if result.failure is attempt_actions.Failure.SILENT and result.was_pooled:
            # Either the connection or the target may have failed. A retry on a new
            # connection shows which.
            self._record_event(
                timeline.EventKind.CONNECTION_SILENT, name, result.detail, now
            )
            return
        self._routing.observe(name, kind, evidence.Sign.ERROR, now)

    def _record_answer(
        self,
        name: str,
        answer: answers.Answer,
        duration: float,
        was_recorded_overdue: bool,
        now: float,
    ) -> None:
        kind = self._kind.name
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self._routing.observe(name, kind, evidence.Sign.ERROR, now)
            return
        sign = self._routing.health.judge_latency(
            baselines.Subject(name, kind), duration
        )
        if not was_recorded_overdue:
            self._routing.observe(name, kind, sign, now)
        self._routing.admission.raise_limit()

    def _record_leaving(self, name: str, is_refused: bool, now: float) -> None:
        """Record that a target is leaving; other VMs are told if it has refused work.

        A target that only closes a connection may do so for another reason.
        """
        if is_refused:
            self._routing.record_leaving(name, now)
        else:
            self._routing.mark_leaving(name, now)
        self._record_event(timeline.EventKind.TARGET_LEAVING, name, "it said so", now)

    def _record_event(
        self, kind: timeline.EventKind, target: str, detail: str, now: float
    ) -> None:
        subject = f"{self._routing.service.name}/{target}"
        self._dependencies.events.record(kind, subject, detail, now)


def make_claim(
    dependencies: Dependencies,
    key_digest: bytes,
    key_made_at: float,
    fingerprint: bytes,
    deadline: float,
    now: float,
) -> claim_records.Claim:
    """Return a new claim on a key.

    Parameters
    ----------
    dependencies : Dependencies
        Provide the name and the incarnation of the VM that holds the claim.
    key_digest : bytes
        Digest of the key.
    key_made_at : float
        Unix seconds at which the key was made.
    fingerprint : bytes
        Digest of the request's method, target and body.
    deadline : float
        Unix seconds after which an answer is useless. The work must start in the first
        half of the time that is left, so that it can end in time.
    now : float
        Unix seconds.
    """
    start_deadline = now + START_DEADLINE_SHARE * (deadline - now)
    return claim_records.Claim(
        key_digest=key_digest,
        claim_id=os.urandom(CLAIM_ID_BYTES),
        holder=dependencies.vm,
        incarnation=dependencies.incarnation,
        start_deadline=round(start_deadline, 3),
        key_made_at=round(key_made_at, 3),
        fingerprint=fingerprint,
    )
