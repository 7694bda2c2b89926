"""Retries stay a fixed share of requests, whatever fails."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from zinniastand_core.dispatch import retry_window


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 5)), min_size=1, max_size=80)
)
def test_no_window_of_time_holds_more_than_its_share(
    steps: list[tuple[float, int]],
) -> None:
    window = retry_window.RetryWindow(0.2, lambda: 4.0, 2.0)
    now, firsts, retries = 0.0, [], []
    for pause, wanted in steps:
        now += pause
        window.add_first(now)
        firsts.append(now)
        for _ in range(wanted):
            if window.spend(now):
                retries.append(now)
                recent = [at for at in retries if at > now - 2.0]
                asked = [at for at in firsts if at > now - 2.0]
                assert len(recent) <= 0.2 * len(asked) + 4.0
