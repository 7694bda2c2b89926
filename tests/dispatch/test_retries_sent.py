"""A dispatcher counts retries when they are sent, and only then."""

from __future__ import annotations

import dataclasses
import random

import pytest

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import (
    dispatcher,
    messages,
    retry_estimate,
    retry_ledger,
    shards,
    work_times,
)

SHARD = shards.Shard("desk")
ENTRY = targets.Entry(
    "a", "desk", "127.0.0.1", 80, "a", 1, targets.Phase.READY, 1, 0.0, 1
)
RETRY = messages.SlotRequest(
    "r", SHARD, "write", False, 1, 15.0, 30.0, 2, "a", is_first=False
)


def make_dispatcher(
    retries: float, ratio: float = 0.0
) -> tuple[dispatcher.Dispatcher, retry_estimate.RetryEstimate]:
    ledger = retry_ledger.RetryLedger(ratio, lambda: retries, 10.0)
    estimate = retry_estimate.RetryEstimate(ledger)
    assigner = dispatcher.Dispatcher(work_times.KindTimes(), estimate, random.Random(1))
    assigner.update_targets([ENTRY], 0.0)
    return assigner, estimate


def report(
    assigner: dispatcher.Dispatcher,
    ticket: str,
    outcome: messages.Outcome,
    now: float,
    **changes: bool,
) -> list[messages.Decision]:
    message = messages.Report(ticket, SHARD, "a", outcome, 0.1, "vm-1")
    return assigner.handle_report(dataclasses.replace(message, **changes), now)


def is_granted(decisions: list[messages.Decision], ticket: str) -> bool:
    return any(
        isinstance(decision, messages.Grant) and decision.ticket == ticket
        for decision in decisions
    )


def test_retry_that_waits_counts_from_when_it_is_sent() -> None:
    # Guards against retries that are reserved in one window, wait together, and are
    # sent in a later window that allows retries of its own.
    assigner, estimate = make_dispatcher(retries=1.0)
    assigner.request_slot(dataclasses.replace(RETRY, ticket="first", attempt=1), 0.0)
    assert assigner.request_slot(RETRY, 0.1) == [messages.Wait("r")]
    assert is_granted(report(assigner, "first", messages.Outcome.GOOD, 9.0), "r")
    assert estimate.find_remaining(15.0) < 1.0
    assert estimate.find_remaining(19.2) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("outcome", "left"),
    [
        (messages.Outcome.UNREACHABLE, 1.0),
        (messages.Outcome.UNUSED, 1.0),
        (messages.Outcome.SHED, 0.0),
        (messages.Outcome.MISPLACED, 0.0),
        (messages.Outcome.ABANDONED, 0.0),
        (messages.Outcome.SILENT, 0.0),
    ],
)
def test_retry_that_reached_no_target_is_refunded(
    outcome: messages.Outcome, left: float
) -> None:
    # Guards against a retry budget used up by targets that cannot be reached.
    assigner, estimate = make_dispatcher(retries=1.0)
    assert is_granted(assigner.request_slot(RETRY, 0.0), "r")
    report(assigner, "r", outcome, 0.2)
    assert estimate.find_remaining(0.2) == pytest.approx(left)


def test_retry_that_another_dispatcher_granted_is_not_refunded_here() -> None:
    # Guards against retries refunded by every VM that counts the slot.
    assigner, estimate = make_dispatcher(retries=1.0)
    assigner.adopt_slot(messages.HeldSlot(RETRY, "a"), 0.0)
    report(assigner, "r", messages.Outcome.UNREACHABLE, 0.1)
    assert estimate.find_remaining(0.1) == pytest.approx(1.0)


def test_retry_that_leaves_the_queue_is_released() -> None:
    assigner, estimate = make_dispatcher(retries=1.0)
    assigner.request_slot(dataclasses.replace(RETRY, ticket="first", attempt=1), 0.0)
    assigner.request_slot(RETRY, 0.1)
    report(assigner, "r", messages.Outcome.UNUSED, 0.2)
    assert estimate.find_remaining(0.2) == pytest.approx(1.0)


@pytest.mark.parametrize("attempt", [1, 2])
def test_sending_on_a_second_connection_counts_as_a_retry(attempt: int) -> None:
    # Guards against requests at targets that no dispatcher has granted.
    assigner, estimate = make_dispatcher(retries=4.0)
    assigner.request_slot(dataclasses.replace(RETRY, attempt=attempt), 0.0)
    report(assigner, "r", messages.Outcome.GOOD, 0.2, is_resent=True)
    assert estimate.find_remaining(0.2) == pytest.approx(4.0 - attempt)
