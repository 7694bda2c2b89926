"""Usual failure rates of a service's targets, with which each of them is compared."""

from __future__ import annotations

import dataclasses

from . import evidence

DECAY_PER_OUTCOME = 0.98
"""Factor on a target's earlier counts for each new outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A target and one kind of work: health is tracked for each such pair."""

    target: str
    """Name of the target."""

    kind: str
    """Name of the kind of work, since a target may fail in one kind only."""


class _OutcomeCounts:
    """Exponentially decayed outcome counts of one target."""

    def __init__(self) -> None:
        self.good = 0.0
        self.error = 0.0
        self.slow = 0.0

    def add(self, tally: evidence.Tally) -> None:
        """Add outcomes; each one decays the earlier counts."""
        decay = DECAY_PER_OUTCOME**tally.total
        self.good = self.good * decay + tally.good
        self.error = self.error * decay + tally.error
        self.slow = self.slow * decay + tally.slow


class Baselines:
    """Recent outcomes of all targets of a service, by kind of work."""

    def __init__(self) -> None:
        self._kinds: dict[str, dict[str, _OutcomeCounts]] = {}

    def add(self, subject: Subject, tally: evidence.Tally) -> None:
        """Add outcomes of one target."""
        counts = self._kinds.setdefault(subject.kind, {})
        counts.setdefault(subject.target, _OutcomeCounts()).add(tally)

    def find(self, subject: Subject) -> evidence.Baseline:
        """Return the failure rates of the other targets in the same kind of work."""
        good = error = slow = 0.0
        for target, counts in self._kinds.get(subject.kind, {}).items():
            if target != subject.target:
                good += counts.good
                error += counts.error
                slow += counts.slow
        # One assumed good answer keeps a single error from giving a rate of 1.
        total = good + error + slow + 1.0
        return evidence.Baseline(error / total, slow / total)

    def forget(self, target: str) -> None:
        """Remove the counts of a target."""
        for counts in self._kinds.values():
            counts.pop(target, None)
