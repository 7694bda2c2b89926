"""Measures detection time, affected requests and false ejections for each fault."""

from __future__ import annotations

import dataclasses

from . import arrivals, shapes, tables

FAULT_STARTS_AT_S = 10.0
FAULT_ENDS_AT_S = 30.0
WINDOW_S = 1.0
"""Span in which the requests to faulty targets are counted."""

REMAINING_SHARE = 0.1
"""A fault counts as detected when its targets get this share of their usual requests
or less."""

DAY_S = 86400.0
DETECTION_WEIGHTS = (0.1, 0.5, 0.9)
MODES = (arrivals.SHARED, arrivals.ALONE, arrivals.CONSECUTIVE, arrivals.NO_EJECTION)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault and the targets that cause it."""

    name: str
    """Name of the fault in the table."""

    faults: tuple[shapes.Fault, ...]
    """Faults that the model simulates."""

    faulty_targets: tuple[int, ...]
    """Indexes of the targets that should be ejected; none if the fault is that of the
    VMs, of the network or of all targets."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A run of the model."""

    scenario: Scenario
    """The simulated fault."""

    shape: shapes.Shape
    """Size and load of the service, and its detection weight."""

    mode: str
    """Mode of the model, one of `MODES`."""

    seconds: float = FAULT_ENDS_AT_S
    """Duration of the run."""

    seed: int = 1
    """Seed of the run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """Results of a run."""

    detection_time_s: float | None
    """Time from the begin of the fault until its targets get few requests; None if they
    never do."""

    affected_requests: int
    """Number of requests that the fault affected."""

    false_ejections: float
    """Number of ejections of healthy targets; one by a single VM counts as the share of
    that VM in all VMs."""

    answered: float
    """Share of requests answered in time."""


def _is_vm0(vm: int) -> bool:
    return vm == 0


def _is_in_first_centre(vm: int) -> bool:
    return vm % 3 == 0


def _is_outside_second_centre(vm: int) -> bool:
    return vm % 3 != 1


def list_scenarios(targets: int) -> list[Scenario]:
    """Return the faults for a service with the given number of targets."""

    def _fault(indexes: tuple[int, ...], **fields: object) -> shapes.Fault:
        return shapes.Fault(indexes, FAULT_STARTS_AT_S, FAULT_ENDS_AT_S, **fields)  # type: ignore

    one, every = (3,), tuple(range(targets))
    centre = tuple(number for number in every if number % 3 == 1)
    return [
        Scenario("errors 5%", (_fault(one, error_share=0.05),), one),
        Scenario("errors 20%", (_fault(one, error_share=0.2),), one),
        Scenario("errors 100%", (_fault(one, error_share=1.0),), one),
        Scenario("straggler 2x", (_fault(one, slow_factor=2.0),), one),
        Scenario("straggler 5x", (_fault(one, slow_factor=5.0),), one),
        Scenario("straggler 20x", (_fault(one, slow_factor=20.0),), one),
        Scenario("hangs", (_fault(one, hangs=True),), one),
        Scenario("one kind fails", (_fault(one, error_share=1.0, kind="order"),), one),
        Scenario("flaps, 4 s", (_fault(one, error_share=1.0, period=4.0),), one),
        Scenario("flaps, 20 s", (_fault(one, error_share=1.0, period=20.0),), one),
        Scenario(
            "one VM cut from one target",
            (_fault(one, hangs=True, seen_by=_is_vm0),),
            (),
        ),
        Scenario(
            "one data centre cut from one target",
            (_fault(one, hangs=True, seen_by=_is_in_first_centre),),
            (),
        ),
        Scenario(
            "targets of one data centre cut off",
            (_fault(centre, hangs=True, seen_by=_is_outside_second_centre),),
            (),
        ),
        Scenario("one VM slow", (_fault(every, slow_factor=5.0, seen_by=_is_vm0),), ()),
        Scenario(
            "one VM sees errors", (_fault(every, error_share=0.5, seen_by=_is_vm0),), ()
        ),
        Scenario("everything 3x slower", (_fault(every, slow_factor=3.0),), ()),
        Scenario("everything fails 30%", (_fault(every, error_share=0.3),), ()),
    ]


def measure(case: Case) -> Score:
    """Run a case and return its results."""
    scenario = case.scenario
    model = arrivals.Model(case.shape, scenario.faults, case.mode, case.seed)
    model.run(case.seconds)
    false_by_fleet = [
        name for _, name in model.ejected if int(name) not in scenario.faulty_targets
    ]
    false_by_one_vm = [
        n for n in model.ejected_by_one_vm if int(n) not in scenario.faulty_targets
    ]
    answered = sum(d.is_answered for d in model.ended_requests) / len(
        model.ended_requests
    )
    return Score(
        _find_detection_time(model, scenario.faulty_targets),
        sum(d.was_affected for d in model.ended_requests),
        len(false_by_fleet) + len(false_by_one_vm) / case.shape.vms,
        answered,
    )


def _find_detection_time(
    model: arrivals.Model, faulty_targets: tuple[int, ...]
) -> float | None:
    sent_times = [at for at, index in model.sent_attempts if index in faulty_targets]
    before = [
        at for at in sent_times if FAULT_STARTS_AT_S - 5 <= at < FAULT_STARTS_AT_S
    ]
    during = [at for at in sent_times if FAULT_STARTS_AT_S <= at < FAULT_ENDS_AT_S]
    usual_count = len(before) / 5.0 * WINDOW_S
    for moment in [FAULT_STARTS_AT_S, *during]:
        after = [at for at in during if moment < at <= moment + WINDOW_S]
        if len(after) <= REMAINING_SHARE * usual_count:
            return moment - FAULT_STARTS_AT_S
    return None


def format_faults(name: str, shape: shapes.Shape) -> str:
    """Return the table of all faults for one service."""
    cases = [
        Case(scenario, shape, mode)
        for scenario in list_scenarios(shape.targets)
        for mode in MODES
    ]
    scores = tables.run_all(measure, cases)
    rows = []
    for start in range(0, len(cases), len(MODES)):
        mode_scores = scores[start : start + len(MODES)]
        row: list[object] = [cases[start].scenario.name]
        for score in mode_scores:
            detection = (
                "-"
                if score.detection_time_s is None
                else f"{score.detection_time_s:.1f}"
            )
            row.append(
                f"{detection} / {score.affected_requests} / {score.false_ejections:.2g}"
            )
        rows.append(row)
    columns = (f"{name}: detection s / harmed / false ejections", *MODES)
    return tables.format_table(columns, rows)


def format_curve(name: str, shape: shapes.Shape, quiet_seconds: float) -> str:
    """Return the table of detection times and false ejections by detection weight.

    False ejections are those of a run of `quiet_seconds` without a fault.
    """
    quiet = Scenario("none", (), ())
    scenarios = {s.name: s for s in list_scenarios(shape.targets)}
    faults = [
        scenarios["errors 20%"],
        scenarios["straggler 2x"],
        scenarios["straggler 5x"],
    ]
    cases: list[Case] = []
    for weight in DETECTION_WEIGHTS:
        weighted_shape = dataclasses.replace(shape, detection_weight=weight)
        for fault in faults:
            cases.append(Case(fault, weighted_shape, arrivals.SHARED))
        cases.append(Case(quiet, weighted_shape, arrivals.SHARED, quiet_seconds))
    scores = tables.run_all(measure, cases)
    rows = []
    step = len(faults) + 1
    for index, weight in enumerate(DETECTION_WEIGHTS):
        *fault_scores, quiet_score = scores[index * step : (index + 1) * step]
        per_day = quiet_score.false_ejections * DAY_S / (quiet_seconds * shape.targets)
        cells = [
            "-" if s.detection_time_s is None else f"{s.detection_time_s:.1f} s"
            for s in fault_scores
        ]
        rows.append((weight, *cells, f"{per_day:.2g}"))
    columns = (
        f"{name}: weight",
        *(fault.name for fault in faults),
        "false ejections a target-day",
    )
    return tables.format_table(columns, rows)


def format_report() -> str:
    """Return all tables as Markdown."""
    desk = shapes.Shape(36, 3, 20, 3, 0.6, keyed_share=0.3, detection_weight=0.8)
    register = shapes.Shape(36, 3, 6, 3, 0.6, keyed_share=0.3, detection_weight=0.8)
    bridge = shapes.Shape(36, 3, 8, 4, 0.6, keyed_share=0.3, detection_weight=0.2)
    parts = [
        format_faults("desk", desk),
        format_faults("register", register),
        format_faults("bridge", bridge),
        format_curve("desk", desk, 120.0),
        format_curve("bridge", bridge, 240.0),
    ]
    return "\n\n".join(parts)
