"""Planted bugs that the state machines must detect.

Each plant disables one safeguard of the code under test. A machine that still passes
does not check what that safeguard protects.
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
from zinniastand_core.dispatch import retry_ledger

EXAMPLES = 2000
STEPS = 40

SUPPRESSED_HEALTH_CHECKS = (
    hypothesis.HealthCheck.too_slow,
    hypothesis.HealthCheck.data_too_large,
    hypothesis.HealthCheck.filter_too_much,
)

Machine = type[hypothesis.stateful.RuleBasedStateMachine]


@dataclasses.dataclass(frozen=True, slots=True)
class Plant:
    """One planted bug."""

    name: str
    """What the bug does, in words."""

    machine: Machine
    """State machine that must detect the bug."""

    owner: typing.Any
    """Module or class to patch."""

    attribute: str
    """Name of the attribute to replace in `owner`."""

    replacement: typing.Any
    """Faulty replacement of the attribute."""

    also: tuple[tuple[typing.Any, str, typing.Any], ...] = ()
    """Further patches, for a bug that another safeguard would hide."""


def _ignore_start_deadline(
    plan: typing.Any, now: float
) -> list[attempt_actions.Action]:
    plan._start_deadline = plan._deadline + 1000.0
    return _SEND_NEXT(plan, now)


def _treat_loss_as_not_run(
    plan: typing.Any, attempt: int, failure: attempt_actions.Failure, now: float
) -> list[attempt_actions.Action]:
    lost = (attempt_actions.Failure.SILENT, attempt_actions.Failure.CUT)
    reported = attempt_actions.Failure.NOT_HANDED if failure in lost else failure
    return _HANDLE_FAILURE(plan, attempt, reported, now)


def _treat_append_as_ownership(
    seeker: typing.Any, batch: int, offset: int, now: float
) -> list[claimer.Action]:
    return _HANDLE_APPENDED(seeker, batch, seeker.next_offset, now)


def _ignore_base(
    bundle_chain: typing.Any, proposal: proposals.Proposal
) -> chain.Ruling:
    if proposal.version >= bundle_chain.version:
        return bundle_chain._rule_on_next(proposal)
    return _APPLY_PROPOSAL(bundle_chain, proposal)


def _find_no_objection(
    ledger: typing.Any, ejection: typing.Any, service: typing.Any
) -> str:
    return ""


def _ignore_floor(ledger: typing.Any, service: typing.Any, now: float) -> set[str]:
    return {e.target for e in ledger.list_granted() if e.deadline > now}


def _count_unverified(proposal: proposals.Proposal, operators: typing.Any) -> int:
    return len(proposal.sign_offs)


def _apply_any_snapshot(
    bundle_chain: typing.Any, snapshot: chain.Snapshot
) -> chain.Ruling:
    bundle_chain._version = min(bundle_chain._version, snapshot.head.version - 1)
    return _APPLY_SNAPSHOT(bundle_chain, snapshot)


def _find_headroom_in_last_window(ledger: typing.Any, begins: range) -> float:
    return _FIND_HEADROOM(ledger, range(begins.start, begins.start + 1))


def _lend_without_counting(
    ledger: typing.Any, amount: float, lifetime: float, now: float
) -> float:
    return min(amount, max(0.0, ledger.find_remaining(now)))


_FIND_HEADROOM = retry_ledger.RetryLedger._find_headroom
_SEND_NEXT = attempts.Plan._send_next
_HANDLE_FAILURE = attempts.Plan.handle_failure
_HANDLE_APPENDED = claimer.Claimer.handle_appended
_APPLY_PROPOSAL = chain.Chain.apply_proposal
_APPLY_SNAPSHOT = chain.Chain._apply_snapshot

PLANTS = (
    Plant(
        "a VM does not count what it lends",
        retries.RetryMachine,
        retry_ledger.RetryLedger,
        "lend",
        _lend_without_counting,
    ),
    Plant(
        "retries are bounded only in the window that ends now",
        retries.RetryMachine,
        retry_ledger.RetryLedger,
        "_find_headroom",
        _find_headroom_in_last_window,
    ),
    Plant(
        "the start deadline is dropped",
        claims.ClaimsMachine,
        attempts.Plan,
        "_send_next",
        _ignore_start_deadline,
    ),
    Plant(
        "a lost answer counts as not run",
        claims.ClaimsMachine,
        attempts.Plan,
        "handle_failure",
        _treat_loss_as_not_run,
    ),
    Plant(
        "at-most-once work is retried after a lost answer",
        claims.ClaimsMachine,
        attempts.Plan,
        "_may_run_again",
        lambda plan: True,
    ),
    Plant(
        "the answer to an append is treated as ownership",
        claims.ClaimsMachine,
        claimer.Claimer,
        "handle_appended",
        _treat_append_as_ownership,
    ),
    Plant(
        "a proposal on a stale base is applied",
        heads.ChainMachine,
        chain.Chain,
        "apply_proposal",
        _ignore_base,
    ),
    Plant(
        "sign-offs are counted, not verified",
        heads.ChainMachine,
        proposals,
        "count_sign_offs",
        _count_unverified,
    ),
    Plant(
        "an old snapshot restores an old bundle",
        heads.ChainMachine,
        chain.Chain,
        "_apply_snapshot",
        _apply_any_snapshot,
    ),
    Plant(
        "neither the grants nor the VMs respect the floor",
        floor.FloorMachine,
        ejections.EjectionLedger,
        "list_ejected",
        _ignore_floor,
        also=((ejections.EjectionLedger, "find_objection", _find_no_objection),),
    ),
    Plant(
        "slots are released at the moment when a lease ends",
        floor.FloorMachine,
        ejections,
        "HOLD_AFTER_DEADLINE_S",
        -2 * ejections.MAX_CLOCK_ERROR_S,
    ),
)


def is_caught(plant: Plant) -> bool:
    """Return whether the machine fails while the bug is in place."""
    settings = hypothesis.settings(
        derandomize=False,
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        suppress_health_check=SUPPRESSED_HEALTH_CHECKS,
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
    """Print which plants are detected; return 1 if any is missed, otherwise 0."""
    missed = 0
    for plant in PLANTS:
        caught = is_caught(plant)
        missed += not caught
        print(f"{'caught' if caught else 'MISSED':8} {plant.name}", flush=True)
    print(f"{len(PLANTS) - missed} of {len(PLANTS)} caught")
    return 1 if missed else 0
