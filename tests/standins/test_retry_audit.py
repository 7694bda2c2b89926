"""The audit of a service's retries from sent requests and arrivals."""

from __future__ import annotations

import pytest

from zinniastand_standins import retry_audit

BOUND = retry_audit.Bound(ratio=0.2, slack=2.0, span=10.0)


def make_times(begin: float, end: float, rate: float) -> list[float]:
    return [begin + n / rate for n in range(round((end - begin) * rate))]


def test_arrivals_after_the_first_of_a_request_are_retries() -> None:
    arrivals = [(2.0, "a"), (1.0, "a"), (1.5, "b"), (3.0, "a")]
    assert retry_audit.find_retries(arrivals) == [2.0, 3.0]


@pytest.mark.parametrize(
    ("at", "excess"),
    [
        (5.0, 8.0),  # The span itself holds half of the requests.
        (10.0, 3.0),  # The one halfway before it holds three quarters.
        (14.0, 6.0),  # The one before it holds six tenths of them.
        (20.5, 18.0),  # None of the three spans holds any.
    ],
)
def test_busiest_of_three_spans_sets_the_limit(at: float, excess: float) -> None:
    sent = make_times(0.0, 10.0, 10.0)
    retries = [at + n / 1000 for n in range(20)]
    worst = retry_audit.find_worst(sent, retries, BOUND)
    assert worst.excess == pytest.approx(excess, abs=0.5)


def test_burst_across_fixed_span_edges_is_counted_whole() -> None:
    # Guards against examining spans at fixed times only, which split such a burst.
    retries = [9.9 + n / 100 for n in range(20)]
    worst = retry_audit.find_worst([], retries, BOUND)
    assert worst.retries == 20
    assert worst.excess == pytest.approx(18.0)


def test_requests_long_before_a_span_do_not_raise_its_limit() -> None:
    # Guards against examining only spans that end with a retry.
    sent = make_times(0.0, 5.0, 20.0)
    retries = [14.0 + n / 1000 for n in range(20)]
    worst = retry_audit.find_worst(sent, retries, BOUND)
    assert worst.begin > 13.0
    assert worst.excess > 5.0


def test_service_without_retries_stays_below_its_limit() -> None:
    assert retry_audit.find_worst(make_times(0.0, 5.0, 1.0), [], BOUND).excess == -2.0
