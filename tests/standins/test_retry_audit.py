"""Retries of a service, counted from outside."""

from __future__ import annotations

import pytest

from zinniastand_standins import retry_audit

BOUND = retry_audit.Bound(ratio=0.2, slack=2.0, span=10.0)


def send(begin: float, end: float, rate: float) -> list[float]:
    return [begin + n / rate for n in range(round((end - begin) * rate))]


def test_only_arrivals_beyond_the_first_of_a_request_are_retries() -> None:
    arrivals = [(2.0, "a"), (1.0, "a"), (1.5, "b"), (3.0, "a")]
    assert retry_audit.find_retries(arrivals) == [2.0, 3.0]


@pytest.mark.parametrize(
    ("at", "excess"),
    [
        (5.0, 8.0),  # The span that ends here holds half of the requests.
        (10.0, 3.0),  # One that began before holds three quarters of them.
        (14.0, 6.0),  # The one before the span that begins here holds six tenths.
        (20.5, 18.0),  # No span that counts holds any.
    ],
)
def test_requests_of_the_busiest_of_three_spans_allow_retries(
    at: float, excess: float
) -> None:
    sent = send(0.0, 10.0, 10.0)
    retries = [at + n / 1000 for n in range(20)]
    worst = retry_audit.find_worst(sent, retries, BOUND)
    assert worst.excess == pytest.approx(excess, abs=0.5)


def test_retries_around_the_edge_of_a_span_are_seen_together() -> None:
    # Guards against spans at fixed times, each of which holds half of the retries.
    retries = [9.9 + n / 100 for n in range(20)]
    worst = retry_audit.find_worst([], retries, BOUND)
    assert worst.retries == 20
    assert worst.excess == pytest.approx(18.0)


def test_span_that_begins_after_a_burst_is_not_allowed_its_retries() -> None:
    # Guards against looking at spans that end with a retry only.
    sent = send(0.0, 5.0, 20.0)
    retries = [14.0 + n / 1000 for n in range(20)]
    worst = retry_audit.find_worst(sent, retries, BOUND)
    assert worst.begin > 13.0
    assert worst.excess > 5.0


def test_service_without_retries_keeps_its_bound() -> None:
    assert retry_audit.find_worst(send(0.0, 5.0, 1.0), [], BOUND).excess == -2.0
