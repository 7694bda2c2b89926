"""Runs the state machines; each run searches the same examples."""

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
    heads.ChainMachine,
    retries.RetryMachine,
]


@pytest.mark.parametrize("machine", MACHINES, ids=lambda machine: machine.__name__)
def test_machine_finds_no_broken_invariant(
    machine: type[hypothesis.stateful.RuleBasedStateMachine],
) -> None:
    settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        suppress_health_check=plants.SUPPRESSED_HEALTH_CHECKS,
    )
    hypothesis.stateful.run_state_machine_as_test(machine, settings=settings)
