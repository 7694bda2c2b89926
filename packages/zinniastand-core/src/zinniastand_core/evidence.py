"""Scores whether a target is failing, one outcome at a time.

Each outcome moves a CUSUM score by its log likelihood ratio: how much likelier it is
from a failing target than from a healthy one (Page, 1954, "Continuous inspection
schemes"). "Healthy" is measured on the service's other targets at the same time,
so a fault that all targets share accuses none of them.
"""

from __future__ import annotations

import dataclasses
import enum
import math

MIN_ERROR_RATE = 0.01
"""Lower bound of the error rate that counts as usual."""

MAX_ERROR_RATE = 0.6
"""Upper bound of the error rate that counts as usual."""

MIN_SLOW_RATE = 0.08
"""Lower bound of the rate of slow answers that counts as usual."""

MAX_SLOW_RATE = 0.6
"""Upper bound of the rate of slow answers that counts as usual."""

MAX_SCORE = 40.0
"""Upper bound of every score."""

MIN_THRESHOLD = 6.0
"""Threshold at the detection weight 1."""

THRESHOLD_SPAN = 8.0
"""Difference between the thresholds at the detection weights 0 and 1."""


class Sign(enum.IntEnum):
    """Category of one outcome."""

    GOOD = 0
    """A complete answer in the usual time."""

    ERROR = 1
    """No answer, a truncated answer, or a server error."""

    SLOW = 2
    """A complete answer, but much later than those of the other targets."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Numbers of outcomes of one target and kind of work."""

    good: int = 0
    """Complete answers in the usual time."""

    error: int = 0
    """Missing or truncated answers and server errors."""

    slow: int = 0
    """Complete but late answers."""

    def __add__(self, other: Tally) -> Tally:
        return Tally(
            self.good + other.good, self.error + other.error, self.slow + other.slow
        )

    @property
    def total(self) -> int:
        """Number of all outcomes."""
        return self.good + self.error + self.slow


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """Error and slowness rates of the service's other targets."""

    error_rate: float = MIN_ERROR_RATE
    """Share of outcomes that are errors."""

    slow_rate: float = MIN_SLOW_RATE
    """Share of answers that are slow."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Hypothesis:
    """Log likelihood ratio of each outcome under one hypothesis of failure."""

    error: float
    slow: float
    good: float

    def find_change(self, tally: Tally) -> float:
        """Return the change of the score for these outcomes."""
        return (
            tally.error * self.error + tally.slow * self.slow + tally.good * self.good
        )


def find_threshold(detection_weight: float) -> float:
    """Return the score at which a target counts as failing.

    Each unit of the score makes a false alarm about e times rarer.

    Parameters
    ----------
    detection_weight : float
        From 0 (fewest false alarms) to 1 (fastest detection).
    """
    return MIN_THRESHOLD + THRESHOLD_SPAN * (1.0 - detection_weight)


class Score:
    """The CUSUM scores of one target and kind of work, one for each hypothesis."""

    def __init__(self) -> None:
        self._levels = [0.0, 0.0, 0.0]

    @property
    def level(self) -> float:
        """The highest of the scores."""
        return max(self._levels)

    def add(self, tally: Tally, baseline: Baseline) -> None:
        """Update the scores with outcomes, each kept within 0 and `MAX_SCORE`."""
        for index, hypothesis in enumerate(_make_hypotheses(baseline)):
            updated = self._levels[index] + hypothesis.find_change(tally)
            self._levels[index] = min(MAX_SCORE, max(0.0, updated))

    def shift(self, amount: float) -> None:
        """Add `amount` to every score, with zero as the lower bound."""
        self._levels = [max(0.0, level + amount) for level in self._levels]

    def reset(self, level: float = 0.0) -> None:
        """Set every score to `level`."""
        self._levels = [level] * len(self._levels)


def _make_hypotheses(
    baseline: Baseline,
) -> tuple[_Hypothesis, _Hypothesis, _Hypothesis]:
    """Return the hypotheses: fails often, fails sometimes, is slow."""
    usual = min(MAX_ERROR_RATE, max(MIN_ERROR_RATE, baseline.error_rate))
    often = _hypothesize_errors(usual, max(0.5, min(0.95, 3 * usual)))
    sometimes = _hypothesize_errors(usual, min(0.9, 8 * usual))
    slow = min(MAX_SLOW_RATE, max(MIN_SLOW_RATE, baseline.slow_rate))
    return often, sometimes, _hypothesize_slowness(slow, max(0.5, min(0.95, 3 * slow)))


def _hypothesize_errors(usual: float, failing: float) -> _Hypothesis:
    good = math.log((1 - failing) / (1 - usual))
    return _Hypothesis(error=math.log(failing / usual), slow=good, good=good)


def _hypothesize_slowness(usual: float, failing: float) -> _Hypothesis:
    good = math.log((1 - failing) / (1 - usual))
    return _Hypothesis(error=0.0, slow=math.log(failing / usual), good=good)
