"""Estimates whether a target is failing, from the outcomes of real requests.

Targets fail abruptly and for seconds at a time while their health endpoint still
reports success. A target is therefore modelled as healthy or failing, with a rate of
change between the two states (a two-state hidden Markov model; Rabiner, 1989, "A
tutorial on hidden Markov models"). Each outcome updates the probability by Bayes' rule;
without outcomes it decays towards the usual share of time spent failing. The rates are
learned at run time, since deployments differ in them.
"""

from __future__ import annotations

import collections.abc
import functools
import math

FAILING_THRESHOLD = 0.7
"""Failing probability above which a target counts as failing when rates are learned."""

HEALTHY_THRESHOLD = 0.25
"""Failing probability below which a target counts as healthy when rates are learned."""

NEW_TARGET_FAILING_PROBABILITY = 0.1
"""Initial probability that a target which joins a running service is failing. It is
low, since a new process is more often healthy than a target picked at random, and a
target that gets no requests contributes nothing."""


MAX_COUNTED_FAILURES = 200.0
"""Failures at which the counts of silent and of all failures are halved."""

MIN_SURVIVAL = 0.015
"""Minimum probability that work at a healthy target still runs: one piece of work in a
hundred takes several times as long as usual."""

DURATION_SPREAD = 0.6
"""Standard deviation of the logarithm of the duration of work."""


class FailureRates:
    """How targets of a service fail and recover, learned from outcomes.

    Each rate starts from a prior that weighs as much as a few events: it dominates in
    the first minute of a new deployment, and observations dominate from then on.
    """

    def __init__(self) -> None:
        # Priors: one onset in 12 s of healthy time, one recovery in 3 s of failing
        # time.
        self._onsets, self._healthy_time = 3.0, 36.0
        self._recoveries, self._failing_time = 3.0, 9.0
        # Priors: a failing target fails three of four requests, a healthy one 1 in 100.
        self._failed_failing, self._all_failing = 3.0, 4.0
        self._failed_healthy, self._all_healthy = 0.5, 50.0
        # Prior: one of five failures is a request without any answer.
        self._silent_failures, self._all_failures = 2.0, 10.0

    @property
    def onset_per_s(self) -> float:
        """Changes from healthy to failing, per second."""
        return self._onsets / self._healthy_time

    @property
    def recovery_per_s(self) -> float:
        """Changes from failing to healthy, per second."""
        return self._recoveries / self._failing_time

    @property
    def usual_failing_share(self) -> float:
        """Share of time that a target spends failing."""
        return self.onset_per_s / (self.onset_per_s + self.recovery_per_s)

    @property
    def fails_when_failing(self) -> float:
        """Share of requests that a failing target fails."""
        return min(0.98, self._failed_failing / self._all_failing)

    @property
    def fails_when_healthy(self) -> float:
        """Share of requests that a healthy target fails."""
        return min(0.2, self._failed_healthy / self._all_healthy)

    @property
    def silent_share(self) -> float:
        """Share of failures in which the target gave no answer at all.

        Targets that fail by errors show it at once. Others hold requests without an
        answer, and show it only by how long these take.
        """
        return self._silent_failures / self._all_failures

    def add_failure(self, is_silent: bool) -> None:
        """Count a failed request; failures of long ago lose their weight."""
        if self._all_failures >= MAX_COUNTED_FAILURES:
            self._silent_failures *= 0.5
            self._all_failures *= 0.5
        self._silent_failures += is_silent
        self._all_failures += 1

    def add_time(self, seconds: float, is_failing: bool) -> None:
        """Add time in seconds that a target spent in a state."""
        if is_failing:
            self._failing_time += seconds
        else:
            self._healthy_time += seconds

    def add_change(self, is_failing: bool) -> None:
        """Count a change to the given state."""
        if is_failing:
            self._onsets += 1
        else:
            self._recoveries += 1

    def add_outcome(self, failing_probability: float, failed: bool) -> None:
        """Count an outcome if the target is clearly failing or clearly healthy."""
        if failing_probability > FAILING_THRESHOLD:
            self._all_failing += 1
            self._failed_failing += failed
        elif failing_probability < HEALTHY_THRESHOLD:
            self._all_healthy += 1
            self._failed_healthy += failed


class FailureEstimate:
    """The probability that one target is failing now.

    Parameters
    ----------
    rates : FailureRates
        Rates of the target's service.
    now : float
        Seconds of a monotonic clock, as in all methods.
    failing : float
        Initial probability that the target is failing.
    """

    def __init__(
        self,
        rates: FailureRates,
        now: float,
        failing: float = NEW_TARGET_FAILING_PROBABILITY,
    ) -> None:
        self._rates = rates
        self._failing = failing
        self._at = now
        self._was_failing = False

    @property
    def mean_failure_duration(self) -> float:
        """Mean duration of a failure of this service's targets, in seconds."""
        return 1.0 / self._rates.recovery_per_s

    def find_failing_probability(self, now: float) -> float:
        """Return the probability that the target is failing."""
        rates = self._rates
        elapsed = max(0.0, now - self._at)
        decay = math.exp(-(rates.onset_per_s + rates.recovery_per_s) * elapsed)
        return (
            rates.usual_failing_share
            + (self._failing - rates.usual_failing_share) * decay
        )

    def weigh_silence(
        self, failing: float, running: collections.abc.Iterable[float]
    ) -> float:
        """Return the failing probability, given requests that still run.

        Load pattern: targets stop answering, and each request to them is lost at its
        deadline, seconds later. Meanwhile they get more requests, since no outcome says
        that they fail. A request that runs for longer than usual is evidence before
        that.

        Parameters
        ----------
        failing : float
            Probability that the target is failing, from the outcomes so far.
        running : iterable of float
            Time for which each request has run, as a multiple of its expected duration.
        """
        rates = self._rates
        silent = rates.fails_when_failing * rates.silent_share
        odds = failing / max(1e-9, 1.0 - failing)
        for ratio in running:
            survival = find_survival(ratio)
            still_running = silent + (1 - rates.fails_when_failing) * survival
            # A short time is no evidence of health: many failures are silent.
            odds *= max(1.0, still_running / survival)
        return odds / (1.0 + odds)

    def find_request_failure_probability(self, now: float) -> float:
        """Return the probability that the target fails a request sent now."""
        return self.find_failure_probability_at(self.find_failing_probability(now))

    def find_failure_probability_at(self, failing: float) -> float:
        """Return the probability that a target fails a request.

        Parameters
        ----------
        failing : float
            Probability that it is failing.
        """
        rates = self._rates
        return (
            failing * rates.fails_when_failing
            + (1 - failing) * rates.fails_when_healthy
        )

    def record_outcome(self, failed: bool, now: float, is_silent: bool = False) -> None:
        """Update the probability by the outcome of one request.

        Parameters
        ----------
        failed : bool
            Whether the target failed the request.
        now : float
            Seconds of the monotonic clock.
        is_silent : bool, optional
            Whether it failed by giving no answer.
        """
        if failed:
            self._rates.add_failure(is_silent)
        prior = self.find_failing_probability(now)
        rates = self._rates
        rates.add_outcome(prior, failed)
        if failed:
            if_failing, if_healthy = rates.fails_when_failing, rates.fails_when_healthy
        else:
            if_failing, if_healthy = (
                1 - rates.fails_when_failing,
                1 - rates.fails_when_healthy,
            )
        posterior = prior * if_failing / (prior * if_failing + (1 - prior) * if_healthy)
        self._learn(posterior, now)
        self._failing = posterior
        self._at = max(self._at, now)

    def set_failing_probability(self, failing: float, now: float) -> None:
        """Replace the probability by the estimate of another VM."""
        self._failing = failing
        self._at = now

    def _learn(self, posterior: float, now: float) -> None:
        self._rates.add_time(max(0.0, now - self._at), self._was_failing)
        if not self._was_failing and posterior > FAILING_THRESHOLD:
            self._was_failing = True
            self._rates.add_change(is_failing=True)
        elif self._was_failing and posterior < HEALTHY_THRESHOLD:
            self._was_failing = False
            self._rates.add_change(is_failing=False)


def find_survival(ratio: float) -> float:
    """Return the probability that work at a healthy target still runs.

    Durations are taken as log-normal around their mean.

    Parameters
    ----------
    ratio : float
        Time for which it has run, as a multiple of its expected duration.
    """
    return _find_survival(round(ratio, 1))


@functools.lru_cache(maxsize=1024)
def _find_survival(ratio: float) -> float:
    if ratio <= 0.0:
        return 1.0
    deviation = math.log(ratio) / DURATION_SPREAD + DURATION_SPREAD / 2
    return max(MIN_SURVIVAL, 0.5 * math.erfc(deviation / math.sqrt(2)))
