"""Planted bugs, each of which a state machine has to catch.

A machine that cannot fail proves nothing. Each plant breaks one safeguard.
"""

from __future__ import annotations

import contextlib
import dataclasses
import typing
import unittest.mock

import hypothesis
import hypothesis.stateful

from machines import claims, floor, heads, retries
from zinniastand_core import (
    attempt_actions,
    attempts,
    chain,
    claimer,
    ejections,
    proposals,
)
from zinniastand_core.dispatch import retry_window

EXAMPLES = 2000
STEPS = 40

SLOW_IS_FINE = (
    hypothesis.HealthCheck.too_slow,
    hypothesis.HealthCheck.data_too_large,
    hypothesis.HealthCheck.filter_too_much,
)

Machine = type[hypothesis.stateful.RuleBasedStateMachine]


@dataclasses.dataclass(frozen=True, slots=True)
class Plant:
    """One planted bug."""

    name: str
    """What is broken."""

    machine: Machine
    """Who has to catch it."""

    owner: typing.Any
    """Module or class that is patched."""

    attribute: str
    """What is replaced in it."""

    replacement: typing.Any
    """The bug."""

    also: tuple[tuple[typing.Any, str, typing.Any], ...] = ()
    """A second safeguard that has to fall for the first to matter."""


def _forget_start_deadline(
    plan: typing.Any, now: float
) -> list[attempt_actions.Action]:
    plan._start_deadline = plan._deadline + 1000.0
    return _SEND_NEXT(plan, now)


def _take_loss_for_not_run(
    plan: typing.Any, attempt: int, failure: attempt_actions.Failure, now: float
) -> list[attempt_actions.Action]:
    lost = (attempt_actions.Failure.SILENT, attempt_actions.Failure.CUT)
    taken = attempt_actions.Failure.NOT_HANDED if failure in lost else failure
    return _TAKE_FAILURE(plan, attempt, taken, now)


def _trust_acknowledgement(
    seeker: typing.Any, batch: int, offset: int, now: float
) -> list[claimer.Action]:
    return _TAKE_APPENDED(seeker, batch, seeker.next_offset, now)


def _ignore_base(own: typing.Any, proposal: proposals.Proposal) -> chain.Ruling:
    if proposal.version >= own.version:
        return own._rule_on_next(proposal)
    return _APPLY_PROPOSAL(own, proposal)


def _never_object(ledger: typing.Any, ejection: typing.Any, service: typing.Any) -> str:
    return ""


def _ignore_floor(ledger: typing.Any, service: typing.Any, now: float) -> set[str]:
    return {e.target for e in ledger.list_granted() if e.deadline > now}


def _count_everybody(proposal: proposals.Proposal, operators: typing.Any) -> int:
    return len(proposal.sign_offs)


def _take_any_snapshot(own: typing.Any, snapshot: chain.Snapshot) -> chain.Ruling:
    own._version = min(own._version, snapshot.head.version - 1)
    return _APPLY_SNAPSHOT(own, snapshot)


def _look_at_the_last_span(
    window: typing.Any, requests: list[int], spent: list[int]
) -> float:
    parts = retry_window.BUCKETS_PER_WINDOW
    busiest = max(sum(requests[-parts:]), sum(requests[:parts]))
    return retries.BOUND.ratio * busiest - sum(spent[-parts:])


_SEND_NEXT = attempts.Plan._send_next
_TAKE_FAILURE = attempts.Plan.take_failure
_TAKE_APPENDED = claimer.Claimer.take_appended
_APPLY_PROPOSAL = chain.Chain.apply_proposal
_APPLY_SNAPSHOT = chain.Chain._apply_snapshot

PLANTS = (
    Plant(
        "a counter does not take in what others have given out",
        retries.RetryMachine,
        retry_window.RetryWindow,
        "merge_counts",
        lambda window, count, now: None,
    ),
    Plant(
        "retries are bounded in the span that ends now alone",
        retries.RetryMachine,
        retry_window.RetryWindow,
        "_find_room",
        _look_at_the_last_span,
    ),
    Plant(
        "the start deadline is dropped",
        claims.ClaimsMachine,
        attempts.Plan,
        "_send_next",
        _forget_start_deadline,
    ),
    Plant(
        "a lost answer counts as not run",
        claims.ClaimsMachine,
        attempts.Plan,
        "take_failure",
        _take_loss_for_not_run,
    ),
    Plant(
        "at-most-once work is retried after a lost answer",
        claims.ClaimsMachine,
        attempts.Plan,
        "_may_run_again",
        lambda plan: True,
    ),
    Plant(
        "an append's answer is taken for ownership",
        claims.ClaimsMachine,
        claimer.Claimer,
        "take_appended",
        _trust_acknowledgement,
    ),
    Plant(
        "a stale base is applied",
        heads.HeadsMachine,
        chain.Chain,
        "apply_proposal",
        _ignore_base,
    ),
    Plant(
        "sign-offs are counted, not verified",
        heads.HeadsMachine,
        proposals,
        "count_sign_offs",
        _count_everybody,
    ),
    Plant(
        "an old snapshot brings an old bundle back",
        heads.HeadsMachine,
        chain.Chain,
        "_apply_snapshot",
        _take_any_snapshot,
    ),
    Plant(
        "neither the grants nor the VMs keep the floor",
        floor.FloorMachine,
        ejections.EjectionLedger,
        "list_ejected",
        _ignore_floor,
        also=((ejections.EjectionLedger, "find_objection", _never_object),),
    ),
    Plant(
        "slots are free again the moment a lease ends",
        floor.FloorMachine,
        ejections,
        "HOLD_AFTER_DEADLINE_S",
        -2 * ejections.MAX_CLOCK_ERROR_S,
    ),
)


def is_caught(plant: Plant) -> bool:
    """Return whether the machine fails with the bug in place."""
    settings = hypothesis.settings(
        derandomize=False,
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        suppress_health_check=SLOW_IS_FINE,
        phases=(hypothesis.Phase.generate,),
        report_multiple_bugs=False,
    )
    patches = ((plant.owner, plant.attribute, plant.replacement), *plant.also)
    with contextlib.ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stdout(None))
        for owner, attribute, replacement in patches:
            patch = unittest.mock.patch.object(owner, attribute, replacement)
            stack.enter_context(patch)
        try:
            hypothesis.stateful.run_state_machine_as_test(
                plant.machine, settings=settings
            )
        except AssertionError:
            return True
    return False


def main() -> int:
    """Print which plants are caught; return 1 where one is missed."""
    missed = 0
    for plant in PLANTS:
        caught = is_caught(plant)
        missed += not caught
        print(f"{'caught' if caught else 'MISSED':8} {plant.name}", flush=True)
    print(f"{len(PLANTS) - missed} of {len(PLANTS)} caught")
    return 1 if missed else 0
