"""How long work takes: by kind over all targets, and by target against the others."""

from __future__ import annotations

import math

INITIAL_MEAN_S = 0.2
"""Seconds that a kind of work is taken to last until one was seen."""

KIND_WEIGHT = 0.05
"""Least weight of a new sample in a kind's mean: the last twenty or so count."""

GUESS_WEIGHT = 3
"""Samples that the first guess counts for, so that one long piece of work at the start
is not taken for the usual."""

KNOWN_AFTER = 8
"""Samples from which the mean of a kind of work is known well enough to judge the speed
of a target by it."""

SPEED_WEIGHT = 0.2
"""Weight of a new sample in a target's slowness: four slow answers in a row show."""

SLOWNESS_FADES = 8.0
"""Seconds in which a target's slowness fades by a factor of e without new samples, so
that one that has recovered is tried again."""

SLOWEST = 20.0
"""Largest slowness that is kept."""


class KindTimes:
    """Mean time of each kind of work at targets of usual speed."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._samples: dict[str, int] = {}

    def find_mean(self, kind: str) -> float:
        """Return the mean time in seconds."""
        return self._means.get(kind, INITIAL_MEAN_S)

    def find_overall_mean(self) -> float:
        """Return the mean time over all kinds, each counted alike."""
        if not self._means:
            return INITIAL_MEAN_S
        return sum(self._means.values()) / len(self._means)

    def is_known(self, kind: str) -> bool:
        """Return whether the mean rests on enough samples to judge a target by it."""
        return self._samples.get(kind, 0) >= GUESS_WEIGHT + KNOWN_AFTER

    @property
    def means(self) -> dict[str, float]:
        """Mean seconds of each kind seen so far."""
        return dict(self._means)

    def set(self, kind: str, seconds: float) -> None:
        """Take over a mean that another VM has learned."""
        self._means[kind] = seconds
        self._samples[kind] = round(1 / KIND_WEIGHT)

    def add(self, kind: str, seconds: float) -> None:
        """Take in how long one piece of work took."""
        known = self.find_mean(kind)
        samples = self._samples.get(kind, GUESS_WEIGHT) + 1
        self._samples[kind] = samples
        weight = max(KIND_WEIGHT, 1 / samples)
        self._means[kind] = known + weight * (seconds - known)


class Slowness:
    """How many times longer a target takes than is usual.

    Kept as a logarithm, since times of work are skewed: one long piece of work must
    not weigh as much as many short ones.
    """

    def __init__(self, now: float) -> None:
        self._log = 0.0
        self._at = now

    def find(self, now: float) -> float:
        """Return the factor; 1 is usual."""
        return math.exp(self._fade(now))

    def add(self, ratio: float, now: float) -> None:
        """Take in that one piece of work took `ratio` times the usual."""
        current = self._fade(now)
        sample = math.log(min(SLOWEST, max(1 / SLOWEST, ratio)))
        self._log = current + SPEED_WEIGHT * (sample - current)
        self._at = now

    def set(self, ratio: float, now: float) -> None:
        """Take over what another VM has learned."""
        self._log = math.log(min(SLOWEST, max(1 / SLOWEST, ratio)))
        self._at = now

    def raise_to(self, ratio: float, now: float) -> None:
        """Take in that work under way takes at least `ratio` times the usual."""
        self._log = max(self._fade(now), math.log(min(SLOWEST, max(1.0, ratio))))
        self._at = now

    def _fade(self, now: float) -> float:
        return self._log * math.exp(-max(0.0, now - self._at) / SLOWNESS_FADES)
