"""Simulates requests, VMs and targets in virtual time, with the product's decisions.

Each VM runs the product's `attempts.Plan`, `router.Router` and `control.Control`.
Targets, network and log are reduced to delays and queues. Connections, bundles and
claims are not simulated; they are tested at their own interfaces.
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

NETWORK_DELAY_S = 0.0005
"""Delay of a request or an answer between a VM and a target; a control message takes
twice as long."""

TICK_INTERVAL_S = 0.5
"""Interval at which the control plane of each VM runs."""

TRUSTED_OPERATORS = services.Operators((), 1)
"""No operators: the configuration is never changed by a bundle."""

ALONE = "alone"
"""Mode in which each VM uses only its own evidence."""

SHARED = "shared"
"""Mode in which VMs share their evidence and eject targets together."""

NO_EJECTION = "no ejection"
"""Mode in which no evidence is recorded, so no target is avoided or ejected."""

CONSECUTIVE = "consecutive"
"""Mode in which each VM ejects a target after some errors in a row."""


class _Target:
    """A target, which refuses or queues requests while all its slots are taken."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy_slots = 0
        self.waiting: list[collections.abc.Callable[[], None]] = []
        self.refused_count = 0


class _Vm:
    """A VM: its router, its control plane, and its requests that wait for admission."""

    def __init__(self, number: int, model: Model) -> None:
        shape = model.shape
        self.number = number
        self.name = f"vm-{number:04d}"
        self.events = timeline.Timeline(self.name)
        data_centre = f"dc-{number % shape.data_centres}"
        own = membership.Member(self.name, data_centre, "", 1)
        self.control = control.Control(own, TRUSTED_OPERATORS, 86400.0, self.events)
        self.router = router.Router(model.service, model.rng, 0.0)
        self.control.evidence.use_routers({arrival_service.SERVICE: self.router})
        self.waiting: dict[int, _Request] = {}
        self.consecutive_errors: dict[str, int] = {}
        self.ejected_until: dict[str, float] = {}


@dataclasses.dataclass(slots=True)
class _Request:
    """A request from its arrival to its end."""

    vm: _Vm
    kind: services.Kind
    arrived_at: float
    deadline: float
    plan: attempts.Plan | None = None
    admitted_at: float = 0.0
    was_affected: bool = False
    is_over: bool = False
    errors: set[int] = dataclasses.field(default_factory=set)


class Model:
    """Simulation of one service and the VMs that send requests to it.

    Parameters
    ----------
    shape : shapes.Shape
        Size and load of the service.
    faults : sequence of shapes.Fault
        Faults of the targets, or of the way to them.
    mode : str
        `SHARED`, `ALONE`, `NO_EJECTION` or `CONSECUTIVE`.
    seed : int
        Seed of everything drawn at random.
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
        self.rng = random.Random(seed)
        self.service = arrival_service.make_service(shape)
        self.now = 0.0
        self.ended_requests: list[shapes.EndedRequest] = []
        self.sent_attempts: list[tuple[float, int]] = []
        self.refusals = 0
        self.control_messages = 0
        self.control_bytes = 0
        self.ejected: list[tuple[float, str]] = []
        self.ejected_by_one_vm: list[str] = []
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._targets = [_Target(shape.slots) for _ in range(shape.targets)]
        self.vms = [_Vm(number, self) for number in range(shape.vms)]
        self._vms_by_name = {vm.name: vm for vm in self.vms}
        self._log: list[bytes] = []
        self._arrival_weights = [
            1 + shape.skew * _find_skew(v, shape.vms) for v in range(shape.vms)
        ]
        self._exchange_sightings()

    def run(self, seconds: float) -> None:
        """Simulate the given number of seconds of virtual time."""
        mean = self.shape.work_time * _find_mean_factor(self.shape.work_sigma)
        slots = self.shape.targets * self.shape.slots
        self._rate = self.shape.load * slots / mean
        self._schedule(self.rng.expovariate(self._rate), self._arrive)
        if self.mode == SHARED:
            for vm in self.vms:
                self._schedule(
                    self.rng.uniform(0, TICK_INTERVAL_S), self._make_tick(vm)
                )
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    # Arrivals, admission and plans of attempts.

    def _schedule(
        self, time: float, action: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _arrive(self) -> None:
        self._schedule(self.now + self.rng.expovariate(self._rate), self._arrive)
        vm = self.rng.choices(self.vms, self._arrival_weights)[0]
        is_keyed = self.rng.random() < self.shape.keyed_share
        kind = self.service.kinds[int(is_keyed)]
        deadline = self.now + kind.time_limit
        request = _Request(vm, kind, self.now, deadline)
        ticket = admission.Ticket(next(self._numbers), kind.weight, deadline)
        vm.waiting[ticket.number] = request
        self._apply_verdicts(vm, vm.router.admission.enter(ticket, self.now))

    def _apply_verdicts(self, vm: _Vm, verdicts: list[admission.Verdict]) -> None:
        for verdict in verdicts:
            if verdict.entry is admission.Entry.QUEUED:
                continue
            request = vm.waiting.pop(verdict.ticket.number)
            if verdict.entry is admission.Entry.ADMITTED:
                self._start_plan(request)
            else:
                self._record_end(request, False)

    def _start_plan(self, request: _Request) -> None:
        request.admitted_at = self.now
        chooser = self._make_chooser(request.vm)
        # Claims are not simulated: a keyed request starts as if its claim was granted.
        request.plan = attempts.Plan(request.kind, request.deadline, chooser)
        actions = request.plan.start(self.now)
        self._apply_actions(request, actions)

    def _make_chooser(self, vm: _Vm) -> attempt_actions.Chooser:
        if self.mode == CONSECUTIVE:
            return consecutive.ConsecutiveChooser(vm)
        return vm.router

    def _apply_actions(
        self, request: _Request, actions: list[attempt_actions.Action]
    ) -> None:
        for action in actions:
            match action:
                case attempt_actions.Send():
                    self._send(request, action)
                case attempt_actions.Relay():
                    self._leave_admission(request, action.attempt not in request.errors)
                case attempt_actions.Refuse():
                    self._leave_admission(request, False)
                case _:
                    pass
        plan = request.plan
        if plan is not None and not plan.has_ended:
            self._schedule(plan.find_wake_time(), self._make_plan_wake(request))

    def _make_plan_wake(self, request: _Request) -> collections.abc.Callable[[], None]:
        def _wake() -> None:
            plan = request.plan
            if plan is None or plan.has_ended:
                return
            if self.now >= plan.find_wake_time():
                self._apply_actions(request, plan.wake(self.now))

        return _wake

    def _leave_admission(self, request: _Request, is_answered: bool) -> None:
        self._record_end(request, is_answered and self.now <= request.deadline)
        admission_control = request.vm.router.admission
        self._apply_verdicts(
            request.vm,
            admission_control.leave(self.now - request.admitted_at, self.now),
        )

    def _record_end(self, request: _Request, is_answered: bool) -> None:
        if request.is_over:
            return
        request.is_over = True
        self.ended_requests.append(
            shapes.EndedRequest(
                request.arrived_at,
                self.now - request.arrived_at,
                request.kind.weight,
                is_answered,
                request.was_affected,
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
        open_attempt = _Attempt(request, send, self.now)
        if overdue is not None:
            self._schedule(
                self.now + overdue, lambda: self._observe_overdue(open_attempt)
            )
        self._schedule(request.deadline, lambda: self._handle_deadline(open_attempt))
        self._schedule(
            self.now + NETWORK_DELAY_S, lambda: self._reach_target(open_attempt, index)
        )

    def _reach_target(self, open_attempt: _Attempt, index: int) -> None:
        target = self._targets[index]
        fault = self._find_fault(open_attempt, index)
        if fault is not None and fault.hangs:
            open_attempt.request.was_affected = True
            return
        if target.busy_slots < target.slots:
            self._start_work(open_attempt, index)
        elif self.shape.queues:
            target.waiting.append(lambda: self._start_work(open_attempt, index))
        else:
            target.refused_count += 1
            self.refusals += 1
            self._schedule(
                self.now + NETWORK_DELAY_S,
                lambda: self._handle_result(open_attempt, "refused"),
            )

    def _start_work(self, open_attempt: _Attempt, index: int) -> None:
        target = self._targets[index]
        target.busy_slots += 1
        fault = self._find_fault(open_attempt, index)
        work_sigma = self.shape.work_sigma
        duration_s = self.shape.work_time * self.rng.lognormvariate(0.0, work_sigma)
        result = "answer"
        if fault is not None:
            duration_s *= fault.slow_factor
            fails = self.rng.random() < fault.error_share
            result = "error" if fails else "answer"
            if fails or fault.slow_factor > 1:
                open_attempt.request.was_affected = True
        self._schedule(self.now + duration_s, lambda: self._free_slot(index))
        self._schedule(
            self.now + duration_s + NETWORK_DELAY_S,
            lambda: self._handle_result(open_attempt, result),
        )

    def _free_slot(self, index: int) -> None:
        target = self._targets[index]
        target.busy_slots -= 1
        if target.waiting:
            target.waiting.pop(0)()

    def _find_fault(self, open_attempt: _Attempt, index: int) -> shapes.Fault | None:
        vm, kind = open_attempt.request.vm.number, open_attempt.request.kind.name
        for fault in self.faults:
            if fault.affects(vm, index, kind, self.now):
                return fault
        return None

    def _observe_overdue(self, open_attempt: _Attempt) -> None:
        if not open_attempt.is_over and not open_attempt.was_observed:
            open_attempt.was_observed = True
            self._observe(open_attempt, evidence.Sign.SLOW)

    def _handle_deadline(self, open_attempt: _Attempt) -> None:
        if not open_attempt.is_over:
            open_attempt.is_over = True
            open_attempt.request.vm.router.record_end(open_attempt.send.target.name)
            self._observe(open_attempt, evidence.Sign.ERROR)

    def _handle_result(self, open_attempt: _Attempt, result: str) -> None:
        if open_attempt.is_over:
            return
        open_attempt.is_over = True
        request, send = open_attempt.request, open_attempt.send
        vm, name = request.vm, send.target.name
        vm.router.record_end(name)
        plan = request.plan
        if plan is None:
            return
        if result == "refused":
            vm.router.record_shed(name, self.now)
            failure = attempt_actions.Failure.REFUSED
            self._apply_actions(
                request, plan.handle_failure(send.attempt, failure, self.now)
            )
            return
        if result == "error":
            self._observe(open_attempt, evidence.Sign.ERROR)
            request.errors.add(send.attempt)
            self._apply_actions(
                request, plan.handle_answer(send.attempt, 500, self.now)
            )
            return
        subject = baselines.Subject(name, request.kind.name)
        sign = vm.router.health.judge_latency(subject, self.now - open_attempt.sent_at)
        if not open_attempt.was_observed:
            self._observe(open_attempt, sign)
        vm.router.admission.raise_limit()
        self._apply_actions(request, plan.handle_answer(send.attempt, 200, self.now))

    def _observe(self, open_attempt: _Attempt, sign: evidence.Sign) -> None:
        vm, name = open_attempt.request.vm, open_attempt.send.target.name
        if self.mode == CONSECUTIVE:
            if consecutive.record_sign(vm, name, sign, self.now):
                self.ejected_by_one_vm.append(name)
        elif self.mode != NO_EJECTION:
            vm.router.observe(name, open_attempt.request.kind.name, sign, self.now)

    # Control messages and ejections of the fleet.

    def _exchange_sightings(self) -> None:
        sightings = tuple(vm.control.members.own_sighting for vm in self.vms)
        for vm in self.vms:
            for sighting in sightings:
                vm.control.members.apply_sighting(sighting, 0.0)

    def _make_tick(self, vm: _Vm) -> collections.abc.Callable[[], None]:
        def _tick() -> None:
            self._schedule(self.now + TICK_INTERVAL_S, _tick)
            self._apply_control_actions(vm, vm.control.tick(self.now))

        return _tick

    def _apply_control_actions(
        self, vm: _Vm, actions: collections.abc.Sequence[control_actions.Action]
    ) -> None:
        for action in actions:
            match action:
                case control_actions.SendMessage():
                    self._deliver_message(vm, action)
                case control_actions.AppendConfig():
                    self._schedule(self.now + 0.005, self._make_append(action.data))
                case _:
                    pass

    def _deliver_message(self, vm: _Vm, action: control_actions.SendMessage) -> None:
        self.control_messages += 1
        self.control_bytes += len(peer_messages.encode(action.message))
        receiver = self._vms_by_name[action.vm]

        def _receive() -> None:
            message = action.message
            actions = receiver.control.handle_message(vm.name, message, self.now)
            self._apply_control_actions(receiver, actions)

        self._schedule(self.now + 2 * NETWORK_DELAY_S, _receive)

    def _make_append(self, data: bytes) -> collections.abc.Callable[[], None]:
        def _append() -> None:
            """Grant the ejection on all VMs if the rules for ejections allow it."""
            ejection = ejections.read(data)
            if ejection is None or not self._may_eject(ejection):
                return
            self.ejected.append((self.now, ejection.target))
            for vm in self.vms:
                vm.control.config.ejections.grant(ejection)

        return _append

    def _may_eject(self, ejection: ejections.Ejection) -> bool:
        ejection_ledger = self.vms[0].control.config.ejections
        return not ejection_ledger.find_objection(ejection, self.service)


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt from sending until its answer or the deadline of its request."""

    request: _Request
    send: attempt_actions.Send
    sent_at: float
    is_over: bool = False
    was_observed: bool = False


def _find_mean_factor(work_sigma: float) -> float:
    return 2.718281828459045 ** (work_sigma * work_sigma / 2)


def _find_skew(number: int, count: int) -> float:
    return 2.0 * number / max(1, count - 1) - 1.0
