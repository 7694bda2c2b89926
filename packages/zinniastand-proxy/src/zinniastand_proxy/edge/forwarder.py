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
    request_notes,
    request_run,
    run_messages,
    run_parts,
    unreachable_targets,
)

MOST_LEFT_FREE = 1.0
"""Most seconds before the end of the process in which new requests are refused. Work
takes some tenths of a second, whatever its route allows."""

RETRY_SOON = 0.5
"""Seconds after which a caller may come back when this VM knows no configuration."""


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

    placement: ports.SlotSource
    """Gets targets."""

    client: ports.TargetExchange
    """Sends to targets."""

    suspects: ports.SuspectRecord
    """Requests that crash their targets."""

    words: header_names.HeaderNames
    """Headers of the platform."""

    log: log_lines.LogLines
    """Decisions."""

    metrics: metrics.Metrics
    """Counts and latencies."""

    check_time: collections.abc.Callable[[], None]
    """Notices a suspension of this VM."""

    wait_at_start: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    """Lets a request wait while a VM that has just started lacks what it needs."""


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
        self._knowledge = tools.knowledge
        self._words = tools.words
        self._wait_at_start = tools.wait_at_start
        self._prefix = f"{vm}:{incarnation}:"
        self._numbers = itertools.count()
        self._runs: set[request_run.Run] = set()
        self._ends_at = math.inf
        self._notes = request_notes.RequestNotes(
            tools.log, tools.metrics, tools.knowledge.configured
        )
        self._parts = run_parts.Parts(
            vm,
            data_centre,
            tools.placement,
            tools.client,
            tools.knowledge.registry,
            unreachable_targets.UnreachableTargets(),
            self._notes,
            tools.words,
            self._make_ticket,
            tools.suspects,
            crash_check.CrashCheck().is_down,
            tools.check_time,
        )

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Return the answer to one request."""
        await self._wait_at_start()
        if self._knowledge.configured.current is None:
            # Without any configuration nothing is known of the route, so that
            # "not found" could be false.
            return self._refuse(incoming, 503, "no-configuration", RETRY_SOON)
        path = incoming.request.path.decode("latin-1")
        route = self._knowledge.router.find(incoming.host, path)
        if route is None:
            return self._refuse(incoming, 404, "no-route")
        if self._is_too_late(route):
            pause = request_run.RETURN_ELSEWHERE
            return self._refuse(incoming, 503, request_run.STOPPING, pause)
        service = self._knowledge.router.choose_service(route)
        run = request_run.Run(self._parts, incoming, route, service)
        run.end_by(self._ends_at)
        self._runs.add(run)
        try:
            return await run.run()
        finally:
            self._runs.discard(run)

    def may_overlap(self, incoming: calls.Incoming) -> bool:
        """Return whether a request may run beside others of its connection."""
        path = incoming.request.path.decode("latin-1")
        route = self._knowledge.router.find(incoming.host, path)
        return route is None or route.work is services.Work.IDEMPOTENT

    def end_by(self, at: float) -> None:
        """Give the final answer to each request, also to later ones, by `at`.

        A request that is still under way when the process ends would lose its
        connection, and its caller would not know that anybody had read it.
        """
        self._ends_at = at
        for run in self._runs:
            run.end_by(at)

    def lose_time(self, seconds: float) -> None:
        """Take in that the clock has not counted some time."""
        self._ends_at -= seconds
        for run in self._runs:
            run.lose_time(seconds)

    def _is_too_late(self, route: configuration.Route) -> bool:
        """Return whether the process ends too soon for a new request.

        Another VM serves it then.
        """
        left = self._ends_at - anyio.current_time()
        return left < min(route.objective, MOST_LEFT_FREE)

    def _make_ticket(self) -> str:
        return f"{self._prefix}{next(self._numbers)}"

    def _refuse(
        self,
        incoming: calls.Incoming,
        status: int,
        reason: str,
        pause: float | None = None,
    ) -> calls.Reply:
        request_id = run_messages.read_request_id(incoming, self._words)
        self._notes.note_answer(request_notes.Answer(request_id, status, reason))
        return replies.make_problem_reply(status, reason, pause)
