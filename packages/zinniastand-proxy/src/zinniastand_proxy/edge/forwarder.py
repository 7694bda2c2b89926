"""Takes one request from its caller to a target and the answer back."""

from __future__ import annotations

import dataclasses
import itertools
import json

import anyio

from zinniastand_core.deployment import configuration, routing, targets
from zinniastand_core.dispatch import messages, shards
from zinniastand_core.forwarding import plan

from .. import metrics
from . import (
    http_exchange,
    http_server,
    log_lines,
    placement,
    target_client,
    vocabulary,
)

UNREACHABLE_FOR = 2.0
"""Seconds for which this VM leaves out a target that it could not connect to. A cut
lasts seconds; another target costs nothing meanwhile."""

OVERDUE_FACTOR = 4.0
"""Times the expected time after which idempotent work is tried at another target. Times
of work spread by a factor of two; one piece in a hundred takes five times as long."""

OVERDUE_IN_DOUBT = 1.5
"""The same at a target that surely fails. Idempotent work finds out about targets in
doubt, and some of them hang instead of failing: after four times the expected time
there is too little left for another target."""

LEAST_OVERDUE = 0.25
"""Seconds before which no attempt counts as overdue, whatever is expected."""

OVERDUE_LEFT = 1.5
"""Times the expected time that must be left for another attempt to be worth it."""

RETRY_SOON = 0.5
"""Seconds after which a caller may come back when this VM knows no configuration."""

MILLISECONDS = 1000.0

CALLER_LEFT = "caller left"
DEADLINE = "deadline"
OVERDUE = "overdue"

OUTCOMES = {
    plan.Result.ANSWERED: messages.Outcome.GOOD,
    plan.Result.ERROR: messages.Outcome.FAILED,
    plan.Result.BROKEN: messages.Outcome.FAILED,
    plan.Result.SILENT: messages.Outcome.SILENT,
    plan.Result.TURNED_AWAY: messages.Outcome.SHED,
    plan.Result.MISPLACED: messages.Outcome.MISPLACED,
    plan.Result.UNREACHABLE: messages.Outcome.UNREACHABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What requests are handled by."""

    configured: configuration.ConfigurationState
    """The configuration in force."""

    router: routing.Router
    """Its routes."""

    registry: targets.Registry
    """Targets known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What a forwarder works with."""

    knowledge: Knowledge
    """What requests are handled by."""

    placement: placement.Placement
    """Gets targets."""

    client: target_client.TargetClient
    """Sends to targets."""

    words: vocabulary.Vocabulary
    """Headers of the platform."""

    log: log_lines.LogLines
    """Decisions."""

    metrics: metrics.Metrics
    """Counts and latencies."""


class Forwarder:
    """Handles the requests of callers.

    Parameters
    ----------
    tools : Tools
        Its parts.
    vm : str
        Name of this VM.
    data_centre : str
        Where it runs.
    incarnation : int
        Start of this process; makes its tickets unique.
    """

    def __init__(
        self, tools: Tools, vm: str, data_centre: str, incarnation: int
    ) -> None:
        self._tools = tools
        self._vm = vm
        self._data_centre = data_centre
        self._prefix = f"{vm}:{incarnation}:"
        self._numbers = itertools.count()
        self._unreachable_until: dict[str, float] = {}

    async def handle(self, incoming: http_server.Incoming) -> http_server.Reply:
        """Return the answer to one request."""
        knowledge = self._tools.knowledge
        current = knowledge.configured.current
        request_id = self._read_request_id(incoming)
        if current is None:
            # Without any configuration nothing is known of the route, so that
            # "not found" could be false.
            return self._refuse(request_id, 503, "no-configuration", RETRY_SOON)
        path = incoming.request.path.decode("latin-1")
        route = knowledge.router.find(incoming.host, path)
        if route is None:
            self.log_answer(request_id, 404, "no-route", 0.0, 0)
            return _explain(404, "no-route")
        run = _Run(self, self._tools, incoming, route, request_id)
        return await run.run()

    def make_ticket(self) -> str:
        """Return a name for an ask that is unique over the fleet."""
        return f"{self._prefix}{next(self._numbers)}"

    def list_unreachable(self, now: float) -> tuple[str, ...]:
        """Return the targets that this VM could not connect to lately."""
        self._unreachable_until = {
            name: at for name, at in self._unreachable_until.items() if at > now
        }
        return tuple(self._unreachable_until)

    def note_unreachable(self, target_id: str, now: float) -> None:
        """Leave a target out for a while."""
        self._unreachable_until[target_id] = now + UNREACHABLE_FOR

    @property
    def vm(self) -> str:
        """Name of this VM."""
        return self._vm

    @property
    def data_centre(self) -> str:
        """Where this VM runs."""
        return self._data_centre

    def _read_request_id(self, incoming: http_server.Incoming) -> str:
        value = http_exchange.find_header(
            incoming.request.headers, self._tools.words.request_id
        )
        return (value or b"").decode("latin-1")

    def _refuse(
        self, request_id: str, status: int, reason: str, pause: float
    ) -> http_server.Reply:
        self.log_answer(request_id, status, reason, 0.0, 0)
        return _explain(status, reason, pause)

    def log_answer(
        self, request_id: str, status: int, why: str, took: float, attempts: int
    ) -> None:
        """Note the one answer to a request."""
        self._tools.log.write(
            "answer",
            request=request_id,
            status=status,
            why=why,
            ms=round(took * MILLISECONDS),
            attempts=attempts,
            version=self._tools.knowledge.configured.version,
        )
        self._tools.metrics.count(
            "zinniastand_answers_total", metrics.label(status=str(status), why=why)
        )
        self._tools.metrics.record("zinniastand_answer_seconds", took)


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """A slot of a target that this request holds."""

    ask: messages.Ask
    """What was asked."""

    grant: messages.Grant
    """The slot."""

    waited: float
    """Seconds until it was granted."""


class _Run:
    """The run of one request."""

    def __init__(
        self,
        forwarder: Forwarder,
        tools: Tools,
        incoming: http_server.Incoming,
        route: configuration.Route,
        request_id: str,
    ) -> None:
        self._forwarder = forwarder
        self._tools = tools
        self._incoming = incoming
        self._route = route
        self._request_id = request_id
        limit = incoming.read_at + min(
            route.time_limit, self._read_time_left(route.time_limit)
        )
        objective = min(limit, incoming.read_at + route.objective)
        self._plan = plan.Plan(route, plan.Times(objective, limit))
        self._service = tools.knowledge.router.choose_service(route)
        self._answer: http_exchange.Answer | None = None
        self._next: _Place | None = None
        self._retry_at: float | None = None
        self._why = ""

    async def run(self) -> http_server.Reply:
        """Return the one answer, by the deadline."""
        with anyio.CancelScope(deadline=self._plan.times.deadline_at) as scope:
            self._incoming.caller.watch(scope, self._may_cancel)
            try:
                step = plan.Step.TRY_AGAIN
                while step is plan.Step.TRY_AGAIN:
                    step = await self._try_once()
            finally:
                self._release(self._next)
            return self._finish(step)
        if not self._incoming.caller.has_left:
            self._why = DEADLINE
        return self._finish(self._plan.give_up())

    def _may_cancel(self) -> bool:
        """Return whether to stop when the caller has left.

        Work that may run only once and is under way goes on: breaking it off would
        leave its caller without knowing how much of it was done.
        """
        return self._plan.is_idempotent or not self._plan.may_have_run

    async def _try_once(self) -> plan.Step:
        place = self._next or await self._acquire()
        self._next = None
        if place is None:
            return self._plan.give_up()
        registry = self._tools.knowledge.registry
        target = registry.find_usable(place.grant.target_id)
        if target is None:
            # The dispatcher knows a target that this VM does not know yet, or has not
            # heard that this one is leaving. A dispatcher that is cut off from the
            # store would otherwise make every VM send work to targets that leave.
            self._release(place)
            self._plan.start_attempt(place.grant.target_id)
            now = anyio.current_time()
            return self._plan.end_attempt(plan.Result.UNREACHABLE, now)
        return await self._attempt(place, target)

    async def _acquire(self) -> _Place | None:
        """Return a slot, or None where the dispatcher refuses."""
        ask = self._make_ask()
        asked_at = anyio.current_time()
        answer = await self._tools.placement.acquire(ask)
        if isinstance(answer, messages.Grant):
            return _Place(ask, answer, anyio.current_time() - asked_at)
        self._why = answer.reason.value
        self._retry_at = answer.retry_at
        return None

    def _release(self, place: _Place | None) -> None:
        """Give back a slot that is not used after all."""
        if place is not None:
            target_id = place.grant.target_id
            self._report(place.ask, target_id, messages.Outcome.ABANDONED, 0.0)

    async def _attempt(self, place: _Place, target: targets.Entry) -> plan.Step:
        ask, grant = place.ask, place.grant
        self._plan.start_attempt(target.target_id)
        started = anyio.current_time()
        outcome = messages.Outcome.ABANDONED
        why = CALLER_LEFT
        try:
            attempt = await self._send(target, grant, started)
            outcome = OUTCOMES[attempt.result]
            why = attempt.detail
        finally:
            now = anyio.current_time()
            if outcome is messages.Outcome.ABANDONED and now >= ask.deadline_at:
                outcome = messages.Outcome.SILENT
                why = DEADLINE
            self._report(ask, target.target_id, outcome, now - started)
            self._log_attempt(target, place, outcome, why, now - started)
        if attempt.result is plan.Result.UNREACHABLE:
            self._forwarder.note_unreachable(target.target_id, now)
        if attempt.answer is not None:
            self._answer = attempt.answer
        self._why = attempt.detail
        return self._plan.end_attempt(attempt.result, now)

    async def _send(
        self, target: targets.Entry, grant: messages.Grant, now: float
    ) -> target_client.Attempt:
        left = self._plan.times.deadline_at - now
        request = self._make_request(target, left)
        factor = OVERDUE_FACTOR + (OVERDUE_IN_DOUBT - OVERDUE_FACTOR) * grant.doubt
        overdue = max(LEAST_OVERDUE, factor * grant.expected)
        may_be_overdue = (
            self._plan.may_retry_next and left - overdue > OVERDUE_LEFT * grant.expected
        )
        if may_be_overdue:
            return await self._send_until_overdue(target, request, overdue)
        return await self._send_plainly(target, request)

    async def _send_plainly(
        self, target: targets.Entry, request: http_exchange.Request
    ) -> target_client.Attempt:
        return await self._tools.client.attempt(
            target, request, self._route.work, self._plan.mark_sent
        )

    async def _send_until_overdue(
        self, target: targets.Entry, request: http_exchange.Request, overdue: float
    ) -> target_client.Attempt:
        """Send, and break off overdue work once another target has a slot for it.

        Breaking it off before would leave the request with nothing where no other
        slot is to be had: its caller got 502 while the target was still at work.
        """
        ended: target_client.Attempt | None = None
        async with anyio.create_task_group() as group:

            async def _send() -> None:
                nonlocal ended
                ended = await self._send_plainly(target, request)
                group.cancel_scope.cancel()

            group.start_soon(_send)
            await anyio.sleep(overdue)
            # Kept at once: the request may end while the first attempt is broken off.
            self._next = await self._acquire()
            if self._next is not None:
                group.cancel_scope.cancel()
        if ended is not None:
            self._release(self._next)
            self._next = None
            return ended
        return target_client.Attempt(plan.Result.SILENT, None, OVERDUE)

    def _make_ask(self) -> messages.Ask:
        forwarder, times = self._forwarder, self._plan.times
        now = anyio.current_time()
        excluded = {*self._plan.excluded, *forwarder.list_unreachable(now)}
        return messages.Ask(
            ticket=forwarder.make_ticket(),
            shard=shards.Shard(self._service),
            kind=self._route.name,
            may_retry=self._plan.may_retry_next,
            priority=self._route.priority,
            objective_at=times.objective_at,
            deadline_at=times.deadline_at,
            attempt=self._plan.sent + 1,
            data_centre=forwarder.data_centre,
            excluded=tuple(sorted(excluded)),
        )

    def _make_request(
        self, target: targets.Entry, left: float
    ) -> http_exchange.Request:
        words = self._tools.words
        replaced = (words.time_left, words.expected_target)
        original = self._incoming.request
        headers = [one for one in original.headers if one[0] not in replaced]
        # Rounded down: a target must never be told more time than is left.
        headers.append((words.time_left, b"%d" % max(1, int(left * MILLISECONDS))))
        headers.append((words.expected_target, target.target_id.encode("latin-1")))
        return dataclasses.replace(original, headers=headers)

    def _read_time_left(self, default: float) -> float:
        value = http_exchange.find_header(
            self._incoming.request.headers, self._tools.words.time_left
        )
        if value is None or not value.isdigit():
            return default
        return int(value) / MILLISECONDS

    def _report(
        self,
        ask: messages.Ask,
        target_id: str,
        outcome: messages.Outcome,
        took: float,
    ) -> None:
        self._tools.placement.report(
            messages.Report(
                ask.ticket, ask.shard, target_id, outcome, took, self._forwarder.vm
            )
        )

    def _finish(self, step: plan.Step) -> http_server.Reply:
        now = anyio.current_time()
        reply = self._make_reply(step, now)
        took = now - self._incoming.read_at
        self._forwarder.log_answer(
            self._request_id, reply.status, self._why, took, self._plan.attempts
        )
        return reply

    def _make_reply(self, step: plan.Step, now: float) -> http_server.Reply:
        if step is plan.Step.RELAY and self._answer is not None:
            headers = http_exchange.strip_connection_headers(self._answer.headers)
            return http_server.Reply(self._answer.status, headers, self._answer.body)
        if step is plan.Step.SAY_NOT_RUN:
            pause = max(0.0, (self._retry_at or now + RETRY_SOON) - now)
            return _explain(503, self._why, pause)
        status = 504 if now >= self._plan.times.deadline_at else 502
        return _explain(status, self._why)

    def _log_attempt(
        self,
        target: targets.Entry,
        place: _Place,
        outcome: messages.Outcome,
        why: str,
        took: float,
    ) -> None:
        grant = place.grant
        self._tools.log.write(
            "attempt",
            request=self._request_id,
            service=self._service,
            target=target.target_id,
            doubt=round(grant.doubt, 3),
            expected_ms=round(grant.expected * MILLISECONDS),
            waited_ms=round(place.waited * MILLISECONDS, 1),
            outcome=outcome.value,
            why=why,
            ms=round(took * MILLISECONDS),
        )
        self._tools.metrics.count(
            "zinniastand_attempts_total", metrics.label(outcome=outcome.value)
        )


def _explain(status: int, reason: str, pause: float | None = None) -> http_server.Reply:
    """Return an answer of the proxy's own (RFC 9457)."""
    headers = [(b"content-type", b"application/problem+json")]
    if pause is not None:
        headers.append((b"retry-after", f"{pause:.3f}".encode()))
    body = json.dumps({"status": status, "reason": reason}).encode()
    return http_server.Reply(status, headers, body)
