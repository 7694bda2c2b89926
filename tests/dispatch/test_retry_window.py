"""Retries stay a fixed share of requests, whatever fails."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from zinniastand_core.dispatch import retry_window

SPAN = 2.0


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
        window.add_first(now)
        firsts.append(now)
        for _ in range(wanted):
            if window.spend(now):
                retries.append(now)
                recent = [at for at in retries if at > now - SPAN]
                asked = max(
                    sum(now - SPAN - back < at <= now - back for at in firsts)
                    for back in (0.0, SPAN / 2, SPAN)
                )
                assert len(recent) <= 0.2 * asked + 4.0


def test_retries_that_a_burst_has_earned_are_given_after_it() -> None:
    # Guards against refusing retries in a storm of failures that follows a burst.
    window = retry_window.RetryWindow(0.2, lambda: 0.0, SPAN)
    for number in range(100):
        window.add_first(number * SPAN / 100)
    later = 1.9 * SPAN
    assert window.find_left(later) > 15
    assert window.find_left(3.1 * SPAN) < 1


def test_retry_that_was_not_sent_is_given_back() -> None:
    window = retry_window.RetryWindow(0.0, lambda: 1.0, SPAN)
    assert window.spend(0.0)
    assert not window.spend(0.0)
    window.refund(0.0)
    assert window.spend(0.0)
