"""Steering and admission: which targets get work, and which requests are admitted."""

from __future__ import annotations

import random

from zinniastand_core import admission, evidence, router, services, steering

KINDS = (
    services.Kind("lookup", services.Work.IDEMPOTENT, 1.0, 1.0),
    services.Kind("order", services.Work.AT_MOST_ONCE, 1.0, 5.0),
)


def make_service(count: int = 6, floor: int = 9) -> services.Service:
    """Return a service of targets with three slots each."""
    targets = tuple(
        services.Target(f"t{n}", "127.0.0.1", 1000 + n, "dc", 3, False)
        for n in range(count)
    )
    rule = services.NotStartedRule(503, "x-not-started")
    return services.Service(
        "desk", floor, 0.5, 64, 64, "", "/health", rule, KINDS, (), targets
    )


def make_router(count: int = 6, floor: int = 9) -> router.Router:
    """Return a router with a fixed seed."""
    return router.Router(make_service(count, floor), random.Random(1), 0.0)


def choose_many(routing: router.Router, kind: services.Kind, now: float) -> list[str]:
    """Return the names of the targets chosen in a thousand choices."""
    found = [routing.choose(kind, set(), now) for _ in range(1000)]
    return [target.name for target in found if target is not None]


def fail(routing: router.Router, target: str, times: int, now: float) -> None:
    """Record `times` errors of one target, and as many good answers of the others."""
    for _ in range(times):
        for other in routing.service.targets:
            sign = evidence.Sign.GOOD
            if other.name == target:
                sign = evidence.Sign.ERROR
            routing.observe(other.name, "lookup", sign, now)


def test_a_failing_target_gets_few_lookups_and_no_orders() -> None:
    routing = make_router()
    fail(routing, "t0", 10, 1.0)
    share = choose_many(routing, KINDS[0], 1.0).count("t0") / 1000
    assert 0.0 < share < 0.05
    assert "t0" not in choose_many(routing, KINDS[1], 1.0)


def test_the_floor_keeps_its_weight_when_every_target_looks_bad() -> None:
    # A VM behind a bad link sees failures everywhere. The targets with the lowest
    # scores, up to the floor, keep their whole weight, so that work goes on.
    conditions = [
        steering.Condition(target, 5.0, 1.0) for target in make_service().targets
    ]
    weighted = steering.calculate_weights(conditions, floor_slots=9)
    assert sum(item.weight == 1.0 for item in weighted) == 3


def test_a_leaving_target_gets_no_work_from_then_on() -> None:
    routing = make_router()
    choose_many(routing, KINDS[0], 1.0)
    routing.mark_leaving("t2", 1.0)
    assert "t2" not in choose_many(routing, KINDS[0], 1.0)


def test_a_readmitted_target_starts_cold() -> None:
    routing = make_router()
    routing.set_ejected({"t1"}, 1.0)
    assert "t1" not in choose_many(routing, KINDS[0], 2.0)
    routing.set_ejected(set(), 3.0)
    soon = choose_many(routing, KINDS[0], 3.1).count("t1")
    later = choose_many(routing, KINDS[0], 30.0).count("t1")
    assert soon < 0.6 * later


def test_heavier_work_is_admitted_first_and_work_too_late_is_refused() -> None:
    admissions = admission.Admission(1, 10)
    admissions.enter(admission.Ticket(1, 1.0, 10.0), 0.0)
    admissions.enter(admission.Ticket(2, 1.0, 10.0), 0.0)
    admissions.enter(admission.Ticket(3, 5.0, 10.0), 0.0)
    (admitted,) = admissions.leave(1.0, 1.0)
    assert admitted.ticket.number == 3
    verdicts = admissions.enter(admission.Ticket(4, 5.0, 1.5), 1.0)
    assert [v.entry for v in verdicts if v.ticket.number == 4] == [
        admission.Entry.REFUSED
    ]


def test_a_full_queue_drops_the_last_of_the_lightest_requests() -> None:
    admissions = admission.Admission(1, 2)
    for number, weight in ((1, 1.0), (2, 1.0), (3, 1.0)):
        admissions.enter(admission.Ticket(number, weight, 10.0), 0.0)
    verdicts = admissions.enter(admission.Ticket(4, 5.0, 10.0), 0.0)
    refused = [v.ticket.number for v in verdicts if v.entry is admission.Entry.REFUSED]
    assert refused == [3]
