"""Uses the decisions of the core package without the daemon: one VM, three targets.

The program passes in the time, a random generator and the observed results. The library
opens no sockets; it returns actions, and the program that embeds it performs them.
"""

from __future__ import annotations

import random

from zinniastand_core import attempt_actions, attempts, evidence, router, services

LOOKUP = services.Kind("lookup", services.Work.IDEMPOTENT, time_limit=1.0, weight=1.0)
OBSERVED_ERRORS = 8


def make_service() -> services.Service:
    """Return a service of three targets."""
    targets = tuple(
        services.Target(f"desk-{n}", "127.0.0.1", 8000 + n, "north", 3, False)
        for n in (1, 2, 3)
    )
    return services.Service(
        name="desk",
        floor_slots=3,
        detection_weight=0.8,
        max_in_flight=64,
        max_queue=64,
        echo_header="",
        probe_path="/health",
        not_started=services.NotStartedRule(503, "x-not-started"),
        kinds=(LOOKUP,),
        routes=(),
        targets=targets,
    )


def main() -> None:
    """Report errors of one target; print the weights and the next attempt."""
    now = 0.0
    routing = router.Router(make_service(), random.Random(1), now)
    for _ in range(OBSERVED_ERRORS):
        now += 0.1
        for name in ("desk-1", "desk-2"):
            routing.observe(name, "lookup", evidence.Sign.GOOD, now)
        routing.observe("desk-3", "lookup", evidence.Sign.ERROR, now)
    for weighted_target in routing.weigh(now):
        print(f"{weighted_target.target.name}: weight {weighted_target.weight:.2f}")
    plan = attempts.Plan(LOOKUP, deadline=now + 1.0, chooser=routing)
    for action in plan.start(now):
        if isinstance(action, attempt_actions.Send):
            print(f"send to {action.target.name} by {action.deadline:.1f}")


if __name__ == "__main__":
    main()
