"""What a dispatcher knows of the retries that are left."""

from __future__ import annotations

import pytest

from zinniastand_core.dispatch import retry_estimate, retry_ledger

SPAN_S = 2.0


def make_estimate(slack: float) -> retry_estimate.RetryEstimate:
    ledger = retry_ledger.RetryLedger(0.2, lambda: slack, SPAN_S, 0.0)
    return retry_estimate.RetryEstimate(ledger)


def test_requests_of_the_first_seconds_allow_retries() -> None:
    # Guards against a new dispatcher that takes no risk until a window has passed.
    estimate = make_estimate(slack=4.0)
    for number in range(100):
        now = number * SPAN_S / 400
        estimate.add_request(now)
        if number % 5 == 4:
            estimate.add_waiting()
            estimate.add_sent(now)
    assert estimate.sent == 20
    assert estimate.find_remaining(0.3 * SPAN_S) >= 1.0


def test_more_retries_than_are_left_are_counted() -> None:
    # Guards against a dispatcher that takes more risks the less it knows.
    estimate = make_estimate(slack=2.0)
    for _ in range(5):
        estimate.add_waiting()
        estimate.add_sent(1.0)
    assert estimate.find_remaining(1.0) == pytest.approx(-3.0)
    assert estimate.find_availability(1.0) == 0.0
    assert estimate.sent == 5


def test_waiting_retries_leave_fewer_to_others() -> None:
    estimate = make_estimate(slack=4.0)
    assert estimate.find_availability(0.0) == 1.0
    for _ in range(3):
        estimate.add_waiting()
    assert estimate.find_availability(0.0) == pytest.approx(0.5)
    estimate.remove_waiting()
    assert estimate.find_remaining(0.0) == pytest.approx(2.0)


def test_retry_that_reached_no_target_is_left_again() -> None:
    estimate = make_estimate(slack=4.0)
    estimate.add_waiting()
    estimate.add_sent(0.5)
    estimate.refund(0.5, 0.9)
    assert estimate.find_remaining(0.9) == pytest.approx(4.0)
    assert (estimate.sent, estimate.returned) == (0, 1)


def test_span_that_changes_leaves_no_second_slack() -> None:
    # Guards against counts that are lost when operators change the bound.
    estimate = make_estimate(slack=3.0)
    for _ in range(3):
        estimate.add_resent(10.0)
    estimate.set_bounds(0.2, 2 * SPAN_S, 10.1)
    assert estimate.find_remaining(10.1) == pytest.approx(0.0)
    assert estimate.find_remaining(10.1 + 3.2 * SPAN_S) == pytest.approx(3.0)
