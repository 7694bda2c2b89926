"""Takes requests from their callers and hands each to a run of its own."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import math

import anyio

from zinniastand_core import services
from zinniastand_core.deployment import configuration, routing, targets

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

MAX_REFUSAL_LEAD_S = 1.0
"""Most seconds before the end of the process in which new requests are refused. Work
takes some tenths of a second, whatever its route allows."""

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
"""Seconds after which a caller may come back when this VM knows no configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingState:
    """What requests are handled by."""

    configuration_state: configuration.ConfigurationState
    """The configuration in force."""

    router: routing.Router
    """Its routes."""

    registry: targets.Registry
    """Targets known."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a forwarder works with."""

    routing_state: RoutingState
    """What requests are handled by."""

    placement: ports.SlotSource
    """Gets targets."""

    client: ports.TargetExchange
    """Sends to targets."""

    suspects: ports.SuspectRecord
    """Requests that crash their targets."""

    header_names: header_names.HeaderNames
    """Headers of the platform."""

    log: log_lines.LogLines
    """Decisions."""

    metrics: metrics.Metrics
    """Counts and latencies."""

    check_suspension: collections.abc.Callable[[], None]
    """Notices a suspension of this VM."""

    wait_at_start: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    """Lets a request wait while a VM that has just started lacks what it needs."""


class Forwarder:
    """Handles the requests of callers.

    Parameters
    ----------
    dependencies : Dependencies
        Its parts.
    vm : str
        Name of this VM.
    data_centre : str
        Where it runs.
    incarnation : int
        Start of this process; makes its tickets unique.
    """

    def __init__(
        self, dependencies: Dependencies, vm: str, data_centre: str, incarnation: int
    ) -> None:
        self._routing_state = dependencies.routing_state
        self._header_names = dependencies.header_names
        self._wait_at_start = dependencies.wait_at_start
        self._ticket_prefix = f"{vm}:{incarnation}:"
        self._ticket_numbers = itertools.count()
        self._runs: set[request_run.Run] = set()
        self._ends_at = math.inf
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
            dependencies.header_names,
            self._make_ticket,
            dependencies.suspects,
            crash_check.CrashCheck().is_down,
            dependencies.check_suspension,
        )

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the answer to one request."""
        await self._wait_at_start()
        if self._routing_state.configuration_state.current is None:
            # Without any configuration nothing is known of the route, so that
            # "not found" could be false.
            return self._refuse(
                incoming, 503, "no-configuration", NO_CONFIGURATION_RETRY_AFTER_S
            )
        path = incoming.request.path.decode("latin-1")
        route = self._routing_state.router.find(incoming.host, path)
        if route is None:
            return self._refuse(incoming, 404, "no-route")
        if self._is_too_late(route):
            retry_after = request_run.STOPPING_RETRY_AFTER_S
            return self._refuse(incoming, 503, request_run.STOPPING, retry_after)
        service = self._routing_state.router.choose_service(route)
        run = request_run.Run(self._run_dependencies, incoming, route, service)
        run.end_by(self._ends_at)
        self._runs.add(run)
        try:
            return await run.run()
        finally:
            self._runs.discard(run)

    def may_overlap(self, incoming: calls.Incoming) -> bool:
        """Return whether a request may run beside others of its connection."""
        path = incoming.request.path.decode("latin-1")
        route = self._routing_state.router.find(incoming.host, path)
        return route is None or route.work is services.Work.IDEMPOTENT

    def end_by(self, at: float) -> None:
        """Give the final answer to each request, also to later ones, by `at`.

        A request that is still under way when the process ends would lose its
        connection, and its caller would not know that anybody had read it.
        """
        self._ends_at = at
        for run in self._runs:
            run.end_by(at)

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time."""
        self._ends_at -= seconds
        for run in self._runs:
            run.compensate_suspension(seconds)

    def _is_too_late(self, route: configuration.Route) -> bool:
        """Return whether the process ends too soon for a new request.

        Another VM serves it then.
        """
        left = self._ends_at - anyio.current_time()
        return left < min(route.objective, MAX_REFUSAL_LEAD_S)

    def _make_ticket(self) -> str:
        return f"{self._ticket_prefix}{next(self._ticket_numbers)}"

    def _refuse(
        self,
        incoming: calls.Incoming,
        status: int,
        reason: str,
        retry_after: float | None = None,
    ) -> calls.Reply:
        request_id = run_messages.read_request_id(incoming, self._header_names)
        self._recorder.record_answer(
            request_recorder.Answer(request_id, status, reason)
        )
        return replies.make_problem_reply(status, reason, retry_after)
