"""Failure estimates change fast, recover, and learn the deployment's rates."""

from __future__ import annotations

import random

from zinniastand_core.dispatch import failure_estimates


def test_one_failure_after_successes_is_strong_evidence() -> None:
    estimate = failure_estimates.FailureEstimate(failure_estimates.FailureRates(), 0.0)
    for n in range(5):
        estimate.record_outcome(failed=False, now=0.2 * n)
    assert estimate.find_request_failure_probability(1.0) < 0.1
    estimate.record_outcome(failed=True, now=1.0)
    assert estimate.find_failing_probability(1.0) > 0.3
    estimate.record_outcome(failed=True, now=1.1)
    assert estimate.find_failing_probability(1.1) > 0.9


def test_two_successes_clear_a_target() -> None:
    estimate = failure_estimates.FailureEstimate(failure_estimates.FailureRates(), 0.0)
    estimate.record_outcome(failed=True, now=0.0)
    estimate.record_outcome(failed=False, now=2.0)
    estimate.record_outcome(failed=False, now=2.1)
    assert estimate.find_failing_probability(2.1) < 0.15


def test_estimate_decays_to_the_usual_share() -> None:
    rates = failure_estimates.FailureRates()
    estimate = failure_estimates.FailureEstimate(rates, 0.0)
    estimate.record_outcome(failed=True, now=0.0)
    assert (
        abs(estimate.find_failing_probability(60.0) - rates.usual_failing_share) < 0.01
    )


def test_rates_are_learned_from_a_deployment_unlike_the_guess() -> None:
    # Targets of this deployment fail every request while they are failing, for one
    # second in ten, and none otherwise. With the priors alone, a fleet would avoid them
    # three times as long as needed.
    rng = random.Random(3)
    rates = failure_estimates.FailureRates()
    estimates = [failure_estimates.FailureEstimate(rates, 0.0) for _ in range(20)]
    starts = [rng.random() * 10 for _ in estimates]
    for step in range(3000):
        now = step * 0.05
        for estimate, start in zip(estimates, starts, strict=True):
            is_failing = (now + start) % 10.0 < 1.0
            estimate.record_outcome(failed=is_failing, now=now)
    assert rates.fails_when_failing > 0.9
    assert rates.fails_when_healthy < 0.02
    assert 0.7 < rates.recovery_per_s < 1.4
    assert 0.07 < rates.onset_per_s < 0.16


def test_estimate_of_another_vm_counts_from_now() -> None:
    estimate = failure_estimates.FailureEstimate(failure_estimates.FailureRates(), 0.0)
    estimate.set_failing_probability(0.9, 50.0)
    assert abs(estimate.find_failing_probability(50.0) - 0.9) < 1e-9
