"""Plays one seed: starts a small site of real processes, and breaks it on plan."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import random
import signal

import anyio
import anyio.abc

from zinniastand_core.deployment import configuration
from zinniastand_platform import encoding, wire_names
from zinniastand_proxy.edge import http_server
from zinniastand_standins import topic_store, topic_store_app

from . import (
    callers,
    ledger,
    links,
    operators,
    plan,
    promises,
    shared_store,
    targets,
    vms,
)

TARGETS = {"desk": 4, "register": 3}
UNNOTED = (
    plan.Act.REPLACE,
    plan.Act.PUBLISH,
    plan.Act.ROLL,
    plan.Act.ABSENT,
    plan.Act.LIMIT,
    plan.Act.CRASH,
    plan.Act.CRASHING,
)
"""Ordinary work of operators excuses nothing, nor does a crash of a target. The stops
of a series are noted one by one."""

SHARES_OF_SERIES = {
    plan.Kind.ROLLING: callers.PIPELINES,
    plan.Kind.SERIES: callers.SERIES,
    plan.Kind.CRASHES: callers.SERIES,
}
"""Share of requests that callers send further ones behind, where they send lookups."""

LEAST_CALLERS = 10
ROLL_PAUSE = 0.4
"""Seconds between two stops of a series; each takes longer, so that they overlap."""

LIMIT = 2.0
"""Requests a second that a target in need takes: a fifth of what it gets otherwise."""

LIMIT_FOR = 9.0
"""Seconds for which it says so: long enough to be known and then judged for a while."""

BACK_AFTER = 1.0
"""Seconds after which another target takes the place of one that crashed."""

LEAVE_AFTER = 4.0
"""Seconds for which a draining target serves on."""

LEAVE_LATE = 8.0
"""The same where the store returns from copies: longer than it takes to be known again
what was lost."""

LEAST_COPY_AGE = 2.5
"""Least seconds that a copy is old when the store returns from it."""

BEAT_PAUSE = 0.5
"""Seconds between two writes of a target in such a run."""

RETURN_AFTER = 1.0
"""Seconds after a fault for which what it broke may still show."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What is played beside the seed."""

    kind: plan.Kind = plan.Kind.MIXED
    """Which faults."""

    vms: int = 4
    """How many VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """How one seed went."""

    seed: int
    """The seed."""

    steps: tuple[plan.Step, ...]
    """What was done."""

    sent: int
    """Requests of callers."""

    served: int
    """Requests answered with success."""

    breaches: tuple[promises.Breach, ...]
    """Promises that did not hold."""


class Soak:
    """One run of a seed.

    Parameters
    ----------
    seed : int
        Draws faults and requests.
    folder : pathlib.Path
        Where settings and logs go.
    program : pathlib.Path
        The script that starts a daemon.
    shape : Shape
        Which faults, and how many VMs.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, program: pathlib.Path, shape: Shape
    ) -> None:
        self._seed = seed
        self._shape = shape
        self._folder = folder
        self._program = program
        self._book = ledger.Ledger()
        self._store = shared_store.SharedStore()
        self._targets: list[targets.Target] = []
        self._vms: list[vms.Vm] = []
        self._target_numbers = 0
        self._sequences = itertools.count(1)
        self._busy: set[int] = set()
        self._calm_from = 0.0

    async def run(self) -> Report:
        """Play the seed and judge it."""
        steps = plan.draw(self._seed, self._shape.kind)
        async with anyio.create_task_group() as group:
            self._group = group
            await self._start_store()
            for service, count in TARGETS.items():
                for _ in range(count):
                    await self._start_target(service)
            operators.publish(self._store, self._book)
            await self._make_vms()
            async with vms.ending(self._vms):
                await self._play(steps)
            group.cancel_scope.cancel()
        breaches = promises.judge(self._book, self._calm_from)
        served = sum(1 for one in self._book.seen.values() if one.status == 200)
        return Report(self._seed, steps, len(self._book.sent), served, tuple(breaches))

    async def _play(self, steps: tuple[plan.Step, ...]) -> None:
        for vm in self._vms:
            await vm.start()
        for vm in self._vms:
            await vm.wait_ready()
        group = self._group
        stop = anyio.Event()
        rng = random.Random(self._seed)
        load = callers.Callers(self._vms, self._book, rng)
        share = SHARES_OF_SERIES.get(self._shape.kind)
        if share is not None:
            paths = callers.LOOKUP_PATHS
            load = callers.Callers(self._vms, self._book, rng, paths, share)
        self._load, self._stop = load, stop
        for vm in self._vms:
            group.start_soon(vm.follow_readiness)
        if self._shape.kind is plan.Kind.DRILLS:
            group.start_soon(self._beat)
        async with anyio.create_task_group() as clients:
            self._clients = clients
            for _ in range(max(LEAST_CALLERS, self._shape.vms)):
                clients.start_soon(load.run_one, stop)
            begin = anyio.current_time()
            async with anyio.create_task_group() as faults:
                for step in steps:
                    await anyio.sleep_until(begin + step.at)
                    faults.start_soon(self._do, step)
            self._calm_from = anyio.current_time()
            await anyio.sleep(plan.CALM_TIME)
            stop.set()

    async def _do(self, step: plan.Step) -> None:
        if step.act is plan.Act.DRILL:
            await self._drill(step)
            return
        begin = anyio.current_time()
        touched = await self._act(step)
        if step.act in UNNOTED:
            return
        self._note_disturbed(step, touched, begin)

    def _note_disturbed(self, step: plan.Step, touched: str, begin: float) -> None:
        end = anyio.current_time() + RETURN_AFTER
        self._book.disturbed.append(
            ledger.Disturbed(step.act.value, touched, begin, end)
        )

    async def _drill(self, step: plan.Step) -> None:
        """Let the store return from a copy; it is disturbed only from then on."""
        copy, written = self._store.take_copy()
        await anyio.sleep(LEAST_COPY_AGE + step.for_s)
        begin = anyio.current_time()
        await self._store.return_from(copy, written)
        self._note_disturbed(step, "store", begin)

    async def _beat(self) -> None:
        """Let targets write regularly, as they do while they are there."""
        while True:
            await anyio.sleep(BEAT_PAUSE)
            for target in list(self._targets):
                self._register(target, "ready")

    async def _act(self, step: plan.Step) -> str:
        """Do one step until it is over; return what it touched."""
        vm = self._vms[step.which % len(self._vms)]
        match step.act:
            case plan.Act.KILL | plan.Act.STOP | plan.Act.PAUSE | plan.Act.RELOAD:
                await self._signal(step, vm)
                return f"vm-{vm.number}"
            case plan.Act.STORE_LINK:
                await vm.store.suffer(links.Trouble(step.how), step.for_s)
                return f"vm-{vm.number}"
            case plan.Act.STORE:
                self._store.topics.fault = topic_store.Fault(step.how)
                await anyio.sleep(step.for_s)
                self._store.topics.fault = topic_store.Fault.NONE
            case plan.Act.FORGET:
                self._store.topics.forget(wire_names.TARGETS_TOPIC)
                self._store.topics.forget(wire_names.CONFIGURATION_TOPIC)
            case plan.Act.PUBLISH:
                operators.publish(self._store, self._book)
            case plan.Act.ROLL:
                await self._roll(step)
            case plan.Act.ABSENT:
                await self._announce_absent(step)
            case plan.Act.CRASHING:
                path = f"{promises.CRASHING}{step.which}"
                self._clients.start_soon(self._load.repeat, path, self._stop)
            case _:
                return await self._act_on_target(step)
        return "store"

    async def _act_on_target(self, step: plan.Step) -> str:
        """Do one step that concerns a target; return what it touched."""
        target = self._targets[step.which % len(self._targets)]
        match step.act:
            case plan.Act.TARGET:
                target.misbehave(targets.Fault(step.how))
                await anyio.sleep(step.for_s)
                target.misbehave(targets.Fault.NONE)
                return target.target_id
            case plan.Act.CORNER:
                await self._corner(target, step)
                return target.target_id
            case plan.Act.SHED:
                await self._shed(target, step)
            case plan.Act.TARGET_LINK:
                await target.link.suffer(links.Trouble(step.how), step.for_s)
                return target.target_id
            case plan.Act.LIMIT:
                target.begin_limit(LIMIT)
                await anyio.sleep(LIMIT_FOR)
                target.end_limit()
            case plan.Act.CRASH:
                target.crash()
            case plan.Act.REPLACE:
                await self._replace(target)
        return "store"

    async def _corner(self, target: targets.Target, step: plan.Step) -> None:
        """Leave a service nothing but a target that takes long at times."""
        some = [one for one in self._targets if one.service == target.service]
        for one in some:
            one.misbehave(targets.Fault(step.how))
        target.misbehave(targets.Fault.UNEVEN)
        await anyio.sleep(step.for_s)
        for one in some:
            one.misbehave(targets.Fault.NONE)

    async def _shed(self, target: targets.Target, step: plan.Step) -> None:
        """Let all targets of a service turn work away."""
        some = [one for one in self._targets if one.service == target.service]
        for one in some:
            one.misbehave(targets.Fault.SHED)
        await anyio.sleep(step.for_s)
        for one in some:
            one.misbehave(targets.Fault.NONE)

    async def _roll(self, step: plan.Step) -> None:
        """Stop all VMs but one, each before the one before it is back."""
        async with anyio.create_task_group() as stops:
            for number in range(len(self._vms) - 1):
                which = step.which + number
                stop = dataclasses.replace(step, act=plan.Act.STOP, which=which)
                stops.start_soon(self._do, stop)
                await anyio.sleep(ROLL_PAUSE)

    async def _announce_absent(self, step: plan.Step) -> None:
        self._target_numbers += 1
        service = list(TARGETS)[step.which % len(TARGETS)]
        name = f"t{self._target_numbers}"
        await operators.announce_absent(self._store, name, service, step.for_s)

    async def _signal(self, step: plan.Step, vm: vms.Vm) -> None:
        if vm.number in self._busy:
            # A second signal to a process that is stopping or paused.
            vm.send(signal.SIGHUP)
            return
        self._busy.add(vm.number)
        try:
            if step.act is plan.Act.RELOAD:
                vm.send(signal.SIGHUP)
            elif step.act is plan.Act.PAUSE:
                vm.send(signal.SIGSTOP)
                await anyio.sleep(step.for_s)
                vm.send(signal.SIGCONT)
            else:
                is_kill = step.act is plan.Act.KILL
                vm.send(signal.SIGKILL if is_kill else signal.SIGTERM)
                if not await vm.wait_end(vms.GRACE):
                    vm.send(signal.SIGKILL)
                    await vm.wait_end(vms.GRACE)
                await vm.restart()
        finally:
            self._busy.discard(vm.number)

    async def _start_store(self) -> None:
        app = topic_store_app.TopicStoreApp(self._store.topics)
        server = http_server.Server(app, configuration.Limits, _fail)
        self._store_port = await self._group.start(server.serve, links.HOST, 0)

    async def _make_vms(self) -> None:
        for number in range(self._shape.vms):
            link = links.Link(self._store_port)
            await self._group.start(link.serve)
            vm = vms.Vm(number, self._folder, self._program, link)
            vm.write_settings()
            self._vms.append(vm)

    async def _start_target(self, service: str) -> None:
        self._target_numbers += 1
        target = targets.Target(f"t{self._target_numbers}", service, self._book)
        target.watch_crash(self._succeed)
        server = http_server.Server(target, configuration.Limits, _fail)
        port = await self._group.start(server.serve, links.HOST, 0)
        target.link = links.Link(port)
        await self._group.start(target.link.serve)
        self._targets.append(target)
        self._register(target, "ready")

    def _succeed(self, crashed: targets.Target) -> None:
        """Let another target take the place of one that crashed, after a while."""
        if crashed in self._targets:
            self._targets.remove(crashed)
            self._group.start_soon(self._start_successor, crashed)

    async def _start_successor(self, crashed: targets.Target) -> None:
        await anyio.sleep(BACK_AFTER)
        self._store.put(wire_names.TARGETS_TOPIC, crashed.target_id, b"")
        await self._start_target(crashed.service)

    def _register(self, target: targets.Target, state: str) -> None:
        address = f"{links.HOST}:{target.link.port}"
        value = encoding.encode_entry(
            target.service, address, targets.SLOTS, state, next(self._sequences)
        )
        self._store.put(wire_names.TARGETS_TOPIC, target.target_id, value)

    async def _replace(self, target: targets.Target) -> None:
        if target.is_leaving:
            return
        target.is_leaving = True
        await self._start_target(target.service)
        self._register(target, "draining")
        now = anyio.current_time()
        self._book.drained.append(ledger.Drained(target.target_id, now))
        self._targets.remove(target)
        is_long = self._shape.kind is plan.Kind.DRILLS
        await anyio.sleep(LEAVE_LATE if is_long else LEAVE_AFTER)
        self._store.put(wire_names.TARGETS_TOPIC, target.target_id, b"")


DEFAULT_SHAPE = Shape()


def play(
    seed: int,
    folder: pathlib.Path,
    program: pathlib.Path | None = None,
    shape: Shape = DEFAULT_SHAPE,
) -> Report:
    """Play one seed and return how it went."""
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, folder, program or vms.find_default_program(), shape)
    return anyio.run(soak.run)


def _fail(error: BaseException) -> None:
    """Let an unexpected error of a stand-in end the soak.

    The store resets connections by an error of this kind, which is expected.
    """
    if isinstance(error, BaseExceptionGroup):
        _, others = error.split(anyio.BrokenResourceError)
        if others is None:
            return
    raise error
