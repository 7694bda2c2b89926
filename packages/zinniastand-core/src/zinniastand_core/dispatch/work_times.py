"""Measures how long work takes: by kind, and by target compared with all targets."""

from __future__ import annotations

import math

INITIAL_MEAN_S = 0.2
"""Mean duration assumed for a kind of work without samples."""

MIN_SAMPLE_WEIGHT = 0.05
"""Minimum weight of a new sample in the mean of its kind, so that about the last twenty
samples determine the mean."""

INITIAL_MEAN_SAMPLES = 3
"""Samples that the initial mean counts for, so that one long piece of work at the start
does not dominate the mean."""

MIN_KNOWN_SAMPLES = 8
"""Samples after which the mean of a kind is known well enough to judge a target's speed
by it."""

SLOWNESS_SAMPLE_WEIGHT = 0.2
"""Weight of a new sample in a target's slowness, so that four slow answers in a row
raise it noticeably."""

SLOWNESS_DECAY_TIME_S = 8.0
"""Seconds in which a target's slowness decays by a factor of e without new samples, so
that a target that has recovered is tried again."""

MAX_SLOWNESS = 20.0
"""Upper bound of the slowness and its samples; the reciprocal is their lower bound."""


class KindTimes:
    """Mean duration of each kind of work at targets of usual speed."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._samples: dict[str, int] = {}

    def find_mean(self, kind: str) -> float:
        """Return the mean duration in seconds."""
        return self._means.get(kind, INITIAL_MEAN_S)

    def find_overall_mean(self) -> float:
        """Return the mean duration in seconds over all kinds, each weighted equally."""
        if not self._means:
            return INITIAL_MEAN_S
        return sum(self._means.values()) / len(self._means)

    def is_known(self, kind: str) -> bool:
        """Return whether there are enough samples to judge a target's speed by the
        mean.
        """
        return self._samples.get(kind, 0) >= INITIAL_MEAN_SAMPLES + MIN_KNOWN_SAMPLES

    @property
    def means(self) -> dict[str, float]:
        """Mean duration in seconds of each kind seen so far."""
        return dict(self._means)

    def set(self, kind: str, seconds: float) -> None:
        """Set the mean in seconds that another VM has learned."""
        self._means[kind] = seconds
        self._samples[kind] = round(1 / MIN_SAMPLE_WEIGHT)

    def add(self, kind: str, seconds: float) -> None:
        """Record the duration in seconds of one piece of work."""
        mean = self.find_mean(kind)
        samples = self._samples.get(kind, INITIAL_MEAN_SAMPLES) + 1
        self._samples[kind] = samples
        weight = max(MIN_SAMPLE_WEIGHT, 1 / samples)
        self._means[kind] = mean + weight * (seconds - mean)


class Slowness:
    """How many times longer than usual a target takes.

    The factor is averaged as a logarithm, since durations are skewed: one long piece of
    work must not weigh as much as many short ones.
    """

    def __init__(self, now: float) -> None:
        self._log = 0.0
        self._updated_at = now

    def find(self, now: float) -> float:
        """Return the factor; 1 is usual."""
        return math.exp(self._find_decayed_log(now))

    def add(self, ratio: float, now: float) -> None:
        """Record that one piece of work took `ratio` times the usual duration."""
        current = self._find_decayed_log(now)
        sample = math.log(min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio)))
        self._log = current + SLOWNESS_SAMPLE_WEIGHT * (sample - current)
        self._updated_at = now

    def set(self, ratio: float, now: float) -> None:
        """Set the factor that another VM has learned."""
        self._log = math.log(min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio)))
        self._updated_at = now

    def raise_to(self, ratio: float, now: float) -> None:
        """Record that unfinished work takes at least `ratio` times the usual."""
        self._log = max(
            self._find_decayed_log(now), math.log(min(MAX_SLOWNESS, max(1.0, ratio)))
        )
        self._updated_at = now

    def _find_decayed_log(self, now: float) -> float:
        return self._log * math.exp(
            -max(0.0, now - self._updated_at) / SLOWNESS_DECAY_TIME_S
        )
