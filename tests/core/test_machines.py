"""The state machines, searched for a broken promise; the same search on every run."""

from __future__ import annotations

import os

import hypothesis
import hypothesis.stateful
import pytest
from machines import claims, floor, heads, plants, retries

EXAMPLES = int(os.environ.get("MACHINE_EXAMPLES", "120"))
STEPS = int(os.environ.get("MACHINE_STEPS", "40"))

MACHINES = [
    claims.ClaimsMachine,
    floor.FloorMachine,
    heads.HeadsMachine,
    retries.RetryMachine,
]


@pytest.mark.parametrize("machine", MACHINES, ids=lambda machine: machine.__name__)
def test_keeps_every_promise(
    machine: type[hypothesis.stateful.RuleBasedStateMachine],
) -> None:
    settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        suppress_health_check=plants.SLOW_IS_FINE,
    )
    hypothesis.stateful.run_state_machine_as_test(machine, settings=settings)
