"""Answers in time against load: each VM alone, and VMs that share evidence."""

from __future__ import annotations

import dataclasses

from . import arrivals, shapes, tables

SECONDS = 12.0
WARM_UP = 2.0
LOADS = (0.5, 0.8, 0.95, 1.2, 1.5, 2.0, 3.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    name: str
    """Name of the service."""

    shape: shapes.Shape
    """Its size and load."""

    mode: str
    """How VMs act together."""


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """What came out."""

    answered: float
    """Share answered in time, by weight."""

    goodput: float
    """Answers in time as a share of all slots' work."""

    p99: float
    """Seconds, of the answered."""

    refusals: float
    """Attempts that targets refused, per request."""

    control_rate: float
    """Control bytes that a VM sends in a second."""


def make_cases() -> list[Case]:
    """Return the cases of the table."""
    sizes = {
        "desk, 20 x 3": shapes.Shape(36, 3, 20, 3, 0.5, keyed_share=0.3),
        "register, 6 x 3": shapes.Shape(36, 3, 6, 3, 0.5, keyed_share=0.3),
        "bridge, 8 x 4": shapes.Shape(36, 4, 8, 4, 0.5, keyed_share=0.3),
    }
    cases: list[Case] = []
    for name, shape in sizes.items():
        for load in LOADS:
            loaded = dataclasses.replace(shape, load=load)
            for mode in (arrivals.ALONE, arrivals.SHARED):
                cases.append(Case(name, loaded, mode))
        skewed = dataclasses.replace(shape, load=0.8, skew=0.8)
        cases.append(Case(f"{name}, skewed balancer", skewed, arrivals.SHARED))
        queued = dataclasses.replace(shape, load=0.8, queues=True)
        cases.append(Case(f"{name}, targets queue", queued, arrivals.SHARED))
    return cases


def measure(case: Case) -> Score:
    """Run one case."""
    model = arrivals.Model(case.shape, (), case.mode, seed=1)
    model.run(SECONDS)
    done = [d for d in model.ended_requests if d.arrived_at >= WARM_UP]
    good = [d for d in done if d.is_answered]
    weight = sum(d.weight for d in done)
    took = sorted(d.took for d in good)
    answered = sum(d.weight for d in good) / weight
    return Score(
        answered,
        case.shape.load * len(good) / len(done),
        took[int(0.99 * (len(took) - 1))],
        model.refusals / max(1, len(model.ended_requests)),
        model.control_bytes / SECONDS / case.shape.vms,
    )


def format_report() -> str:
    """Return the table."""
    cases = make_cases()
    rows = [
        (
            case.name,
            case.shape.load,
            case.mode,
            f"{score.answered:.3f}",
            f"{score.goodput:.2f}",
            f"{1000 * score.p99:.0f} ms",
            f"{score.refusals:.2f}",
            f"{score.control_rate:.0f}",
        )
        for case, score in zip(cases, tables.run_all(measure, cases), strict=True)
    ]
    head = (
        "service",
        "load",
        "VMs",
        "answered in time, by weight",
        "goodput",
        "p99",
        "refusals a request",
        "control B/s a VM",
    )
    return tables.format_table(head, rows)
