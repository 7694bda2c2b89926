"""The limit on retries, kept by ledgers that know nothing of each other."""

from __future__ import annotations

import dataclasses
import math

import hypothesis
import pytest
from hypothesis import strategies

from zinniastand_core.dispatch import retry_ledger
from zinniastand_standins import retry_audit

SPAN_S = 10.0
RATIO = 0.2
LOAN_S = 1.0


def make_ledger(slack: float = 0.0, first_request_at: float = -math.inf):
    return retry_ledger.RetryLedger(RATIO, lambda: slack, SPAN_S, first_request_at)


def add_requests(ledger: retry_ledger.RetryLedger, begin: float, count: int) -> None:
    for number in range(count):
        ledger.add_request(begin + number * 0.1)


def spend_all(ledger: retry_ledger.RetryLedger, now: float) -> int:
    count = 0
    while ledger.reserve(1.0, now) and ledger.spend(1.0, now):
        count += 1
    return count


def test_requests_of_the_span_halfway_before_a_window_count() -> None:
    ledger = make_ledger()
    add_requests(ledger, 100.0, 200)
    assert spend_all(ledger, 119.95) == pytest.approx(RATIO * 50, abs=1.0)


def test_new_fleet_may_retry_with_its_first_requests() -> None:
    ledger = make_ledger(slack=2.0, first_request_at=100.0)
    retries = 0
    for second in range(10):
        add_requests(ledger, 100.0 + second, 10)
        retries += spend_all(ledger, 101.0 + second)
    assert retries == pytest.approx(RATIO * 100, abs=3.0)


def test_window_without_requests_has_the_slack_alone() -> None:
    ledger = make_ledger(slack=3.0)
    assert spend_all(ledger, 100.0) == 3
    assert spend_all(ledger, 109.0) == 0
    assert spend_all(ledger, 110.2) == 3


def test_retry_that_waited_too_long_is_not_sent() -> None:
    ledger = make_ledger()
    add_requests(ledger, 100.0, 100)
    assert ledger.reserve(1.0, 109.0)
    assert not ledger.spend(1.0, 140.0)
    assert ledger.find_remaining(140.0) == 0.0


def test_retry_that_reached_no_target_is_refunded() -> None:
    ledger = make_ledger(slack=1.0)
    assert spend_all(ledger, 100.0) == 1
    ledger.refund(1.0, 100.0, 100.5)
    assert spend_all(ledger, 100.5) == 1


def test_retry_lent_counts_until_it_may_not_be_used_any_more() -> None:
    ledger = make_ledger(slack=1.0)
    assert ledger.lend(1.0, LOAN_S, 100.0) == pytest.approx(1.0)
    assert ledger.lend(1.0, LOAN_S, 100.0) == 0.0
    assert spend_all(ledger, 110.9) == 0
    assert spend_all(ledger, 111.2) == 1


def test_loan_for_longer_than_counts_are_kept_is_refused() -> None:
    ledger = make_ledger(slack=5.0)
    assert ledger.lend(1.0, ledger.max_loan_s + 0.1, 100.0) == 0.0


def test_requests_of_unknown_time_allow_no_retries() -> None:
    ledger = make_ledger(slack=1.0, first_request_at=95.0)
    add_requests(ledger, 95.0, 50)
    ledger.discard_requests()
    assert spend_all(ledger, 100.0) == 1


@pytest.mark.parametrize("span", [5.0, 20.0])
def test_another_window_frees_no_retries(span: float) -> None:
    ledger = make_ledger(slack=2.0)
    assert spend_all(ledger, 100.0) == 2
    ledger.set_bounds(RATIO, span, 100.5)
    assert spend_all(ledger, 100.5) == 0
    assert spend_all(ledger, 100.5 + 1.6 * span) == 2


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What happens at one VM after some time."""

    pause: float
    """Seconds since the step before."""

    vm: int
    """Number of the VM."""

    requests: int
    """Requests that it receives."""

    retries_at_all: bool
    """Whether all VMs send as many retries as they may, and not this one alone."""

    borrows_from: int | None
    """VM from which it borrows a retry first."""

    loan_delay: float
    """Seconds after which it sends the retry that it has borrowed."""

    restarts: bool
    """Whether it is killed before, and has started again."""


VM_COUNT = 2
STEPS = strategies.lists(
    strategies.builds(
        Step,
        pause=strategies.sampled_from((0.0, 0.03, 0.3, 1.7, 4.9)),
        vm=strategies.integers(0, VM_COUNT - 1),
        requests=strategies.integers(0, 40),
        retries_at_all=strategies.booleans(),
        borrows_from=strategies.none() | strategies.integers(0, VM_COUNT - 1),
        loan_delay=strategies.floats(0.0, LOAN_S * 0.99),
        restarts=strategies.booleans(),
    ),
    max_size=60,
)


class Fleet:
    """VMs with a ledger each, and what targets get from them."""

    def __init__(self, slack: float, first_request_at: float) -> None:
        self.now = 1000.0
        self._slack = slack
        self._ledgers = [
            make_ledger(slack / VM_COUNT, first_request_at) for _ in range(VM_COUNT)
        ]
        self.sent: list[float] = []
        self.retries: list[float] = []

    def play(self, step: Step) -> None:
        self.now += step.pause
        if step.restarts:
            self._restart(step.vm)
        ledger = self._ledgers[step.vm]
        for _ in range(step.requests):
            ledger.add_request(self.now)
            self.sent.append(self.now)
        if step.borrows_from not in (None, step.vm):
            lender = self._ledgers[step.borrows_from]
            if lender.lend(1.0, LOAN_S, self.now) >= 1.0 - retry_ledger.TOLERANCE:
                self.retries.append(self.now + step.loan_delay)
        for each in self._ledgers if step.retries_at_all else [ledger]:
            self.retries += [self.now] * spend_all(each, self.now)

    def _restart(self, vm: int) -> None:
        has_slack_from = self.now + SPAN_S
        self._ledgers[vm] = retry_ledger.RetryLedger(
            RATIO,
            lambda: self._slack / VM_COUNT if self.now >= has_slack_from else 0.0,
            SPAN_S,
        )


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    steps=STEPS, slack=strategies.sampled_from((0.0, 6.0, 20.0)), is_new=...
)
def test_ledgers_that_know_nothing_of_each_other_keep_the_limit_together(
    steps: list[Step], slack: float, is_new: bool
) -> None:
    # Guards against retries beyond the limit after kills, loans and changing loads.
    fleet = Fleet(slack, 1000.0 if is_new else -math.inf)
    for step in steps:
        fleet.play(step)
    bound = retry_audit.Bound(RATIO, slack, SPAN_S)
    worst = retry_audit.find_worst(fleet.sent, fleet.retries, bound)
    assert worst.excess <= retry_ledger.TOLERANCE, worst
