"""Counters of a service that tell each other, die and begin anew."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import stateful

from zinniastand_core.dispatch import retry_window
from zinniastand_standins import retry_audit

BOUND = retry_audit.Bound(ratio=0.2, slack=40.0, span=4.0)
SHARE = 0.65
"""Share of the slack that counters give out, as in the product."""

UNTOLD = 0.1 * BOUND.slack
COUNTERS = 4
MOST_DEATHS = 3
"""Deaths within two spans for which the slack that is left suffices."""


class RetryMachine(stateful.RuleBasedStateMachine):
    """Draws what happens to the counters of one service."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 1_000.0
        self._sent: list[float] = []
        self._retries: list[float] = []
        self._names = 0
        self._deaths: list[float] = []
        self._windows = [self._begin() for _ in range(COUNTERS)]

    def _begin(self) -> retry_window.RetryWindow:
        self._names += 1
        return retry_window.RetryWindow(
            BOUND.ratio, lambda: SHARE * BOUND.slack, BOUND.span, str(self._names)
        )

    def _tell(self, window: retry_window.RetryWindow, is_whole: bool) -> None:
        for count in window.export_counts(self._now, is_whole):
            for other in self._windows:
                other.merge_counts(count, self._now + 0.001)

    @stateful.rule(which=st.integers(0, COUNTERS - 1), count=st.integers(1, 30))
    def ask(self, which: int, count: int) -> None:
        """Let callers send requests, which one counter takes in."""
        for _ in range(count):
            self._windows[which].add_request(self._now)
            self._sent.append(self._now)

    @stateful.rule(which=st.integers(0, COUNTERS - 1), count=st.integers(1, 30))
    def fail(self, which: int, count: int) -> None:
        """Let requests fail at their targets and ask for others."""
        window = self._windows[which]
        for _ in range(count):
            if not window.reserve(self._now):
                return
            window.spend(self._now)
            self._retries.append(self._now)
            if window.unsent_retries >= UNTOLD:
                self._tell(window, is_whole=False)

    @stateful.rule(seconds=st.floats(0.05, 1.5))
    def wait(self, seconds: float) -> None:
        """Let time pass; all tell what they know."""
        self._now += seconds
        for window in self._windows:
            self._tell(window, is_whole=True)

    @stateful.rule(which=st.integers(0, COUNTERS - 1))
    def die(self, which: int) -> None:
        """Let a counter die, and another begin that the others tell what they know."""
        recent = [at for at in self._deaths if at > self._now - 2 * BOUND.span]
        if len(recent) >= MOST_DEATHS:
            return
        self._deaths = [*recent, self._now]
        self._windows[which] = self._begin()
        for window in self._windows:
            self._tell(window, is_whole=True)

    @stateful.rule(ratio=st.sampled_from([BOUND.ratio]), span=st.just(BOUND.span))
    def configure(self, ratio: float, span: float) -> None:
        """Let operators write the same bounds again."""
        for window in self._windows:
            window.set_bounds(ratio, span, self._now)

    @stateful.invariant()
    def keeps_its_bound(self) -> None:
        """No span holds more retries than the service may get."""
        worst = retry_audit.find_worst(self._sent, self._retries, BOUND)
        assert worst.excess <= 1e-6, worst
