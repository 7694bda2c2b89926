"""Plays a seed: starts daemons as processes, sends requests and injects faults."""

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
    collection,
    ledger,
    links,
    operators,
    plan,
    promises,
    shared_store,
    targets,
    vms,
)

TARGET_COUNTS = {"desk": 4, "register": 3}
"""Number of targets of each service."""

ACTIONS_WITHOUT_EXCUSE = (
    plan.Action.REPLACE,
    plan.Action.PUBLISH,
    plan.Action.ROLL,
    plan.Action.ABSENT,
    plan.Action.LIMIT,
    plan.Action.CRASH,
    plan.Action.CRASHING,
    plan.Action.PARTITION,
)
"""Actions that are not recorded as faults, since neither the ordinary work of operators
nor the crash of a target excuses a breach. Each stop of a rolling restart is recorded
by itself."""

SERIES_SHARES = {
    plan.Kind.ROLLING: callers.SERIES_SHARE,
    plan.Kind.SERIES: callers.HIGH_SERIES_SHARE,
    plan.Kind.CRASHES: callers.HIGH_SERIES_SHARE,
    plan.Kind.STOPS: callers.SERIES_SHARE,
}
"""Share of requests that begin a series, for the kinds whose callers send series."""

MIN_CALLERS = 10
MIN_STOPS_CALLERS = 24
"""The same where requests take long."""

UNREADY_SHARE = 0.5
"""Share of connections to VMs that may be stopping, where stops are played."""

ROLL_INTERVAL_S = 0.4
"""Seconds between the stops of a rolling restart. Each stop takes longer, so that they
overlap."""

RATE_LIMIT = 2.0
"""Requests per second of a target that names a rate limit: a fifth of what it gets
without the limit."""

RATE_LIMIT_DURATION_S = 9.0
"""Seconds for which a target names a rate limit: enough for all VMs to learn it, and to
check it for some time after."""

CRASH_REPLACEMENT_DELAY_S = 1.0
"""Seconds after which another target takes the place of one that crashed."""

DRAIN_DURATION_S = 4.0
"""Seconds for which a draining target goes on serving."""

LONG_DRAIN_DURATION_S = 8.0
"""The same if the store is restored from snapshots: longer than it takes until what the
store lost is written and learned again."""

MIN_SNAPSHOT_AGE_S = 2.5
"""Least age in seconds of a snapshot when the store is restored from it."""

REGISTRATION_INTERVAL_S = 0.5
"""Seconds between the registrations of a target if the store is restored."""

PARTITION_EXTENSION_S = 2.0
"""Seconds added to the duration of a partition, so that it is judged for some time."""

AFTERMATH_S = 1.0
"""Seconds after the end of a fault for which it may still have effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What is played in addition to the seed."""

    kind: plan.Kind = plan.Kind.MIXED
    """Kind of the plan."""

    vm_count: int = 4
    """Number of VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of playing a seed."""

    seed: int
    """The seed."""

    steps: tuple[plan.Step, ...]
    """Steps of its plan."""

    sent_count: int
    """Number of requests that callers sent."""

    served_count: int
    """Number of requests that were answered with status 200."""

    breaches: tuple[promises.Breach, ...]
    """Promises that were broken."""


class Soak:
    """Plays a seed once.

    Parameters
    ----------
    seed : int
        Seed from which faults and requests are drawn.
    folder : pathlib.Path
        Folder for settings and logs.
    program : pathlib.Path
        Script that starts a daemon.
    scenario : Scenario
        Kind of the plan, and number of VMs.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, program: pathlib.Path, scenario: Scenario
    ) -> None:
        self._seed = seed
        self._scenario = scenario
        self._folder = folder
        self._program = program
        self._entries = ledger.Ledger()
        self._store = shared_store.SharedStore()
        self._targets: list[targets.Target] = []
        self._vms: list[vms.Vm] = []
        self._target_count = 0
        self._sequence_numbers = itertools.count(1)
        self._busy_vms: set[int] = set()
        self._is_partitioned = False
        self._calm_from = 0.0

    async def run(self) -> Report:
        """Play the seed and return its result."""
        steps = plan.draw_steps(self._seed, self._scenario.kind)
        async with anyio.create_task_group() as group:
            self._group = group
            await self._start_store()
            for service, count in TARGET_COUNTS.items():
                for _ in range(count):
                    await self._start_target(service)
            operators.publish_configuration(self._store, self._entries)
            await self._create_vms()
            async with vms.killed_on_exit(self._vms):
                await self._play_steps(steps)
            group.cancel_scope.cancel()
        breaches = promises.find_breaches(self._entries, self._calm_from)
        served_count = sum(
            1 for outcome in self._entries.outcomes.values() if outcome.status == 200
        )
        return Report(
            self._seed,
            steps,
            len(self._entries.sent_requests),
            served_count,
            tuple(breaches),
        )

    async def _play_steps(self, steps: tuple[plan.Step, ...]) -> None:
        for vm in self._vms:
            await vm.start()
        for vm in self._vms:
            await vm.wait_until_ready()
        group = self._group
        stop = anyio.Event()
        rng = random.Random(self._seed)
        load = callers.Callers(self._vms, self._entries, rng)
        series_share = SERIES_SHARES.get(self._scenario.kind)
        if series_share is not None:
            is_stops = self._scenario.kind is plan.Kind.STOPS
            load = callers.Callers(
                self._vms,
                self._entries,
                rng,
                callers.LONG_PATH_PREFIXES
                if is_stops
                else callers.LOOKUP_PATH_PREFIXES,
                series_share,
                UNREADY_SHARE if is_stops else 0.0,
            )
        self._load, self._stop = load, stop
        for vm in self._vms:
            group.start_soon(vm.watch_readiness)
        if self._scenario.kind is plan.Kind.DRILLS:
            group.start_soon(self._repeat_registrations)
        async with anyio.create_task_group() as caller_tasks:
            self._caller_tasks = caller_tasks
            min_callers = MIN_CALLERS
            if self._scenario.kind is plan.Kind.STOPS:
                min_callers = MIN_STOPS_CALLERS
            for _ in range(max(min_callers, self._scenario.vm_count)):
                caller_tasks.start_soon(load.run_caller, stop)
            load_start = anyio.current_time()
            async with anyio.create_task_group() as fault_tasks:
                for step in steps:
                    await anyio.sleep_until(load_start + step.start_s)
                    fault_tasks.start_soon(self._perform_step, step)
            self._calm_from = anyio.current_time()
            await anyio.sleep(plan.CALM_PHASE_S)
            stop.set()

    async def _perform_step(self, step: plan.Step) -> None:
        if step.action is plan.Action.DRILL:
            await self._restore_store(step)
            return
        begin = anyio.current_time()
        affected = await self._apply_action(step)
        if step.action in ACTIONS_WITHOUT_EXCUSE:
            return
        self._record_fault(step, affected, begin)

    def _record_fault(self, step: plan.Step, affected: str, begin: float) -> None:
        end = anyio.current_time() + AFTERMATH_S
        self._entries.faults.append(
            ledger.FaultPeriod(step.action.value, affected, begin, end)
        )

    async def _restore_store(self, step: plan.Step) -> None:
        """Restore the store from a snapshot; the fault begins only with the outage."""
        snapshot, write_count = self._store.capture_snapshot()
        await anyio.sleep(MIN_SNAPSHOT_AGE_S + step.duration_s)
        begin = anyio.current_time()
        await self._store.restore_snapshot(snapshot, write_count)
        self._record_fault(step, "store", begin)

    async def _repeat_registrations(self) -> None:
        """Register all targets again at intervals, as real targets do."""
        while True:
            await anyio.sleep(REGISTRATION_INTERVAL_S)
            for target in list(self._targets):
                self._register(target, "ready")

    async def _apply_action(self, step: plan.Step) -> str:
        """Carry out a step until its end; return `affected` for its `FaultPeriod`."""
        vm = self._vms[step.index % len(self._vms)]
        match step.action:
            case (
                plan.Action.KILL
                | plan.Action.STOP
                | plan.Action.PAUSE
                | plan.Action.RELOAD
            ):
                await self._signal_vm(step, vm)
                return f"vm-{vm.number}"
            case plan.Action.STORE_LINK:
                await vm.store_link.apply_fault(
                    links.LinkFault(step.variant), step.duration_s
                )
                return f"vm-{vm.number}"
            case plan.Action.PARTITION:
                await self._partition_vms(step)
            case plan.Action.STORE:
                self._store.topics.fault = topic_store.Fault(step.variant)
                await anyio.sleep(step.duration_s)
                self._store.topics.fault = topic_store.Fault.NONE
            case plan.Action.FORGET:
                self._store.topics.forget(wire_names.TARGETS_TOPIC)
                self._store.topics.forget(wire_names.CONFIGURATION_TOPIC)
            case plan.Action.PUBLISH:
                operators.publish_configuration(self._store, self._entries)
            case plan.Action.ROLL:
                await self._restart_vms_in_turn(step)
            case plan.Action.ABSENT:
                await self._register_absent_target(step)
            case plan.Action.CRASHING:
                path = f"{promises.CRASHING_PREFIX}{step.index}"
                self._caller_tasks.start_soon(
                    self._load.repeat_request, path, self._stop
                )
            case _:
                return await self._apply_target_action(step)
        return "store"

    async def _apply_target_action(self, step: plan.Step) -> str:
        """Do the same for a step that concerns a target."""
        target = self._targets[step.index % len(self._targets)]
        match step.action:
            case plan.Action.TARGET:
                target.set_fault(targets.TargetFault(step.variant))
                await anyio.sleep(step.duration_s)
                target.set_fault(targets.TargetFault.NONE)
                return target.target_id
            case plan.Action.CORNER:
                await self._leave_only_uneven_target(target, step)
                return target.target_id
            case plan.Action.SHED:
                await self._shed_service(target, step)
            case plan.Action.TARGET_LINK:
                await target.link.apply_fault(
                    links.LinkFault(step.variant), step.duration_s
                )
                return target.target_id
            case plan.Action.LIMIT:
                target.start_rate_limit(RATE_LIMIT)
                await anyio.sleep(RATE_LIMIT_DURATION_S)
                target.clear_rate_limit()
            case plan.Action.CRASH:
                target.crash()
            case plan.Action.REPLACE:
                await self._replace_target(target)
        return "store"

    async def _leave_only_uneven_target(
        self, target: targets.Target, step: plan.Step
    ) -> None:
        """Let all targets of a service fail but one, which is slow at times."""
        service_targets = [
            member for member in self._targets if member.service == target.service
        ]
        for member in service_targets:
            member.set_fault(targets.TargetFault(step.variant))
        target.set_fault(targets.TargetFault.UNEVEN)
        await anyio.sleep(step.duration_s)
        for member in service_targets:
            member.set_fault(targets.TargetFault.NONE)

    async def _shed_service(self, target: targets.Target, step: plan.Step) -> None:
        """Let all targets of a service refuse all requests."""
        service_targets = [
            member for member in self._targets if member.service == target.service
        ]
        for member in service_targets:
            member.set_fault(targets.TargetFault.SHED)
        await anyio.sleep(step.duration_s)
        for member in service_targets:
            member.set_fault(targets.TargetFault.NONE)

    async def _restart_vms_in_turn(self, step: plan.Step) -> None:
        """Stop all VMs but one, each before the previous one is ready again."""
        async with anyio.create_task_group() as stop_tasks:
            for number in range(len(self._vms) - 1):
                index = step.index + number
                stop_step = dataclasses.replace(
                    step, action=plan.Action.STOP, index=index
                )
                stop_tasks.start_soon(self._perform_step, stop_step)
                await anyio.sleep(ROLL_INTERVAL_S)

    async def _register_absent_target(self, step: plan.Step) -> None:
        self._target_count += 1
        service = list(TARGET_COUNTS)[step.index % len(TARGET_COUNTS)]
        name = f"t{self._target_count}"
        await operators.register_absent_target(
            self._store, name, service, step.duration_s
        )

    async def _signal_vm(self, step: plan.Step, vm: vms.Vm) -> None:
        if vm.number in self._busy_vms:
            # The process is stopping or paused; a second signal must do no harm.
            vm.signal_process(signal.SIGHUP)
            return
        self._busy_vms.add(vm.number)
        try:
            if step.action is plan.Action.RELOAD:
                vm.signal_process(signal.SIGHUP)
            elif step.action is plan.Action.PAUSE:
                vm.signal_process(signal.SIGSTOP)
                await anyio.sleep(step.duration_s)
                vm.signal_process(signal.SIGCONT)
            else:
                is_kill = step.action is plan.Action.KILL
                vm.signal_process(signal.SIGKILL if is_kill else signal.SIGTERM)
                if not await vm.wait_for_exit(vms.STOP_LIMIT_S):
                    vm.signal_process(signal.SIGKILL)
                    await vm.wait_for_exit(vms.STOP_LIMIT_S)
                await vm.restart()
        finally:
            self._busy_vms.discard(vm.number)

    async def _partition_vms(self, step: plan.Step) -> None:
        """Partition a group of VMs from all targets, unless one is already."""
        if self._is_partitioned:
            return
        self._is_partitioned = True
        size = 1 + step.index % (len(self._vms) - 1)
        chosen = [self._vms[(step.index + n) % len(self._vms)] for n in range(size)]
        uncut_ports = [vm.peers_port for vm in self._vms]
        uncut_ports += [vm.store_link.port for vm in self._vms]
        for vm in chosen:
            vm.cut_targets(step.variant, uncut_ports)
        begin = anyio.current_time()
        await anyio.sleep(step.duration_s + PARTITION_EXTENSION_S)
        end = anyio.current_time()
        for vm in chosen:
            vm.cut_targets("", ())
        numbers = frozenset(vm.number for vm in chosen)
        period = ledger.PartitionPeriod(numbers, begin, end)
        self._entries.partitions.append(period)
        self._is_partitioned = False

    async def _start_store(self) -> None:
        app = topic_store_app.TopicStoreApp(self._store.topics)
        server = http_server.Server(app, configuration.Limits, _raise_unexpected)
        self._store_port = await self._group.start(server.serve, links.HOST, 0)

    async def _create_vms(self) -> None:
        for number in range(self._scenario.vm_count):
            link = links.Link(self._store_port)
            await self._group.start(link.serve)
            vm = vms.Vm(number, self._folder, self._program, link)
            vm.write_settings(is_new_fleet=True)
            vm.cut_targets("", ())
            self._vms.append(vm)

    async def _start_target(self, service: str) -> None:
        self._target_count += 1
        target = targets.Target(f"t{self._target_count}", service, self._entries)
        target.set_crash_callback(self._schedule_replacement)
        server = http_server.Server(target, configuration.Limits, _raise_unexpected)
        port = await self._group.start(server.serve, links.HOST, 0)
        target.link = links.Link(port)
        await self._group.start(target.link.serve)
        self._targets.append(target)
        self._register(target, "ready")

    def _schedule_replacement(self, crashed_target: targets.Target) -> None:
        """Replace a crashed target after a delay."""
        if crashed_target in self._targets:
            self._targets.remove(crashed_target)
            self._group.start_soon(self._replace_crashed_target, crashed_target)

    async def _replace_crashed_target(self, crashed_target: targets.Target) -> None:
        await anyio.sleep(CRASH_REPLACEMENT_DELAY_S)
        self._store.put(wire_names.TARGETS_TOPIC, crashed_target.target_id, b"")
        await self._start_target(crashed_target.service)

    def _register(self, target: targets.Target, state: str) -> None:
        address = f"{links.HOST}:{target.link.port}"
        value = encoding.encode_entry(
            target.service, address, targets.SLOTS, state, next(self._sequence_numbers)
        )
        self._store.put(wire_names.TARGETS_TOPIC, target.target_id, value)

    async def _replace_target(self, target: targets.Target) -> None:
        if target.is_leaving:
            return
        target.is_leaving = True
        await self._start_target(target.service)
        self._register(target, "draining")
        now = anyio.current_time()
        self._entries.drain_starts.append(ledger.DrainStart(target.target_id, now))
        self._targets.remove(target)
        is_drill = self._scenario.kind is plan.Kind.DRILLS
        await anyio.sleep(LONG_DRAIN_DURATION_S if is_drill else DRAIN_DURATION_S)
        self._store.put(wire_names.TARGETS_TOPIC, target.target_id, b"")


DEFAULT_SCENARIO = Scenario()


def play_seed(
    seed: int,
    folder: pathlib.Path,
    program: pathlib.Path | None = None,
    scenario: Scenario = DEFAULT_SCENARIO,
) -> Report:
    """Play a seed and return its result."""
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(seed, folder, program or vms.find_default_program(), scenario)
    with collection.exclude_present_objects():
        return anyio.run(soak.run)


def _raise_unexpected(error: BaseException) -> None:
    """Raise an error of a stand-in, which ends the soak, unless it is expected.

    The store resets connections by raising a `BrokenResourceError`.
    """
    if isinstance(error, BaseExceptionGroup):
        _, unexpected = error.split(anyio.BrokenResourceError)
        if unexpected is None:
            return
    raise error
