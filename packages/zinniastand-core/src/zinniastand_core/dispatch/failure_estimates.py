"""What is thought of a target: a two-state filter over the outcomes of real work.

Targets fail for seconds at a time, at once and fully, while their health endpoint says
that all is well. A target is therefore modelled as good or failing, with a rate at
which it changes from one to the other (a two-state hidden Markov model; Rabiner, 1989,
"A tutorial on hidden Markov models"). One outcome moves the belief by Bayes' rule, and
time without outcomes lets it drift back to what is usual. Rates are learned, since the
next deployment differs.
"""

from __future__ import annotations

import math

FAILING_THRESHOLD = 0.7
"""Belief above which a target counts as failing when rates are learned."""

HEALTHY_THRESHOLD = 0.25
"""Belief below which it counts as good when rates are learned."""

NEW_TARGET_FAILING_PROBABILITY = 0.1
"""Belief of a target that joins a service at work. Low, since a fresh process is more
often sound than one picked at random, and a target without work earns nothing."""


class FailureRates:
    """How targets of a service fail, learned from what happens.

    Each rate starts from a guess that weighs as much as a few events, so the first
    minute of a new deployment is steered by the guess and the rest by what is seen.
    """

    def __init__(self) -> None:
        # Guesses: one onset in 12 s and one recovery in 3 s of a target's time.
        self._onsets, self._good_time = 3.0, 36.0
        self._recoveries, self._failing_time = 3.0, 9.0
        # Guesses: three of four fail while failing, one in 100 otherwise.
        self._failed_failing, self._all_failing = 3.0, 4.0
        self._failed_good, self._all_good = 0.5, 50.0

    @property
    def onset_per_s(self) -> float:
        """Changes from good to failing, per second."""
        return self._onsets / self._good_time

    @property
    def recovery_per_s(self) -> float:
        """Changes from failing to good, per second."""
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
    def fails_when_good(self) -> float:
        """Share of requests that a good target fails."""
        return min(0.2, self._failed_good / self._all_good)

    def add_time(self, seconds: float, is_failing: bool) -> None:
        """Count time that a target spent in a state."""
        if is_failing:
            self._failing_time += seconds
        else:
            self._good_time += seconds

    def add_change(self, is_failing: bool) -> None:
        """Count a change of a target's state."""
        if is_failing:
            self._onsets += 1
        else:
            self._recoveries += 1

    def add_outcome(self, belief: float, failed: bool) -> None:
        """Count an outcome of a target, where its state is clear."""
        if belief > FAILING_THRESHOLD:
            self._all_failing += 1
            self._failed_failing += failed
        elif belief < HEALTHY_THRESHOLD:
            self._all_good += 1
            self._failed_good += failed


class FailureEstimate:
    """The probability that one target is failing now.

    Parameters
    ----------
    rates : Rates
        Rates of its service.
    now : float
        Seconds of any steady clock.
    failing : float
        What is believed at first.
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
    def failing_time(self) -> float:
        """Seconds for which targets of its service usually fail."""
        return 1.0 / self._rates.recovery_per_s

    def find_failing_probability(self, now: float) -> float:
        """Return the probability that it is failing."""
        rates = self._rates
        elapsed = max(0.0, now - self._at)
        fade = math.exp(-(rates.onset_per_s + rates.recovery_per_s) * elapsed)
        return (
            rates.usual_failing_share
            + (self._failing - rates.usual_failing_share) * fade
        )

    def find_request_failure_probability(self, now: float) -> float:
        """Return the probability that it fails a request sent now."""
        failing = self.find_failing_probability(now)
        rates = self._rates
        return (
            failing * rates.fails_when_failing + (1 - failing) * rates.fails_when_good
        )

    def record_outcome(self, failed: bool, now: float) -> None:
        """Move the belief by one outcome."""
        prior = self.find_failing_probability(now)
        rates = self._rates
        rates.add_outcome(prior, failed)
        if failed:
            bad, good = rates.fails_when_failing, rates.fails_when_good
        else:
            bad, good = 1 - rates.fails_when_failing, 1 - rates.fails_when_good
        posterior = prior * bad / (prior * bad + (1 - prior) * good)
        self._learn(posterior, now)
        self._failing = posterior
        self._at = max(self._at, now)

    def set_failing_probability(self, failing: float, now: float) -> None:
        """Take over what another VM believes."""
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
