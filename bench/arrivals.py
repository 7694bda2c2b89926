"""A small model of arrivals in virtual time, over the real decisions.

Each VM runs the real `attempts.Plan`, `router.Router` and `control.Control`. Targets,
network and log are a few lines each. It is no cluster simulator: it has no connections,
no bundles and no claims; those are tested at their own interfaces.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import itertools
import random

from zinniastand_core import (
    admission,
    attempt_actions,
    attempts,
    baselines,
    control,
    control_actions,
    ejections,
    evidence,
    membership,
    peer_messages,
    router,
    services,
    timeline,
)

from . import arrival_service, consecutive, shapes

HOP = 0.0005
TICK = 0.5
TRUSTED = services.Operators((), 1)

ALONE = "alone"
SHARED = "shared"
NO_EJECTION = "no ejection"
CONSECUTIVE = "consecutive"


class _Target:
    """A target with slots, which refuses or queues when they are taken."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.waiting: list[collections.abc.Callable[[], None]] = []
        self.refused = 0


class _Vm:
    """One VM: its router, its control plane, and its requests at the door."""

    def __init__(self, number: int, model: Model) -> None:
        shape = model.shape
        self.number = number
        self.name = f"vm-{number:04d}"
        self.events = timeline.Timeline(self.name)
        place = f"dc-{number % shape.vm_places}"
        own = membership.Member(self.name, place, "", 1)
        self.control = control.Control(own, TRUSTED, 86400.0, self.events)
        self.router = router.Router(model.service, model.generator, 0.0)
        self.control.evidence.use_routers({arrival_service.SERVICE: self.router})
        self.waiting: dict[int, _Request] = {}
        self.failures: dict[str, int] = {}
        self.out_until: dict[str, float] = {}


@dataclasses.dataclass(slots=True)
class _Request:
    """One request under way."""

    vm: _Vm
    kind: services.Kind
    arrived_at: float
    deadline: float
    plan: attempts.Plan | None = None
    entered_at: float = 0.0
    was_harmed: bool = False
    is_over: bool = False
    errors: set[int] = dataclasses.field(default_factory=set)


class Model:
    """A run of the model.

    Parameters
    ----------
    shape : shapes.Shape
        Size and load.
    faults : sequence of shapes.Fault
        What befalls the targets.
    mode : str
        `SHARED`, `ALONE`, `NO_EJECTION` or `CONSECUTIVE`.
    seed : int
        Seed of all randomness.
    """

    def __init__(
        self,
        shape: shapes.Shape,
        faults: collections.abc.Sequence[shapes.Fault] = (),
        mode: str = SHARED,
        seed: int = 1,
    ) -> None:
        self.shape = shape
        self.faults = faults
        self.mode = mode
        self.generator = random.Random(seed)
        self.service = arrival_service.make_service(shape)
        self.now = 0.0
        self.ended_requests: list[shapes.EndedRequest] = []
        self.sent_attempts: list[tuple[float, int]] = []
        self.refusals = 0
        self.control_messages = 0
        self.control_bytes = 0
        self.ejected: list[tuple[float, str]] = []
        self.ejected_alone: list[str] = []
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._targets = [_Target(shape.slots) for _ in range(shape.targets)]
        self.vms = [_Vm(number, self) for number in range(shape.vms)]
        self._by_name = {vm.name: vm for vm in self.vms}
        self._log: list[bytes] = []
        self._shares = [1 + shape.skew * _tilt(v, shape.vms) for v in range(shape.vms)]
        self._introduce()

    def run(self, seconds: float) -> None:
        """Run for some seconds of virtual time."""
        mean = self.shape.work_time * _mean_factor(self.shape.spread)
        slots = self.shape.targets * self.shape.slots
        self._rate = self.shape.load * slots / mean
        self._at(self.generator.expovariate(self._rate), self._arrive)
        if self.mode == SHARED:
            for vm in self.vms:
                self._at(self.generator.uniform(0, TICK), self._make_tick(vm))
        while self._heap and self._heap[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    # Arrivals, the door and the plan.

    def _at(self, time: float, action: collections.abc.Callable[[], None]) -> None:
        heapq.heappush(self._heap, (time, next(self._numbers), action))

    def _arrive(self) -> None:
        self._at(self.now + self.generator.expovariate(self._rate), self._arrive)
        vm = self.generator.choices(self.vms, self._shares)[0]
        is_keyed = self.generator.random() < self.shape.keyed_share
        kind = self.service.kinds[int(is_keyed)]
        deadline = self.now + kind.time_limit
        request = _Request(vm, kind, self.now, deadline)
        ticket = admission.Ticket(next(self._numbers), kind.weight, deadline)
        vm.waiting[ticket.number] = request
        self._announce(vm, vm.router.admission.enter(ticket, self.now))

    def _announce(self, vm: _Vm, verdicts: list[admission.Verdict]) -> None:
        for verdict in verdicts:
            if verdict.entry is admission.Entry.QUEUED:
                continue
            request = vm.waiting.pop(verdict.ticket.number)
            if verdict.entry is admission.Entry.ADMITTED:
                self._begin(request)
            else:
                self._end(request, False)

    def _begin(self, request: _Request) -> None:
        request.entered_at = self.now
        chooser = self._make_chooser(request.vm)
        # The claim is settled elsewhere; here a keyed request starts with its grant.
        request.plan = attempts.Plan(request.kind, request.deadline, chooser)
        actions = request.plan.start(self.now)
        self._act(request, actions)

    def _make_chooser(self, vm: _Vm) -> attempt_actions.Chooser:
        if self.mode == CONSECUTIVE:
            return consecutive.ConsecutiveChooser(vm)
        return vm.router

    def _act(self, request: _Request, actions: list[attempt_actions.Action]) -> None:
        for action in actions:
            match action:
                case attempt_actions.Send():
                    self._send(request, action)
                case attempt_actions.Relay():
                    self._leave(request, action.attempt not in request.errors)
                case attempt_actions.Refuse():
                    self._leave(request, False)
                case _:
                    pass
        plan = request.plan
        if plan is not None and not plan.has_ended:
            self._at(plan.find_wake_time(), self._make_wake(request))

    def _make_wake(self, request: _Request) -> collections.abc.Callable[[], None]:
        def _wake() -> None:
            plan = request.plan
            if plan is None or plan.has_ended:
                return
            if self.now >= plan.find_wake_time():
                self._act(request, plan.wake(self.now))

        return _wake

    def _leave(self, request: _Request, is_answered: bool) -> None:
        self._end(request, is_answered and self.now <= request.deadline)
        door = request.vm.router.admission
        self._announce(request.vm, door.leave(self.now - request.entered_at, self.now))

    def _end(self, request: _Request, is_answered: bool) -> None:
        if request.is_over:
            return
        request.is_over = True
        self.ended_requests.append(
            shapes.EndedRequest(
                request.arrived_at,
                self.now - request.arrived_at,
                request.kind.weight,
                is_answered,
                request.was_harmed,
            )
        )

    # Attempts and targets.

    def _send(self, request: _Request, send: attempt_actions.Send) -> None:
        vm, name = request.vm, send.target.name
        index = int(name)
        vm.router.record_start(name, is_first=send.attempt == 1)
        self.sent_attempts.append((self.now, index))
        subject = baselines.Subject(name, request.kind.name)
        overdue = vm.router.health.find_overdue_after(subject)
        state = _Attempt(request, send, self.now)
        if overdue is not None:
            self._at(self.now + overdue, lambda: self._count_late(state))
        self._at(request.deadline, lambda: self._expire(state))
        self._at(self.now + HOP, lambda: self._reach(state, index))

    def _reach(self, state: _Attempt, index: int) -> None:
        target = self._targets[index]
        fault = self._find_fault(state, index)
        if fault is not None and fault.hangs:
            state.request.was_harmed = True
            return
        if target.busy < target.slots:
            self._work(state, index)
        elif self.shape.queues:
            target.waiting.append(lambda: self._work(state, index))
        else:
            target.refused += 1
            self.refusals += 1
            self._at(self.now + HOP, lambda: self._finish(state, "refused"))

    def _work(self, state: _Attempt, index: int) -> None:
        target = self._targets[index]
        target.busy += 1
        fault = self._find_fault(state, index)
        spread = self.shape.spread
        took = self.shape.work_time * self.generator.lognormvariate(0.0, spread)
        result = "answer"
        if fault is not None:
            took *= fault.slow_factor
            fails = self.generator.random() < fault.error_share
            result = "error" if fails else "answer"
            if fails or fault.slow_factor > 1:
                state.request.was_harmed = True
        self._at(self.now + took, lambda: self._free(index))
        self._at(self.now + took + HOP, lambda: self._finish(state, result))

    def _free(self, index: int) -> None:
        target = self._targets[index]
        target.busy -= 1
        if target.waiting:
            target.waiting.pop(0)()

    def _find_fault(self, state: _Attempt, index: int) -> shapes.Fault | None:
        vm, kind = state.request.vm.number, state.request.kind.name
        for fault in self.faults:
            if fault.hits(vm, index, kind, self.now):
                return fault
        return None

    def _count_late(self, state: _Attempt) -> None:
        if not state.is_over and not state.was_counted:
            state.was_counted = True
            self._observe(state, evidence.Sign.SLOW)

    def _expire(self, state: _Attempt) -> None:
        if not state.is_over:
            state.is_over = True
            state.request.vm.router.record_end(state.send.target.name)
            self._observe(state, evidence.Sign.ERROR)

    def _finish(self, state: _Attempt, result: str) -> None:
        if state.is_over:
            return
        state.is_over = True
        request, send = state.request, state.send
        vm, name = request.vm, send.target.name
        vm.router.record_end(name)
        plan = request.plan
        if plan is None:
            return
        if result == "refused":
            vm.router.record_shed(name, self.now)
            failure = attempt_actions.Failure.REFUSED
            self._act(request, plan.handle_failure(send.attempt, failure, self.now))
            return
        if result == "error":
            self._observe(state, evidence.Sign.ERROR)
            request.errors.add(send.attempt)
            self._act(request, plan.handle_answer(send.attempt, 500, self.now))
            return
        subject = baselines.Subject(name, request.kind.name)
        sign = vm.router.health.judge_latency(subject, self.now - state.sent_at)
        if not state.was_counted:
            self._observe(state, sign)
        vm.router.admission.raise_limit()
        self._act(request, plan.handle_answer(send.attempt, 200, self.now))

    def _observe(self, state: _Attempt, sign: evidence.Sign) -> None:
        vm, name = state.request.vm, state.send.target.name
        if self.mode == CONSECUTIVE:
            if consecutive.count(vm, name, sign, self.now):
                self.ejected_alone.append(name)
        elif self.mode != NO_EJECTION:
            vm.router.observe(name, state.request.kind.name, sign, self.now)

    # The fleet.

    def _introduce(self) -> None:
        sightings = tuple(vm.control.members.own_sighting for vm in self.vms)
        for vm in self.vms:
            for sighting in sightings:
                vm.control.members.apply_sighting(sighting, 0.0)

    def _make_tick(self, vm: _Vm) -> collections.abc.Callable[[], None]:
        def _tick() -> None:
            self._at(self.now + TICK, _tick)
            self._carry_out(vm, vm.control.tick(self.now))

        return _tick

    def _carry_out(
        self, vm: _Vm, actions: collections.abc.Sequence[control_actions.Action]
    ) -> None:
        for action in actions:
            match action:
                case control_actions.SendMessage():
                    self._deliver(vm, action)
                case control_actions.AppendConfig():
                    self._at(self.now + 0.005, self._make_append(action.data))
                case _:
                    pass

    def _deliver(self, vm: _Vm, action: control_actions.SendMessage) -> None:
        self.control_messages += 1
        self.control_bytes += len(peer_messages.encode(action.message))
        receiver = self._by_name[action.vm]

        def _take() -> None:
            message = action.message
            actions = receiver.control.handle_message(vm.name, message, self.now)
            self._carry_out(receiver, actions)

        self._at(self.now + 2 * HOP, _take)

    def _make_append(self, data: bytes) -> collections.abc.Callable[[], None]:
        def _append() -> None:
            """Grant by the rule, apart from bundles, which the model does not have."""
            ejection = ejections.read(data)
            if ejection is None or not self._has_room(ejection):
                return
            self.ejected.append((self.now, ejection.target))
            for vm in self.vms:
                vm.control.config.ejections.grant(ejection)

        return _append

    def _has_room(self, ejection: ejections.Ejection) -> bool:
        ledger = self.vms[0].control.config.ejections
        return not ledger.find_objection(ejection, self.service)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt under way."""

    request: _Request
    send: attempt_actions.Send
    sent_at: float
    is_over: bool = False
    was_counted: bool = False


def _mean_factor(spread: float) -> float:
    return 2.718281828459045 ** (spread * spread / 2)


def _tilt(number: int, count: int) -> float:
    return 2.0 * number / max(1, count - 1) - 1.0
