"""Retries stay within a fixed share of requests, whatever fails."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from zinniastand_core.dispatch import retry_window
from zinniastand_standins import retry_audit

SPAN = 2.0


def find_own() -> retry_window.CountScope:
    return retry_window.CountScope.OWN


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 5)), min_size=1, max_size=80)
)
def test_no_window_of_time_holds_more_than_its_share(
    steps: list[tuple[float, int]],
) -> None:
    window = retry_window.RetryWindow(0.2, lambda: 4.0, SPAN)
    now, firsts, retries = 0.0, [], []
    for pause, wanted in steps:
        now += pause
        window.add_request(now)
        firsts.append(now)
        for _ in range(wanted):
            if window.reserve(now):
                window.spend(now)
                retries.append(now)
                recent = [at for at in retries if at > now - SPAN]
                asked = max(
                    sum(now - SPAN - back < at <= now - back for at in firsts)
                    for back in (0.0, SPAN / 2, SPAN)
                )
                assert len(recent) <= 0.2 * asked + 4.0


@pytest.mark.parametrize(("after", "least"), [(0.1, 13.0), (0.4, 10.0), (0.5, 8.0)])
def test_retries_that_a_burst_has_earned_are_granted_after_it(
    after: float, least: float
) -> None:
    # Guards against refusing retries in a series of failures that follows a burst, and
    # against granting those that no window around the failures allows.
    window = retry_window.RetryWindow(0.2, lambda: 0.0, SPAN)
    firsts = [number * SPAN / 100 for number in range(100)]
    for at in firsts:
        window.add_request(at)
    later = (1.0 + after) * SPAN
    retries: list[float] = []
    while window.reserve(later):
        window.spend(later)
        retries.append(later)
    assert len(retries) >= least
    bound = retry_audit.Bound(0.2, 0.0, SPAN)
    assert retry_audit.find_worst(firsts, retries, bound).excess <= 0.0
    one_more = [*retries, later, later]
    assert retry_audit.find_worst(firsts, one_more, bound).excess > 0.0


def test_retry_that_was_not_sent_can_be_reserved_again() -> None:
    window = retry_window.RetryWindow(0.0, lambda: 1.0, SPAN)
    assert window.reserve(0.0)
    assert not window.reserve(0.0)
    window.release()
    assert window.reserve(0.0)
    window.spend(0.1)
    assert not window.reserve(0.2)
    window.refund(0.1, 0.2)
    assert window.reserve(0.2)


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.integers(0, 2), st.integers(0, 9)),
        min_size=1,
        max_size=80,
    )
)
def test_counters_that_exchange_counts_keep_the_bound_of_one(
    steps: list[tuple[float, int, int]],
) -> None:
    # Guards against dispatchers of a service, side by side or one after the other, that
    # each grant the retries of all.
    windows = [
        retry_window.RetryWindow(0.2, lambda: 4.0, SPAN, str(n)) for n in range(3)
    ]
    now, firsts, retries = 100.0, [], []
    for pause, which, wanted in steps:
        now += pause
        window = windows[which]
        for _ in range(3):
            window.add_request(now)
            firsts.append(now)
        for _ in range(wanted):
            if window.reserve(now):
                window.spend(now)
                retries.append(now)
        for other in windows:
            for count in window.export_counts(now, is_whole=False):
                other.merge_counts(count, now)
    bound = retry_audit.Bound(0.2, 4.0, SPAN)
    assert retry_audit.find_worst(firsts, retries, bound).excess <= 1e-6


def test_new_counter_receives_counts_of_those_that_are_gone() -> None:
    # Guards against counts that are lost with the VM that made them.
    first, second, third = (
        retry_window.RetryWindow(0.2, lambda: 0.0, SPAN, name) for name in "abc"
    )
    for n in range(100):
        first.add_request(n * SPAN / 100)
    first.charge(SPAN)
    for count in first.export_counts(SPAN, is_whole=True):
        second.merge_counts(count, SPAN)
    for count in second.export_counts(SPAN + 0.1, is_whole=True):
        third.merge_counts(count, SPAN + 0.1)
    known = first.find_remaining(SPAN + 0.1)
    assert known > 12.0
    assert third.find_remaining(SPAN + 0.1) == pytest.approx(known, abs=0.5)


def test_counts_received_twice_count_once() -> None:
    first, second = (
        retry_window.RetryWindow(0.2, lambda: 5.0, SPAN, name) for name in "ab"
    )
    first.charge(0.0)
    for count in first.export_counts(0.0, is_whole=True) * 3:
        second.merge_counts(count, 0.01)
    assert second.find_remaining(0.01) == pytest.approx(4.0)


def test_counter_that_decides_alone_uses_no_counts_of_others() -> None:
    # Guards against VMs cut off from each other that each spend what the requests of
    # all have earned.
    first = retry_window.RetryWindow(0.2, lambda: 0.0, SPAN, "a")
    alone = retry_window.RetryWindow(0.2, lambda: 0.0, SPAN, "b", find_own)
    for _ in range(100):
        first.add_request(0.0)
    for count in first.export_counts(0.0, is_whole=True):
        alone.merge_counts(count, 0.0)
    assert alone.find_remaining(1.0) < 1.0


def test_retry_of_a_waiting_request_counts_until_it_is_sent() -> None:
    # Guards against retries that are reserved in one window and sent in the next.
    window = retry_window.RetryWindow(0.0, lambda: 1.0, SPAN)
    assert window.reserve(0.0)
    assert not window.reserve(1.5 * SPAN)
    window.spend(1.5 * SPAN)
    assert not window.reserve(2.4 * SPAN)
    assert window.reserve(2.6 * SPAN)


def test_span_that_changes_gives_no_second_slack() -> None:
    # Guards against counts that are lost when operators change the bound.
    window = retry_window.RetryWindow(0.2, lambda: 3.0, SPAN)
    for _ in range(3):
        window.charge(10.0)
    window.set_bounds(0.2, 2 * SPAN, 10.1)
    assert window.find_remaining(10.1) == pytest.approx(0.0)
    assert window.find_remaining(10.1 + 2.1 * SPAN) == pytest.approx(3.0)


def test_counts_are_merged_once_though_the_span_changes() -> None:
    # Guards against requests that earn retries once for the bucket numbers of each
    # window.
    first, second = (
        retry_window.RetryWindow(0.2, lambda: 0.0, SPAN, name) for name in "ab"
    )
    for number in range(100):
        first.add_request(10.0 + number / 100)
    for count in first.export_counts(11.1, is_whole=True):
        second.merge_counts(count, 11.1)
    before = second.find_remaining(11.2)
    first.set_bounds(0.2, 2 * SPAN, 11.2)
    for count in first.export_counts(11.2, is_whole=True):
        second.merge_counts(count, 11.2)
    assert second.find_remaining(11.2) == pytest.approx(before)
