"""State machine test of retry counters of a service that share their counts.

Counters exchange counts, die, and are replaced by empty ones.
"""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import stateful

from zinniastand_core.dispatch import retry_window
from zinniastand_standins import retry_audit

BOUND = retry_audit.Bound(ratio=0.2, slack=40.0, span=4.0)
GRANTED_SLACK_SHARE = 0.65
"""Share of the slack that counters grant, as in the product."""

SEND_THRESHOLD = 0.1 * BOUND.slack
COUNTER_COUNT = 4
MAX_DEATHS = 3
"""Deaths within two spans that the rest of the slack covers."""


class RetryMachine(stateful.RuleBasedStateMachine):
    """Draws requests, retries, pauses and deaths of the counters of one service."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 1_000.0
        self._sent: list[float] = []
        self._retries: list[float] = []
        self._windows_made = 0
        self._died_at: list[float] = []
        self._windows = [self._make_window() for _ in range(COUNTER_COUNT)]

    def _make_window(self) -> retry_window.RetryWindow:
        self._windows_made += 1
        return retry_window.RetryWindow(
            BOUND.ratio,
            lambda: GRANTED_SLACK_SHARE * BOUND.slack,
            BOUND.span,
            str(self._windows_made),
        )

    def _send_counts(self, window: retry_window.RetryWindow, is_whole: bool) -> None:
        for count in window.export_counts(self._now, is_whole):
            for other in self._windows:
                other.merge_counts(count, self._now + 0.001)

    @stateful.rule(number=st.integers(0, COUNTER_COUNT - 1), count=st.integers(1, 30))
    def add_requests(self, number: int, count: int) -> None:
        """Let callers send requests, which one counter records."""
        for _ in range(count):
            self._windows[number].add_request(self._now)
            self._sent.append(self._now)

    @stateful.rule(number=st.integers(0, COUNTER_COUNT - 1), count=st.integers(1, 30))
    def fail(self, number: int, count: int) -> None:
        """Let requests fail at their targets and reserve retries, as far as granted."""
        window = self._windows[number]
        for _ in range(count):
            if not window.reserve(self._now):
                return
            window.spend(self._now)
            self._retries.append(self._now)
            if window.unsent_retries >= SEND_THRESHOLD:
                self._send_counts(window, is_whole=False)

    @stateful.rule(seconds=st.floats(0.05, 1.5))
    def wait(self, seconds: float) -> None:
        """Advance the time by `seconds`; all counters send their counts."""
        self._now += seconds
        for window in self._windows:
            self._send_counts(window, is_whole=True)

    @stateful.rule(number=st.integers(0, COUNTER_COUNT - 1))
    def die(self, number: int) -> None:
        """Replace a counter by an empty one, to which the others send their counts."""
        recent = [at for at in self._died_at if at > self._now - 2 * BOUND.span]
        if len(recent) >= MAX_DEATHS:
            return
        self._died_at = [*recent, self._now]
        self._windows[number] = self._make_window()
        for window in self._windows:
            self._send_counts(window, is_whole=True)

    @stateful.rule(ratio=st.sampled_from([BOUND.ratio]), span=st.just(BOUND.span))
    def configure(self, ratio: float, span: float) -> None:
        """Let operators set the same bounds again."""
        for window in self._windows:
            window.set_bounds(ratio, span, self._now)

    @stateful.invariant()
    def keeps_its_bound(self) -> None:
        """Check that no span holds more retries than the bound allows."""
        worst = retry_audit.find_worst(self._sent, self._retries, BOUND)
        assert worst.excess <= 1e-6, worst
