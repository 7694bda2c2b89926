"""Steps of targets.feature, run on the model of arrivals in virtual time."""

from __future__ import annotations

import dataclasses

import pytest_bdd
from pytest_bdd import parsers

from bench import arrivals, shapes

pytest_bdd.scenarios("targets.feature")

SHAPE = shapes.Shape(12, 3, 6, 3, 0.5, detection_weight=0.8)
REMAINING_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class Run:
    """A run of the model and the faults injected into it."""

    shape: shapes.Shape
    faults: list[shapes.Fault]
    faulty_targets: set[int]
    fault_starts_at: float = 0.0
    model: arrivals.Model | None = None

    def finished(self) -> arrivals.Model:
        """Return the model, which must have been run."""
        assert self.model is not None
        return self.model


def _is_first_vm(vm: int) -> bool:
    return vm == 0


def _is_in_first_data_centre(vm: int) -> bool:
    return vm % 3 == 0


SINGLE_TARGET_FAULTS = {
    "fails every request": {"error_share": 1.0},
    "fails a third": {"error_share": 0.33},
    "is 5 times slower": {"slow_factor": 5.0},
    "hangs": {"hangs": True},
    "flaps every 4 seconds": {"error_share": 1.0, "period": 4.0},
}
ALL_TARGETS = tuple(range(SHAPE.targets))
OTHER_FAULTS = {
    "VM 1 loses its link to target 2": ((1,), {"hangs": True, "seen_by": _is_first_vm}),
    "one data centre loses its link to target 2": (
        (1,),
        {"hangs": True, "seen_by": _is_in_first_data_centre},
    ),
    "VM 1 sees every second request fail": (
        ALL_TARGETS,
        {"error_share": 0.5, "seen_by": _is_first_vm},
    ),
    "everything fails a third": (ALL_TARGETS, {"error_share": 0.33}),
    "everything is 3 times slower": (ALL_TARGETS, {"slow_factor": 3.0}),
}


@pytest_bdd.given(
    parsers.parse("a load of half of all slots and a floor of {floor:d} slots"),
    target_fixture="run",
)
def _run(floor: int) -> Run:
    share = floor / (SHAPE.targets * SHAPE.slots)
    return Run(dataclasses.replace(SHAPE, floor_share=share), [], set())


@pytest_bdd.when(parsers.parse("after {seconds:d} seconds target {number:d} {fault}"))
def _fault(run: Run, seconds: int, number: int, fault: str) -> None:
    fields = SINGLE_TARGET_FAULTS[fault]
    run.fault_starts_at = seconds
    run.faulty_targets = {number - 1}
    run.faults.append(shapes.Fault((number - 1,), seconds, 1e9, **fields))  # type: ignore


@pytest_bdd.when("after 5 seconds targets 1, 2 and 3 fail every request")
def _fail_three_targets(run: Run) -> None:
    run.fault_starts_at = 5
    run.faulty_targets = {0, 1, 2}
    run.faults.append(shapes.Fault((0, 1, 2), 5, 1e9, error_share=1.0))


@pytest_bdd.when(parsers.re(r"after 5 seconds (?P<fault>(VM 1|one data|everything).*)"))
def _other_fault(run: Run, fault: str) -> None:
    targets, fields = OTHER_FAULTS[fault]
    run.fault_starts_at = 5
    run.faults.append(shapes.Fault(targets, 5, 1e9, **fields))  # type: ignore


@pytest_bdd.when(parsers.parse("{seconds:d} seconds pass"))
def _pass(run: Run, seconds: int) -> None:
    run.model = arrivals.Model(run.shape, run.faults)
    run.model.run(run.fault_starts_at + seconds)


@pytest_bdd.then(
    parsers.parse(
        "target {number:d} gets less than a fifth of its share after {limit:d} seconds"
    )
)
def _gets_few_requests(run: Run, number: int, limit: int) -> None:
    model = run.finished()
    since = run.fault_starts_at + limit
    after = [index for at, index in model.sent_attempts if at >= since]
    share = after.count(number - 1) / len(after)
    assert share < REMAINING_SHARE / SHAPE.targets


@pytest_bdd.then("no healthy target is ejected")
def _no_false_ejection(run: Run) -> None:
    ejected = {int(name) for _, name in run.finished().ejected}
    assert ejected <= run.faulty_targets


@pytest_bdd.then(
    parsers.parse("at least {share:d}% of the requests after that are answered in time")
)
def _answered(run: Run, share: int) -> None:
    done = [
        d
        for d in run.finished().ended_requests
        if d.arrived_at > run.fault_starts_at + 5
    ]
    assert sum(d.is_answered for d in done) >= share / 100 * len(done)


@pytest_bdd.then(parsers.parse("at least {slots:d} slots stay in service"))
def _floor(run: Run, slots: int) -> None:
    model = run.finished()
    for vm in model.vms:
        ejected = vm.control.config.ejections.list_ejected(model.service, model.now)
        in_service = [t for t in model.service.targets if t.name not in ejected]
        assert sum(target.slots for target in in_service) >= slots
