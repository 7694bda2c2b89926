"""Routes the requests of callers and processes each in its own run."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import itertools

import anyio

from zinniastand_core import services
from zinniastand_core.deployment import configuration, routing, targets
from zinniastand_core.forwarding import planned_end

from .. import metrics
from . import (
    calls,
    crash_check,
    header_names,
    log_lines,
    ports,
    replies,
    request_recorder,
    request_run,
    run_dependencies,
    run_messages,
    unreachable_targets,
)
from .accounts import admission, credentials
from .answers import answer_bounds, answer_stream

NO_MEMORY = "no-memory"
"""Reason of refusals because the VM holds too many bytes for callers and targets."""

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
"""Retry-After delay in seconds while this VM has no configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingState:
    """Configuration and targets by which requests are routed."""

    configuration_state: configuration.ConfigurationState
    """The configuration in force."""

    router: routing.Router
    """Routes of the configuration in force."""

    registry: targets.Registry
    """Targets known to this VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Collaborators of a forwarder."""

    routing_state: RoutingState
    """Configuration and targets by which requests are routed."""

    placement: ports.LimitedSlotSource
    """Acquires and releases slots of targets."""

    client: ports.TargetExchange
    """Sends requests to targets."""

    suspects: ports.SuspectRecord
    """Record of requests suspected of crashing their targets."""

    notices: ports.NoticeRecord
    """What targets have told this VM in their answers."""

    platform_headers: header_names.HeaderNames
    """Names of the platform's headers."""

    log: log_lines.LogLines
    """Log of attempts and answers."""

    metrics: metrics.Metrics
    """Counters and latency histograms."""

    check_suspension: collections.abc.Callable[[], None]
    """Detects a suspension of this VM and handles it."""

    admission: admission.Admission
    """Decides whether a request may run on behalf of a client account."""

    wait_at_start: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    """Delays requests while a VM that has just started lacks what it needs."""

    can_connect_elsewhere: crash_check.CanConnectElsewhere = crash_check.assume_links
    """Returns whether this VM reaches another target than the given one."""

    body_bounds: answer_bounds.AnswerBounds = answer_bounds.DEFAULT
    """Limits on the bodies of answers."""

    streams: answer_stream.AnswerStreams | None = None
    """Passes large answers on while they arrive; None if all are buffered whole."""

    has_fair_accounts: bool = False
    """Whether slot requests name the caller's account for fair queueing."""


class Forwarder:
    """Handles the requests of callers.

    Parameters
    ----------
    dependencies : Dependencies
        Collaborators.
    vm : str
        Name of this VM.
    data_centre : str
        Data centre of this VM.
    incarnation : int
        Number of this start of the process; makes its tickets unique.
    """

    def __init__(
        self, dependencies: Dependencies, vm: str, data_centre: str, incarnation: int
    ) -> None:
        self._routing_state = dependencies.routing_state
        self._platform_headers = dependencies.platform_headers
        self._check_suspension = dependencies.check_suspension
        self._admission = dependencies.admission
        self._wait_at_start = dependencies.wait_at_start
        self._streams = dependencies.streams
        self._has_fair_accounts = dependencies.has_fair_accounts
        self._ticket_prefix = f"{vm}:{incarnation}:"
        self._ticket_numbers = itertools.count()
        self._runs: set[request_run.Run] = set()
        self._planned_end = planned_end.NEVER
        self._waiting: set[anyio.CancelScope] = set()
        self._recorder = request_recorder.RequestRecorder(
            dependencies.log,
            dependencies.metrics,
            dependencies.routing_state.configuration_state,
        )
        self._run_dependencies = run_dependencies.RunDependencies(
            vm,
            data_centre,
            dependencies.placement,
            dependencies.client,
            dependencies.routing_state.registry,
            unreachable_targets.UnreachableTargets(),
            self._recorder,
            dependencies.platform_headers,
            self._make_ticket,
            dependencies.suspects,
            crash_check.CrashCheck(dependencies.can_connect_elsewhere).is_down,
            dependencies.notices,
            dependencies.check_suspension,
            dependencies.body_bounds,
            dependencies.streams,
        )

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the reply to one request."""
        with self._limit_wait():
            await self._wait_at_start()
        # Before the age of the configuration is used: a suspension makes it older.
        self._check_suspension()
        if self._routing_state.configuration_state.current is None:
            # Without a configuration, the route is unknown, and 404 might be wrong.
            return self._refuse(
                incoming, 503, "no-configuration", NO_CONFIGURATION_RETRY_AFTER_S
            )
        path = incoming.request.path.decode("latin-1")
        route = self._routing_state.router.find(incoming.host, path)
        if route is None:
            return self._refuse(incoming, 404, "no-route")
        if self._is_too_late(incoming, route):
            return self._refuse_stopping(incoming)
        if (return_time := self._find_memory_return(route)) is not None:
            return self._refuse(incoming, 503, NO_MEMORY, return_time)
        admitted: admission.Admitted | admission.Refusal | None = None
        with self._limit_wait():
            admitted = await self._admission.admit(incoming, route)
        if admitted is None:
            return self._refuse_stopping(incoming)
        if isinstance(admitted, admission.Refusal):
            return self._refuse_admission(incoming, admitted)
        return await self._run(admitted, route)

    @contextlib.contextmanager
    def _limit_wait(self) -> collections.abc.Iterator[None]:
        """Limit what precedes the run of a request to the end of the process."""
        with anyio.CancelScope(deadline=self._planned_end.answer_by) as scope:
            self._waiting.add(scope)
            try:
                yield
            finally:
                self._waiting.discard(scope)

    async def _run(
        self, admitted: admission.Admitted, route: configuration.Route
    ) -> calls.Reply:
        """Return the reply to a request that may run."""
        holder = admitted.holder
        if holder is not None and holder.priority is not None:
            route = dataclasses.replace(route, priority=holder.priority)
        service = self._routing_state.router.choose_service(route)
        account = ""
        if holder is not None and self._has_fair_accounts:
            account = holder.name
        run = request_run.Run(
            self._run_dependencies, admitted.incoming, route, service, account
        )
        run.end_by(self._planned_end)
        self._runs.add(run)
        try:
            return await run.run()
        finally:
            self._runs.discard(run)
            self._admission.settle(admitted, run.may_have_run)

    def check_head(self, incoming: calls.Incoming) -> calls.BodyTerms:
        """Return whether a request can be served once its body arrives, and until when.

        What is not decided by the head is decided when the request is complete.
        """
        if self._routing_state.configuration_state.current is None:
            return calls.BodyTerms()
        path = incoming.request.path.decode("latin-1")
        route = self._routing_state.router.find(incoming.host, path)
        if route is None:
            return calls.BodyTerms()
        if self._is_too_late(incoming, route):
            return calls.BodyTerms(self._refuse_stopping(incoming))
        times = run_messages.find_times(incoming, self._platform_headers, route)
        return calls.BodyTerms(deadline_at=times.deadline_at)

    def may_overlap(self, incoming: calls.Incoming) -> bool:
        """Return whether a request may run while others of its connection do."""
        path = incoming.request.path.decode("latin-1")
        route = self._routing_state.router.find(incoming.host, path)
        return route is None or route.work is services.Work.IDEMPOTENT

    def end_by(self, end: planned_end.PlannedEnd) -> None:
        """Reply to every request, including later ones, by a planned end.

        A request still in progress when the process ends would lose its connection,
        and its caller could not tell whether the request had been read.
        """
        self._planned_end = end
        for scope in self._waiting:
            scope.deadline = end.answer_by
        for run in self._runs:
            run.end_by(end)

    def compensate_suspension(self, seconds: float) -> None:
        """Bring all deadlines forward by the duration of a suspension of this VM.

        The clock stands still during a suspension, while callers continue to wait.
        """
        if self._planned_end is not planned_end.NEVER:
            self._planned_end = self._planned_end.bring_forward(seconds)
        for scope in self._waiting:
            scope.deadline = self._planned_end.answer_by
        for run in self._runs:
            run.compensate_suspension(seconds)

    def release_slots(self, service: str) -> None:
        """Release the slots of a service whose targets this VM cannot reach."""
        for run in self._runs:
            run.release_slots(service)

    def _is_too_late(
        self, incoming: calls.Incoming, route: configuration.Route
    ) -> bool:
        """Return whether the process may end before a new request does."""
        if self._planned_end is planned_end.NEVER:
            return False
        times = run_messages.find_times(incoming, self._platform_headers, route)
        is_streamed = self._streams is not None and route.has_large_answers
        deadline_at = times.stream_until if is_streamed else times.deadline_at
        return not self._planned_end.accepts(anyio.current_time(), deadline_at)

    def _refuse_stopping(self, incoming: calls.Incoming) -> calls.Reply:
        """Refuse a request whose caller retries at another VM."""
        retry_after = request_run.STOPPING_RETRY_AFTER_S
        return self._refuse(incoming, 503, request_run.STOPPING, retry_after)

    def _find_memory_return(self, route: configuration.Route) -> float | None:
        """Return the seconds until there is memory for a request; None if there is."""
        if self._streams is None or self._streams.held.accepts(route.has_large_answers):
            return None
        now = anyio.current_time()
        return self._streams.held.find_return(route.has_large_answers, now)

    def _make_ticket(self) -> str:
        return f"{self._ticket_prefix}{next(self._ticket_numbers)}"

    def _refuse_admission(
        self, incoming: calls.Incoming, refusal: admission.Refusal
    ) -> calls.Reply:
        status = admission.STATUSES[refusal.reason]
        reason = refusal.reason.value
        self._recorder.record_final_answer(
            request_recorder.AnswerRecord(
                run_messages.read_request_id(incoming, self._platform_headers),
                status,
                reason,
                account=refusal.account,
                proof_age=refusal.proof_age,
            )
        )
        reply = replies.make_problem_reply(status, reason, refusal.retry_after)
        if refusal.reason is not admission.Reason.UNAUTHENTICATED:
            return reply
        headers = [*reply.headers, credentials.CHALLENGE]
        return dataclasses.replace(reply, headers=headers)

    def _refuse(
        self,
        incoming: calls.Incoming,
        status: int,
        reason: str,
        retry_after: float | None = None,
    ) -> calls.Reply:
        request_id = run_messages.read_request_id(incoming, self._platform_headers)
        self._recorder.record_final_answer(
            request_recorder.AnswerRecord(request_id, status, reason)
        )
        return replies.make_problem_reply(status, reason, retry_after)
