"""VMs, dispatchers and targets in virtual time, for the bound on retries.

Each VM runs the product's own requests, placement, dispatchers and members; only
sockets, clocks and targets are modelled. Datagrams take time and some are lost, VMs are
killed and start again, targets turn work away, fail, or cannot be reached. What callers
sent and what reached targets is audited as from outside.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math
import os
import random
import typing

import anyio
import anyio.abc
import trio.testing

from zinniastand_core import services
from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan
from zinniastand_platform import words
from zinniastand_proxy.edge import (
    calls,
    datagrams,
    desk,
    fleet_talk,
    http_exchange,
    knowledge_keeper,
    log_lines,
    members,
    peer_link,
    placement,
    ports,
    request_notes,
    request_run,
    retry_counts,
    run_parts,
    suspect_exchange,
    target_client,
    unreachable_targets,
)
from zinniastand_standins import retry_audit

SERVICE = "desk"
SPREAD = 0.5
"""Standard deviation of the logarithm of times of work."""

FAIL_TIME = 0.002
"""Seconds in which a target turns a request away or fails it."""

WAKE_PAUSE = 0.05
FIRST_INCARNATION = 1

BOUND = retry_audit.Bound(ratio=0.2, slack=58.0, span=10.0)

Deliver = collections.abc.Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Spell:
    """A share of something that is wrong for some time."""

    begin: float
    """When it begins."""

    end: float
    """When it ends."""

    share: float
    """How much of it is wrong."""

    def find_share(self, now: float) -> float:
        """Return the share at a time."""
        return self.share if self.begin <= now < self.end else 0.0


NEVER = Spell(0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """VMs that are killed at one moment and start again."""

    at: float
    """When."""

    share: float
    """Share of the VMs; the ones that dispatch go first."""

    down: float = 0.6
    """Seconds until they start again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What is played."""

    vms: int = 36
    """VMs."""

    data_centres: int = 3
    """Data centres that they and the targets are spread over."""

    count: int = 22
    """Targets."""

    slots: int = 4
    """Requests that a target works on at a time."""

    rate: float = 130.0
    """Requests a second."""

    seconds: float = 30.0
    """Seconds for which callers send."""

    surge: Spell = NEVER
    """Share by which the rate is higher for a while."""

    wave: float = 0.0
    """Share by which the rate of a data centre swings, each with a phase of its own."""

    work: float = 0.25
    """Mean seconds of work."""

    idempotent: float = 0.25
    """Share of requests that may run more than once."""

    shed: Spell = NEVER
    """Share of arrivals that targets turn away."""

    failing: Spell = NEVER
    """Share of arrivals that targets fail at once."""

    unreachable: Spell = NEVER
    """Share of the targets that refuse connections."""

    kills: tuple[Kill, ...] = ()
    """Kills of VMs."""

    lag: Spell = NEVER
    """Share of datagrams that take `slow` seconds, as to a VM without processor."""

    slow: float = 0.12
    """Seconds that a slow datagram takes."""

    lost: float = 0.001
    """Share of datagrams that are lost."""

    bound: retry_audit.Bound = BOUND
    """Retries allowed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of a load."""

    worst: retry_audit.Span
    """The span with the most retries beyond the bound."""

    asked: int
    """Requests that callers sent."""

    served: int
    """Those answered with success."""

    retries: int
    """Arrivals beyond the first of each request."""

    refused: collections.Counter[str]
    """Requests that got no answer of a target, by the reason that was given."""

    @property
    def served_share(self) -> float:
        """Share of the requests that were served."""
        return self.served / max(1, self.asked)


class Wire:
    """Carries datagrams: in order of their arrival, some late, some never."""

    def __init__(self, load: Load, rng: random.Random) -> None:
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
        if self._rng.random() < self._load.lag.find_share(now - self.begin):
            delay += self._load.slow * self._rng.random() * 2
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

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def send_many(
        self,
        message: datagrams.Message,
        members: collections.abc.Sequence[ports.Member],
    ) -> None:
        for member in members:
            self._fleet.carry(message, member)


def _fail(task: str, error: BaseException) -> None:
    raise error


class _NothingNew:
    """Knows the same targets and configuration as all others."""

    position = 0

    def take_position(self, vm: str, position: int) -> None: ...


class _Unsuspected:
    """Knows of no request that crashes its targets."""

    def tell(self, member: ports.Member) -> None: ...

    def find_hold(self, fingerprint: str, now: float) -> float | None:
        return None

    def begin(self, fingerprint: str, now: float) -> None: ...

    def note_crash(
        self, fingerprint: str, target: targets.Entry, started_at: float
    ) -> None: ...

    def note_answered(self, fingerprint: str) -> None: ...


class Vm:
    """One start of a VM."""

    def __init__(self, fleet: Fleet, name: str, data_centre: str, born: int) -> None:
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
        self.desk = desk.Desk(
            self.members,
            fleet.registry,
            retry_counts.RetryBudget(bound.ratio, bound.slack, bound.span),
            rng,
            self._deliver,
            is_new_fleet=born == FIRST_INCARNATION,
        )
        self.desk.update_targets(now)
        self.placement = placement.Placement(self.members, link, log, rng)
        self.placement.use_desk(self.desk)
        hearers = fleet_talk.Hearers(
            self.desk,
            typing.cast(knowledge_keeper.KnowledgeKeeper, _NothingNew()),
            self.placement,
            typing.cast(suspect_exchange.SuspectExchange, _Unsuspected()),
        )
        self.talk = fleet_talk.FleetTalk(self.members, link, hearers, log, _fail)
        self.desk.retries.use_announcer(self.talk.tell_retries)
        self._link = link
        numbers = itertools.count()
        self.parts = run_parts.Parts(
            name,
            data_centre,
            self.placement,
            fleet,
            fleet.registry,
            unreachable_targets.UnreachableTargets(),
            fleet.notes,
            words.HEADERS,
            lambda: f"{name}:{born}:{next(numbers)}",
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
                group.start_soon(self.talk.tell_opinions_regularly)
                while True:
                    await anyio.sleep(WAKE_PAUSE)
                    self.desk.wake(anyio.current_time())

    def _deliver(self, vm: str, decision: messages.Decision) -> None:
        if vm == self.member.vm:
            self.placement.take_decision(decision)
            return
        member = self.members.find(vm)
        if member is not None:
            self._link.send(decision, member)


class Fleet:
    """VMs, their callers and their targets.

    Parameters
    ----------
    load : Load
        What is played.
    seed : int
        Draws everything that is left to chance.
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.seed = seed
        self._rng = random.Random(seed)
        self._vms: dict[str, Vm | None] = {}
        self._busy: collections.Counter[str] = collections.Counter()
        self._sent: list[float] = []
        self._arrivals: list[tuple[float, str]] = []
        self._served = 0
        self._desks: list[desk.Desk] = []
        self._refused: collections.Counter[str] = collections.Counter()
        self.registry = targets.Registry()
        self.registry.replace(self._make_entries(), 1, 0.0)
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.notes = _Notes(self._refused)

    def play(self) -> Result:
        """Play the load and return what came of it."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        options = {"clock": clock}
        try:
            anyio.run(self._run, backend="trio", backend_options=options)
        finally:
            os.close(self.sink)
        retries = retry_audit.find_retries(self._arrivals)
        worst = retry_audit.find_worst(self._sent, retries, self.load.bound)
        asked = len(self._sent)
        return Result(worst, asked, self._served, len(retries), self._refused)

    def count_requests(self) -> int:
        """Return how many requests all dispatchers together have counted lately."""
        return sum(one.retries.count_requests(SERVICE) for one in self._desks)

    def carry(self, message: datagrams.Message, member: ports.Member) -> None:
        """Deliver a datagram to whichever start of a VM runs by then."""

        def deliver() -> None:
            vm = self._vms.get(member.vm)
            if vm is not None:
                vm.talk.receive(message)

        self._wire.send(deliver)

    async def is_down(self, target: targets.Entry, broke_at: float) -> bool:
        """Return that no target crashes."""
        return False

    def list_open(self, work: services.Work, now: float) -> list[str]:
        """Return none: every attempt opens a connection."""
        return []

    async def attempt(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
        mark_sent: collections.abc.Callable[[], None],
    ) -> target_client.Attempt:
        """Play one attempt at a target."""
        await anyio.sleep(FAIL_TIME)
        now = anyio.current_time()
        share = self.load.unreachable.find_share(now - self._begin)
        if self.registry.list_entries().index(target) < share * self.load.count:
            return target_client.Attempt(plan.Result.UNREACHABLE, None, "refused")
        mark_sent()
        headers = dict(request.headers)
        name = headers[words.HEADERS.request_id].decode()
        self._arrivals.append((now, name))
        is_full = self._busy[target.target_id] >= 2 * target.slots
        if is_full or self._rng.random() < self.load.shed.find_share(now - self._begin):
            await anyio.sleep(FAIL_TIME)
            return target_client.Attempt(plan.Result.TURNED_AWAY, None, "503")
        if self._rng.random() < self.load.failing.find_share(now - self._begin):
            await anyio.sleep(FAIL_TIME)
            answer = http_exchange.Answer(500, [], b"", True, b"")
            return target_client.Attempt(plan.Result.ERROR, answer, "500")
        self._busy[target.target_id] += 1
        try:
            await anyio.sleep(self._draw_work(target))
        finally:
            self._busy[target.target_id] -= 1
        answer = http_exchange.Answer(200, [], b"", True, b"")
        return target_client.Attempt(plan.Result.ANSWERED, answer, "200")

    def _draw_work(self, target: targets.Entry) -> float:
        mean = self.load.work
        work = self._rng.lognormvariate(math.log(mean) - SPREAD * SPREAD / 2, SPREAD)
        crowd = max(1.0, self._busy[target.target_id] / target.slots)
        return work * crowd

    def _make_entries(self) -> list[targets.Entry]:
        return [
            targets.Entry(
                f"t{n}",
                SERVICE,
                "h",
                1,
                self._name_place(n),
                self.load.slots,
                targets.Phase.READY,
                1,
                0.0,
                n + 1,
            )
            for n in range(self.load.count)
        ]

    def _name_place(self, number: int) -> str:
        return f"dc-{number % self.load.data_centres}"

    async def _run(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            self._wire = Wire(self.load, random.Random(f"{self.seed} wire"))
            group.start_soon(self._wire.run)
            names = {f"vm-{n}": self._name_place(n) for n in range(self.load.vms)}
            for name, place in names.items():
                self._start(name, place, FIRST_INCARNATION)
            self._introduce()
            await anyio.sleep(members.SETTLE_TIME + 1.0)
            self._begin = self._wire.begin = anyio.current_time()
            for kill in self.load.kills:
                group.start_soon(self._kill, kill, names)
            for place in range(self.load.data_centres):
                group.start_soon(self._send, place)
            await anyio.sleep(self.load.seconds + 5.0)
            group.cancel_scope.cancel()

    def _start(self, name: str, place: str, born: int) -> Vm:
        vm = self._vms[name] = Vm(self, name, place, born)
        self._desks.append(vm.desk)
        self._group.start_soon(vm.run)
        return vm

    def _introduce(self) -> None:
        now = anyio.current_time()
        running = [vm for vm in self._vms.values() if vm is not None]
        for vm in running:
            for other in running:
                vm.members.add(other.member)
                vm.members.note_heard(other.member.vm, now)

    async def _kill(self, kill: Kill, places: dict[str, str]) -> None:
        await anyio.sleep(kill.at)
        count = round(kill.share * self.load.vms)
        first = self._find_dispatchers()
        others = [name for name in places if name not in first]
        self._rng.shuffle(others)
        killed = [*first, *others][:count]
        born = FIRST_INCARNATION + round(anyio.current_time() * 1000)
        for name in killed:
            vm = self._vms[name]
            self._vms[name] = None
            if vm is not None:
                vm.kill()
        await anyio.sleep(kill.down)
        for name in killed:
            vm = self._start(name, places[name], born)
            for other, place in places.items():
                running = self._vms[other]
                known = running.member if running else None
                fallback = ports.Member(other, place, "h", 1, FIRST_INCARNATION)
                vm.members.add(known or fallback)
            vm.greet()

    def _find_dispatchers(self) -> list[str]:
        now = anyio.current_time()
        found: list[str] = []
        for vm in self._vms.values():
            if vm is None:
                continue
            for shard in vm.desk.list_shards(SERVICE):
                found += vm.members.rank(shard.task, now, 1, shard.data_centre)
        return [name for name, _ in collections.Counter(found).most_common()][:1]

    async def _send(self, place: int) -> None:
        """Let the callers of a data centre send until the load is over."""
        rng = random.Random(f"{self.seed} callers {place}")
        load = self.load
        for number in itertools.count():
            now = anyio.current_time() - self._begin
            if now >= load.seconds:
                return
            phase = place / load.data_centres
            swing = 1 + load.wave * math.sin(2 * math.pi * (now / 11.0 + phase))
            rate = load.rate / load.data_centres * swing
            rate *= 1 + load.surge.find_share(now)
            await anyio.sleep(rng.expovariate(rate))
            near = [
                vm
                for vm in self._vms.values()
                if vm is not None and vm.member.data_centre == self._name_place(place)
            ]
            self._sent.append(anyio.current_time())
            if not near:
                continue
            work = services.Work.AT_MOST_ONCE
            if rng.random() < load.idempotent:
                work = services.Work.IDEMPOTENT
            name = f"{place}-{number}"
            self._group.start_soon(self._call, rng.choice(near), name, work)

    async def _call(self, vm: Vm, name: str, work: services.Work) -> None:
        now = anyio.current_time()
        headers = [(words.HEADERS.request_id, name.encode())]
        request = http_exchange.Request(b"GET", b"/x", headers, b"", False)
        incoming = calls.Incoming(request, "h", now, calls.Caller())
        route = configuration.Route(
            name=work.value,
            host="h",
            path_prefix="/",
            work=work,
            time_limit=4.0,
            objective=1.0,
            max_attempts=3,
            priority=1,
            parts=(configuration.Part(SERVICE, 1.0),),
        )
        run = request_run.Run(vm.parts, incoming, route, SERVICE)
        reply = await vm.call(run)
        self._served += reply is not None and reply.status == 200


class _Notes(request_notes.RequestNotes):
    """Counts why requests got no answer of a target."""

    def __init__(self, refused: collections.Counter[str]) -> None:
        self._refused = refused

    def note_attempt(self, attempt: request_notes.Attempt) -> None: ...

    def note_answer(self, answer: request_notes.Answer) -> None:
        if answer.status != 200:
            self._refused[answer.why] += 1

    def note_error(self, request_id: str, error: Exception) -> None:
        raise error


def make_load(vms: int, **changes: object) -> Load:
    """Return a load that grows with the fleet, and turns half away from 8 s on."""
    load = Load(
        vms=vms,
        count=round(vms * 0.65),
        slots=3,
        rate=4.0 * vms,
        seconds=15.0,
        shed=Spell(8.0, 14.0, 0.55),
        bound=retry_audit.Bound(BOUND.ratio, 1.6 * vms, BOUND.span),
    )
    return dataclasses.replace(load, **changes)  # type: ignore[arg-type]


CASES: dict[str, dict[str, object]] = {
    "nothing else": {},
    "a fifth killed at 9.5 s": {"kills": (Kill(9.5, 0.2),)},
    "a fifth killed, twice": {"kills": (Kill(9.5, 0.2), Kill(12.0, 0.2))},
    "loads swing by 30%": {"wave": 0.3},
    "a burst of 1.7 until 8 s": {"surge": Spell(0.0, 8.0, 0.7)},
}


def main() -> None:
    """Print the busiest span of retries by size of the fleet and what happens."""
    for vms in (30, 100, 300):
        for name, changes in CASES.items():
            found = Fleet(make_load(vms, **changes), 1).play()
            worst = found.worst
            print(
                f"{vms:4} {name:26} {worst.retries:5} of {worst.allowed:6.0f}"
                f" served {found.served_share:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
