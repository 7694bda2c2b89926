"""How often the targets of a service usually fail, as a measure for any one of them."""

from __future__ import annotations

import dataclasses

from . import evidence

DECAY = 0.98


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A target seen through one kind of work."""

    target: str
    """Name of the target."""

    kind: str
    """Name of the kind: a target may fail one kind only."""


class _Rates:
    """Counts of one target that fade with each new outcome."""

    def __init__(self) -> None:
        self.good = 0.0
        self.error = 0.0
        self.slow = 0.0

    def add(self, tally: evidence.Tally) -> None:
        """Take in outcomes; older ones fade."""
        keep = DECAY**tally.total
        self.good = self.good * keep + tally.good
        self.error = self.error * keep + tally.error
        self.slow = self.slow * keep + tally.slow


class Baselines:
    """Recent outcomes of all targets of a service, by kind of work."""

    def __init__(self) -> None:
        self._kinds: dict[str, dict[str, _Rates]] = {}

    def add(self, subject: Subject, tally: evidence.Tally) -> None:
        """Take in outcomes of one target."""
        rates = self._kinds.setdefault(subject.kind, {})
        rates.setdefault(subject.target, _Rates()).add(tally)

    def find(self, subject: Subject) -> evidence.Baseline:
        """Return how the other targets do in the same kind of work."""
        good = error = slow = 0.0
        for target, rates in self._kinds.get(subject.kind, {}).items():
            if target != subject.target:
                good += rates.good
                error += rates.error
                slow += rates.slow
        # One notional good answer keeps a single error from setting the rate.
        total = good + error + slow + 1.0
        return evidence.Baseline(error / total, slow / total)

    def forget(self, target: str) -> None:
        """Drop what is known of a target."""
        for rates in self._kinds.values():
            rates.pop(target, None)
