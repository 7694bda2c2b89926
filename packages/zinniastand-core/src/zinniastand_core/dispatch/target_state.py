"""One target as its dispatcher sees it: slots in use, pauses and estimates."""

from __future__ import annotations

import dataclasses
import math

from ..deployment import targets
from . import failure_estimates, rate_limit, work_times

TRIAL_INTERVAL_SHARE = 0.06
"""Interval between two trials of one target, as a share of the mean duration of a
failure: more frequent trials cost retries and reveal nothing new."""

MIN_TRIAL_INTERVAL_S = 0.15
"""Minimum seconds between two trials of a target."""

MAX_TRIAL_INTERVAL_S = 1.0
"""Maximum seconds between two trials of a target."""

MIN_EXPECTED_S = 0.02
"""Minimum of the expected duration of work in seconds, where it is a divisor: a round
trip."""

IDLE_AFTER_S = 1.0
"""Seconds without a new grant after which a target counts as idle."""

COLD_SLOWNESS = 2.0
"""Factor by which the slowness of a target is multiplied until it has warmed up."""

SHED_PAUSE_S = 0.1
"""Seconds for which a target that turned work away gets none: about the time in which
one of its slots becomes free."""

UNREACHABLE_PAUSE_S = 1.0
"""Seconds for which a target that several VMs cannot reach gets no work, unless a VM
gets an answer of it."""

MISPLACED_PAUSE_S = 3.0
"""Seconds for which a target gets no work after another target answered at its address.
By then its entry has been removed, or it has registered its new address."""

ESTIMATE_CACHE_S = 0.05
"""Seconds for which the estimates of a target are cached while there is no new
observation; they decay by less than a hundredth in that time."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningRequest:
    """A request that a target works on."""

    granted_at: float
    """When its slot was granted."""

    expected: float
    """Seconds that it is expected to take."""


class TargetState:
    """State and estimates of one target.

    Parameters
    ----------
    entry : targets.Entry
        The target's registration.
    rates : failure_estimates.FailureRates
        Failure rates of its service.
    now : float
        Seconds of a monotonic clock, as in all methods.
    failing : float
        Initial probability that it is failing.
    uses_silence : bool, optional
        Whether requests that run for long raise its failing probability.
    """

    def __init__(
        self,
        entry: targets.Entry,
        rates: failure_estimates.FailureRates,
        now: float,
        failing: float = failure_estimates.NEW_TARGET_FAILING_PROBABILITY,
        uses_silence: bool = True,
    ) -> None:
        self._uses_silence = uses_silence
        self.entry = entry
        self.failure_estimate = failure_estimates.FailureEstimate(rates, now, failing)
        self.slowness = work_times.Slowness(now)
        self._running: dict[str, _RunningRequest] = {}
        self.limit: rate_limit.RateLimit | None = None
        self._unlimited_at = -math.inf
        self._granted_at = now
        self._paused_until = 0.0
        self._next_trial_at = 0.0
        self._unreachable_until = 0.0
        self._estimates_valid_until = 0.0
        self._request_failure_probability = 0.0
        self._failing_probability = 0.0
        self._slowness = 1.0

    def is_free(self, now: float) -> bool:
        """Return whether it can take one more request now."""
        if self.limit is not None and not self.limit.allows_request(now):
            return False
        return self.in_flight < self.entry.slots and now >= self._find_pause_end()

    @property
    def in_flight(self) -> int:
        """Number of its slots in use."""
        return len(self._running)

    def lift_limit(self, sent_at: float) -> None:
        """Lift the limit, as the answer to a request sent at `sent_at` announces none.

        Reports come from many VMs and may arrive out of order. A limit is therefore
        lifted only by a request that was sent after it was last announced.
        """
        if self.limit is None or sent_at >= self.limit.announced_at:
            self.limit = None
            self._unlimited_at = max(self._unlimited_at, sent_at)

    def may_have_limit(self, announced_at: float) -> bool:
        """Return whether a limit announced at that time may still be in force."""
        return self.limit is None and announced_at > self._unlimited_at

    def count_working_slots(self, mean: float) -> float:
        """Return its slots that work of this mean duration in seconds can use."""
        if self.limit is None:
            return self.entry.slots
        return min(self.entry.slots, self.limit.rate * mean)

    def is_usable(self, now: float) -> bool:
        """Return whether it accepts work now or after a short pause."""
        return self._find_pause_end() - now <= SHED_PAUSE_S

    def _find_pause_end(self) -> float:
        return max(self._paused_until, self._unreachable_until)

    def find_request_failure_probability(self, now: float) -> float:
        """Return the probability that it fails a request sent now."""
        self._update_estimates(now)
        return self._request_failure_probability

    def find_failing_probability(self, now: float) -> float:
        """Return the probability that it is failing."""
        self._update_estimates(now)
        return self._failing_probability

    def find_slowness(self, now: float) -> float:
        """Return how many times longer than usual its work takes."""
        self._update_estimates(now)
        return self._slowness

    def update_failure_estimate(
        self, failed: bool, now: float, is_silent: bool = False
    ) -> None:
        """Update the failing probability by one outcome."""
        self.failure_estimate.record_outcome(failed, now, is_silent)
        self._estimates_valid_until = 0.0

    def record_slowness(self, ratio: float, now: float) -> None:
        """Record that work took `ratio` times the usual duration."""
        self.slowness.add(ratio, now)
        self._estimates_valid_until = 0.0

    def record_overdue(self, ratio: float, now: float) -> None:
        """Record that unfinished work takes at least `ratio` times the usual."""
        self.slowness.raise_to(ratio, now)
        self._estimates_valid_until = 0.0

    def set_estimates(self, failing: float, slowness: float, now: float) -> None:
        """Set the estimates to those of another dispatcher."""
        self.failure_estimate.set_failing_probability(failing, now)
        self.slowness.set(slowness, now)
        self._estimates_valid_until = 0.0

    def _update_estimates(self, now: float) -> None:
        if now < self._estimates_valid_until:
            return
        self._estimates_valid_until = now + ESTIMATE_CACHE_S
        failing = self.failure_estimate.find_failing_probability(now)
        if self._uses_silence and self._running:
            failing = self.failure_estimate.weigh_silence(
                failing,
                (
                    (now - running.granted_at) / max(MIN_EXPECTED_S, running.expected)
                    for running in self._running.values()
                ),
            )
        self._failing_probability = failing
        self._request_failure_probability = (
            self.failure_estimate.find_failure_probability_at(failing)
        )
        self._slowness = self.slowness.find(now)
        if now < self.entry.cold_until:
            self._slowness *= COLD_SLOWNESS

    def record_grant(self, ticket: str, expected: float, now: float) -> None:
        """Record that a slot was granted to a request.

        Parameters
        ----------
        ticket : str
            Ticket of the request.
        expected : float
            Seconds that the request is expected to take.
        now : float
            Seconds of a monotonic clock.
        """
        self._running[ticket] = _RunningRequest(now, expected)
        self._granted_at = now

    def release(self, ticket: str) -> None:
        """Record that a request no longer uses a slot."""
        if self._running.pop(ticket, None) is not None:
            self._estimates_valid_until = 0.0

    def is_idle(self, now: float, after: float = IDLE_AFTER_S) -> bool:
        """Return whether it has had no new grant for `after` seconds."""
        return now - self._granted_at > after

    def may_be_tried(self, now: float) -> bool:
        """Return whether the interval since its last trial has passed."""
        return now >= self._next_trial_at

    def record_trial(self, now: float) -> None:
        """Record that a request is sent to it as a trial."""
        pause = TRIAL_INTERVAL_SHARE * self.failure_estimate.mean_failure_duration
        self._next_trial_at = now + min(
            MAX_TRIAL_INTERVAL_S, max(MIN_TRIAL_INTERVAL_S, pause)
        )

    def record_shed(self, now: float) -> None:
        """Record that it turned work away."""
        self._paused_until = max(self._paused_until, now + SHED_PAUSE_S)

    def record_misplaced(self, now: float) -> None:
        """Record that another target answers at its address."""
        self._paused_until = max(self._paused_until, now + MISPLACED_PAUSE_S)

    def record_unreachable(self, now: float) -> None:
        """Record that no VM can connect to it."""
        self._unreachable_until = now + UNREACHABLE_PAUSE_S

    def record_contact(self) -> None:
        """Record that it answered a VM, so that it can be reached."""
        self._unreachable_until = 0.0
