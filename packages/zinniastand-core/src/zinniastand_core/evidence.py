"""Evidence for and against a target, tested one outcome at a time.

Each outcome moves a CUSUM score by its log likelihood ratio: how much likelier it is
from a failing target than from a healthy one (Page, 1954, "Continuous inspection
schemes"). "Healthy" is what the service's other targets do at the same time, so a
fault that is everybody's accuses nobody.
"""

from __future__ import annotations

import dataclasses
import enum
import math

MIN_ERROR_RATE = 0.01
MAX_ERROR_RATE = 0.6
MIN_SLOW_RATE = 0.08
MAX_SLOW_RATE = 0.6
MAX_SCORE = 40.0
MIN_THRESHOLD = 6.0
THRESHOLD_SPAN = 8.0


class Sign(enum.IntEnum):
    """What one outcome says about a target."""

    GOOD = 0
    """A whole answer in the usual time."""

    ERROR = 1
    """No answer, a cut one, or a server error."""

    SLOW = 2
    """A whole answer, far later than the other targets'."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Outcomes of one target and kind of work, counted."""

    good: int = 0
    """Whole answers in the usual time."""

    error: int = 0
    """Failures."""

    slow: int = 0
    """Late answers."""

    def __add__(self, other: Tally) -> Tally:
        return Tally(
            self.good + other.good, self.error + other.error, self.slow + other.slow
        )

    @property
    def total(self) -> int:
        """All outcomes."""
        return self.good + self.error + self.slow


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """How often the service's other targets fail or are slow."""

    error_rate: float = MIN_ERROR_RATE
    """Share of outcomes that are errors."""

    slow_rate: float = MIN_SLOW_RATE
    """Share of answers that are slow."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Hypothesis:
    """Log likelihood ratios of one hypothesis about a failing target."""

    error: float
    slow: float
    good: float

    def find_change(self, tally: Tally) -> float:
        """Return by how much the outcomes move the score."""
        return (
            tally.error * self.error + tally.slow * self.slow + tally.good * self.good
        )


def find_threshold(detection_weight: float) -> float:
    """Return the score at which a target counts as failing.

    The weight goes from 0 (spare healthy targets) to 1 (detect sooner). A false alarm
    becomes about e times rarer with each unit of the score.
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
        """Take in outcomes."""
        for index, test in enumerate(_make_hypotheses(baseline)):
            moved = self._levels[index] + test.find_change(tally)
            self._levels[index] = min(MAX_SCORE, max(0.0, moved))

    def shift(self, amount: float) -> None:
        """Move every score, not below zero."""
        self._levels = [max(0.0, level + amount) for level in self._levels]

    def reset(self, level: float = 0.0) -> None:
        """Begin anew at `level`."""
        self._levels = [level] * len(self._levels)


def _make_hypotheses(
    baseline: Baseline,
) -> tuple[_Hypothesis, _Hypothesis, _Hypothesis]:
    """Return the tests: fails often, fails now and then, is slow."""
    usual = min(MAX_ERROR_RATE, max(MIN_ERROR_RATE, baseline.error_rate))
    often = _test_errors(usual, max(0.5, min(0.95, 3 * usual)))
    sometimes = _test_errors(usual, min(0.9, 8 * usual))
    slow = min(MAX_SLOW_RATE, max(MIN_SLOW_RATE, baseline.slow_rate))
    return often, sometimes, _test_slowness(slow, max(0.5, min(0.95, 3 * slow)))


def _test_errors(usual: float, failing: float) -> _Hypothesis:
    good = math.log((1 - failing) / (1 - usual))
    return _Hypothesis(error=math.log(failing / usual), slow=good, good=good)


def _test_slowness(usual: float, failing: float) -> _Hypothesis:
    good = math.log((1 - failing) / (1 - usual))
    return _Hypothesis(error=0.0, slow=math.log(failing / usual), good=good)
