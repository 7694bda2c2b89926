"""Conducts the plan of one request: carries out its actions and reports back."""

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
START_SHARE = 0.5
WATCH_AFTER = 0.05
LEAST_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What every request needs, made once."""

    vm: str
    """Name of this VM."""

    incarnation: int
    """Of this VM."""

    timer: clock.Clock
    """The time."""

    exchanger: exchange.Exchanger
    """Sends attempts."""

    claims: claims_service.ClaimsService
    """Seeks claims."""

    group: anyio.abc.TaskGroup
    """Where attempts run."""

    metrics: metrics.Metrics
    """Counts and latencies."""

    events: timeline.Timeline
    """The time line."""

    max_body_bytes: int
    """Largest answer body."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the caller gets."""

    answer: answers.Answer | None
    """A target's whole answer."""

    refusal: outcomes.Refusal | None
    """Otherwise, what the proxy says itself."""


class Conductor:
    """Runs one request.

    Parameters
    ----------
    dependencies : Dependencies
        What every request needs.
    routing : router.Router
        Router of the request's service.
    kind : services.Kind
        Kind of work.
    request : incoming.Request
        The request.
    request_id : bytes
        Its name.
    deadline : float
        Unix seconds at which its answer is worth nothing.
    claim : claim_records.Claim or None
        The claim to seek.
    wait_gone : callable
        Returns when the caller has gone away.
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
        wait_gone: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        self._dependencies = dependencies
        self._wait_gone = wait_gone
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
        self._counted_late: set[int] = set()
        self._reply: Reply | None = None
        self._changed = anyio.Event()

    async def run(self) -> Reply:
        """Return what the caller gets, by the deadline."""
        watch_at = self._dependencies.timer.now() + WATCH_AFTER
        self._act(self._plan.start(self._dependencies.timer.now()))
        while self._reply is None:
            wake_at = self._find_wake_time()
            if self._watch_scope is None:
                wake_at = min(wake_at, watch_at)
            now = self._dependencies.timer.now()
            with anyio.move_on_at(clock.convert_deadline(wake_at, now)):
                await self._changed.wait()
            self._changed = anyio.Event()
            self._wake(watch_at)
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        return self._reply

    def _wake(self, watch_at: float) -> None:
        now = self._dependencies.timer.now()
        self._count_late(now)
        if self._reply is not None:
            return
        if now >= self._plan.find_wake_time():
            self._act(self._plan.wake(now))
        if now >= watch_at and self._watch_scope is None:
            self._watch_scope = anyio.CancelScope()
            self._dependencies.group.start_soon(self._watch, self._watch_scope)

    async def _watch(self, scope: anyio.CancelScope) -> None:
        """Watch for the caller's going away.

        It begins late, because most requests are over before it is worth its cost.
        """
        with scope:
            await self._wait_gone()
            if self._reply is None:
                self._act(self._plan.abandon(self._dependencies.timer.now()))
                self._finish(Reply(None, None))

    def _act(self, actions: list[attempt_actions.Action]) -> None:
        for action in actions:
            match action:
                case attempt_actions.Send():
                    self._start(action)
                case attempt_actions.Cancel():
                    self._scopes[action.attempt].cancel()
                case attempt_actions.SeekClaim():
                    self._dependencies.group.start_soon(self._seek, action.claim)
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

    def _count_late(self, now: float) -> None:
        """Count attempts that are late already, without waiting for their end.

        A target that hangs gives no answer to judge; its silence has to speak.
        """
        for attempt in [n for n, at in self._overdue_at.items() if at <= now]:
            del self._overdue_at[attempt]
            self._counted_late.add(attempt)
            name = self._targets[attempt]
            self._routing.observe(name, self._kind.name, evidence.Sign.SLOW, now)

    def _finish(self, reply: Reply) -> None:
        self._reply = reply
        self._changed.set()

    def _start(self, send: attempt_actions.Send) -> None:
        scope = self._scopes[send.attempt] = anyio.CancelScope()
        name = self._targets[send.attempt] = send.target.name
        self._routing.start(name, is_first=send.attempt == 1)
        subject = baselines.Subject(name, self._kind.name)
        overdue_after = self._routing.health.find_overdue_after(subject)
        if overdue_after is not None:
            self._overdue_at[send.attempt] = (
                self._dependencies.timer.now() + overdue_after
            )
        if send.attempt > 1:
            self._dependencies.metrics.count("zinniastand_repeats_total")
        self._dependencies.group.start_soon(self._attempt, send, scope)

    async def _seek(self, claim: claim_records.Claim) -> None:
        started = self._dependencies.timer.now()
        verdict = await self._dependencies.claims.seek(claim)
        now = self._dependencies.timer.now()
        self._dependencies.metrics.record("zinniastand_claim_seconds", now - started)
        match verdict:
            case claimer.Granted():
                self._act(self._plan.take_grant(now))
            case claimer.Denied():
                self._act(self._plan.take_denial(verdict, now))
        self._changed.set()

    async def _attempt(
        self, send: attempt_actions.Send, scope: anyio.CancelScope
    ) -> None:
        started = self._dependencies.timer.now()
        name = send.target.name
        result: exchange.Result | None = None
        try:
            with scope:
                result = await self._dependencies.exchanger.exchange(send, self._task)
        finally:
            self._routing.end(name)
            self._overdue_at.pop(send.attempt, None)
        if result is None:
            return
        now = self._dependencies.timer.now()
        self._observe(send, result, now - started, now)
        if result.answer is not None:
            self._answers[send.attempt] = result.answer
            actions = self._plan.take_answer(send.attempt, result.answer.status, now)
        else:
            failure = result.failure or attempt_actions.Failure.SILENT
            actions = self._plan.take_failure(send.attempt, failure, now)
        self._act(actions)
        self._changed.set()

    def _observe(
        self,
        send: attempt_actions.Send,
        result: exchange.Result,
        took: float,
        now: float,
    ) -> None:
        name, kind = send.target.name, self._kind.name
        if result.is_leaving:
            self._note_leaving(name, now)
        if result.answer is not None:
            was_counted = send.attempt in self._counted_late
            self._observe_answer(name, result.answer, took, was_counted, now)
            return
        if result.failure in (
            attempt_actions.Failure.REFUSED,
            attempt_actions.Failure.BUSY,
        ):
            self._routing.take_shed(name, now)
            return
        if result.failure is attempt_actions.Failure.SILENT and result.was_pooled:
            # The connection is the first suspect; the repeat on a new one will tell.
            self._note(timeline.EventKind.CONNECTION_SILENT, name, result.detail, now)
            return
        self._routing.observe(name, kind, evidence.Sign.ERROR, now)

    def _observe_answer(
        self,
        name: str,
        answer: answers.Answer,
        took: float,
        was_counted: bool,
        now: float,
    ) -> None:
        kind = self._kind.name
        if answer.status >= LEAST_SERVER_ERROR:
            self._routing.observe(name, kind, evidence.Sign.ERROR, now)
            return
        sign = self._routing.health.judge_latency(baselines.Subject(name, kind), took)
        if not was_counted:
            self._routing.observe(name, kind, sign, now)
        self._routing.admission.take_success()

    def _note_leaving(self, name: str, now: float) -> None:
        self._routing.take_leaving(name, now)
        self._note(timeline.EventKind.TARGET_LEAVING, name, "it said so", now)

    def _note(
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
    """Return a new claim, which may start in the first part of the time left."""
    start_deadline = now + START_SHARE * (deadline - now)
    return claim_records.Claim(
        key_digest=key_digest,
        claim_id=os.urandom(CLAIM_ID_BYTES),
        holder=dependencies.vm,
        incarnation=dependencies.incarnation,
        start_deadline=round(start_deadline, 3),
        key_made_at=round(key_made_at, 3),
        fingerprint=fingerprint,
    )
