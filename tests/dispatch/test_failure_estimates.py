"""Beliefs about targets move fast, come back, and learn the deployment's rates."""

from __future__ import annotations

import random

from zinniastand_core.dispatch import failure_estimates


def test_one_failure_after_successes_is_strong_evidence() -> None:
    belief = failure_estimates.FailureEstimate(failure_estimates.FailureRates(), 0.0)
    for n in range(5):
        belief.record_outcome(failed=False, now=0.2 * n)
    assert belief.find_request_failure_probability(1.0) < 0.1
    belief.record_outcome(failed=True, now=1.0)
    assert belief.find_failing_probability(1.0) > 0.3
    belief.record_outcome(failed=True, now=1.1)
    assert belief.find_failing_probability(1.1) > 0.9


def test_two_successes_clear_a_target() -> None:
    belief = failure_estimates.FailureEstimate(failure_estimates.FailureRates(), 0.0)
    belief.record_outcome(failed=True, now=0.0)
    belief.record_outcome(failed=False, now=2.0)
    belief.record_outcome(failed=False, now=2.1)
    assert belief.find_failing_probability(2.1) < 0.15


def test_belief_drifts_to_what_is_usual() -> None:
    rates = failure_estimates.FailureRates()
    belief = failure_estimates.FailureEstimate(rates, 0.0)
    belief.record_outcome(failed=True, now=0.0)
    assert abs(belief.find_failing_probability(60.0) - rates.usual_failing_share) < 0.01


def test_rates_are_learned_from_a_deployment_unlike_the_guess() -> None:
    # Targets of this deployment fail every request while they are failing, for one
    # second in ten, and none otherwise. Steered by the guess alone, a fleet would
    # leave them out three times as long as needed.
    rng = random.Random(3)
    rates = failure_estimates.FailureRates()
    known = [failure_estimates.FailureEstimate(rates, 0.0) for _ in range(20)]
    starts = [rng.random() * 10 for _ in known]
    for step in range(3000):
        now = step * 0.05
        for belief, start in zip(known, starts, strict=True):
            is_failing = (now + start) % 10.0 < 1.0
            belief.record_outcome(failed=is_failing, now=now)
    assert rates.fails_when_failing > 0.9
    assert rates.fails_when_good < 0.02
    assert 0.7 < rates.recovery_per_s < 1.4
    assert 0.07 < rates.onset_per_s < 0.16


def test_taken_over_opinion_counts_from_now() -> None:
    belief = failure_estimates.FailureEstimate(failure_estimates.FailureRates(), 0.0)
    belief.set_failing_probability(0.9, 50.0)
    assert abs(belief.find_failing_probability(50.0) - 0.9) < 1e-9
