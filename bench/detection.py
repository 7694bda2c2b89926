"""Detection time and harm against false ejections, for each gray fault."""

from __future__ import annotations

import dataclasses

from . import arrivals, shapes, tables

STARTS_AT = 10.0
ENDS_AT = 30.0
WINDOW = 1.0
FADED_SHARE = 0.1
DAY = 86400.0
WEIGHTS = (0.1, 0.5, 0.9)
MODES = (arrivals.SHARED, arrivals.ALONE, arrivals.CONSECUTIVE, arrivals.NO_EJECTION)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault and whose it is."""

    name: str
    """What goes wrong."""

    faults: tuple[shapes.Fault, ...]
    """How the model brings it about."""

    guilty: tuple[int, ...]
    """Targets that are really at fault; none where it is the observer's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    scenario: Scenario
    """What goes wrong."""

    shape: shapes.Shape
    """Size, load and weight."""

    mode: str
    """How VMs act together."""

    seconds: float = ENDS_AT
    """Length of the run."""

    seed: int = 1
    """Seed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """What came out."""

    detection: float | None
    """Seconds until the guilty targets' work had faded; None if it never did."""

    harmed: int
    """Requests that the fault touched."""

    false_ejections: float
    """Healthy targets ejected; by one VM of many alone counts as its share."""

    answered: float
    """Share of requests answered in time."""


def _first(vm: int) -> bool:
    return vm == 0


def _first_place(vm: int) -> bool:
    return vm % 3 == 0


def _other_places(vm: int) -> bool:
    return vm % 3 != 1


def list_scenarios(targets: int) -> list[Scenario]:
    """Return the faults of the table for a service of so many targets."""

    def _fault(indexes: tuple[int, ...], **fields: object) -> shapes.Fault:
        return shapes.Fault(indexes, STARTS_AT, ENDS_AT, **fields)  # type: ignore

    one, every = (3,), tuple(range(targets))
    place = tuple(number for number in every if number % 3 == 1)
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
            "one VM cut from one target", (_fault(one, hangs=True, seen_by=_first),), ()
        ),
        Scenario(
            "one data centre cut from one target",
            (_fault(one, hangs=True, seen_by=_first_place),),
            (),
        ),
        Scenario(
            "targets of one data centre cut off",
            (_fault(place, hangs=True, seen_by=_other_places),),
            (),
        ),
        Scenario("one VM slow", (_fault(every, slow_factor=5.0, seen_by=_first),), ()),
        Scenario(
            "one VM sees errors", (_fault(every, error_share=0.5, seen_by=_first),), ()
        ),
        Scenario("everything 3x slower", (_fault(every, slow_factor=3.0),), ()),
        Scenario("everything fails 30%", (_fault(every, error_share=0.3),), ()),
    ]


def measure(case: Case) -> Score:
    """Run one case."""
    scenario = case.scenario
    model = arrivals.Model(case.shape, scenario.faults, case.mode, case.seed)
    model.run(case.seconds)
    false = [name for _, name in model.ejected if int(name) not in scenario.guilty]
    false_alone = [n for n in model.ejected_alone if int(n) not in scenario.guilty]
    answered = sum(d.is_answered for d in model.ended_requests) / len(
        model.ended_requests
    )
    return Score(
        _find_detection(model, scenario.guilty),
        sum(d.was_harmed for d in model.ended_requests),
        len(false) + len(false_alone) / case.shape.vms,
        answered,
    )


def _find_detection(model: arrivals.Model, guilty: tuple[int, ...]) -> float | None:
    times = [at for at, index in model.sent_attempts if index in guilty]
    before = [at for at in times if STARTS_AT - 5 <= at < STARTS_AT]
    during = [at for at in times if STARTS_AT <= at < ENDS_AT]
    usual = len(before) / 5.0 * WINDOW
    for moment in [STARTS_AT, *during]:
        after = [at for at in during if moment < at <= moment + WINDOW]
        if len(after) <= FADED_SHARE * usual:
            return moment - STARTS_AT
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
        ours = scores[start : start + len(MODES)]
        row: list[object] = [cases[start].scenario.name]
        for score in ours:
            found = "-" if score.detection is None else f"{score.detection:.1f}"
            row.append(f"{found} / {score.harmed} / {score.false_ejections:.2g}")
        rows.append(row)
    head = (f"{name}: detection s / harmed / false ejections", *MODES)
    return tables.format_table(head, rows)


def format_curve(name: str, shape: shapes.Shape, quiet_seconds: float) -> str:
    """Return detection time against false ejections over the operators' weight."""
    quiet = Scenario("none", (), ())
    wanted = {s.name: s for s in list_scenarios(shape.targets)}
    faults = [wanted["errors 20%"], wanted["straggler 2x"], wanted["straggler 5x"]]
    cases: list[Case] = []
    for weight in WEIGHTS:
        weighed = dataclasses.replace(shape, detection_weight=weight)
        for fault in faults:
            cases.append(Case(fault, weighed, arrivals.SHARED))
        cases.append(Case(quiet, weighed, arrivals.SHARED, quiet_seconds))
    scores = tables.run_all(measure, cases)
    rows = []
    step = len(faults) + 1
    for index, weight in enumerate(WEIGHTS):
        *found, calm = scores[index * step : (index + 1) * step]
        per_day = calm.false_ejections * DAY / (quiet_seconds * shape.targets)
        cells = ["-" if s.detection is None else f"{s.detection:.1f} s" for s in found]
        rows.append((weight, *cells, f"{per_day:.2g}"))
    head = (
        f"{name}: weight",
        *(fault.name for fault in faults),
        "false ejections a target-day",
    )
    return tables.format_table(head, rows)


def format_report() -> str:
    """Return all tables."""
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
