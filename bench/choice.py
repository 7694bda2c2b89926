"""Measures answers in time by load, for VMs alone and VMs that share evidence."""

from __future__ import annotations

import dataclasses

from . import arrivals, shapes, tables

DURATION_S = 12.0
WARM_UP_S = 2.0
"""Requests that arrive earlier are not counted."""

LOADS = (0.5, 0.8, 0.95, 1.2, 1.5, 2.0, 3.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A run of the model."""

    name: str
    """Name of the service and its variant in the table."""

    shape: shapes.Shape
    """Size and load of the service."""

    mode: str
    """Mode of the model, one of the constants of `arrivals`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """Results of a run."""

    answered: float
    """Share of the requests answered in time, by weight."""

    goodput: float
    """Work answered in time, as a share of what all slots can do."""

    p99_s: float
    """99th percentile of the durations of requests answered in time."""

    refusals: float
    """Mean number of attempts of a request that targets refused."""

    control_bytes_per_s: float
    """Mean bytes per second of control messages that a VM sends."""


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
            loaded_shape = dataclasses.replace(shape, load=load)
            for mode in (arrivals.ALONE, arrivals.SHARED):
                cases.append(Case(name, loaded_shape, mode))
        skewed = dataclasses.replace(shape, load=0.8, skew=0.8)
        cases.append(Case(f"{name}, skewed balancer", skewed, arrivals.SHARED))
        queued = dataclasses.replace(shape, load=0.8, queues=True)
        cases.append(Case(f"{name}, targets queue", queued, arrivals.SHARED))
    return cases


def measure(case: Case) -> Score:
    """Run a case and return its results."""
    model = arrivals.Model(case.shape, (), case.mode, seed=1)
    model.run(DURATION_S)
    counted_requests = [d for d in model.ended_requests if d.arrived_at >= WARM_UP_S]
    answered_requests = [d for d in counted_requests if d.is_answered]
    weight = sum(d.weight for d in counted_requests)
    duration_s = sorted(d.duration_s for d in answered_requests)
    answered = sum(d.weight for d in answered_requests) / weight
    return Score(
        answered,
        case.shape.load * len(answered_requests) / len(counted_requests),
        duration_s[int(0.99 * (len(duration_s) - 1))],
        model.refusals / max(1, len(model.ended_requests)),
        model.control_bytes / DURATION_S / case.shape.vms,
    )


def format_report() -> str:
    """Return the table as Markdown."""
    cases = make_cases()
    rows = [
        (
            case.name,
            case.shape.load,
            case.mode,
            f"{score.answered:.3f}",
            f"{score.goodput:.2f}",
            f"{1000 * score.p99_s:.0f} ms",
            f"{score.refusals:.2f}",
            f"{score.control_bytes_per_s:.0f}",
        )
        for case, score in zip(cases, tables.run_all(measure, cases), strict=True)
    ]
    columns = (
        "service",
        "load",
        "VMs",
        "answered in time, by weight",
        "goodput",
        "p99",
        "refusals a request",
        "control B/s a VM",
    )
    return tables.format_table(columns, rows)
