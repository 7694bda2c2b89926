"""One VM of the model of retries: the product's parts, with sockets stood in for."""

from __future__ import annotations

import collections
import collections.abc
import heapq
import itertools
import math
import random
import typing

import anyio
import anyio.abc

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import messages
from zinniastand_platform import wire_names
from zinniastand_proxy.edge import (
    calls,
    datagrams,
    fleet_messenger,
    knowledge_keeper,
    local_dispatchers,
    log_lines,
    members,
    peer_link,
    placement,
    ports,
    request_recorder,
    request_run,
    retry_counts,
    run_dependencies,
    suspect_exchange,
    unreachable_targets,
)

from . import retry_loads

WAKE_PAUSE = 0.05
FIRST_INCARNATION = 1

Deliver = collections.abc.Callable[[], None]


class Surroundings(ports.TargetExchange, typing.Protocol):
    """What a VM meets: targets, other VMs, and the load."""

    seed: int
    load: retry_loads.Load
    registry: targets.Registry
    notes: request_recorder.RequestRecorder
    sink: int

    def carry(self, message: datagrams.Message, member: ports.Member) -> None:
        """Deliver a datagram to whichever start of a VM runs by then."""
        ...

    async def is_down(self, target: targets.Entry, broke_at: float) -> bool:
        """Return whether a target has crashed."""
        ...


class Wire:
    """Carries datagrams: in order of their arrival, some late, some never."""

    def __init__(self, load: retry_loads.Load, rng: random.Random) -> None:
        self._load = load
        self._rng = rng
        self._queue: list[tuple[float, int, Deliver]] = []
        self.begin = math.inf
        self._numbers = itertools.count()
        self._changed = anyio.Event()

    def send(self, deliver: Deliver) -> None:
        """Deliver a datagram after a while, or lose it."""
        if self._rng.random() < self._load.lost:
            return
        now = anyio.current_time()
        delay = self._rng.uniform(0.0008, 0.003)
        if self._rng.random() < self._load.late_datagrams.find_share(now - self.begin):
            delay += self._load.mean_late_delay_s * self._rng.random() * 2
        entry = (now + delay, next(self._numbers), deliver)
        if not self._queue or entry < self._queue[0]:
            self._changed.set()
        heapq.heappush(self._queue, entry)

    async def run(self) -> None:
        """Deliver until cancelled."""
        while True:
            self._changed = anyio.Event()
            due_at = self._queue[0][0] if self._queue else math.inf
            with anyio.CancelScope(deadline=due_at):
                await self._changed.wait()
            while self._queue and self._queue[0][0] <= anyio.current_time():
                heapq.heappop(self._queue)[2]()


class _Link(peer_link.PeerLink):
    """The sending side of one VM's datagrams."""

    def __init__(self, fleet: Surroundings) -> None:
        self._fleet = fleet

    def send_many(
        self,
        message: datagrams.Message,
        members: collections.abc.Sequence[ports.Member],
    ) -> None:
        """Send one message to several VMs."""
        for member in members:
            self._fleet.carry(message, member)


def _fail(task: str, error: BaseException) -> None:
    raise error


class _NothingNew:
    """Knows the same targets and configuration as all others."""

    position = 0

    def record_peer_position(self, vm: str, position: int) -> None:
        """Take in up to where a VM has read."""


class _Unsuspected:
    """Knows of no request that crashes its targets."""

    def announce_to(self, member: ports.Member) -> None:
        """Tell a VM that starts."""

    def find_hold_end(self, fingerprint: str, now: float) -> float | None:
        """Return that no request is kept from targets."""
        return None

    def begin_attempt(self, fingerprint: str, now: float) -> None:
        """Take in that a request is about to be sent."""

    def record_crash(
        self, fingerprint: str, target: targets.Entry, started_at: float
    ) -> None:
        """Take in that a target crashed."""

    def record_answer(self, fingerprint: str) -> None:
        """Take in that a target answered a request."""


class Vm:
    """One start of a VM."""

    def __init__(
        self, fleet: Surroundings, name: str, data_centre: str, born: int
    ) -> None:
        now = anyio.current_time()
        self._fleet = fleet
        self.member = ports.Member(name, data_centre, "h", 1, born)
        self.members = members.Members(self.member, now)
        self._scope = anyio.CancelScope()
        self._calls: set[anyio.CancelScope] = set()
        self.is_killed = False
        rng = random.Random(f"{fleet.seed} {name} {born}")
        link = _Link(fleet)
        log = log_lines.LogLines(name, fleet.sink)
        bound = fleet.load.bound
        self.local_dispatchers = local_dispatchers.LocalDispatchers(
            self.members,
            fleet.registry,
            retry_counts.RetryBudget(bound.ratio, bound.slack, bound.span),
            rng,
            self._deliver,
            is_new_fleet=born == FIRST_INCARNATION,
        )
        self.local_dispatchers.update_targets(now)
        self.placement = placement.Placement(self.members, link, log, rng)
        self.placement.use_local_dispatchers(self.local_dispatchers)
        hearers = fleet_messenger.Receivers(
            self.local_dispatchers,
            typing.cast(knowledge_keeper.KnowledgeKeeper, _NothingNew()),
            self.placement,
            typing.cast(suspect_exchange.SuspectExchange, _Unsuspected()),
        )
        self.talk = fleet_messenger.FleetMessenger(
            self.members, link, hearers, log, _fail
        )
        self.local_dispatchers.retries.use_announcer(self.talk.send_retry_counts)
        self._link = link
        self.parts = self._make_parts(fleet)

    def _make_parts(self, fleet: Surroundings) -> run_dependencies.RunDependencies:
        """Return what the runs of requests work with."""
        own = self.member
        numbers = itertools.count()
        return run_dependencies.RunDependencies(
            own.vm,
            own.data_centre,
            self.placement,
            fleet,
            fleet.registry,
            unreachable_targets.UnreachableTargets(),
            fleet.notes,
            wire_names.HEADERS,
            lambda: f"{own.vm}:{own.incarnation}:{next(numbers)}",
            _Unsuspected(),
            fleet.is_down,
            lambda: None,
        )

    def greet(self) -> None:
        """Tell all others that this VM is there."""
        hello = datagrams.Hello(self.member, wants_answer=True)
        self._link.send_many(hello, self.members.list_others())

    def kill(self) -> None:
        """End at once, with all that it works on."""
        self.is_killed = True
        for scope in (self._scope, *self._calls):
            scope.cancel()

    async def call(self, run: request_run.Run) -> calls.Reply | None:
        """Run a request; return its answer, or None if this VM is killed before."""
        with anyio.CancelScope() as scope:
            self._calls.add(scope)
            try:
                return await run.run()
            finally:
                self._calls.discard(scope)
        return None

    async def run(self) -> None:
        """Wake the dispatchers, and tell others what this VM knows, until killed."""
        with self._scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.talk.greet)
                group.start_soon(self.talk.send_estimates_periodically)
                while True:
                    await anyio.sleep(WAKE_PAUSE)
                    self.local_dispatchers.wake(anyio.current_time())

    def _deliver(self, vm: str, decision: messages.Decision) -> None:
        if vm == self.member.vm:
            self.placement.handle_decision(decision)
            return
        member = self.members.find(vm)
        if member is not None:
            self._link.send(decision, member)


class Notes(request_recorder.RequestRecorder):
    """Counts why requests got no answer of a target."""

    def __init__(self, refused: collections.Counter[str]) -> None:
        self._refused = refused

    def record_attempt(self, attempt: request_recorder.AttemptRecord) -> None:
        """Take in an attempt."""

    def record_final_answer(self, answer: request_recorder.AnswerRecord) -> None:
        """Count an answer other than success."""
        if answer.status != 200:
            self._refused[answer.why] += 1

    def log_error(self, request_id: str, error: Exception) -> None:
        """Let an error that no part expected end the play."""
        raise error
